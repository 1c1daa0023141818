package edge

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/storelease"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// suspend simulates a suspended machine for the rest of the test.
func suspend(t *testing.T, d time.Duration) {
	t.Helper()
	clock.SimulateSuspend(d)
	t.Cleanup(func() { clock.SimulateSuspend(-d) })
}

// holdLease makes the node the leader, as its own write of the lease does.
func holdLease(node *Node) *leader {
	leader := node.leader
	now := leader.started
	leader.lease.Observe(now, now, storelease.Record{Holder: node.options.Name, Position: storepos.At(0, 3)})
	leader.lease.WriteSucceeded(now, now, storepos.At(0, 4))
	leader.followTerm(now)
	leader.firstOrderAt.Store(0)
	return leader
}

// TestNoOrderAfterASuspension checks that a leader sends no orders after a suspension, during
// which another node may have taken the lease.
func TestNoOrderAfterASuspension(t *testing.T) {
	leader := holdLease(newCandidate(t))
	term := leader.term.Load()
	if leader.orderTimeout(term, "z") == 0 {
		t.Fatal("the lease holder may not send orders")
	}
	suspend(t, 5*time.Second)
	if leader.orderTimeout(term, "z") > 0 {
		t.Error("may send orders 5 s after its lease of 2 s was written")
	}
	if _, lapsed := leader.leadership(); lapsed < 2*time.Second {
		t.Errorf("reports that its lease expired %v ago", lapsed)
	}
}

// TestOrdersHaveUntilTheLeaseEnds checks that no order may be in progress beyond the end of the
// lease.
func TestOrdersHaveUntilTheLeaseEnds(t *testing.T) {
	leader := holdLease(newCandidate(t))
	term := leader.term.Load()
	suspend(t, leaseDuration-200*time.Millisecond)
	if left := leader.orderTimeout(term, "z"); left <= 0 || left > 200*time.Millisecond {
		t.Errorf("an order may be in progress for %v, of the 200 ms left of the lease", left)
	}
	if left := leader.orderTimeout(term+1, "z"); left != 0 {
		t.Errorf("an order of another term may be in progress for %v", left)
	}
}

// TestLateAnswerTakesNoLease checks that a lease write answered after a suspension gives no
// right to send orders.
func TestLateAnswerTakesNoLease(t *testing.T) {
	node := newCandidate(t)
	leader := holdLease(node)
	sent := clock.Now()
	suspend(t, 5*time.Second)
	leader.lease.WriteSucceeded(sent, clock.Now(), storepos.At(0, 5))
	leader.followTerm(clock.Now())
	if leader.orderTimeout(leader.term.Load(), "z") > 0 {
		t.Error("may send orders based on a write sent 5 s ago")
	}
}

// TestKnowledgeIsOldAfterASuspension checks that data confirmed before a suspension is not
// reported as fresh.
func TestKnowledgeIsOldAfterASuspension(t *testing.T) {
	node := newTestNode(t)
	node.configConfirmed.confirm(clock.Now())
	suspend(t, 5*time.Second)
	state := node.peers.state(clock.Now())
	if age := time.Duration(state.ConfigAgeMs) * time.Millisecond; age < 5*time.Second {
		t.Errorf("reports that its data was confirmed %v ago", age)
	}
}

// TestLeadersWordIsOldAfterASuspension checks that callers are not given times based on an order
// that was announced before the suspension.
func TestLeadersWordIsOldAfterASuspension(t *testing.T) {
	node := newTestNode(t)
	node.dispatch.Do(func(core *dispatch.Core) { core.SetLeader(clock.Now(), 1, false, 0) })
	suspend(t, 5*time.Second)
	node.dispatch.Do(func(core *dispatch.Core) {
		if core.OrdersIn(clock.Now()) == 0 {
			t.Error("orders are expected at once based on a leader's report from before the suspension")
		}
	})
}

// TestReportsAgeInASuspension checks that the age of crash reports includes time spent
// suspended.
func TestReportsAgeInASuspension(t *testing.T) {
	node := newTestNode(t)
	fingerprint := poison.NewFingerprint(poison.Identity{Target: "/x"})
	for _, server := range []string{"a", "b", "c"} {
		node.suspects.recordReports(clock.Now(), "", []poison.Report{{Fingerprint: fingerprint, ServerID: server}})
		suspend(t, time.Second)
	}
	reports := node.suspects.tally.Reports(clock.Now(), fingerprint)
	if len(reports) != 3 || reports[0].Age < 3*time.Second || node.suspects.Status(fingerprint) != poison.StatusBarred {
		t.Errorf("after three servers a second apart: %v", reports)
	}
}
