package placer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// fullServer is a core with one server that is full.
func fullServer(t *testing.T) *Core {
	t.Helper()
	core := New(Options{Window: window, Overage: overage})
	core.SetTable(simTable())
	core.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: "s", Service: serviceName}}})
	core.ConfirmReservation()
	if effects := core.Step(begin, true); len(effects.ReportRequests) != 1 || len(effects.Orders) != 0 {
		t.Fatalf("effects %+v, want a question for the server's report before any order", effects)
	}
	core.HandleReport(begin, "s", Report{Models: []inventory.HeldModel{{Name: "m02"}, {Name: "m05"}}}, true)
	return core
}

func wantModel(core *Core, now time.Time, model string) {
	core.demand.SetCounts(now, "node", 1, []RequestCount{{
		Requirements: dispatch.Requirements{Service: serviceName, Model: model}, Requests: 1, Waiting: 1,
	}})
}

// TestUnsentUnloadKeepsItsMemory: an order that never left frees nothing. The
// day that showed it (LIMIT) loaded over the memory of a server that could not
// be reached.
func TestUnsentUnloadKeepsItsMemory(t *testing.T) {
	core := fullServer(t)
	wantModel(core, begin, "m08")
	effects := core.Step(begin.Add(tick), true)
	if len(effects.Orders) != 1 || effects.Orders[0].Operation != Unload {
		t.Fatalf("orders %+v, want an unload", effects.Orders)
	}
	core.HandleOrderResult(begin.Add(2*tick), effects.Orders[0], ResultNotSent)
	for step := range 100 {
		now := begin.Add(time.Duration(3+step) * tick)
		wantModel(core, now, "m08")
		for _, order := range core.Step(now, true).Orders {
			if order.Operation == Load {
				t.Fatalf("loads %s into memory that nothing left", order.Model)
			}
			core.HandleOrderResult(now, order, ResultNotSent)
		}
	}
}

func TestLoadFollowsATakenUnload(t *testing.T) {
	core := fullServer(t)
	wantModel(core, begin, "m08")
	unload := core.Step(begin.Add(tick), true).Orders[0]
	core.HandleOrderResult(begin.Add(2*tick), unload, ResultTaken)
	orders := core.Step(begin.Add(3*tick), true).Orders
	if len(orders) != 1 || orders[0].Operation != Load || orders[0].Model != "m08" || orders[0].ExpectedSequence != unload.ExpectedSequence+1 {
		t.Errorf("orders %+v, want the load of m08 with the next count", orders)
	}
}

func TestNothingIsOrderedWithoutLeaseOrReservation(t *testing.T) {
	core := fullServer(t)
	wantModel(core, begin, "m08")
	if orders := core.Step(begin.Add(tick), false).Orders; len(orders) != 0 {
		t.Errorf("orders %+v without the lease", orders)
	}
	fresh := New(Options{Window: window, Overage: overage})
	fresh.SetTable(simTable())
	fresh.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: "s", Service: serviceName}}})
	fresh.Step(begin, true)
	fresh.HandleReport(begin, "s", Report{}, true)
	wantModel(fresh, begin, "m08")
	if orders := fresh.Step(begin.Add(tick), true).Orders; len(orders) != 0 {
		t.Errorf("orders %+v before the lease says which loads may begin", orders)
	}
}

func TestViewLeavesOutWhatIsUnloaded(t *testing.T) {
	core := fullServer(t)
	wantModel(core, begin, "m08")
	unload := core.Step(begin.Add(tick), true).Orders[0]
	views := core.Views(begin.Add(tick))
	if len(views) != 1 {
		t.Fatalf("%d views, want 1", len(views))
	}
	if _, ok := views[0].Held[unload.Model]; ok {
		t.Errorf("the view still names %s, which is being unloaded", unload.Model)
	}
}

func TestLooseModelsMakeWayFirst(t *testing.T) {
	core := fullServer(t)
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
		t.Errorf("orders %+v, want the unload of m05, whose callers bear a load", orders)
	}
}

