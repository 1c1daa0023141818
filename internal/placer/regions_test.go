package placer

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// newTwoRegionCore returns a core with two servers in each of two regions; those in the south
// hold the models.
func newTwoRegionCore(t *testing.T, models ...string) *Core {
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

// requestInRegions reports a waiting request for a model that may run in the regions only.
func requestInRegions(core *Core, now time.Time, model, adapter string, regions locality.Regions, requests uint64) {
	core.demand.SetCounts(now, "node", 1, []RequestCount{{
		Requirements: dispatch.Requirements{Service: serviceName, Model: model, Adapter: adapter, Regions: regions}, Requests: requests, Waiting: 1,
	}})
}

// TestModelIsLoadedWhereItMayRun checks that a model is loaded in the region its requests are
// restricted to, even though it has copies elsewhere, which cannot serve them.
func TestModelIsLoadedWhereItMayRun(t *testing.T) {
	core := newTwoRegionCore(t, "m02")
	requestInRegions(core, begin, "m02", "", locality.Only("north"), 1)
	orders := core.Step(begin.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].Operation != Load || orders[0].Model != "m02" || orders[0].ServerID[0] != 'n' {
		t.Fatalf("orders %+v, want one load of m02 in the north", orders)
	}
	core.HandleOrderResult(begin.Add(2*tick), orders[0], ResultTaken)
	requestInRegions(core, begin.Add(3*tick), "m02", "", locality.Only("north"), 1)
	if again := core.Step(begin.Add(3*tick), true).Orders; len(again) != 0 {
		t.Errorf("orders %+v while the model is being loaded", again)
	}
}

// TestModelThatStandsWhereItMayRunIsNotLoaded checks that no copy is added if there is one in an
// allowed region.
func TestModelThatStandsWhereItMayRunIsNotLoaded(t *testing.T) {
	for _, regions := range []locality.Regions{{}, locality.Only("south"), locality.Only("north", "south")} {
		core := newTwoRegionCore(t, "m02")
		requestInRegions(core, begin, "m02", "", regions, 1)
		if orders := core.Step(begin.Add(tick), true).Orders; len(orders) != 0 {
			t.Errorf("in %s: orders %+v, want none", regions, orders)
		}
	}
}

// TestAdapterComesWhereItMayRun checks that an adapter is loaded in the region its requests are
// restricted to, after its model, and not on the copy elsewhere.
func TestAdapterComesWhereItMayRun(t *testing.T) {
	core := newTwoRegionCore(t, "m02")
	requestInRegions(core, begin, "m02", "a1", locality.Only("north"), 1)
	orders := core.Step(begin.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].Adapter != "" || orders[0].ServerID[0] != 'n' {
		t.Fatalf("orders %+v, want the load of the model in the north first", orders)
	}
	core.HandleOrderResult(begin.Add(2*tick), orders[0], ResultTaken)
	now := begin.Add(2 * time.Second)
	core.HandleReport(now, orders[0].ServerID, Report{Models: []inventory.HeldModel{{Name: "m02"}}, Sequence: orders[0].ExpectedSequence + 1}, true)
	requestInRegions(core, now, "m02", "a1", locality.Only("north"), 1)
	loaded := orders[0].ServerID
	orders = core.Step(now.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].Adapter != "a1" || orders[0].ServerID != loaded {
		t.Errorf("orders %+v, want the adapter on %s", orders, loaded)
	}
}

// TestLastCopyOfARegionIsKept checks that evicting the only copy in a required region costs more
// than evicting one of several copies elsewhere.
func TestLastCopyOfARegionIsKept(t *testing.T) {
	core := newTwoRegionCore(t, "m02")
	for _, id := range []string{"n1", "n2"} {
		report := Report{Models: []inventory.HeldModel{{Name: "m05"}, {Name: "m08"}}}
		if id == "n1" {
			report.Models[0].Name = "m02"
		}
		core.servers[id].reportInFlight = true
		core.HandleReport(begin, id, report, true)
	}
	requestInRegions(core, begin, "m02", "", locality.Only("north"), 1)
	core.demand.refreshTotals(begin)
	r := &planRound{core: core, now: begin, service: serviceName, engine: core.table.Services[serviceName].Engine, servers: core.serversOf(serviceName)}
	if there, elsewhere := r.dropPenalty(core.servers["n1"], "m02"), r.dropPenalty(core.servers["s1"], "m02"); there <= elsewhere || elsewhere > surplusPenalty+activeCopyPenalty {
		t.Errorf("evicting the only usable copy costs %.2f, evicting one of two elsewhere %.2f", there, elsewhere)
	}
}

// TestCopiesFollowTheirRequests checks that the first copy goes to the region that the requests
// come from, and that the second prefers another region over another zone.
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
	request := func(now time.Time, requests uint64, waiting int) {
		core.demand.SetCounts(now, "node", 1, []RequestCount{{Requirements: dispatch.Requirements{Service: serviceName, Model: "m02"}, Requests: requests, Waiting: waiting, Region: "south"}})
	}
	request(begin, 1, 1)
	orders := core.Step(begin.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].ServerID != "s1" {
		t.Fatalf("orders %+v, want the load in the south, where its requests arrive", orders)
	}
	core.HandleOrderResult(begin.Add(2*tick), orders[0], ResultTaken)
	if r := (&planRound{core: core, service: serviceName, servers: core.serversOf(serviceName), engine: core.table.Services[serviceName].Engine}); r.localityCost(core.servers["n1"], "m02") <= 0 {
		t.Error("a region without requests has no cost")
	}
	r := &planRound{core: core, service: serviceName, servers: core.serversOf(serviceName), engine: core.table.Services[serviceName].Engine}
	r.core.servers["n1"].models["m05"] = &heldModel{}
	if other, same := r.localityCost(core.servers["s1"], "m05"), r.localityCost(core.servers["n2"], "m05"); other >= same || same >= r.localityCost(core.servers["n1"], "m05") {
		t.Errorf("a second copy costs %.2f in another region, %.2f in another zone, %.2f in the same", other, same, r.localityCost(core.servers["n1"], "m05"))
	}
}

// TestModelIsLoadedAtTheVersionThatStreamsNeed guards against streams that cannot go on because the
// only copies of their model are at servers of another software version.
func TestModelIsLoadedAtTheVersionThatStreamsNeed(t *testing.T) {
	core := newTwoRegionCore(t, "m02")
	for id, s := range core.servers {
		s.info.SoftwareVersion = map[byte]string{'n': "v1", 's': "v2"}[id[0]]
	}
	want := func(version string) {
		core.demand.SetCounts(begin, "node", 1, []RequestCount{{
			Requirements: dispatch.Requirements{Service: serviceName, Model: "m02", SoftwareVersion: version}, Requests: 1, Waiting: 1,
		}})
	}
	want("v2")
	if orders := core.Step(begin.Add(tick), true).Orders; len(orders) != 0 {
		t.Fatalf("orders %+v though a copy is at the version", orders)
	}
	want("v1")
	orders := core.Step(begin.Add(2*tick), true).Orders
	if len(orders) != 1 || orders[0].Operation != Load || orders[0].ServerID[0] != 'n' {
		t.Fatalf("orders %+v, want one load at a server of v1", orders)
	}
	want("v3")
	if orders := core.Step(begin.Add(3*tick), true).Orders; len(orders) != 0 {
		t.Errorf("orders %+v for a version without servers", orders)
	}
}
