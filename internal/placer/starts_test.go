package placer

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// newRestartedServerCore returns a core with one server in its second start, which holds two
// models and has accepted seven orders.
func newRestartedServerCore(t *testing.T) *Core {
	t.Helper()
	core := New(Options{Window: window, Overage: overage})
	core.SetTable(simTable())
	core.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: "s", StartedAtMs: 2, Service: serviceName, Position: storepos.At(0, 4)}}})
	core.ConfirmReservation()
	core.Step(begin, true)
	core.HandleReport(begin, "s", Report{StartedAtMs: 2, Sequence: 7, Models: []inventory.HeldModel{{Name: "m02"}, {Name: "m05"}}}, true)
	return core
}

// TestLaterStartIsToldByWhatever checks that a later start is accepted from a report as well as
// from a store entry, and that an earlier one changes nothing.
func TestLaterStartIsToldByWhatever(t *testing.T) {
	entry := func(startedAt, revision int64) func(*Core) {
		return func(core *Core) {
			core.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: "s", StartedAtMs: startedAt, Service: serviceName, Position: storepos.At(0, revision)}}})
			core.HandleReport(begin, "s", Report{StartedAtMs: startedAt, Models: []inventory.HeldModel{{Name: "m08"}}}, true)
		}
	}
	cases := []struct {
		name      string
		update    func(*Core)
		startedAt int64
		want      string
	}{
		{"report of a later start, with a lower sequence number", func(core *Core) {
			core.HandleReport(begin, "s", Report{StartedAtMs: 3, Models: []inventory.HeldModel{{Name: "m08"}}}, true)
		}, 3, "m08"},
		{"entry of a later start", entry(3, 5), 3, "m08"},
		{"entry of the previous start, received late", entry(1, 3), 2, "m02"},
		{"entry of the previous start at the same revision", entry(1, 4), 2, "m02"},
		{"report of the previous start", func(core *Core) {
			core.HandleReport(begin, "s", Report{StartedAtMs: 1, Sequence: 99, Models: []inventory.HeldModel{{Name: "m08"}}}, true)
		}, 2, "m02"},
		{"last entry of the start preceding the reported one", func(core *Core) {
			core.HandleReport(begin, "s", Report{StartedAtMs: 3, Models: []inventory.HeldModel{{Name: "m08"}}}, true)
			core.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: "s", StartedAtMs: 2, Service: serviceName, Position: storepos.At(0, 5)}}})
		}, 3, "m08"},
		{"start whose clock went back, by entry and report", func(core *Core) {
			core.HandleReport(begin, "s", Report{StartedAtMs: 3, Models: []inventory.HeldModel{{Name: "m02"}}}, true)
			entry(1, 5)(core)
		}, 1, "m08"},
		{"report without a start and with a lower sequence number", func(core *Core) {
			core.HandleReport(begin, "s", Report{Models: []inventory.HeldModel{{Name: "m08"}}}, true)
		}, 2, "m02"},
	}
	for _, c := range cases {
		core := newRestartedServerCore(t)
		c.update(core)
		views := core.Views(begin)
		if len(views) != 1 || views[0].StartedAtMs != c.startedAt {
			t.Errorf("%s: views %+v, want one of start %d", c.name, views, c.startedAt)
			continue
		}
		if _, ok := views[0].Held[c.want]; !ok {
			t.Errorf("%s: holds %v, want %s", c.name, views[0].Held, c.want)
		}
	}
}

// TestAnswerOfTheStartBeforeSettlesNoOrder checks that an answer to an order of the previous
// start is not taken as the answer to the pending order of the current start.
func TestAnswerOfTheStartBeforeSettlesNoOrder(t *testing.T) {
	core := newRestartedServerCore(t)
	requestModel(core, begin, "m08")
	before := core.Step(begin.Add(tick), true).Orders[0]
	core.HandleReport(begin.Add(tick), "s", Report{StartedAtMs: 3}, true)
	if s := core.servers["s"]; s.pendingOrder != nil || s.sequence != 0 {
		t.Fatalf("the new start has pending order %+v and sequence number %d", s.pendingOrder, s.sequence)
	}
	requestModel(core, begin.Add(2*tick), "m08")
	orders := core.Step(begin.Add(2*tick), true).Orders
	if len(orders) != 1 || orders[0].StartedAtMs != 3 || orders[0].ExpectedSequence != 0 {
		t.Fatalf("orders %+v, want one for the new start", orders)
	}
	core.HandleOrderResult(begin.Add(2*tick), before, ResultTaken)
	if core.servers["s"].pendingOrder == nil {
		t.Error("an answer from the previous start settled the pending order of this one")
	}
}

