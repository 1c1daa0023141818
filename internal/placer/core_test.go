package placer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// newFullServerCore returns a core with one server whose memory is full.
func newFullServerCore(t *testing.T) *Core {
	t.Helper()
	core := New(Options{Window: window, Overage: overage})
	core.SetTable(simTable())
	core.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: "s", Service: serviceName}}})
	core.ConfirmReservation()
	if effects := core.Step(begin, true); len(effects.ReportRequests) != 1 || len(effects.Orders) != 0 {
		t.Fatalf("effects %+v, want a report request and no order before the first report", effects)
	}
	core.HandleReport(begin, "s", Report{Models: []inventory.HeldModel{{Name: "m02"}, {Name: "m05"}}}, true)
	return core
}

// requestModel reports one waiting request for a model.
func requestModel(core *Core, now time.Time, model string) {
	core.demand.SetCounts(now, "node", 1, []RequestCount{{
		Requirements: dispatch.Requirements{Service: serviceName, Model: model}, Requests: 1, Waiting: 1,
	}})
}

// TestUnsentUnloadKeepsItsMemory checks that an unload order that was never sent frees no memory.
// Otherwise a load could exceed the memory of a server that could not be reached.
func TestUnsentUnloadKeepsItsMemory(t *testing.T) {
	core := newFullServerCore(t)
	requestModel(core, begin, "m08")
	effects := core.Step(begin.Add(tick), true)
	if len(effects.Orders) != 1 || effects.Orders[0].Operation != Unload {
		t.Fatalf("orders %+v, want an unload", effects.Orders)
	}
	core.HandleOrderResult(begin.Add(2*tick), effects.Orders[0], ResultNotSent)
	for step := range 100 {
		now := begin.Add(time.Duration(3+step) * tick)
		requestModel(core, now, "m08")
		for _, order := range core.Step(now, true).Orders {
			if order.Operation == Load {
				t.Fatalf("load of %s ordered, although no memory was freed", order.Model)
			}
			core.HandleOrderResult(now, order, ResultNotSent)
		}
	}
}

// TestLoadFollowsATakenUnload checks that the load is ordered once the unload is accepted, with
// the next sequence number.
func TestLoadFollowsATakenUnload(t *testing.T) {
	core := newFullServerCore(t)
	requestModel(core, begin, "m08")
	unload := core.Step(begin.Add(tick), true).Orders[0]
	core.HandleOrderResult(begin.Add(2*tick), unload, ResultTaken)
	orders := core.Step(begin.Add(3*tick), true).Orders
	if len(orders) != 1 || orders[0].Operation != Load || orders[0].Model != "m08" || orders[0].ExpectedSequence != unload.ExpectedSequence+1 {
		t.Errorf("orders %+v, want the load of m08 with the next sequence number", orders)
	}
}

// TestNothingIsOrderedWithoutLeaseOrReservation checks that orders need permission to order, and
// loads from the weight store a reservation in the lease.
func TestNothingIsOrderedWithoutLeaseOrReservation(t *testing.T) {
	core := newFullServerCore(t)
	requestModel(core, begin, "m08")
	if orders := core.Step(begin.Add(tick), false).Orders; len(orders) != 0 {
		t.Errorf("orders %+v without the lease", orders)
	}
	fresh := New(Options{Window: window, Overage: overage})
	fresh.SetTable(simTable())
	fresh.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: "s", Service: serviceName}}})
	fresh.Step(begin, true)
	fresh.HandleReport(begin, "s", Report{}, true)
	requestModel(fresh, begin, "m08")
	if orders := fresh.Step(begin.Add(tick), true).Orders; len(orders) != 0 {
		t.Errorf("orders %+v before the lease contains a reservation", orders)
	}
}

// TestViewLeavesOutWhatIsUnloaded checks that a model is no longer published while it is being
// unloaded.
func TestViewLeavesOutWhatIsUnloaded(t *testing.T) {
	core := newFullServerCore(t)
	requestModel(core, begin, "m08")
	unload := core.Step(begin.Add(tick), true).Orders[0]
	views := core.Views(begin.Add(tick))
	if len(views) != 1 {
		t.Fatalf("%d views, want 1", len(views))
	}
	if _, ok := views[0].Held[unload.Model]; ok {
		t.Errorf("the view still lists %s, which is being unloaded", unload.Model)
	}
}

