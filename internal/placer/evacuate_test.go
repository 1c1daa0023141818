package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// zonedCore is a core with servers of the zones a and b: in a each holds two of the
// models from m00 on, in b the first one holds m00 and the others nothing.
func zonedCore(t *testing.T, each int) *Core {
	t.Helper()
	core := New(Options{Window: window, Overage: overage})
	core.SetTable(simTable())
	var changes []inventory.Change
	for i := range each {
		for _, zone := range []string{"a", "b"} {
			changes = append(changes, inventory.Change{Server: inventory.Server{ID: fmt.Sprint(zone, i), Service: serviceName, Zone: zone, Slots: 8}})
		}
	}
	core.SetServers(begin, changes)
	core.ConfirmReservation()
	core.Step(begin, false)
	for i := range each {
		core.HandleReport(begin, fmt.Sprint("a", i), Report{Models: []inventory.HeldModel{{Name: fmt.Sprintf("m%02d", 2*i)}, {Name: fmt.Sprintf("m%02d", 2*i+1)}}}, true)
		report := Report{}
		if i == 0 {
			report.Models = []inventory.HeldModel{{Name: "m00"}}
		}
		core.HandleReport(begin, fmt.Sprint("b", i), report, true)
	}
	return core
}

// asked counts requests for the models from m00 on, as many in the last seconds as told.
func asked(core *Core, now time.Time, requests ...uint64) {
	var counts []RequestCount
	for i, count := range requests {
		counts = append(counts, RequestCount{Requirements: dispatch.Requirements{Service: serviceName, Model: fmt.Sprintf("m%02d", i)}, Requests: count, LatencyGoal: time.Second})
	}
	core.demand.SetCounts(begin, "node", 1, nil)
	core.demand.SetCounts(now, "node", 1, counts)
}

// answer carries out an order at once.
func answer(core *Core, now time.Time, orders []Order) {
	for _, order := range orders {
		core.HandleOrderResult(now, order, ResultTaken)
	}
}

// TestWhatStoodInAnEvacuatedZoneIsLoadedElsewhere: the most asked for first, none in the
// zone, nothing is unloaded there, and no report of its servers is asked for.
func TestWhatStoodInAnEvacuatedZoneIsLoadedElsewhere(t *testing.T) {
	core := zonedCore(t, 3)
	asked(core, begin, 1, 3, 3, 3, 1)
	core.SetEvacuated(begin.Add(2*tick), []string{"a"})
	var loaded []string
	for step := range 10 {
		now := begin.Add(time.Duration(3+step) * tick)
		effects := core.Step(now, true)
		for _, order := range effects.Orders {
			loaded = append(loaded, order.Model+" "+order.Reason)
			if order.ServerID[0] == 'a' || order.Operation != Load {
				t.Errorf("order %+v", order)
			}
		}
		for _, call := range effects.ReportRequests {
			if call.ServerID[0] == 'a' {
				t.Errorf("the report of %s is asked for", call.ServerID)
			}
		}
		answer(core, now, effects.Orders)
	}
	if want := []string{"m01 displaced", "m02 displaced", "m03 displaced"}; !slices.Equal(loaded, want) {
		t.Errorf("loaded %q, want %q: m00 stands in the other zone, and m04 is asked for least", loaded, want)
	}
	for _, view := range core.Views(begin.Add(time.Second)) {
		if view.ServerID == "a1" && len(view.Held) != 2 {
			t.Errorf("the view of %s names %v, want what stands there", view.ServerID, view.Held)
		}
	}
}

// TestLoadsAfterAnEvacuationKeepTheCeiling whatever they are for.
func TestLoadsAfterAnEvacuationKeepTheCeiling(t *testing.T) {
	core := zonedCore(t, 7)
	asked(core, begin, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3)
	core.SetEvacuated(begin, []string{"a"})
	loads := 0
	for step := range 100 {
		now := begin.Add(time.Duration(1+step) * tick)
		core.ConfirmReservation()
		orders := core.Step(now, true).Orders
		loads += len(orders)
		answer(core, now, orders)
	}
	if most := int(loadsPerS*window.Seconds()*overage) + boundExtra; loads > most || loads < 3 {
		t.Errorf("%d loads in two seconds, want some and at most %d in five", loads, most)
	}
}

// TestEvacuatedZoneServesAgain: its copies count again at once, and its reports, which
// may have waited for long, are asked for before anything is ordered by them.
func TestEvacuatedZoneServesAgain(t *testing.T) {
	core := zonedCore(t, 2)
	asked(core, begin, 1, 1, 1, 1)
	core.SetEvacuated(begin, []string{"a"})
	core.Step(begin, false)
	core.SetEvacuated(begin.Add(tick), nil)
	effects := core.Step(begin.Add(2*tick), true)
	if len(effects.Orders) != 0 {
		t.Errorf("orders %+v though every model stands again", effects.Orders)
	}
	if len(effects.ReportRequests) != 2 {
		t.Errorf("reports %+v asked for, want those of the zone", effects.ReportRequests)
	}
}

// TestLoadUnderWayInAnEvacuatedZoneEndsByItsEntry: it kept a place among the loads at
// once for as long as the evacuation lasted.
func TestLoadUnderWayInAnEvacuatedZoneEndsByItsEntry(t *testing.T) {
	core := zonedCore(t, 1)
	core.demand.SetCounts(begin, "node", 1, []RequestCount{{Requirements: dispatch.Requirements{Service: serviceName, Model: "m08"}, Requests: 1, Waiting: 1}})
	core.SetEvacuated(begin, []string{"b"})
	orders := core.Step(begin.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].ServerID != "a0" {
		t.Fatalf("orders %+v, want a load at a0", orders)
	}
	answer(core, begin.Add(tick), orders)
	core.SetEvacuated(begin.Add(2*tick), []string{"a"})
	if !core.servers["a0"].mayLoadFromStore() {
		t.Error("a load under way is forgotten")
	}
	entry := inventory.Server{ID: "a0", Service: serviceName, Zone: "a", Models: []inventory.HeldModel{{Name: "m08"}}, Position: storepos.At(0, 9)}
	core.SetServers(begin.Add(2*time.Second), []inventory.Change{{Server: entry}})
	if core.servers["a0"].mayLoadFromStore() {
		t.Error("a load that the entry shows as done still counts")
	}
}
