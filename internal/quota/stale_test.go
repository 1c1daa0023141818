package quota

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// A word of use is dated as it comes and counted once it has its turn. A node that was frozen in
// between counted it two seconds late, when a tick that had not waited had opened the tenant's
// account anew: the use lay before the account, and the node ended with "index out of range [-1]".
func TestUseThatWaitedForItsTurn(t *testing.T) {
	quota := routetable.Quota{PerSecond: 1000, Burst: 1000}
	coordinator := NewCoordinator(Tolerance{Window: window})
	coordinator.Observe(begin)
	now := begin.Add(3 * time.Second)
	coordinator.OpenAccount(now, "t", quota, 1)
	coordinator.RecordUse(begin, "t", quota, 1, 10)
	for range 100 {
		now = now.Add(longestPause / 4)
		coordinator.Observe(now)
	}
	left := func() float64 { return coordinator.Acquire(now, "t", quota, 1, 0, 0).Remaining }
	before := left()
	for _, late := range []time.Duration{time.Millisecond, time.Second, 3 * time.Second} {
		coordinator.RecordUse(now.Add(-late), "t", quota, 1, 10)
	}
	if got := left(); before < 100 || got > before-30 {
		t.Errorf("%v left after uses of 30, %v before", got, before)
	}
	coordinator.Acquire(begin, "t", quota, 1, 10, 0)
	if got := left(); got > before-40 || got < before-50 {
		t.Errorf("%v left of %v: a time that went back let the coordinator forget what it gave", got, before)
	}
}