// TestAdapterIsToldOnceItsOrderIsTaken: callers were sent to servers whose order
// had been lost.
func TestAdapterIsToldOnceItsOrderIsTaken(t *testing.T) {
	core := fullServer(t)
	wanted := dispatch.Requirements{Service: serviceName, Model: "m02", Adapter: "a1"}
	core.demand.SetCounts(begin, "node", 1, []RequestCount{{Requirements: wanted, Requests: 1, Waiting: 1}})
	orders := core.Step(begin.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].Adapter != "a1" {
		t.Fatalf("orders %+v, want the adapter", orders)
	}
	if view := core.Views(begin.Add(tick))[0]; len(view.Loading) != 0 || len(view.Held["m02"]) != 0 {
		t.Errorf("told before the answer: %+v", view)
	}
	if again := core.Step(begin.Add(2*tick), true).Orders; len(again) != 0 {
		t.Errorf("ordered again before the answer: %+v", again)
	}
	core.HandleOrderResult(begin.Add(2*tick), orders[0], ResultTaken)
	if view := core.Views(begin.Add(2 * tick))[0]; len(view.Loading) != 1 {
		t.Errorf("not told after the answer: %+v", view)
	}
}

// TestOldCountsAreNoBurst: counts rise from a node's start, and a new leader took
// them all for requests of now.
func TestOldCountsAreNoBurst(t *testing.T) {
	wanted := dispatch.Requirements{Service: serviceName, Model: "m02"}
	counts := func(asked uint64) []RequestCount {
		return []RequestCount{{Requirements: wanted, Requests: asked, PromptTokens: asked * 1000}}
	}
	cases := []struct {
		name string
		tell func(core *Core)
		want float64
	}{
		{"from its first datagram the last request", func(core *Core) { core.demand.SetCounts(begin, "node", 1, counts(500)) }, 1},
		{"then what is added", func(core *Core) {
			core.demand.SetCounts(begin, "node", 1, counts(500))
			core.demand.SetCounts(begin, "node", 1, counts(510))
		}, 11},
		{"a model heard of later, a few", func(core *Core) {
			core.demand.SetCounts(begin, "node", 1, nil)
			core.demand.SetCounts(begin, "node", 1, counts(500))
		}, newLater},
		{"a node that started since, all", func(core *Core) {
			core.demand.SetCounts(begin, "node", 1, nil)
			core.demand.SetCounts(begin, "node", 2, counts(20))
		}, 20},
	}
	for _, c := range cases {
		core := New(Options{Window: window, Overage: overage})
		core.SetTable(simTable())
		c.tell(core)
		flow := core.demand.interests[wanted].fast
		requests, tokens := flow.requests*fastTime.Seconds(), flow.tokens*fastTime.Seconds()
		if math.Abs(requests-c.want) > 0.001 || math.Abs(tokens-1000*c.want) > 1 {
			t.Errorf("%s: %.1f requests with %.0f tokens, want %.0f", c.name, requests, tokens, c.want)
		}
	}
}

// TestNewLeaderKnowsWhatWasWanted: a leader that began with nothing took busy
// models' copies for surplus; on a day whose leader froze, the next one unloaded 37
// models in its first second.
func TestNewLeaderKnowsWhatWasWanted(t *testing.T) {
	demand := NewDemand()
	wanted := dispatch.Requirements{Service: serviceName, Model: "m02"}
	now := begin
	for step := range 60 {
		now = now.Add(200 * time.Millisecond)
		demand.SetCounts(now, "node", 1, []RequestCount{{Requirements: wanted, Requests: uint64(step), PromptTokens: uint64(step) * 9000}})
	}
	core := New(Options{Window: window, Overage: overage, Demand: demand})
	core.SetTable(simTable())
	var changes []inventory.Change
	for _, id := range []string{"s1", "s2", "s3", "s4", "s5", "s6"} {
		changes = append(changes, inventory.Change{Server: inventory.Server{ID: id, Service: serviceName}})
	}
	core.SetServers(now, changes)
	r := &round{core: core, now: now, service: serviceName, engine: simTable().Services[serviceName].Engine, servers: core.serversOf(serviceName)}
	if kept := r.kept("m02"); kept < 3 {
		t.Errorf("%d copies are kept of a model that reads 45,000 tokens a second, want 3 (half the servers)", kept)
	}
	demand.Prune(now.Add(2 * interestKept))
	if len(demand.interests)+len(demand.nodes) != 0 {
		t.Errorf("%d models and %d nodes are remembered for ever", len(demand.interests), len(demand.nodes))
	}
}

// TestServerStaysKeptWhileItUnloads: an unload waits for its runs, and the load
// that it made room for was refused as busy; the model that was dropped was loaded
// again 40 ms later, and dropped again, for seconds.
func TestServerStaysKeptWhileItUnloads(t *testing.T) {
	core := fullServer(t)
	wantModel(core, begin, "m08")
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
				t.Fatalf("%v after the unload: %s %s into the room made for m08", now.Sub(begin), order.Operation, order.Model)
			}
			core.HandleOrderResult(now, order, ResultBusy)
		}
		now = now.Add(tick)
	}
}

