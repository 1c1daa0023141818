package dispatch

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// TestNothingIsSentToAnEvacuatedZone: none of the checks of a request selects a server of an
// evacuated zone, including servers that appear later. They serve again after the evacuation.
func TestNothingIsSentToAnEvacuatedZone(t *testing.T) {
	core := newCore(entry("a", "z", "m"), entry("b", "y", "m"))
	running, ok := core.Pick(begin, Request{Service: "s", Model: "m", AllowedServers: []string{"a"}})
	if !ok {
		t.Fatal("no server picked before the evacuation")
	}
	changed := core.Changed()
	core.SetEvacuated([]string{"z"})
	select {
	case <-changed:
	default:
		t.Error("waiting requests are not woken by the evacuation")
	}
	core.SetServers([]inventory.Change{entry("late", "z", "m")})
	core.SetViews(begin, 5, []View{{ServerID: "a", Sequence: 1, Held: map[string][]string{"m": nil}, Loading: map[string]time.Duration{"n": time.Second}}})
	requirements := Requirements{Service: "s", Model: "n"}
	for _, id := range []string{"a", "late"} {
		if _, ok := core.Pick(begin, Request{Service: "s", Model: "m", AllowedServers: []string{id}}); ok || core.CanPick(begin, Request{Service: "s", Model: "m", AllowedServers: []string{id}}) {
			t.Errorf("%s is picked in an evacuated zone", id)
		}
		if core.IsAvailable(id) {
			t.Errorf("%s is available right before a send", id)
		}
		if _, known := core.ServerReadyIn(begin, id, requirements); known {
			t.Errorf("%s is expected to become ready", id)
		}
	}
	if _, known := core.ReadyIn(begin, requirements); known {
		t.Error("a load in the evacuated zone is waited for")
	}
	if got := pick(core, begin, Request{Model: "m"}); got != "b" {
		t.Errorf("picked %q, want b", got)
	}
	if got := core.CountServers(begin, StateEvacuated); got != 2 {
		t.Errorf("%d servers evacuated, want 2", got)
	}
	core.End(begin, running.Attempt, OutcomeServed)
	core.SetEvacuated(nil)
	if got := pick(core, begin, Request{Model: "m", Exclude: []string{"b"}}); got != "a" && got != "late" {
		t.Errorf("picked %q after the evacuation, want a server of the zone", got)
	}
}

// TestServiceWithoutAnOpenServerIsEvacuated: a service whose servers are all draining is not
// evacuated, since others replace them.
func TestServiceWithoutAnOpenServerIsEvacuated(t *testing.T) {
	draining := entry("c", "z", "m")
	draining.Server.Draining = true
	cases := []struct {
		name    string
		servers []inventory.Change
		zones   []string
		want    bool
	}{
		{"no server", nil, []string{"z"}, false},
		{"one of two zones", []inventory.Change{entry("a", "z"), entry("b", "y")}, []string{"z"}, false},
		{"all zones", []inventory.Change{entry("a", "z"), entry("b", "y")}, []string{"y", "z"}, true},
		{"all draining", []inventory.Change{draining}, []string{"z"}, false},
		{"some draining, the others evacuated", []inventory.Change{draining, entry("b", "y")}, []string{"y"}, true},
		{"unknown zone", []inventory.Change{entry("a", "z")}, []string{"nowhere"}, false},
	}
	for _, c := range cases {
		core := newCore(c.servers...)
		core.SetEvacuated(c.zones)
		if got := core.IsEvacuated("s"); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
