package dispatch

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// TestNothingIsSentToAnEvacuatedZone by any of the questions that a request asks, also
// at servers that come later; and they serve again once it is taken back.
func TestNothingIsSentToAnEvacuatedZone(t *testing.T) {
	core := newCore(entry("a", "z", "m"), entry("b", "y", "m"))
	running, ok := core.Pick(begin, Request{Service: "s", Model: "m", AllowedServers: []string{"a"}})
	if !ok {
		t.Fatal("no server before the evacuation")
	}
	changed := core.Changed()
	core.SetEvacuated([]string{"z"})
	select {
	case <-changed:
	default:
		t.Error("what waits is not told of the evacuation")
	}
	core.SetServers([]inventory.Change{entry("late", "z", "m")})
	core.SetViews(begin, 5, []View{{ServerID: "a", Sequence: 1, Held: map[string][]string{"m": nil}, Loading: map[string]time.Duration{"n": time.Second}}})
	wanted := Requirements{Service: "s", Model: "n"}
	for _, id := range []string{"a", "late"} {
		if _, ok := core.Pick(begin, Request{Service: "s", Model: "m", AllowedServers: []string{id}}); ok || core.CanPick(begin, Request{Service: "s", Model: "m", AllowedServers: []string{id}}) {
			t.Errorf("%s is chosen", id)
		}
		if core.IsAvailable(id) {
			t.Errorf("%s is still good right before a send", id)
		}
		if _, known := core.ServerReadyIn(begin, id, wanted); known {
			t.Errorf("a request waits at %s for a model", id)
		}
	}
	if _, known := core.ReadyIn(begin, wanted); known {
		t.Error("a load in the zone is waited for")
	}
	if got := pick(core, begin, Request{Model: "m"}); got != "b" {
		t.Errorf("picked %q, want b", got)
	}
	if got := core.CountServers(begin, StateEvacuated); got != 2 {
		t.Errorf("%d servers closed, want 2", got)
	}
	core.End(begin, running.Attempt, OutcomeServed)
	core.SetEvacuated(nil)
	if got := pick(core, begin, Request{Model: "m", Exclude: []string{"b"}}); got != "a" && got != "late" {
		t.Errorf("picked %q after the end, want a server of the zone", got)
	}
}

// TestServiceWithoutAnOpenServerIsEvacuated; one whose servers leave is not, since
// others come in their place.
func TestServiceWithoutAnOpenServerIsEvacuated(t *testing.T) {
	going := entry("c", "z", "m")
	going.Server.Draining = true
	cases := []struct {
		name    string
		servers []inventory.Change
		zones   []string
		want    bool
	}{
		{"no server", nil, []string{"z"}, false},
		{"one zone of two", []inventory.Change{entry("a", "z"), entry("b", "y")}, []string{"z"}, false},
		{"all zones", []inventory.Change{entry("a", "z"), entry("b", "y")}, []string{"y", "z"}, true},
		{"all leave", []inventory.Change{going}, []string{"z"}, false},
		{"some leave and the others are closed", []inventory.Change{going, entry("b", "y")}, []string{"y"}, true},
		{"a zone that nobody knows", []inventory.Change{entry("a", "z")}, []string{"nowhere"}, false},
	}
	for _, c := range cases {
		core := newCore(c.servers...)
		core.SetEvacuated(c.zones)
		if got := core.IsEvacuated("s"); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
