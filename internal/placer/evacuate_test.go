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

// newTwoZoneCore returns a core with servers in zones a and b. In zone a, each holds two of the
// models, starting from m00; in zone b, the first one holds m00 and the others nothing.
func newTwoZoneCore(t *testing.T, perZone int) *Core {
	t.Helper()
	core := New(Options{Window: window, Overage: overage})
	core.SetTable(simTable())
	var changes []inventory.Change
	for i := range perZone {
		for _, zone := range []string{"a", "b"} {
			changes = append(changes, inventory.Change{Server: inventory.Server{ID: fmt.Sprint(zone, i), Service: serviceName, Zone: zone, Slots: 8}})
		}
	}
	core.SetServers(begin, changes)
	core.ConfirmReservation()
	core.Step(begin, false)
	for i := range perZone {
		core.HandleReport(begin, fmt.Sprint("a", i), Report{Models: []inventory.HeldModel{{Name: fmt.Sprintf("m%02d", 2*i)}, {Name: fmt.Sprintf("m%02d", 2*i+1)}}}, true)
		report := Report{}
		if i == 0 {
			report.Models = []inventory.HeldModel{{Name: "m00"}}
		}
		core.HandleReport(begin, fmt.Sprint("b", i), report, true)
	}
	return core
}

// addRequests reports the given numbers of recent requests for the models, starting from m00.
func addRequests(core *Core, now time.Time, requests ...uint64) {
	var counts []RequestCount
	for i, count := range requests {
		counts = append(counts, RequestCount{Requirements: dispatch.Requirements{Service: serviceName, Model: fmt.Sprintf("m%02d", i)}, Requests: count, LatencyGoal: time.Second})
	}
	core.demand.SetCounts(begin, "node", 1, nil)
	core.demand.SetCounts(now, "node", 1, counts)
}

// acceptOrders answers the orders as accepted.
func acceptOrders(core *Core, now time.Time, orders []Order) {
	for _, order := range orders {
		core.HandleOrderResult(now, order, ResultTaken)
	}
}

// TestWhatStoodInAnEvacuatedZoneIsLoadedElsewhere checks that models whose only copies are in an
// evacuated zone are loaded elsewhere, the most requested ones first, that nothing is loaded or
// unloaded in the zone, and that no report of its servers is requested.
func TestWhatStoodInAnEvacuatedZoneIsLoadedElsewhere(t *testing.T) {
	core := newTwoZoneCore(t, 3)
	addRequests(core, begin, 1, 3, 3, 3, 1)
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
				t.Errorf("the report of %s is requested", call.ServerID)
			}
		}
		acceptOrders(core, now, effects.Orders)
	}
	if want := []string{"m01 displaced", "m02 displaced", "m03 displaced"}; !slices.Equal(loaded, want) {
		t.Errorf("loaded %q, want %q: m00 has a copy in the other zone, and m04 has the least demand", loaded, want)
	}
	for _, view := range core.Views(begin.Add(time.Second)) {
		if view.ServerID == "a1" && len(view.Held) != 2 {
			t.Errorf("the view of %s lists %v, want the models it holds", view.ServerID, view.Held)
		}
	}
}

// TestLoadsAfterAnEvacuationKeepTheCeiling checks that loads that replace evacuated copies are
// subject to the limit on loads from the weight store.
func TestLoadsAfterAnEvacuationKeepTheCeiling(t *testing.T) {
	core := newTwoZoneCore(t, 7)
	addRequests(core, begin, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3, 3)
	core.SetEvacuated(begin, []string{"a"})
	loads := 0
	for step := range 100 {
		now := begin.Add(time.Duration(1+step) * tick)
		core.ConfirmReservation()
		orders := core.Step(now, true).Orders
		loads += len(orders)
		acceptOrders(core, now, orders)
	}
	if maxLoads := int(loadsPerSecond*window.Seconds()*overage) + burstLoads; loads > maxLoads || loads < 3 {
		t.Errorf("%d loads in two seconds, want some and at most %d in five", loads, maxLoads)
	}
}

// TestEvacuatedZoneServesAgain checks that the copies of a zone count again as soon as its
// evacuation ends, and that the possibly outdated reports of its servers are requested before
// anything is ordered based on them.
func TestEvacuatedZoneServesAgain(t *testing.T) {
	core := newTwoZoneCore(t, 2)
	addRequests(core, begin, 1, 1, 1, 1)
	core.SetEvacuated(begin, []string{"a"})
	core.Step(begin, false)
	core.SetEvacuated(begin.Add(tick), nil)
	effects := core.Step(begin.Add(2*tick), true)
	if len(effects.Orders) != 0 {
		t.Errorf("orders %+v although every model has a copy again", effects.Orders)
	}
	if len(effects.ReportRequests) != 2 {
		t.Errorf("reports %+v requested, want those of the zone", effects.ReportRequests)
	}
}

// TestLoadUnderWayInAnEvacuatedZoneEndsByItsEntry checks that a load in an evacuated zone ends
// once the store entry lists the model. Otherwise it kept a place among the concurrent loads for
// as long as the evacuation lasted.
func TestLoadUnderWayInAnEvacuatedZoneEndsByItsEntry(t *testing.T) {
	core := newTwoZoneCore(t, 1)
	core.demand.SetCounts(begin, "node", 1, []RequestCount{{Requirements: dispatch.Requirements{Service: serviceName, Model: "m08"}, Requests: 1, Waiting: 1}})
	core.SetEvacuated(begin, []string{"b"})
	orders := core.Step(begin.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].ServerID != "a0" {
		t.Fatalf("orders %+v, want a load on a0", orders)
	}
	acceptOrders(core, begin.Add(tick), orders)
	core.SetEvacuated(begin.Add(2*tick), []string{"a"})
	if !core.servers["a0"].mayLoadFromStore() {
		t.Error("a load in progress was forgotten")
	}
	entry := inventory.Server{ID: "a0", Service: serviceName, Zone: "a", Models: []inventory.HeldModel{{Name: "m08"}}, Position: storepos.At(0, 9)}
	core.SetServers(begin.Add(2*time.Second), []inventory.Change{{Server: entry}})
	if core.servers["a0"].mayLoadFromStore() {
		t.Error("a load that the entry shows as complete still counts")
	}
}