// TestLooseModelsMakeWayFirst checks that the model with the relaxed latency goal is evicted
// before the one with the strict goal.
func TestLooseModelsMakeWayFirst(t *testing.T) {
	core := newFullServerCore(t)
	now := begin
	core.demand.SetCounts(now, "node", 1, []RequestCount{
		{Requirements: dispatch.Requirements{Service: serviceName, Model: "m02"}, Requests: 1, LatencyGoal: 800 * time.Millisecond},
		{Requirements: dispatch.Requirements{Service: serviceName, Model: "m05"}, Requests: 1, LatencyGoal: 6 * time.Second},
	})
	now = now.Add(5 * time.Second)
	core.ConfirmReservation()
	core.demand.SetCounts(now, "node", 1, []RequestCount{{Requirements: dispatch.Requirements{Service: serviceName, Model: "m08"}, Requests: 1, Waiting: 1}})
	orders := core.Step(now, true).Orders
	if len(orders) != 1 || orders[0].Operation != Unload || orders[0].Model != "m05" {
		t.Errorf("orders %+v, want the unload of m05, whose latency goal permits a load", orders)
	}
}

// TestAdapterIsToldOnceItsOrderIsTaken checks that an adapter is published only once its order
// was accepted. Publishing it earlier directed requests to servers whose orders had been lost.
func TestAdapterIsToldOnceItsOrderIsTaken(t *testing.T) {
	core := newFullServerCore(t)
	requirements := dispatch.Requirements{Service: serviceName, Model: "m02", Adapter: "a1"}
	core.demand.SetCounts(begin, "node", 1, []RequestCount{{Requirements: requirements, Requests: 1, Waiting: 1}})
	orders := core.Step(begin.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].Adapter != "a1" {
		t.Fatalf("orders %+v, want the load of the adapter", orders)
	}
	if view := core.Views(begin.Add(tick))[0]; len(view.Loading) != 0 || len(view.Held["m02"]) != 0 {
		t.Errorf("published before the answer: %+v", view)
	}
	if again := core.Step(begin.Add(2*tick), true).Orders; len(again) != 0 {
		t.Errorf("ordered again before the answer: %+v", again)
	}
	core.HandleOrderResult(begin.Add(2*tick), orders[0], ResultTaken)
	if view := core.Views(begin.Add(2 * tick))[0]; len(view.Loading) != 1 {
		t.Errorf("not published after the answer: %+v", view)
	}
}

// TestOldCountsAreNoBurst checks that cumulative counts from before the observation of a node are
// not taken for current requests. A new leader that did so saw a burst of demand.
func TestOldCountsAreNoBurst(t *testing.T) {
	requirements := dispatch.Requirements{Service: serviceName, Model: "m02"}
	counts := func(total uint64) []RequestCount {
		return []RequestCount{{Requirements: requirements, Requests: total, PromptTokens: total * 1000}}
	}
	cases := []struct {
		name   string
		update func(core *Core)
		want   float64
	}{
		{"first report of a node counts one request", func(core *Core) { core.demand.SetCounts(begin, "node", 1, counts(500)) }, 1},
		{"later reports count the difference", func(core *Core) {
			core.demand.SetCounts(begin, "node", 1, counts(500))
			core.demand.SetCounts(begin, "node", 1, counts(510))
		}, 11},
		{"a model first reported later counts a few requests", func(core *Core) {
			core.demand.SetCounts(begin, "node", 1, nil)
			core.demand.SetCounts(begin, "node", 1, counts(500))
		}, maxNewInLaterUpdate},
		{"a restarted node counts all requests", func(core *Core) {
			core.demand.SetCounts(begin, "node", 1, nil)
			core.demand.SetCounts(begin, "node", 2, counts(20))
		}, 20},
	}
	for _, c := range cases {
		core := New(Options{Window: window, Overage: overage})
		core.SetTable(simTable())
		c.update(core)
		rate := core.demand.records[requirements].fastRate
		requests, tokens := rate.requests*fastDecayTime.Seconds(), rate.tokens*fastDecayTime.Seconds()
		if math.Abs(requests-c.want) > 0.001 || math.Abs(tokens-1000*c.want) > 1 {
			t.Errorf("%s: %.1f requests with %.0f tokens, want %.0f", c.name, requests, tokens, c.want)
		}
	}
}

