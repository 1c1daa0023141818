package collect

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// residencyKey and executionKey identify a record among the samples of one
// back end.
type residencyKey struct {
	backend fleet.BackendName
	order   string
	from    time.Time
}

type executionKey struct {
	backend fleet.BackendName
	request fleet.RequestID
	attempt int
	started time.Time
}

// mergeBooks sorts the samples. Where a back end restarted within its process,
// its later book still has the records of the earlier incarnation; these are
// taken from the latest sample only, so that nothing counts twice.
func mergeBooks(samples []check.BookSample) []check.BookSample {
	slices.SortFunc(samples, func(a, b check.BookSample) int {
		return cmp.Or(cmp.Compare(a.Backend.Name, b.Backend.Name), b.SampledAt.Compare(a.SampledAt))
	})
	residencies := make(map[residencyKey]bool)
	executions := make(map[executionKey]bool)
	for index := range samples {
		sample := &samples[index]
		name := sample.Backend.Name
		sample.Residencies = unseen(sample.Residencies, residencies, func(r books.Residency) residencyKey {
			return residencyKey{backend: name, order: r.OrderID, from: r.From.UTC()}
		})
		sample.Executions = unseen(sample.Executions, executions, func(e books.Execution) executionKey {
			return executionKey{backend: name, request: e.RequestID, attempt: e.Attempt, started: e.Started.UTC()}
		})
	}
	return samples
}

// unseen keeps the records that no sample before had. Equal records within one
// sample are kept: a book that says twice that something ran must be judged so.
func unseen[T any, K comparable](records []T, seen map[K]bool, key func(T) K) []T {
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