// TestLostOrderOfTheStartBeforeTakesRoom checks that memory stays set aside for an unanswered
// order to the previous start, whose sequence number may match the new start, until the sequence
// number has passed or the order has expired.
func TestLostOrderOfTheStartBeforeTakesRoom(t *testing.T) {
	core := newRestartedServerCore(t)
	core.HandleReport(begin, "s", Report{StartedAtMs: 3}, true)
	engine := core.engineOf(serviceName)
	free := core.servers["s"].usedMB(engine)
	requestModel(core, begin, "m08")
	unanswered := core.Step(begin.Add(tick), true).Orders[0]
	if unanswered.Operation != Load || unanswered.ExpectedSequence != 0 {
		t.Fatalf("order %+v, want a load with expected sequence number 0", unanswered)
	}
	core.HandleOrderResult(begin.Add(tick), unanswered, ResultUnknown)
	restartAt := begin.Add(2 * tick)
	for name, c := range map[string]struct {
		after    time.Duration
		sequence int64
		isKept   bool
	}{
		"before its sequence number": {time.Second, 0, true},
		"after its sequence number":  {time.Second, 1, false},
		"after it expired":           {staleOrderTTL, 0, false},
	} {
		started := core.replaceRestarted(restartAt, core.servers["s"], inventory.Server{ID: "s", StartedAtMs: 4, Service: serviceName, Position: storepos.At(0, 9)})
		started.staleOrders = []staleOrder{{order: unanswered, until: restartAt.Add(staleOrderTTL)}}
		core.applyReport(restartAt.Add(c.after), started, Report{StartedAtMs: 4, Sequence: c.sequence})
		want := free
		if c.isKept {
			want += engine.Models["m08"].WeightsMB
		}
		if got := started.usedMB(engine); got != want {
			t.Errorf("%s: %v MB in use, want %v", name, got, want)
		}
	}
	if started := core.replaceRestarted(restartAt, core.servers["s"], inventory.Server{ID: "s", StartedAtMs: 5, Service: serviceName, Position: storepos.At(0, 10)}); len(started.staleOrders) != len(core.servers["s"].staleOrders) {
		t.Error("stale orders are lost with a further start")
	}
}

// TestUnansweredOrderOutlivesItsServersEntry guards against forgetting an unanswered order with its server's
// entry: a server that comes back under its ID may still execute it, beside what it is ordered meanwhile.
func TestUnansweredOrderOutlivesItsServersEntry(t *testing.T) {
	gone := []inventory.Change{{Server: inventory.Server{ID: "s"}, Gone: true}}
	for name, c := range map[string]struct {
		// settle is what becomes of the order before the entry goes.
		settle func(core *Core, now time.Time, order Order)
		// startedAt is that of the server as it comes back.
		startedAt int64
		away      time.Duration
		isKept    bool
	}{
		"not answered yet, a later start":      {settle: func(*Core, time.Time, Order) {}, startedAt: 4, away: time.Second, isKept: true},
		"without an answer, a later start":     {settle: unknownResult, startedAt: 4, away: time.Second, isKept: true},
		"without an answer, the same start":    {settle: unknownResult, startedAt: 3, away: time.Second, isKept: true},
		"answered":                             {settle: busyResult, startedAt: 4, away: time.Second},
		"the order can no longer be executed":  {settle: unknownResult, startedAt: 4, away: staleOrderTTL + time.Second},
		"the server is not there for an order": {settle: goneAfterUnknown, startedAt: 4, away: time.Second, isKept: true},
	} {
		t.Run(name, func(t *testing.T) {
			core := newRestartedServerCore(t)
			core.HandleReport(begin, "s", Report{StartedAtMs: 3}, true)
			engine := core.engineOf(serviceName)
			free := core.servers["s"].usedMB(engine)
			requestModel(core, begin, "m08")
			order := core.Step(begin.Add(tick), true).Orders[0]
			c.settle(core, begin.Add(tick), order)
			core.SetServers(begin.Add(2*tick), gone)
			back := begin.Add(2*tick + c.away)
			core.Step(back, true)
			core.SetServers(back, []inventory.Change{{Server: inventory.Server{ID: "s", StartedAtMs: c.startedAt, Service: serviceName, Position: storepos.At(0, 9)}}})
			core.HandleReport(back, "s", Report{StartedAtMs: c.startedAt}, true)
			want := free
			if c.isKept {
				want += engine.Models["m08"].WeightsMB
			}
			if got := core.servers["s"].usedMB(engine); got != want {
				t.Errorf("%v MB in use, want %v", got, want)
			}
			if len(core.formerOrders.byServer) != 0 {
				t.Errorf("orders kept for servers that are there: %v", core.formerOrders.byServer)
			}
		})
	}
}

