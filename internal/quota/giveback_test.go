package quota

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// TestGiveBackReturnsWhatThisCoordinatorGranted, once for each grant, and nothing that another one did.
func TestGiveBackReturnsWhatThisCoordinatorGranted(t *testing.T) {
	limit := routetable.Quota{PerSecond: 1, Burst: 4}
	coordinator := NewCoordinator(Tolerance{Window: 4 * time.Second, StrictRate: true})
	granted := func(now time.Time) (count int) {
		for coordinator.Acquire(now, "s", limit, 1, 1, 0).Granted {
			count++
		}
		return count
	}
	coordinator.Refund(begin, "s", limit, 1)
	coordinator.Refund(begin, "s", limit, 1)
	if got := granted(begin); got != 0 {
		t.Errorf("%d granted for what another coordinator had granted", got)
	}
	now := begin
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		coordinator.Observe(now)
	}
	if got := granted(now); got != 2 {
		t.Fatalf("%d granted after 2 s at 1 a second", got)
	}
	coordinator.Refund(now, "s", limit, 1)
	if got := granted(now); got != 1 {
		t.Errorf("%d granted for one that was given back", got)
	}
}
