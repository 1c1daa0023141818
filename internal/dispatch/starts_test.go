package dispatch

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// A server may start again under the ID that it had, and its leader hear of that from the server
// itself, seconds before the store tells of it. What the store tells meanwhile may be the last
// entry of the start before, with a later revision than any known: a node that went back to that
// start forgot what the present one had told, and sent requests to a server that leaves.

func viewOfStart(born int64) []View {
	return []View{{ServerID: "a", StartedAtMs: born, Sequence: 1, Digest: uint64(born), Held: map[string][]string{"m": nil}}}
}

func TestLateEntryOfTheStartBefore(t *testing.T) {
	core := newCore(bornEntry("a", 1, 4))
	core.SetViews(begin, 5, viewOfStart(2))
	core.ReceiveHint(begin, inventory.Start{ID: "a", StartedAtMs: 2}, inventory.Hint{Draining: true})
	steps := []struct {
		name   string
		change inventory.Change
		want   string
	}{
		{"the last entry of the start before", bornEntry("a", 1, 6), ""},
		{"its own entry, which does not say yet that it leaves", bornEntry("a", 2, 7), ""},
		{"a later start", bornEntry("a", 3, 8), "a"},
	}
	for _, step := range steps {
		core.SetServers([]inventory.Change{step.change})
		if got := pick(core, begin, Request{Model: "m"}); got != step.want {
			t.Errorf("%s: picked %q, want %q", step.name, got, step.want)
		}
	}
}

// TestStartWhoseClockWentBack: its entry alone looks like one of the start before; with the
// leader's view, which goes by the server's own report, it is the present one.
func TestStartWhoseClockWentBack(t *testing.T) {
	core := newCore(bornEntry("a", 7, 4))
	core.SetViews(begin, 5, viewOfStart(8))
	core.SetServers([]inventory.Change{bornEntry("a", 6, 9)})
	if got := core.servers["a"].info.StartedAtMs; got != 8 {
		t.Errorf("start %d by an entry alone, want 8", got)
	}
	core.SetViews(begin, 5, viewOfStart(6))
	if got := core.servers["a"].info.Start(); got.StartedAtMs != 6 || pick(core, begin, Request{Model: "m"}) != "a" {
		t.Errorf("%v by its entry and the leader's view, want 6 in use", got)
	}
}