func unknownResult(core *Core, now time.Time, order Order) {
	core.HandleOrderResult(now, order, ResultUnknown)
}

func busyResult(core *Core, now time.Time, order Order) {
	core.HandleOrderResult(now, order, ResultBusy)
}

// goneAfterUnknown lets the order go unanswered, and the next one find another server at the address.
func goneAfterUnknown(core *Core, now time.Time, order Order) {
	core.HandleOrderResult(now, order, ResultUnknown)
	next := order
	core.servers["s"].pendingOrder = &next
	core.HandleOrderResult(now, next, ResultGone)
}

// TestUnansweredOrderOutlivesItsTerm guards against a leader that takes the lease again, or after another,
// and knows nothing of the orders that were on their way: a server may still execute them after a restart.
func TestUnansweredOrderOutlivesItsTerm(t *testing.T) {
	options := Options{Window: window, Overage: overage, FormerOrders: NewFormerOrders()}
	for name, c := range map[string]struct {
		endTerm func(former *Core, order Order)
		after   time.Duration
		isKept  bool
	}{
		"this node's":           {func(former *Core, _ Order) { former.EndTerm(begin.Add(2 * tick)) }, time.Second, true},
		"another node's":        {func(_ *Core, order Order) { options.FormerOrders.AddPossibleLoad(begin, "s", order.Model, 0) }, time.Second, true},
		"another node's, later": {func(_ *Core, order Order) { options.FormerOrders.AddPossibleLoad(begin, "s", order.Model, 0) }, staleOrderTTL + time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			options.FormerOrders = NewFormerOrders()
			server := func(startedAt, revision int64) []inventory.Change {
				return []inventory.Change{{Server: inventory.Server{ID: "s", StartedAtMs: startedAt, Service: serviceName, Position: storepos.At(0, revision)}}}
			}
			newTerm := func() *Core {
				core := New(options)
				core.SetTable(simTable())
				core.SetServers(begin, server(2, 4))
				core.ConfirmReservation()
				return core
			}
			former := newTerm()
			former.Step(begin, true)
			former.HandleReport(begin, "s", Report{StartedAtMs: 2}, true)
			free := former.servers["s"].usedMB(former.engineOf(serviceName))
			requestModel(former, begin, "m08")
			order := former.Step(begin.Add(tick), true).Orders[0]
			former.HandleOrderResult(begin.Add(tick), order, ResultUnknown)
			c.endTerm(former, order)
			core, restartAt := newTerm(), begin.Add(c.after)
			core.Step(restartAt, true)
			core.SetServers(restartAt, server(3, 5))
			core.HandleReport(restartAt, "s", Report{StartedAtMs: 3}, true)
			want := free
			if c.isKept {
				want += core.engineOf(serviceName).Models["m08"].WeightsMB
			}
			if got := core.servers["s"].usedMB(core.engineOf(serviceName)); got != want {
				t.Errorf("%v MB in use, want %v", got, want)
			}
		})
	}
}

// TestModelOfAnUnansweredOrderCanBeOrderedAgain guards against counting a model twice that an unanswered
// order may still load: it was not loaded there until the order had expired.
func TestModelOfAnUnansweredOrderCanBeOrderedAgain(t *testing.T) {
	options := Options{Window: window, Overage: overage, FormerOrders: NewFormerOrders()}
	for range 2 {
		options.FormerOrders.AddPossibleLoad(begin, "s", "m08", 0)
	}
	options.FormerOrders.AddPossibleLoad(begin, "s", "m08", 1)
	core := New(options)
	core.SetTable(simTable())
	core.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: "s", StartedAtMs: 2, Service: serviceName, Position: storepos.At(0, 4)}}})
	core.ConfirmReservation()
	core.Step(begin, true)
	core.HandleReport(begin, "s", Report{StartedAtMs: 2}, true)
	engine := core.engineOf(serviceName)
	engine.MemoryMB = reservedAdapterMB(engine) + engine.Models["m08"].WeightsMB
	requestModel(core, begin, "m08")
	orders := core.Step(begin.Add(tick), true).Orders
	if len(orders) != 1 || orders[0].Operation != Load || orders[0].Model != "m08" {
		t.Errorf("orders %+v, want the load of the model", orders)
	}
	if used := core.servers["s"].usedMB(engine); used > engine.MemoryMB {
		t.Errorf("%v MB in use of %v", used, engine.MemoryMB)
	}
}
