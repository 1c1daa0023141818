package placer

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// startedServer is a core with one server in its second start that holds two models, after
// seven orders.
func startedServer(t *testing.T) *Core {
	t.Helper()
	core := New(Options{Window: window, Overage: overage})
	core.SetTable(simTable())
	core.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: "s", StartedAtMs: 2, Service: serviceName, Position: storepos.At(0, 4)}}})
	core.ConfirmReservation()
	core.Step(begin, true)
	core.HandleReport(begin, "s", Report{StartedAtMs: 2, Sequence: 7, Models: []inventory.HeldModel{{Name: "m02"}, {Name: "m05"}}}, true)
	return core
}

// TestLaterStartIsToldByWhatever: a report, an entry; an earlier one changes nothing.
func TestLaterStartIsToldByWhatever(t *testing.T) {
	entry := func(born, revision int64) func(*Core) {
		return func(core *Core) {
			core.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: "s", StartedAtMs: born, Service: serviceName, Position: storepos.At(0, revision)}}})
			core.HandleReport(begin, "s", Report{StartedAtMs: born, Models: []inventory.HeldModel{{Name: "m08"}}}, true)
		}
	}
	cases := []struct {
		name string
		tell func(*Core)
		born int64
		want string
	}{
		{"its report, whose count is lower", func(core *Core) {
			core.HandleReport(begin, "s", Report{StartedAtMs: 3, Models: []inventory.HeldModel{{Name: "m08"}}}, true)
		}, 3, "m08"},
		{"its entry", entry(3, 5), 3, "m08"},
		{"an entry of the start before, told late", entry(1, 3), 2, "m02"},
		{"another of the same revision", entry(1, 4), 2, "m02"},
		{"a report of the start before", func(core *Core) {
			core.HandleReport(begin, "s", Report{StartedAtMs: 1, Sequence: 99, Models: []inventory.HeldModel{{Name: "m08"}}}, true)
		}, 2, "m02"},
		{"the last entry of the start before its report's", func(core *Core) {
			core.HandleReport(begin, "s", Report{StartedAtMs: 3, Models: []inventory.HeldModel{{Name: "m08"}}}, true)
			core.SetServers(begin, []inventory.Change{{Server: inventory.Server{ID: "s", StartedAtMs: 2, Service: serviceName, Position: storepos.At(0, 5)}}})
		}, 3, "m08"},
		{"a start whose clock went back, by entry and report", func(core *Core) {
			core.HandleReport(begin, "s", Report{StartedAtMs: 3, Models: []inventory.HeldModel{{Name: "m02"}}}, true)
			entry(1, 5)(core)
		}, 1, "m08"},
		{"a report that does not say of which, and counts less", func(core *Core) {
			core.HandleReport(begin, "s", Report{Models: []inventory.HeldModel{{Name: "m08"}}}, true)
		}, 2, "m02"},
	}
	for _, c := range cases {
		core := startedServer(t)
		c.tell(core)
		views := core.Views(begin)
		if len(views) != 1 || views[0].StartedAtMs != c.born {
			t.Errorf("%s: views %+v, want one of start %d", c.name, views, c.born)
			continue
		}
		if _, ok := views[0].Held[c.want]; !ok {
			t.Errorf("%s: holds %v, want %s", c.name, views[0].Held, c.want)
		}
	}
}

// TestAnswerOfTheStartBeforeSettlesNoOrder: it belongs to an order that the start before got.
func TestAnswerOfTheStartBeforeSettlesNoOrder(t *testing.T) {
	core := startedServer(t)
	wantModel(core, begin, "m08")
	before := core.Step(begin.Add(tick), true).Orders[0]
	core.HandleReport(begin.Add(tick), "s", Report{StartedAtMs: 3}, true)
	if s := core.servers["s"]; s.ordering != nil || s.sequence != 0 {
		t.Fatalf("the new start has %+v under way, count %d", s.ordering, s.sequence)
	}
	wantModel(core, begin.Add(2*tick), "m08")
	own := core.Step(begin.Add(2*tick), true).Orders
	if len(own) != 1 || own[0].StartedAtMs != 3 || own[0].ExpectedSequence != 0 {
		t.Fatalf("orders %+v, want one of the new start", own)
	}
	core.HandleOrderResult(begin.Add(2*tick), before, ResultTaken)
	if core.servers["s"].ordering == nil {
		t.Error("an answer of the start before settled the order of this one")
	}
}

// TestLostOrderOfTheStartBeforeTakesRoom: it names the server and a count that may fit once more,
// until the count has passed, or its time has.
func TestLostOrderOfTheStartBeforeTakesRoom(t *testing.T) {
	core := startedServer(t)
	core.HandleReport(begin, "s", Report{StartedAtMs: 3}, true)
	engine := core.engineOf(serviceName)
	free := core.servers["s"].usedMB(engine)
	wantModel(core, begin, "m08")
	lost := core.Step(begin.Add(tick), true).Orders[0]
	if lost.Operation != Load || lost.ExpectedSequence != 0 {
		t.Fatalf("order %+v, want a load at count 0", lost)
	}
	core.HandleOrderResult(begin.Add(tick), lost, ResultUnknown)
	again := begin.Add(2 * tick)
	for name, c := range map[string]struct {
		after    time.Duration
		sequence int64
		isKept   bool
	}{
		"before its count":   {time.Second, 0, true},
		"behind its count":   {time.Second, 1, false},
		"when its time over": {strayTime, 0, false},
	} {
		started := core.startsAgain(again, core.servers["s"], inventory.Server{ID: "s", StartedAtMs: 4, Service: serviceName, Position: storepos.At(0, 9)})
		started.strays = []stray{{order: lost, until: again.Add(strayTime)}}
		core.applyReport(again.Add(c.after), started, Report{StartedAtMs: 4, Sequence: c.sequence})
		want := free
		if c.isKept {
			want += engine.Models["m08"].WeightsMB
		}
		if got := started.usedMB(engine); got != want {
			t.Errorf("%s: %v MB are taken, want %v", name, got, want)
		}
	}
	if started := core.startsAgain(again, core.servers["s"], inventory.Server{ID: "s", StartedAtMs: 5, Service: serviceName, Position: storepos.At(0, 10)}); len(started.strays) != len(core.servers["s"].strays) {
		t.Error("strays are lost with a further start")
	}
}
