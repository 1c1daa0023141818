package edge

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// recordedMessage returns a message recorded from an earlier build.
func recordedMessage(t *testing.T, path, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	messages := make(map[string][]byte)
	if err := json.Unmarshal(text, &messages); err != nil {
		t.Fatal(err)
	}
	return messages[name]
}

func recordedBuilds(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("..", "peer", "testdata", "builds", "*.json"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no recorded builds found: %v", err)
	}
	return paths
}

// TestNodeOfALandedBuildIsHeard checks that complete datagrams of every recorded build are
// accepted.
func TestNodeOfALandedBuildIsHeard(t *testing.T) {
	for _, path := range recordedBuilds(t) {
		node := newTestNode(t)
		for _, name := range []string{"state", "quota", "trial"} {
			node.peers.handleDatagram(recordedMessage(t, path, name))
		}
		if node.peers.unreadable.Load() > 0 {
			t.Errorf("%s: %d datagrams could not be decoded", path, node.peers.unreadable.Load())
		}
		if got := node.peers.randomNearby(clock.Now()); got != "127.0.0.1:9" {
			t.Errorf("%s: the node is unknown, nearest peer is %q", path, got)
		}
	}
}

// TestOlderNodeForgetsNothingThatItDoesNotKnow checks compatibility with builds whose lists and
// announcements lack a server's start: what the server reported in its known start remains
// valid.
func TestOlderNodeForgetsNothingThatItDoesNotKnow(t *testing.T) {
	server := inventory.Server{ID: "a", StartedAtMs: 7, Service: "s", Address: "127.0.0.1:1", Zone: "z", Position: storepos.At(0, 3)}
	for name, tell := range map[string]func(node *Node){
		"list": func(node *Node) {
			node.applyPeerServerList(inventory.PeerList{Servers: decodeEntries([]*peerpb.ServerEntry{{Server: "a", Service: "s", Address: "127.0.0.1:1", Zone: "z", Revision: 9}}, 0), Position: storepos.At(0, 9)})
		},
		"news": func(node *Node) {
			node.receivePeerChanges(clock.Now(), decodeChanges([]*peerpb.ServerNews{{Server: "a", Service: "s", Address: "127.0.0.1:1", Zone: "z", Revision: 9}}))
		},
		"view": func(node *Node) {
			node.dispatch.Do(func(core *dispatch.Core) {
				core.SetViews(clock.Now(), 5, decodeViews([]*peerpb.ServerView{{Server: "a"}}, 1))
			})
		},
	} {
		node := newTestNode(t)
		node.applyServerList(clock.Now(), []inventory.Server{server}, storepos.At(0, 3))
		node.hints.receiveFromCall(server.Start(), inventory.Hint{Draining: true}, hintFromAnswer)
		tell(node)
		if got := startOf(node); got != 0 {
			t.Errorf("%s: start %d is used although it reported draining", name, got)
		}
	}
}

// TestDatagramsOfLaterBuilds checks that unknown fields are ignored, and that truncated
// datagrams are counted.
func TestDatagramsOfLaterBuilds(t *testing.T) {
	node := newTestNode(t)
	datagram, err := proto.Marshal(&peerpb.NodeState{Node: "later", Address: "127.0.0.1:9", Life: 1, Sequence: 1, Zone: "z"})
	if err != nil {
		t.Fatal(err)
	}
	later := protowire.AppendString(protowire.AppendTag(datagram, 4000, protowire.BytesType), "news of a later build")
	node.peers.handleDatagram(later)
	if got := node.peers.randomNearby(clock.Now()); got != "127.0.0.1:9" || node.peers.unreadable.Load() != 0 {
		t.Errorf("a node of a later build is unknown: nearest peer %q, %d unreadable", got, node.peers.unreadable.Load())
	}
	for end := 1; end < len(later); end++ {
		node.peers.handleDatagram(later[:end])
	}
	if node.peers.unreadable.Load() == 0 {
		t.Error("no truncated datagram was counted")
	}
}
