package edge

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/cutanswer"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Guards against a part of a peer's list of servers that is taken for the whole: the servers that it doesn't name
// would count as gone. A part of a message may be a message.
func TestPartOfASnapshotIsNotBelieved(t *testing.T) {
	servers := []inventory.Server{
		{ID: "a", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 6, Position: storepos.At(0, 4)},
		{ID: "b", Service: "s", Address: "10.0.0.2:1", Zone: "z", Slots: 6, Position: storepos.At(0, 5)},
	}
	snapshot, err := proto.Marshal(&peerpb.SnapshotResponse{ServersRevision: 9, ServersDigest: 7, Servers: encodeEntries(servers)})
	if err != nil {
		t.Fatal(err)
	}
	server := cutanswer.NewServer(t)
	server.ForEach(t, "200 OK", "Content-Type: application/protobuf\r\n", string(snapshot), func(t *testing.T, cut cutanswer.Cut) {
		node := newTestNode(t)
		node.options.Store = sourceStore{}
		node.applyPeerServerList(inventory.PeerList{Servers: servers, Position: storepos.At(0, 6)})
		node.snapshots.fetch(context.Background(), server.Address, &peerpb.SnapshotRequest{})
		if !node.directory.table.IsAvailable("a") || !node.directory.table.IsAvailable("b") {
			t.Error("a server counts as gone")
		}
		isTaken := node.directory.position() == storepos.At(0, 9)
		if isTaken && !cut.IsWhole() || !isTaken && cut.IsWhole() && !cut.Form.IsUnframed {
			t.Errorf("position %v", node.directory.position())
		}
	})
}
