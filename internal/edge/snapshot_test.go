package edge

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

var errNoAnswer = errors.New("no answer")

// sourceStore only decodes configuration sources.
type sourceStore struct{ Store }

func (sourceStore) DecodeConfiguration(source []byte) (*routetable.Table, error) {
	if string(source) != "version nine" {
		return nil, errors.New("not a configuration")
	}
	table := routetable.New(9, nil, nil, routetable.Limits{})
	table.Source = source
	return table, nil
}

// serveSnapshots serves the node's snapshots on a loopback address.
func serveSnapshots(t *testing.T, node *Node) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = node.snapshots.serve(ctx, listener) }()
	return listener.Addr().String()
}

// TestSnapshotBringsWhatThePeerKnows checks that a snapshot transfers the peer's data and its
// age.
func TestSnapshotBringsWhatThePeerKnows(t *testing.T) {
	peer, node := newTestNode(t), newTestNode(t)
	for _, each := range []*Node{peer, node} {
		each.options.Store = sourceStore{}
	}
	address := serveSnapshots(t, peer)
	if node.snapshots.fetch(context.Background(), address, node.knownState()) {
		t.Error("a peer without data satisfied the request")
	}
	table, _ := sourceStore{}.DecodeConfiguration([]byte("version nine"))
	peer.activateTable(table, "read")
	peer.applyPeerServerList(inventory.PeerList{Servers: []inventory.Server{
		{ID: "a", Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 6, Position: storepos.At(0, 4), Models: []inventory.HeldModel{{Name: "m", Adapters: []string{"x"}}}},
		{ID: "b", Position: storepos.At(0, 5), Draining: true},
	}, Position: storepos.At(0, 6)})
	peer.configConfirmed.confirm(clock.Now().Add(-300 * time.Millisecond))
	peer.serversConfirmed.confirm(clock.Now().Add(-300 * time.Millisecond))
	if !node.snapshots.fetch(context.Background(), address, node.knownState()) {
		t.Fatal("the snapshot was not received")
	}
	if node.configVersion() != 9 || !node.directory.table.IsAvailable("a") || node.directory.table.IsAvailable("b") {
		t.Errorf("version %d, a available: %v, b available: %v", node.configVersion(), node.directory.table.IsAvailable("a"), node.directory.table.IsAvailable("b"))
	}
	for name, confirmed := range map[string]*confirmation{"configuration": &node.configConfirmed, "servers": &node.serversConfirmed} {
		if age, known := confirmed.age(clock.Now()); !known || age < 300*time.Millisecond {
			t.Errorf("%s: confirmed %v ago, %v; want at least the peer's 300 ms", name, age, known)
		}
	}
}

// TestSnapshotLeavesOutWhatTheAskerHas guards against redundant transfers: half of 2,300
// snapshots in a large test contained a list of servers that the requester already had.
func TestSnapshotLeavesOutWhatTheAskerHas(t *testing.T) {
	peer, node := newTestNode(t), newTestNode(t)
	for _, each := range []*Node{peer, node} {
		each.applyPeerServerList(inventory.PeerList{Servers: []inventory.Server{{ID: "a", Position: storepos.At(0, 4)}}, Position: storepos.At(0, 6)})
	}
	peer.serversConfirmed.confirm(clock.Now())
	cases := []struct {
		name    string
		request *peerpb.SnapshotRequest
		servers int
	}{
		{"the same servers", node.knownState(), 0},
		{"others", &peerpb.SnapshotRequest{ServersDigest: 9}, 1},
		{"all", &peerpb.SnapshotRequest{}, 1},
	}
	for _, c := range cases {
		response, err := peer.snapshots.Snapshot(context.Background(), c.request)
		if err != nil || len(response.Servers) != c.servers || response.ServersAgeMs == 0 {
			t.Errorf("%s: %d servers, age %d, %v; want %d", c.name, len(response.Servers), response.ServersAgeMs, err, c.servers)
		}
	}
	node.snapshots.fetch(context.Background(), serveSnapshots(t, peer), node.knownState())
	if _, known := node.serversConfirmed.age(clock.Now()); !known || !node.directory.table.IsAvailable("a") {
		t.Error("a snapshot without servers did not confirm the known ones, or removed them")
	}
}

// TestSnapshotOfADeadPeerFails checks that a request fails at once if nobody listens.
func TestSnapshotOfADeadPeerFails(t *testing.T) {
	node := newTestNode(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	if node.snapshots.fetch(context.Background(), address, node.knownState()) {
		t.Error("a dead peer satisfied the request")
	}
}

// TestNodeThatHeardAllServersAsNewsBecomesReady guards against a node that never becomes ready.
// A node that started right after an outage learned of all servers by announcements. Its peers
// inferred from its digest that it had their list and never sent it; it asked 30 times a second
// and was not ready for more than seven seconds.
func TestNodeThatHeardAllServersAsNewsBecomesReady(t *testing.T) {
	peer, node := newTestNode(t), newTestNode(t)
	table := routetable.New(9, nil, nil, routetable.Limits{})
	node.handler.SetTable(table)
	peer.handler.SetTable(table)
	peer.applyPeerServerList(inventory.PeerList{Servers: []inventory.Server{{ID: "a", Position: storepos.At(0, 4)}}, Position: storepos.At(0, 6)})
	peer.serversConfirmed.confirm(clock.Now())
	node.receivePeerChanges(clock.Now(), []gossip.ServerChange{{Server: inventory.Server{ID: "a", Position: storepos.At(0, 4), Announced: true}}})
	digest, at := peer.directory.digestAndPosition()
	node.peers.handleState(&peerpb.NodeState{
		Node: "p", Address: "126.0.0.1:1", Life: 1, Sequence: 1, ServersDigest: digest, ServersRevision: at.Revision, ServersAgeMs: 1,
	})
	if _, confirmed := node.serversConfirmed.age(clock.Now()); confirmed {
		t.Error("servers known only from announcements were confirmed as the whole list")
	}
	if !node.snapshots.fetch(context.Background(), serveSnapshots(t, peer), node.knownState()) || !node.isReady() {
		t.Error("the peer's list does not make the node ready")
	}
}

// TestConfigurationNeverGoesBack guards against an older configuration that replaces a newer one because it
// was compared with what was in force before: one comes from the store as another comes from a peer.
func TestConfigurationNeverGoesBack(t *testing.T) {
	const rounds, sources = 3000, 8
	node := newTestNode(t)
	for round := range int64(rounds) {
		var sending sync.WaitGroup
		for source := range int64(sources) {
			sending.Go(func() {
				node.activateTable(routetable.New(round*sources+source+1, nil, nil, routetable.Limits{}), "test")
			})
		}
		sending.Wait()
		if got, want := node.handler.Table().Version, (round+1)*sources; got != want {
			t.Fatalf("version %d is in force after %d", got, want)
		}
	}
}
