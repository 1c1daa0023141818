package quota

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// A refund makes one grant available again, but only if this coordinator made the grant.
func TestGiveBackReturnsWhatThisCoordinatorGranted(t *testing.T) {
	quota := routetable.Quota{PerSecond: 1, Burst: 4}
	coordinator := NewCoordinator(Tolerance{Window: 4 * time.Second, StrictRate: true})
	acquireAll := func(now time.Time) (count int) {
		for coordinator.Acquire(now, "s", quota, 1, 1, 0).Granted {
			count++
		}
		return count
	}
	coordinator.Refund(startTime, "s", quota, 1)
	coordinator.Refund(startTime, "s", quota, 1)
	if got := acquireAll(startTime); got != 0 {
		t.Errorf("%d granted after refunds of another coordinator's grants", got)
	}
	now := startTime
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		coordinator.Observe(now)
	}
	if got := acquireAll(now); got != 2 {
		t.Fatalf("%d granted after 2 s at 1 per second, want 2", got)
	}
	coordinator.Refund(now, "s", quota, 1)
	if got := acquireAll(now); got != 1 {
		t.Errorf("%d granted after one refund, want 1", got)
	}
}
