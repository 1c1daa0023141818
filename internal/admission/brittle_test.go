package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var ledgerStart = time.Unix(5000, 0)

func TestRejectionsCountForASecond(t *testing.T) {
	ledger := NewRejectionLedger()
	take := func(at time.Duration, limit int) bool {
		ok, retryAfter := ledger.Take(ledgerStart.Add(at), "s", limit)
		if !ok && retryAfter <= 0 {
			t.Errorf("at %v: denied without a time to come back", at)
		}
		return ok
	}
	takeAll := func(at time.Duration, limit int) (taken int) {
		for take(at, limit) {
			taken++
		}
		return taken
	}
	if taken := takeAll(0, 2); taken != 2 {
		t.Fatalf("%d sends are pending at once, want 2", taken)
	}
	ledger.Accept("s")
	ledger.Reject(ledgerStart, "s", false)
	if !take(10*time.Millisecond, 2) || take(10*time.Millisecond, 2) {
		t.Error("an accepted send counts on, or a rejected one does not")
	}
	ledger.Accept("s")
	if taken := takeAll(rejectionWindow+time.Millisecond, 2); taken != 2 {
		t.Errorf("%d sends are granted after the window of a rejection, want 2", taken)
	}
}

func TestSendWithoutAnOutcomeCountsAsRejected(t *testing.T) {
	ledger := NewRejectionLedger()
	ledger.Take(ledgerStart, "s", 1)
	if ok, _ := ledger.Take(ledgerStart.Add(RiskLifetime+time.Second), "s", 1); ok {
		t.Error("a send that was never reported counts for nothing")
	}
	if ok, _ := ledger.Take(ledgerStart.Add(RiskLifetime+rejectionWindow+time.Millisecond), "s", 1); !ok {
		t.Error("it counts for ever")
	}
}

func TestNewCoordinatorWaitsOutItsPredecessor(t *testing.T) {
	ledger := NewRejectionLedger()
	ledger.Observe(ledgerStart, true)
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, false}, {rejectionWindow - time.Millisecond, false}, {rejectionWindow, true}} {
		now := ledgerStart.Add(c.after)
		ledger.observedAt = now
		if ok, _ := ledger.Take(now, fmt.Sprint(c.after), 1); ok != c.want {
			t.Errorf("after %v: granted %v, want %v", c.after, ok, c.want)
		}
	}
	ledger.Observe(ledgerStart.Add(time.Minute), true)
	if ok, _ := ledger.Take(ledgerStart.Add(time.Minute), "s", 1); ok {
		t.Error("granted right after a pause")
	}
}

// TestSharesStayWithinTheAnnouncedNumber covers fleets of all sizes: what nodes may cause on their
// own, or two coordinators together.
func TestSharesStayWithinTheAnnouncedNumber(t *testing.T) {
	for announced := 1; announced <= 50; announced++ {
		bound := RejectionBound{PerSecond: announced}
		for nodes := 1; nodes <= 800; nodes++ {
			if total := bound.PerNode(nodes) * nodes; total > announced {
				t.Fatalf("%d nodes cause up to %d rejections, announced %d", nodes, total, announced)
			}
		}
		if announced > 1 && 2*bound.Coordinated() > announced {
			t.Errorf("two coordinators allow %d, announced %d", 2*bound.Coordinated(), announced)
		}
	}
}

// TestBrittleServerIsNotRejectingMoreThanAnnounced plays nodes against a server that rejects at
// random, under drawn outcomes and delays, and counts the rejections in every second.
func TestBrittleServerIsNotRejectingMoreThanAnnounced(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		ledger := NewRejectionLedger()
		limit := RejectionBound{PerSecond: 2 + random.IntN(10)}.Coordinated()
		var rejections []time.Duration
		type outcome struct {
			at       time.Duration
			rejected bool
		}
		var pending []outcome
		for now := time.Duration(0); now < 20*time.Second; now += 2 * time.Millisecond {
			for len(pending) > 0 && pending[0].at <= now {
				if pending[0].rejected {
					ledger.Reject(ledgerStart.Add(now), "s", false)
				} else {
					ledger.Accept("s")
				}
				pending = pending[1:]
			}
			if ok, _ := ledger.Take(ledgerStart.Add(now), "s", limit); ok {
				rejected := random.Float64() < 0.6
				pending = append(pending, outcome{now + 10*time.Millisecond, rejected})
				if rejected {
					rejections = append(rejections, now+5*time.Millisecond)
				}
			}
		}
		for i := limit; i < len(rejections); i++ {
			if rejections[i]-rejections[i-limit] < time.Second {
				t.Fatalf("seed %d: more than %d rejections in a second at %v", seed, limit, rejections[i])
			}
		}
	}
}
