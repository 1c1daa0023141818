package placer

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// maxRepeatsOfOrder makes a server answer all orders with the result for the duration, and
// returns the highest number of times that one order was issued. Reports are accurate.
func maxRepeatsOfOrder(t *testing.T, result Result, duration time.Duration) (repeats int) {
	t.Helper()
	core := newFullServerCore(t)
	core.servers["s"].setCachedWeights(nil, []string{"m08"})
	requestModel(core, begin, "m08")
	unload := core.Step(begin.Add(tick), true).Orders[0]
	core.HandleOrderResult(begin.Add(2*tick), unload, ResultTaken)
	issued := make(map[Order]int)
	for now := begin.Add(3 * tick); now.Sub(begin) < duration; now = now.Add(5 * time.Millisecond) {
		requestModel(core, now, "m08")
		effects := core.Step(now, true)
		for _, order := range effects.Orders {
			issued[order]++
			repeats = max(repeats, issued[order])
			core.HandleOrderResult(now, order, result)
		}
		for range effects.ReportRequests {
			core.HandleReport(now, "s", Report{
				Models: []inventory.HeldModel{{Name: "m02"}}, OnDisk: []string{"m08"}, Busy: result == ResultBusy, Sequence: 1,
			}, result == ResultBusy)
		}
	}
	return repeats
}

// TestSameOrderIsNotGivenAgainAndAgain checks that retries of an order back off. Without backoff,
// a stopped server and an unloading one got the same order every 100 ms for two seconds.
func TestSameOrderIsNotGivenAgainAndAgain(t *testing.T) {
	if same := maxRepeatsOfOrder(t, ResultNotSent, 2*time.Second); same < 2 || same > 7 {
		t.Errorf("an unreachable server was sent one order %d times in 2 s, want 2 to 7", same)
	}
	if same := maxRepeatsOfOrder(t, ResultBusy, 2*time.Second); same < 2 || same > 5 {
		t.Errorf("a server unloading for 2 s was sent one order %d times, want 2 to 5", same)
	}
}

// TestUnreachedServerIsPassedOver checks that a load for which room was made on an unreachable
// server goes to another server, even though room must be made there first.
func TestUnreachedServerIsPassedOver(t *testing.T) {
	core := New(Options{Window: window, Overage: overage})
	core.SetTable(simTable())
	held := map[string][]inventory.HeldModel{"s1": {{Name: "m02"}}, "s2": {{Name: "m05"}, {Name: "m11"}, {Name: "m03"}}}
	for id := range held {
		core.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: id, Service: serviceName, OnDisk: []string{"m08"}}}})
	}
	core.ConfirmReservation()
	core.Step(begin, true)
	for id, models := range held {
		core.HandleReport(begin, id, Report{Models: models, OnDisk: []string{"m08"}}, true)
	}
	loadedAfter := time.Duration(0)
	for now := begin.Add(tick); now.Sub(begin) < 2*time.Second && loadedAfter == 0; now = now.Add(5 * time.Millisecond) {
		core.demand.SetCounts(now, "node", 1, []RequestCount{{Requirements: dispatch.Requirements{Service: serviceName, Model: "m08"}, Requests: 3, Waiting: 3}})
		for _, order := range core.Step(now, true).Orders {
			switch {
			case order.ServerID == "s1":
				core.HandleOrderResult(now, order, ResultNotSent)
			default:
				core.HandleOrderResult(now, order, ResultTaken)
				if order.Operation == Load && order.Model == "m08" {
					loadedAfter = now.Sub(begin)
				}
			}
		}
	}
	if loadedAfter == 0 || loadedAfter > time.Second {
		t.Errorf("the reachable server was sent the load after %v, want within a second", loadedAfter)
	}
}
