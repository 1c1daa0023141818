package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// TestBusiestAreWhereLoadsStay: a lasting load counts more than a short burst, and both decay.
func TestBusiestAreWhereLoadsStay(t *testing.T) {
	loads := NewFleetLoads()
	now := begin
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		loads.Add(now, []PeerLoad{{ServerID: "lasting", Running: 10, PendingTokens: 20000}})
	}
	now = now.Add(50 * time.Millisecond)
	loads.Add(now, []PeerLoad{
		{ServerID: "lasting", Running: 10, PendingTokens: 20000}, {ServerID: "burst", Running: 30, PendingTokens: 60000},
	})
	busiest := loads.Busiest(5)
	if len(busiest) != 2 || busiest[0].ServerID != "lasting" || busiest[0].Running < 8 || busiest[1].Running > 3 {
		t.Errorf("busiest %+v, want the lasting load first, with about ten running", busiest)
	}
	if first := loads.Busiest(1); len(first) != 1 || first[0].ServerID != "lasting" {
		t.Errorf("busiest %+v, want only the lasting load", first)
	}
	loads.Add(now.Add(10*time.Second), nil)
	if left := loads.Busiest(5); len(left) != 0 {
		t.Errorf("%+v left after ten idle seconds", left)
	}
}

// TestFleetLoadTurnsRequestsAway: one node among hundreds sees nothing of the load that the others
// send. Without the fleet load, all of them chose the server that caches the prompt's shared parts.
func TestFleetLoadTurnsRequestsAway(t *testing.T) {
	core := newCore(entry("a", "z", "m"), entry("b", "z", "m"))
	request := Request{Model: "m", PromptTokens: 9000, Parts: []PromptPart{{ID: "x", Tokens: 6300}, {ID: "y", Tokens: 2700}}}
	preferred := pick(core, begin, request)
	other := map[string]string{"a": "b", "b": "a"}[preferred]
	core.SetFleetLoads(begin, 5, []PeerLoad{{ServerID: preferred, Running: 20, PendingTokens: 30000}})
	if got := pick(core, begin.Add(time.Second), request); got != other {
		t.Errorf("picked %s, which is loaded by the fleet", got)
	}
	core.SetViews(begin, 6, []View{})
	core.SetFleetLoads(begin, 5, nil)
	if got := pick(core, begin.Add(time.Second), request); got != other {
		t.Error("loads from the leader of an older term are applied")
	}
	core.SetFleetLoads(begin.Add(time.Second), 6, []PeerLoad{{ServerID: other, Running: 20, PendingTokens: 30000}})
	if got := pick(core, begin.Add(time.Second), request); got != preferred {
		t.Errorf("picked %s, which is now the loaded one", got)
	}
}

// BenchmarkFleetLoads measures the leader's cost of one update of the loads.
func BenchmarkFleetLoads(b *testing.B) {
	for _, servers := range []int{160, 2300} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			core := New(Options{Zone: "z"})
			var changes []inventory.Change
			for i := range servers {
				changes = append(changes, entry(fmt.Sprint("server-", i), "z", "m"))
			}
			core.SetServers(changes)
			for i := range servers {
				core.SetPeerLoads(begin, fmt.Sprint("peer-", i), []PeerLoad{{ServerID: fmt.Sprint("server-", i), Running: 3, PendingTokens: 900}})
			}
			loads, now := NewFleetLoads(), begin
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				loads.Add(now, core.TotalLoads(begin))
				loads.Busiest(48)
			}
		})
	}
}