// TestManyAdaptersCallForCopies: a model with 36 adapters in use stood on four
// servers with eight places each; requests for some waited 3.8 s and were refused.
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
	r := &round{core: core, now: begin, service: serviceName, engine: engine, servers: core.serversOf(serviceName)}
	core.demand.countWaits(begin)
	if needed := r.needed("m02"); needed != 5 {
		t.Errorf("%d copies for adapters that fill three, want 5", needed)
	}
	core.demand.countWaits(begin.Add(adapterInterest))
	r.now = begin.Add(adapterInterest)
	if needed := r.needed("m02"); needed > 2 {
		t.Errorf("%d copies for adapters that nobody asks for any more", needed)
	}
}

// TestRoomBeingMadeIsForetold: callers wait for a model for which a server is
// being emptied, in place of coming back after the time of a load from the store.
func TestRoomBeingMadeIsForetold(t *testing.T) {
	core := fullServer(t)
	wantModel(core, begin, "m08")
	unload := core.Step(begin.Add(tick), true).Orders[0]
	core.HandleOrderResult(begin.Add(2*tick), unload, ResultTaken)
	views := core.Views(begin.Add(2 * tick))
	if left, ok := views[0].Loading["m08"]; !ok || left <= 0 {
		t.Errorf("view %+v, want a time until m08 is there", views[0])
	}
}

// TestNobodyWaitsSoNoLastCopyGoes: models that are more than the places took
// turns for ever, and adapters starved behind the swaps.
func TestNobodyWaitsSoNoLastCopyGoes(t *testing.T) {
	core := fullServer(t)
	core.demand.SetCounts(begin, "node", 1, []RequestCount{
		{Requirements: dispatch.Requirements{Service: serviceName, Model: "m02"}, Requests: 1, LatencyGoal: 6 * time.Second},
		{Requirements: dispatch.Requirements{Service: serviceName, Model: "m05"}, Requests: 1, LatencyGoal: 6 * time.Second},
		{Requirements: dispatch.Requirements{Service: serviceName, Model: "m08"}, Requests: 1, LatencyGoal: 6 * time.Second},
	})
	for second := range 15 {
		core.ConfirmReservation()
		if orders := core.Step(begin.Add(time.Duration(second)*time.Second), true).Orders; len(orders) != 0 {
			t.Fatalf("orders %+v though nobody waits", orders)
		}
	}
}

// TestFullServersCallForCopies: prompts were few enough for one copy, but its
// server's slots were full and callers queued there.
func TestFullServersCallForCopies(t *testing.T) {
	core := fullServer(t)
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
		t.Fatalf("orders %+v though the server has room", orders)
	}
	core.SetRunningRequests(map[string]int{"s": 10})
	core.ConfirmReservation()
	orders := core.Step(begin.Add(2*tick), true).Orders
	if len(orders) != 1 || orders[0].ServerID == "s" || orders[0].Model != "m02" {
		t.Errorf("orders %+v, want a copy of m02 at another server", orders)
	}
}

// TestServerBusyWithAnUnloadLoadsNothing: five servers that waited for runs to end,
// to unload adapters, counted as loading from the weight store for a whole day. The
// store was taken to be full, and a model of 61 requests a second kept 5 copies of
// 22 that it was to have.
func TestServerBusyWithAnUnloadLoadsNothing(t *testing.T) {
	busy := func(order Order, sequence int64) bool {
		core := fullServer(t)
		s := core.servers["s"]
		order.ServerID = "s"
		s.ordering = &order
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
		{"an adapter's unload", Order{Operation: Unload, Model: "m02", Adapter: "a1"}, 1, false},
		{"a load from disk that is over", Order{Operation: Load, Model: "m03", Source: SourceDisk}, 1, false},
		{"a load from the store that is over", Order{Operation: Load, Model: "m03", Source: SourceStore}, 1, true},
		{"an order of somebody else since", Order{Operation: Unload, Model: "m02", Adapter: "a1"}, 2, true},
	}
	for _, c := range cases {
		if got := busy(c.order, c.sequence); got != c.want {
			t.Errorf("%s: may load from the store %v, want %v", c.name, got, c.want)
		}
	}
	core := fullServer(t)
	core.HandleReport(begin.Add(time.Second), "s", Report{Busy: true}, true)
	if !core.servers["s"].mayLoadFromStore() {
		t.Error("a server that an earlier leader left busy cannot be loading")
	}
}
