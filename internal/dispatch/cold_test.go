package dispatch

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// newColdCore returns a core with a service that limits its cold servers.
func newColdCore(changes ...inventory.Change) *Core {
	core := newCore(changes...)
	core.SetColdStarts(map[string]routetable.ColdStart{"s": {Time: 3 * time.Second, PerSecond: 12}})
	return core
}

func updateCold(core *Core, now time.Time, id string, left time.Duration, revision int64) {
	core.UpdateColdFromEntry(now, inventory.Server{ID: id, ColdRemaining: left, ReportsCold: true, Position: storepos.At(0, revision)})
}

func phaseOf(core *Core, now time.Time, id string) admission.Phase {
	phase, _ := core.ColdPhase(now, id)
	return phase
}

// TestFirstSeenServerIsCold: a new server is cold until an entry says otherwise, if its service
// limits cold servers; servers of other services are never cold.
func TestFirstSeenServerIsCold(t *testing.T) {
	core := newColdCore(entry("a", "z", "m"), entry("b", "z", "m"))
	other := entry("c", "z")
	other.Server.Service = "plain"
	core.SetServers([]inventory.Change{other})
	for _, id := range []string{"a", "b", "c"} {
		core.UpdateColdFromEntry(begin, inventory.Server{ID: id, Position: storepos.At(0, 1)})
	}
	updateCold(core, begin, "b", 0, 2)
	for id, want := range map[string]admission.Phase{"a": admission.Cold, "c": admission.Warm, "unknown": admission.Warm} {
		if got := phaseOf(core, begin.Add(time.Second), id); got != want {
			t.Errorf("%s: phase %d, want %d", id, got, want)
		}
	}
	if got := phaseOf(core, begin.Add(1100*time.Millisecond), "b"); got != admission.Warm {
		t.Errorf("b: phase %d although its entry says that it is warm", got)
	}
}

// TestWarmServersGoFirst: warm servers are preferred while they serve in time. Cold ones are used
// when only they have the model, or the warm ones are busy.
func TestWarmServersGoFirst(t *testing.T) {
	core := newColdCore(entry("cold", "z", "m", "rare"), entry("warm", "y", "m"))
	updateCold(core, begin, "cold", 3*time.Second, 1)
	updateCold(core, begin, "warm", 0, 1)
	now := begin.Add(time.Second)
	for range 20 {
		if got := pick(core, now, Request{Model: "m"}); got != "warm" {
			t.Fatalf("picked %q, want the warm server", got)
		}
	}
	if got := pick(core, now, Request{Model: "rare"}); got != "cold" {
		t.Errorf("picked %q, want the cold server, which alone has the model", got)
	}
	core.SetPeerLoads(now, "p", []PeerLoad{{ServerID: "warm", Running: 30, PendingTokens: 9000}})
	if got := pick(core, now, Request{Model: "m"}); got != "cold" {
		t.Errorf("picked %q, want the cold server while the warm one is busy", got)
	}
}

// TestHeldBackServer: after a denial another server is picked, or the request waits for the
// announced time.
func TestHeldBackServer(t *testing.T) {
	core := newColdCore(entry("a", "z", "m", "rare"), entry("b", "z", "m"))
	updateCold(core, begin, "a", 3*time.Second, 1)
	updateCold(core, begin, "b", 3*time.Second, 1)
	core.RecordDenial(begin, "a", Requirements{}, 700*time.Millisecond)
	if got := pick(core, begin, Request{Model: "m"}); got != "b" {
		t.Errorf("picked %q, want the server without a denial", got)
	}
	if got := pick(core, begin, Request{Model: "rare"}); got != "" {
		t.Errorf("picked %q, which denied a request just now", got)
	}
	requirements := Requirements{Service: "s", Model: "rare"}
	if left, known := core.ReadyIn(begin, requirements); !known || left != 700*time.Millisecond {
		t.Errorf("ready in %v, known %v; want the announced time", left, known)
	}
	if !core.HasOnlyColdServers(begin, requirements) {
		t.Error("the wait is not attributed to the cold server")
	}
	// A retry is allowed earlier than announced, since another request may have been withdrawn.
	if got := pick(core, begin.Add(300*time.Millisecond), Request{Model: "rare"}); got != "a" {
		t.Errorf("picked %q", got)
	}
	core.RecordDenial(begin, "a", Requirements{}, time.Second)
	updateCold(core, begin.Add(time.Millisecond), "a", 0, 2)
	if got := pick(core, begin.Add(2*time.Millisecond), Request{Model: "rare"}); got != "a" {
		t.Errorf("picked %q, want the server that turned warm", got)
	}
}

// TestLineAtAColdServerIsNoWantOfCopies: a short wait for a cold server doesn't count as demand for
// another copy. A cold server that accepts nothing for long does.
func TestLineAtAColdServerIsNoWantOfCopies(t *testing.T) {
	core := newColdCore(entry("a", "z", "rare"))
	requirements := Requirements{Service: "s", Model: "rare"}
	updateCold(core, begin, "a", 10*time.Second, 1)
	core.AddWaiting(requirements, 3)
	waiting := func() int { return core.WaitingForCopies(begin, core.Demand(begin)[0]) }
	for retryIn, want := range map[time.Duration]int{300 * time.Millisecond: 0, 10 * time.Second: 3} {
		core.RecordDenial(begin, "a", Requirements{}, retryIn)
		if got := waiting(); got != want {
			t.Errorf("retry in %v: %d wait for copies, want %d", retryIn, got, want)
		}
	}
	core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "a"}, Gone: true}})
	if got := waiting(); got != 3 {
		t.Errorf("%d wait for copies of a model that no server holds, want 3", got)
	}
}

// TestZoneThatTakesWorkAgainIsCold: its servers count as cold until newer entries say otherwise.
func TestZoneThatTakesWorkAgainIsCold(t *testing.T) {
	core := newColdCore(entry("a", "y"), entry("b", "z"))
	updateCold(core, begin, "a", 0, 5)
	updateCold(core, begin, "b", 0, 5)
	now := begin.Add(time.Minute)
	core.MarkPossiblyCold(now, "y", storepos.At(0, 9))
	updateCold(core, now, "a", 0, 9)
	if a, b := phaseOf(core, now, "a"), phaseOf(core, now, "b"); a != admission.Cold || b != admission.Warm {
		t.Errorf("phases %d and %d, want cold only in the zone", a, b)
	}
	updateCold(core, now, "a", 0, 10)
	if got := phaseOf(core, now, "a"); got == admission.Cold {
		t.Error("still cold although a newer entry says otherwise")
	}
}

// TestColdChangesAreToldOnce: each transition to cold or warm is reported once.
func TestColdChangesAreToldOnce(t *testing.T) {
	core := newColdCore(entry("a", "z"))
	core.UpdateColdFromEntry(begin, inventory.Server{ID: "a"})
	core.MarkUnreachable(begin, "a")
	got := core.ColdChanges(begin)
	if len(got) != 1 || !got[0].IsCold || got[0].Source != ColdUnreachable || core.CountCold(begin) != 1 {
		t.Errorf("%+v", got)
	}
	changed := core.Changed()
	if again := core.ColdChanges(begin.Add(time.Second)); len(again) != 0 {
		t.Errorf("reported again: %+v", again)
	}
	got = core.ColdChanges(begin.Add(time.Minute))
	if len(got) != 1 || got[0].IsCold || got[0].Source != ColdElapsed {
		t.Errorf("%+v", got)
	}
	select {
	case <-changed:
	default:
		t.Error("requests that wait for a server that turned warm are not woken")
	}
}
