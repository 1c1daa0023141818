package collect

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// residencyKey identifies a model load in the books of all incarnations of a
// back end.
type residencyKey struct {
	backend fleet.BackendName
	order   string
	from    time.Time
}

// executionKey identifies an execution in the books of all incarnations of a
// back end.
type executionKey struct {
	backend fleet.BackendName
	request fleet.RequestID
	attempt int
	started time.Time
}

// mergeBooks sorts the samples by back end, the latest first, and removes
// duplicate records. If a back end restarted within its process, its later book
// still has the records of the earlier incarnation. These are kept in the latest
// sample only, so that nothing is counted twice.
func mergeBooks(samples []check.BookSample) []check.BookSample {
	slices.SortFunc(samples, func(a, b check.BookSample) int {
		return cmp.Or(cmp.Compare(a.Backend.Name, b.Backend.Name), b.SampledAt.Compare(a.SampledAt))
	})
	residencies := make(map[residencyKey]bool)
	executions := make(map[executionKey]bool)
	for index := range samples {
		sample := &samples[index]
		name := sample.Backend.Name
		sample.Residencies = withoutSeen(sample.Residencies, residencies, func(r books.Residency) residencyKey {
			return residencyKey{backend: name, order: r.OrderID, from: r.From.UTC()}
		})
		sample.Executions = withoutSeen(sample.Executions, executions, func(e books.Execution) executionKey {
			return executionKey{backend: name, request: e.RequestID, attempt: e.Attempt, started: e.Started.UTC()}
		})
	}
	return samples
}

// withoutSeen returns the records that no earlier sample contained. Equal records
// within one sample are all kept: if a book lists an execution twice, the checks
// must see both.
func withoutSeen[T any, K comparable](records []T, seen map[K]bool, key func(T) K) []T {
	var kept []T
	for _, record := range records {
		if !seen[key(record)] {
			kept = append(kept, record)
		}
	}
	for _, record := range records {
		seen[key(record)] = true
	}
	return kept
}
