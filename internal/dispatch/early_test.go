package dispatch

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

func earlyTestView(id string, digest uint64) View {
	return View{ServerID: id, Sequence: 1, Held: map[string][]string{"m": nil}, Digest: digest}
}

// TestViewsComeAheadOfTheirServers: they count as had, and are in force once the server is
// known; those of an older term, or of a server that never comes, are not.
func TestViewsComeAheadOfTheirServers(t *testing.T) {
	core := newCore()
	core.SetViews(begin, 5, []View{earlyTestView("a", 3), earlyTestView("b", 4)})
	if !core.ConfirmViews(begin, 5, 3^4) {
		t.Error("views of servers that are not known yet count as missing")
	}
	core.SetServers([]inventory.Change{entry("a", "z")})
	if pick(core, begin.Add(time.Second), Request{Model: "m"}) != "a" || !core.ConfirmViews(begin, 5, 3^4) {
		t.Error("the view that came ahead of its server is lost")
	}
	if core.ConfirmViews(begin.Add(earlyKept+time.Second), 5, 3^4) || !core.ConfirmViews(begin.Add(earlyKept+time.Second), 5, 3) {
		t.Error("the view of a server that never came is kept for ever")
	}
	core.SetViews(begin, 5, []View{earlyTestView("c", 9)})
	core.SetViews(begin, 6, []View{earlyTestView("a", 3)})
	core.SetServers([]inventory.Change{entry("c", "z")})
	if pick(core, begin, Request{Model: "m", Exclude: []string{"a"}}) != "" || !core.ConfirmViews(begin, 6, 3) {
		t.Error("a view of an older term is used")
	}
	core.SetViews(begin, 6, []View{earlyTestView("d", 7)})
	core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "d"}, Gone: true}})
	if !core.ConfirmViews(begin, 6, 3) {
		t.Error("the view of a server that is gone counts")
	}
}
