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

// recordedMessage is a message of a build that landed, as it was recorded there.
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
		t.Fatalf("no builds are recorded: %v", err)
	}
	return paths
}

// TestNodeOfALandedBuildIsHeard: its datagrams, with all that it may say.
func TestNodeOfALandedBuildIsHeard(t *testing.T) {
	for _, path := range recordedBuilds(t) {
		node := newTestNode(t)
		for _, name := range []string{"state", "quota", "trial"} {
			node.peers.handleDatagram(recordedMessage(t, path, name))
		}
		if node.peers.unreadable.Load() > 0 {
			t.Errorf("%s: %d datagrams cannot be read", path, node.peers.unreadable.Load())
		}
		if got := node.peers.randomNearby(clock.Now()); got != "127.0.0.1:9" {
			t.Errorf("%s: the node is not heard: %q", path, got)
		}
	}
}

// TestOlderNodeForgetsNothingThatItDoesNotKnow: its list and its news do not say of which start a
// server is. What the server told in the one that is known goes on to hold.
func TestOlderNodeForgetsNothingThatItDoesNotKnow(t *testing.T) {
	server := inventory.Server{ID: "a", StartedAtMs: 7, Service: "s", Address: "127.0.0.1:1", Zone: "z", Position: storepos.At(0, 3)}
	for name, tell := range map[string]func(node *Node){
		"list": func(node *Node) {
			node.applyPeerServerList(decodeEntries([]*peerpb.ServerEntry{{Server: "a", Service: "s", Address: "127.0.0.1:1", Zone: "z", Revision: 9}}, 0), storepos.At(0, 9))
		},
		"news": func(node *Node) {
			node.receivePeerChanges(clock.Now(), decodeChanges([]*peerpb.ServerNews{{Server: "a", Service: "s", Address: "127.0.0.1:1", Zone: "z", Revision: 9}}))
		},
		"view": func(node *Node) {
			node.dispatch.Do(func(core *dispatch.Core) {
				core.SetViews(clock.Now(), 5, decodeViews([]*peerpb.ServerView{{Server: "a"}}))
			})
		},
	} {
		node := newTestNode(t)
		node.applyServerList(clock.Now(), []inventory.Server{server}, storepos.At(0, 3))
		node.hints.receiveFromCall(server.Start(), inventory.Hint{Draining: true}, hintFromAnswer)
		tell(node)
		if got := startOf(node); got != 0 {
			t.Errorf("%s: start %d is sent to, which had said that it leaves", name, got)
		}
	}
}

// TestDatagramsOfLaterBuilds: fields that this build does not know are passed over, and what is cut
// short is counted.
func TestDatagramsOfLaterBuilds(t *testing.T) {
	node := newTestNode(t)
	datagram, err := proto.Marshal(&peerpb.NodeState{Node: "later", Address: "127.0.0.1:9", Life: 1, Sequence: 1, Zone: "z"})
	if err != nil {
		t.Fatal(err)
	}
	later := protowire.AppendString(protowire.AppendTag(datagram, 4000, protowire.BytesType), "news of a later build")
	node.peers.handleDatagram(later)
	if got := node.peers.randomNearby(clock.Now()); got != "127.0.0.1:9" || node.peers.unreadable.Load() != 0 {
		t.Errorf("a node of a later build is not heard: %q, %d unreadable", got, node.peers.unreadable.Load())
	}
	for end := 1; end < len(later); end++ {
		node.peers.handleDatagram(later[:end])
	}
	if node.peers.unreadable.Load() == 0 {
		t.Error("no datagram that was cut short is counted")
	}
}
