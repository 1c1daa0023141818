package node

import (
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// TestAllNodesTogetherKeepARateLimit has all nodes ask as fast as they can while the first
// coordinator disappears: the grants of old and new coordinator together must stay within
// the limit.
func TestAllNodesTogetherKeepARateLimit(t *testing.T) {
	f := startQuotasFleet(t, "a-0", "a-1", "b-0", "b-1", "c-0", "c-1")
	const perSecond = 3
	var granted atomic.Int64
	var asking sync.WaitGroup
	end := time.Now().Add(4 * time.Second)
	for _, node := range f.nodes {
		asking.Go(func() {
			for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if ok, _ := node.AdmitBackend(t.Context(), "e1", 1, perSecond); ok {
					granted.Add(1)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	first := coordinators(f.nodes[0].member, f.nodes[0].views)[0].Name
	f.publishMembers(func(_, other fleet.Member) bool { return other.Name != first })
	asking.Wait()
	most := admission.RateLimitBound{PerSecond: perSecond}.MaxRequests()
	t.Logf("%d granted in 4 s at %d a second, %.0f are allowed", granted.Load(), perSecond, most)
	if float64(granted.Load()) > most || granted.Load() < perSecond*2 {
		t.Errorf("%d granted in 4 s at %d a second, %.0f are allowed", granted.Load(), perSecond, most)
	}
}

// TestBadRateIsDeclined guards against granting requests with an invalid rate, as another
// build or corrupted data can produce.
func TestBadRateIsDeclined(t *testing.T) {
	f := startQuotasFleet(t, "a-0")
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		if answer := f.nodes[0].decide(&peerpb.QuotaQuestion{Backend: "e1", PerSecond: rate}); !answer.GetDeclined() {
			t.Errorf("rate of %v a second was not declined: %v", rate, answer)
		}
	}
	if answer := f.nodes[0].decide(&peerpb.QuotaQuestion{Backend: "e1", PerSecond: 1e300}); answer.GetDeclined() {
		t.Error("a very high rate was declined")
	}
}
