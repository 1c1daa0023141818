package placer

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// TestLateReportsOfDemandCountNothing guards against copies that are loaded for requests which were counted twice,
// as a report of a node came late, twice, or from its process before.
func TestLateReportsOfDemandCountNothing(t *testing.T) {
	requirements := dispatch.Requirements{Service: serviceName, Model: "m08"}
	type report struct {
		incarnation, requests uint64
	}
	rapid.Check(t, func(t *rapid.T) {
		var reports []report
		total := 0.0
		for life := range uint64(2) {
			requests := uint64(0)
			for range rapid.IntRange(1, 4).Draw(t, "reports") {
				requests += rapid.Uint64Range(0, 50).Draw(t, "requests")
				reports = append(reports, report{incarnation: 1 + life, requests: requests})
			}
			total += float64(requests)
		}
		again := rapid.SliceOfN(rapid.SampledFrom(reports), 0, 4).Draw(t, "came twice")
		demand := NewDemand()
		for _, received := range rapid.Permutation(append(reports, again...)).Draw(t, "order") {
			demand.SetCounts(begin, "node", received.incarnation, []RequestCount{{Requirements: requirements, Requests: received.requests, PromptTokens: 10 * received.requests}})
		}
		counted := 0.0
		if record, ok := demand.records[requirements]; ok {
			counted = record.fastRate.requests * fastDecayTime.Seconds()
		}
		if counted > total+0.001 {
			t.Fatalf("%v requests counted of %v", counted, total)
		}
	})
}