// TestNewLeaderKnowsWhatWasWanted checks that a new leader uses the demand observed before its
// term. A leader that started without it took the copies of busy models for surplus, and unloaded
// 37 models in its first second.
func TestNewLeaderKnowsWhatWasWanted(t *testing.T) {
	demand := NewDemand()
	requirements := dispatch.Requirements{Service: serviceName, Model: "m02"}
	now := begin
	for step := range 60 {
		now = now.Add(200 * time.Millisecond)
		demand.SetCounts(now, "node", 1, []RequestCount{{Requirements: requirements, Requests: uint64(step), PromptTokens: uint64(step) * 9000}})
	}
	core := New(Options{Window: window, Overage: overage, Demand: demand})
	core.SetTable(simTable())
	var changes []inventory.Change
	for _, id := range []string{"s1", "s2", "s3", "s4", "s5", "s6"} {
		changes = append(changes, inventory.Change{Server: inventory.Server{ID: id, Service: serviceName}})
	}
	core.SetServers(now, changes)
	r := &planRound{core: core, now: now, service: serviceName, engine: simTable().Services[serviceName].Engine, servers: core.serversOf(serviceName)}
	if retained := r.retainedCopies("m02"); retained < 3 {
		t.Errorf("%d copies are retained of a model with 45,000 prompt tokens per second, want 3 (half of the servers)", retained)
	}
	demand.Prune(now.Add(2 * demandRecordTTL))
	if len(demand.records)+len(demand.nodes) != 0 {
		t.Errorf("%d records and %d nodes were not pruned", len(demand.records), len(demand.nodes))
	}
}

// TestServerStaysKeptWhileItUnloads checks that the room made on a server stays reserved while
// the server is still unloading. An unload waits for running requests, and the load it made room
// for was refused as busy; the evicted model was loaded again 40 ms later and evicted again,
// repeatedly for seconds.
func TestServerStaysKeptWhileItUnloads(t *testing.T) {
	core := newFullServerCore(t)
	requestModel(core, begin, "m08")
	unload := core.Step(begin.Add(tick), true).Orders[0]
	core.HandleOrderResult(begin.Add(2*tick), unload, ResultTaken)
	dropped := unload.Model
	now := begin.Add(3 * tick)
	for range 40 {
		core.demand.SetCounts(now, "node", 1, []RequestCount{
			{Requirements: dispatch.Requirements{Service: serviceName, Model: "m08"}, Requests: 1, Waiting: 1},
			{Requirements: dispatch.Requirements{Service: serviceName, Model: dropped}, Requests: 5, Waiting: 5},
		})
		for _, order := range core.Step(now, true).Orders {
			if order.Model != "m08" {
				t.Fatalf("%v after the start: %s of %s ordered in the room made for m08", now.Sub(begin), order.Operation, order.Model)
			}
			core.HandleOrderResult(now, order, ResultBusy)
		}
		now = now.Add(tick)
	}
}

// TestManyAdaptersCallForCopies checks that a model gets enough copies for its adapters. A model
// with 36 adapters in use had four copies with eight adapter slots each; requests for some of the
// adapters waited 3.8 s and were refused.
func TestManyAdaptersCallForCopies(t *testing.T) {
	core := New(Options{Window: window, Overage: overage})
	core.SetTable(simTable())
	engine := simTable().Services[serviceName].Engine
	var changes []inventory.Change
	for i := range 40 {
		changes = append(changes, inventory.Change{Server: inventory.Server{ID: fmt.Sprint("s", i), Service: serviceName}})
	}
	core.SetServers(begin, changes)
	var counts []RequestCount
	for i := range 3 * engine.AdapterSlots {
		counts = append(counts, RequestCount{Requirements: dispatch.Requirements{Service: serviceName, Model: "m02", Adapter: fmt.Sprint("a", i)}, Requests: 1, PromptTokens: 100})
	}
	core.demand.SetCounts(begin, "node", 1, counts)
	r := &planRound{core: core, now: begin, service: serviceName, engine: engine, servers: core.serversOf(serviceName)}
	core.demand.refreshTotals(begin)
	if needed := r.neededCopies("m02"); needed != 5 {
		t.Errorf("%d copies for adapters that fill the slots of three, want 5", needed)
	}
	core.demand.refreshTotals(begin.Add(adapterDemandTTL))
	r.now = begin.Add(adapterDemandTTL)
	if needed := r.neededCopies("m02"); needed > 2 {
		t.Errorf("%d copies for adapters without current demand", needed)
	}
}

// TestRoomBeingMadeIsForetold checks that the view contains an expected time for a model for
// which room is being made, so that callers wait for it instead of being asked to retry after the
// time of a load from the store.
func TestRoomBeingMadeIsForetold(t *testing.T) {
	core := newFullServerCore(t)
	requestModel(core, begin, "m08")
	unload := core.Step(begin.Add(tick), true).Orders[0]
	core.HandleOrderResult(begin.Add(2*tick), unload, ResultTaken)
	views := core.Views(begin.Add(2 * tick))
	if left, ok := views[0].Loading["m08"]; !ok || left <= 0 {
		t.Errorf("view %+v, want a time until m08 is loaded", views[0])
	}
}

