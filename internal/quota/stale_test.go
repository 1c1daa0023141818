package quota

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// A report of use gets its time on arrival and is recorded when its turn comes. On a node that was
// frozen in between, it was recorded two seconds late, after a tick had opened the tenant's account
// anew: the use was older than the account, and the node crashed with "index out of range [-1]".
func TestUseThatWaitedForItsTurn(t *testing.T) {
	quota := routetable.Quota{PerSecond: 1000, Burst: 1000}
	coordinator := NewCoordinator(Tolerance{Window: window})
	coordinator.Observe(startTime)
	now := startTime.Add(3 * time.Second)
	coordinator.OpenAccount(now, "t", quota, 1)
	coordinator.RecordUse(startTime, "t", quota, 1, 10)
	for range 100 {
		now = now.Add(maxPause / 4)
		coordinator.Observe(now)
	}
	remaining := func() float64 { return coordinator.Acquire(now, "t", quota, 1, 0, 0).Remaining }
	before := remaining()
	for _, late := range []time.Duration{time.Millisecond, time.Second, 3 * time.Second} {
		coordinator.RecordUse(now.Add(-late), "t", quota, 1, 10)
	}
	if got := remaining(); before < 100 || got > before-30 {
		t.Errorf("%v remaining after uses of 30, %v before", got, before)
	}
	coordinator.Acquire(startTime, "t", quota, 1, 10, 0)
	if got := remaining(); got > before-40 || got < before-50 {
		t.Errorf("%v remaining of %v: a time that went back made the coordinator drop its accounts", got, before)
	}
}
