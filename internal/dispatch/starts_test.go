package dispatch

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// A server may start again under the same ID, and its leader may learn of that from the server
// itself, seconds before the store has the entry. Meanwhile the store may deliver the last entry of
// the previous start, with a later revision than any known one. A node that went back to the
// previous start lost the hints of the current one, and sent requests to a draining server.

func viewOfStart(startedAtMs int64) []View {
	return []View{{ServerID: "a", StartedAtMs: startedAtMs, Sequence: 1, Digest: uint64(startedAtMs), Held: map[string][]string{"m": nil}}}
}

func TestLateEntryOfTheStartBefore(t *testing.T) {
	core := newCore(startEntry("a", 1, 4))
	core.SetViews(begin, 5, viewOfStart(2))
	core.ReceiveHint(begin, inventory.Start{ID: "a", StartedAtMs: 2}, inventory.Hint{Draining: true})
	steps := []struct {
		name   string
		change inventory.Change
		want   string
	}{
		{"last entry of the previous start", startEntry("a", 1, 6), ""},
		{"own entry, not draining yet", startEntry("a", 2, 7), ""},
		{"later start", startEntry("a", 3, 8), "a"},
	}
	for _, step := range steps {
		core.SetServers([]inventory.Change{step.change})
		if got := pick(core, begin, Request{Model: "m"}); got != step.want {
			t.Errorf("%s: picked %q, want %q", step.name, got, step.want)
		}
	}
}

// TestStartWhoseClockWentBack: the entry alone looks like one of the previous start. Together with
// the leader's view, which is based on the server's own report, it is the current one.
func TestStartWhoseClockWentBack(t *testing.T) {
	core := newCore(startEntry("a", 7, 4))
	core.SetViews(begin, 5, viewOfStart(8))
	core.SetServers([]inventory.Change{startEntry("a", 6, 9)})
	if got := core.servers["a"].info.StartedAtMs; got != 8 {
		t.Errorf("start %d after the entry alone, want 8", got)
	}
	core.SetViews(begin, 5, viewOfStart(6))
	if got := core.servers["a"].info.Start(); got.StartedAtMs != 6 || pick(core, begin, Request{Model: "m"}) != "a" {
		t.Errorf("%v after the entry and the leader's view, want start 6 to be used", got)
	}
}
