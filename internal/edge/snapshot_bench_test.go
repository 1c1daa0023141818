package edge

import (
	"fmt"
	"testing"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// BenchmarkSnapshotOfWhatIsKnown measures a snapshot for a peer that already has all 3,000
// servers.
func BenchmarkSnapshotOfWhatIsKnown(b *testing.B) {
	node := newTestNode(b)
	var servers []inventory.Server
	for i := range 3000 {
		servers = append(servers, inventory.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: benchAddress(i), Position: storepos.At(0, 3)})
	}
	node.applyPeerServerList(inventory.PeerList{Servers: servers, Position: storepos.At(0, 4)})
	request := node.knownState()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := node.snapshots.Snapshot(b.Context(), request); err != nil {
			b.Fatal(err)
		}
	}
}