// TestNobodyWaitsSoNoLastCopyGoes checks that a last copy is not evicted for a model without
// waiting requests. Otherwise models that do not all fit replaced each other endlessly, and
// adapter loads were starved by the swaps.
func TestNobodyWaitsSoNoLastCopyGoes(t *testing.T) {
	core := newFullServerCore(t)
	core.demand.SetCounts(begin, "node", 1, []RequestCount{
		{Requirements: dispatch.Requirements{Service: serviceName, Model: "m02"}, Requests: 1, LatencyGoal: 6 * time.Second},
		{Requirements: dispatch.Requirements{Service: serviceName, Model: "m05"}, Requests: 1, LatencyGoal: 6 * time.Second},
		{Requirements: dispatch.Requirements{Service: serviceName, Model: "m08"}, Requests: 1, LatencyGoal: 6 * time.Second},
	})
	for second := range 15 {
		core.ConfirmReservation()
		if orders := core.Step(begin.Add(time.Duration(second)*time.Second), true).Orders; len(orders) != 0 {
			t.Fatalf("orders %+v although no request waits", orders)
		}
	}
}

// TestFullServersCallForCopies checks that a model gets another copy when its server's request
// slots are full, even if the prompt rate needs one copy only.
func TestFullServersCallForCopies(t *testing.T) {
	core := newFullServerCore(t)
	var changes []inventory.Change
	for _, id := range []string{"s", "t", "u", "v"} {
		changes = append(changes, inventory.Change{Server: inventory.Server{ID: id, Service: serviceName, Slots: 10}})
	}
	core.SetServers(begin, changes)
	core.Step(begin, true)
	for _, id := range []string{"t", "u", "v"} {
		core.HandleReport(begin, id, Report{}, true)
	}
	core.demand.SetCounts(begin, "node", 1, []RequestCount{{
		Requirements: dispatch.Requirements{Service: serviceName, Model: "m02"}, Requests: 1, PromptTokens: 100,
	}})
	core.SetRunningRequests(map[string]int{"s": 6})
	if orders := core.Step(begin.Add(tick), true).Orders; len(orders) != 0 {
		t.Fatalf("orders %+v although the server has free slots", orders)
	}
	core.SetRunningRequests(map[string]int{"s": 10})
	core.ConfirmReservation()
	orders := core.Step(begin.Add(2*tick), true).Orders
	if len(orders) != 1 || orders[0].ServerID == "s" || orders[0].Model != "m02" {
		t.Errorf("orders %+v, want a copy of m02 at another server", orders)
	}
}

// TestServerBusyWithAnUnloadLoadsNothing checks that a server busy with an unload does not count
// as loading from the weight store. Five servers that waited for requests to finish before
// unloading adapters were counted so for a whole day: the store seemed fully used, and a model
// with 61 requests per second kept 5 of the 22 copies it needed.
func TestServerBusyWithAnUnloadLoadsNothing(t *testing.T) {
	busy := func(order Order, sequence int64) bool {
		core := newFullServerCore(t)
		s := core.servers["s"]
		order.ServerID = "s"
		s.pendingOrder = &order
		core.HandleOrderResult(begin, order, ResultTaken)
		core.HandleReport(begin.Add(time.Second), "s", Report{Sequence: sequence, Busy: true}, true)
		return s.mayLoadFromStore()
	}
	cases := []struct {
		name     string
		order    Order
		sequence int64
		want     bool
	}{
		{"unload of an adapter", Order{Operation: Unload, Model: "m02", Adapter: "a1"}, 1, false},
		{"completed load from disk", Order{Operation: Load, Model: "m03", Source: SourceDisk}, 1, false},
		{"completed load from the store", Order{Operation: Load, Model: "m03", Source: SourceStore}, 1, true},
		{"order from another leader since", Order{Operation: Unload, Model: "m02", Adapter: "a1"}, 2, true},
	}
	for _, c := range cases {
		if got := busy(c.order, c.sequence); got != c.want {
			t.Errorf("%s: mayLoadFromStore is %v, want %v", c.name, got, c.want)
		}
	}
	core := newFullServerCore(t)
	core.HandleReport(begin.Add(time.Second), "s", Report{Busy: true}, true)
	if !core.servers["s"].mayLoadFromStore() {
		t.Error("a server left busy by an earlier leader does not count as possibly loading")
	}
}
