package placer

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// regionCore has two servers in each of two regions; those of the south hold the models.
func regionCore(t *testing.T, models ...string) *Core {
	t.Helper()
	core := New(Options{Window: window, Overage: overage, Topology: locality.NewMap(map[string]string{"n": "north", "s": "south"})})
	core.SetTable(simTable())
	zones := map[string]string{"n1": "n", "n2": "n", "s1": "s", "s2": "s"}
	var changes []inventory.Change
	for id, zone := range zones {
		changes = append(changes, inventory.Change{Server: inventory.Server{ID: id, Service: serviceName, Zone: zone}})
	}
	core.SetServers(begin, changes)
	core.ConfirmReservation()
	core.Step(begin, true)
	for id, zone := range zones {
		report := Report{}
		if zone == "s" {
			for _, model := range models {
				report.Models = append(report.Models, inventory.HeldModel{Name: model})
			}
		}
		core.HandleReport(begin, id, report, true)
	}
	return core
}

// askIn tells that requests for a model wait which may run in the regions only.
func askIn(core *Core, now time.Time, model, adapter string, regions locality.Regions, asked uint64) {
	core.demand.SetCounts(now, "node", 1, []RequestCount{{
		Requirements: dispatch.Requirements{Service: serviceName, Model: model, Adapter: adapter, Regions: regions}, Requests: asked, Waiting: 1,
	}})
}

// TestModelIsLoadedWhereItMayRun though it stands elsewhere: a copy there does nothing for
// requests that may not run there.
func TestModelIsLoadedWhereItMayRun(t *testing.T) {
	core := regionCore(t, "m02")
	askIn(core, begin, "m02", "", locality.Only("north"), 1)
	orders := core.Step(begin.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].Operation != Load || orders[0].Model != "m02" || orders[0].ServerID[0] != 'n' {
		t.Fatalf("orders %+v, want one load of m02 in the north", orders)
	}
	core.HandleOrderResult(begin.Add(2*tick), orders[0], ResultTaken)
	askIn(core, begin.Add(3*tick), "m02", "", locality.Only("north"), 1)
	if again := core.Step(begin.Add(3*tick), true).Orders; len(again) != 0 {
		t.Errorf("orders %+v while the model is on its way", again)
	}
}

// TestModelThatStandsWhereItMayRunIsNotLoaded again.
func TestModelThatStandsWhereItMayRunIsNotLoaded(t *testing.T) {
	for _, regions := range []locality.Regions{{}, locality.Only("south"), locality.Only("north", "south")} {
		core := regionCore(t, "m02")
		askIn(core, begin, "m02", "", regions, 1)
		if orders := core.Step(begin.Add(tick), true).Orders; len(orders) != 0 {
			t.Errorf("in %s: orders %+v, want none", regions, orders)
		}
	}
}

// TestAdapterComesWhereItMayRun and not to the copy elsewhere.
func TestAdapterComesWhereItMayRun(t *testing.T) {
	core := regionCore(t, "m02")
	askIn(core, begin, "m02", "a1", locality.Only("north"), 1)
	orders := core.Step(begin.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].Adapter != "" || orders[0].ServerID[0] != 'n' {
		t.Fatalf("orders %+v, want the load of the model in the north first", orders)
	}
	core.HandleOrderResult(begin.Add(2*tick), orders[0], ResultTaken)
	now := begin.Add(2 * time.Second)
	core.HandleReport(now, orders[0].ServerID, Report{Models: []inventory.HeldModel{{Name: "m02"}}, Sequence: orders[0].ExpectedSequence + 1}, true)
	askIn(core, now, "m02", "a1", locality.Only("north"), 1)
	loaded := orders[0].ServerID
	orders = core.Step(now.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].Adapter != "a1" || orders[0].ServerID != loaded {
		t.Errorf("orders %+v, want the adapter at %s", orders, loaded)
	}
}

// TestLastCopyOfARegionIsKept though there are others elsewhere.
func TestLastCopyOfARegionIsKept(t *testing.T) {
	core := regionCore(t, "m02")
	for _, id := range []string{"n1", "n2"} {
		report := Report{Models: []inventory.HeldModel{{Name: "m05"}, {Name: "m08"}}}
		if id == "n1" {
			report.Models[0].Name = "m02"
		}
		core.servers[id].reporting = true
		core.HandleReport(begin, id, report, true)
	}
	askIn(core, begin, "m02", "", locality.Only("north"), 1)
	core.demand.countWaits(begin)
	r := &round{core: core, now: begin, service: serviceName, engine: core.table.Services[serviceName].Engine, servers: core.serversOf(serviceName)}
	if there, elsewhere := r.penalty(core.servers["n1"], "m02"), r.penalty(core.servers["s1"], "m02"); there <= elsewhere || elsewhere > surplusPenalty+replicaPenalty {
		t.Errorf("dropping the only copy that may be used costs %.2f, one of two elsewhere %.2f", there, elsewhere)
	}
}

// TestCopiesFollowTheirRequests: the first copy goes to the region that they come from,
// the second to another region before another zone.
func TestCopiesFollowTheirRequests(t *testing.T) {
	core := New(Options{Window: window, Overage: overage, Topology: locality.NewMap(map[string]string{"n1": "north", "n2": "north", "s1": "south"})})
	core.SetTable(simTable())
	for _, zone := range []string{"n1", "n2", "s1"} {
		core.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: zone, Service: serviceName, Zone: zone}}})
	}
	core.ConfirmReservation()
	core.Step(begin, true)
	for _, zone := range []string{"n1", "n2", "s1"} {
		core.HandleReport(begin, zone, Report{}, true)
	}
	ask := func(now time.Time, asked uint64, waiting int) {
		core.demand.SetCounts(now, "node", 1, []RequestCount{{Requirements: dispatch.Requirements{Service: serviceName, Model: "m02"}, Requests: asked, Waiting: waiting, Region: "south"}})
	}
	ask(begin, 1, 1)
	orders := core.Step(begin.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].ServerID != "s1" {
		t.Fatalf("orders %+v, want the load in the south, from where it is asked for", orders)
	}
	core.HandleOrderResult(begin.Add(2*tick), orders[0], ResultTaken)
	if r := (&round{core: core, service: serviceName, servers: core.serversOf(serviceName), engine: core.table.Services[serviceName].Engine}); r.placeCost(core.servers["n1"], "m02") <= 0 {
		t.Error("a region without requests costs nothing")
	}
	r := &round{core: core, service: serviceName, servers: core.serversOf(serviceName), engine: core.table.Services[serviceName].Engine}
	r.core.servers["n1"].held["m05"] = &held{}
	if other, same := r.placeCost(core.servers["s1"], "m05"), r.placeCost(core.servers["n2"], "m05"); other >= same || same >= r.placeCost(core.servers["n1"], "m05") {
		t.Errorf("a second copy costs %.2f in another region, %.2f in another zone, %.2f in the same", other, same, r.placeCost(core.servers["n1"], "m05"))
	}
}
