package placer

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// playRefusals lets a server answer all orders with the result for a time, and
// returns how often it was given the same one. Reports say what is so.
func playRefusals(t *testing.T, result Result, lasts time.Duration) (same int) {
	t.Helper()
	core := fullServer(t)
	core.servers["s"].setCopies(nil, []string{"m08"})
	wantModel(core, begin, "m08")
	unload := core.Step(begin.Add(tick), true).Orders[0]
	core.HandleOrderResult(begin.Add(2*tick), unload, ResultTaken)
	given := make(map[Order]int)
	for now := begin.Add(3 * tick); now.Sub(begin) < lasts; now = now.Add(5 * time.Millisecond) {
		wantModel(core, now, "m08")
		effects := core.Step(now, true)
		for _, order := range effects.Orders {
			given[order]++
			same = max(same, given[order])
			core.HandleOrderResult(now, order, result)
		}
		for range effects.ReportRequests {
			core.HandleReport(now, "s", Report{
				Models: []inventory.HeldModel{{Name: "m02"}}, OnDisk: []string{"m08"}, Busy: result == ResultBusy, Sequence: 1,
			}, result == ResultBusy)
		}
	}
	return same
}

// TestSameOrderIsNotGivenAgainAndAgain: to a server that ended it was given each
// 100 ms for two seconds, and to one that unloads as often.
func TestSameOrderIsNotGivenAgainAndAgain(t *testing.T) {
	if same := playRefusals(t, ResultNotSent, 2*time.Second); same < 2 || same > 7 {
		t.Errorf("a server that cannot be reached was given one order %d times in 2 s, want 2 to 7", same)
	}
	if same := playRefusals(t, ResultBusy, 2*time.Second); same < 2 || same > 5 {
		t.Errorf("a server that unloads for 2 s was given one order %d times, want 2 to 5", same)
	}
}

// TestUnreachedServerIsPassedOver: the load for which room was made there goes to
// another server, though that has to make room first.
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
	loaded := time.Duration(0)
	for now := begin.Add(tick); now.Sub(begin) < 2*time.Second && loaded == 0; now = now.Add(5 * time.Millisecond) {
		core.demand.SetCounts(now, "node", 1, []RequestCount{{Requirements: dispatch.Requirements{Service: serviceName, Model: "m08"}, Requests: 3, Waiting: 3}})
		for _, order := range core.Step(now, true).Orders {
			switch {
			case order.ServerID == "s1":
				core.HandleOrderResult(now, order, ResultNotSent)
			default:
				core.HandleOrderResult(now, order, ResultTaken)
				if order.Operation == Load && order.Model == "m08" {
					loaded = now.Sub(begin)
				}
			}
		}
	}
	if loaded == 0 || loaded > time.Second {
		t.Errorf("the server that can be reached was given the load after %v, want within a second", loaded)
	}
}
