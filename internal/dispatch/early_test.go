package dispatch

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

func testView(id string, digest uint64) View {
	return View{ServerID: id, Sequence: 1, Held: map[string][]string{"m": nil}, Digest: digest}
}

// TestViewsComeAheadOfTheirServers: views without an entry count as received, and apply once the
// entry arrives. Views of an older term, or of a server that never appears, don't.
func TestViewsComeAheadOfTheirServers(t *testing.T) {
	core := newCore()
	core.SetViews(begin, 5, []View{testView("a", 3), testView("b", 4)})
	if !core.ConfirmViews(begin, 5, 3^4) {
		t.Error("views of servers without an entry count as missing")
	}
	core.SetServers([]inventory.Change{entry("a", "z")})
	if pick(core, begin.Add(time.Second), Request{Model: "m"}) != "a" || !core.ConfirmViews(begin, 5, 3^4) {
		t.Error("the view that arrived before the server's entry is lost")
	}
	if core.ConfirmViews(begin.Add(pendingViewTTL+time.Second), 5, 3^4) || !core.ConfirmViews(begin.Add(pendingViewTTL+time.Second), 5, 3) {
		t.Error("the view of a server without an entry never expires")
	}
	core.SetViews(begin, 5, []View{testView("c", 9)})
	core.SetViews(begin, 6, []View{testView("a", 3)})
	core.SetServers([]inventory.Change{entry("c", "z")})
	if pick(core, begin, Request{Model: "m", Exclude: []string{"a"}}) != "" || !core.ConfirmViews(begin, 6, 3) {
		t.Error("a view of an older term is applied")
	}
	core.SetViews(begin, 6, []View{testView("d", 7)})
	core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "d"}, Gone: true}})
	if !core.ConfirmViews(begin, 6, 3) {
		t.Error("the view of a removed server still counts")
	}
}
