package edge

import (
	"fmt"
	"runtime"
	"sync"
	"testing"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// TestServersThatLeftStayAway guards against servers to which requests are sent until the process ends, though no
// source lists them: what a peer announced was put into effect after the store's later word that they left.
func TestServersThatLeftStayAway(t *testing.T) {
	const rounds, servers = 5, 3000
	node := newConnectedNodes(t, 1)[0]
	for round := range rounds {
		revision := int64(10 * (round + 1))
		var announced []gossip.ServerChange
		for i := range servers {
			announced = append(announced, gossip.ServerChange{Server: inventory.Server{
				ID: fmt.Sprintf("%d-%d", round, i), Service: "s", Zone: "z", Address: "127.0.0.1:1", SoftwareVersion: "v1", Position: storepos.At(0, revision),
			}})
		}
		last := announced[servers-1].Server
		var both sync.WaitGroup
		both.Go(func() { node.receivePeerChanges(clock.Now(), announced) })
		both.Go(func() {
			for !node.directory.has(last.Start()) {
				runtime.Gosched()
			}
			node.applyServerEvents([]inventory.Change{{Server: last, Gone: true}}, storepos.At(0, revision+1))
		})
		both.Wait()
		isUsed := false
		node.dispatch.Do(func(core *dispatch.Core) { isUsed = core.HasEntry(last.ID) })
		if node.directory.has(last.Start()) || isUsed {
			t.Fatalf("round %d: a server that left is used", round)
		}
	}
}

// has reports whether the start of a server is known.
func (d *directory) has(start inventory.Start) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.HasStart(start)
}
