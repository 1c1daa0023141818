package edge

import (
	"net"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/reachability"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// newNodeWithoutServers returns a node all of whose servers refuse connections.
func newNodeWithoutServers(t *testing.T) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	node := newTestNode(t)
	engine := &routetable.Engine{}
	node.handler.SetTable(routetable.New(1, nil, []routetable.Service{{Name: "models", Engine: engine}, {Name: "empty"}}, routetable.Limits{}))
	node.hasServers.Store(true)
	node.seedsQueried.Store(true)
	node.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{
			{Server: inventory.Server{ID: "a", Service: "models", Address: address, Zone: "z", Position: storepos.At(0, 1)}},
			{Server: inventory.Server{ID: "b", Service: "models", Address: address, Zone: "z", Position: storepos.At(0, 1)}},
		})
	})
	node.reachable.RecordFailure("models", "a")
	if !node.reachable.IsUnreachable("models") {
		t.Fatal("servers that refuse connections count as reachable")
	}
	return node
}

func observePeerAt(node *Node, sequence uint64, state *peerpb.NodeState) {
	state.Node, state.Address, state.Life, state.Sequence = "peer", "126.0.0.1:1", 1, sequence
	node.peers.roster.Observe(clock.Now(), state)
}

// TestNodeThatReachesNobodyIsNotReady checks that callers are sent elsewhere only if no peer can take
// their requests, and never by a node that has no peers at all.
func TestNodeThatReachesNobodyIsNotReady(t *testing.T) {
	node := newNodeWithoutServers(t)
	if !node.isReady() {
		t.Error("the only node of a fleet is not ready while its servers are down")
	}
	observePeerAt(node, 1, &peerpb.NodeState{AcceptsForwarded: true})
	if !node.isReady() {
		t.Error("a node with a peer that takes requests is not ready")
	}
	clock.SimulateSuspend(5 * time.Second)
	defer clock.SimulateSuspend(-5 * time.Second)
	if node.isReady() {
		t.Error("a node that reaches neither a server nor a peer is ready")
	}
}

// TestForwarderIsOneThatReachesTheServers checks the filter for peers.
func TestForwarderIsOneThatReachesTheServers(t *testing.T) {
	node := newNodeWithoutServers(t)
	cases := []struct {
		name  string
		state *peerpb.NodeState
		want  bool
	}{
		{"reaches the servers", &peerpb.NodeState{AcceptsForwarded: true}, true},
		{"earlier build", &peerpb.NodeState{}, false},
		{"reaches none either", &peerpb.NodeState{AcceptsForwarded: true, Unreachable: []string{"models"}}, false},
		{"reaches none of another service", &peerpb.NodeState{AcceptsForwarded: true, Unreachable: []string{"other"}}, true},
		{"leaving", &peerpb.NodeState{AcceptsForwarded: true, Leaving: true}, false},
	}
	for i, c := range cases {
		observePeerAt(node, uint64(i+1), c.state)
		address, release, ok := node.forwarder.Pick("models", locality.Regions{}, nil)
		if ok != c.want {
			t.Errorf("%s: chosen %v (%s), want %v", c.name, ok, address, c.want)
		}
		if ok {
			release()
		}
		if len(node.forwarder.inFlight) != 0 {
			t.Errorf("%s: requests in flight after the release: %v", c.name, node.forwarder.inFlight)
		}
	}
}

// TestLeaderStaysWhereNobodyCouldOrder checks that a lease is ceded only to a peer that could use it.
func TestLeaderStaysWhereNobodyCouldOrder(t *testing.T) {
	node := newNodeWithoutServers(t)
	if node.leader.hasOrderingPeer(clock.Now()) {
		t.Error("a node without peers cedes the lease")
	}
	observePeerAt(node, 1, &peerpb.NodeState{CannotOrder: true})
	if node.leader.hasOrderingPeer(clock.Now()) {
		t.Error("the lease is ceded although the peer reaches no server either")
	}
	observePeerAt(node, 2, &peerpb.NodeState{})
	if !node.leader.hasOrderingPeer(clock.Now()) {
		t.Error("the lease is kept although a peer reaches the servers")
	}
}

// TestServersThatWereDownBeforeAreNoWitnesses: a request that ends the last server that is up is blamed, but
// none is where all servers stop answering at the same time.
func TestServersThatWereDownBeforeAreNoWitnesses(t *testing.T) {
	var blamed poison.Fingerprint
	cases := []struct {
		name   string
		before func(node *Node)
		want   bool
	}{
		{"all at the same time", func(*Node) {}, false},
		{"the other crashed under a request", func(node *Node) { node.suspects.ReportCrash(blamed, "a", 0) }, true},
		{"the other alone did not answer", func(node *Node) {
			node.reachable.tracker.RecordFailure(clock.Now(), "models", "a")
			node.reachable.RecordContact("models", "b")
		}, true},
		{"the other answered since", func(node *Node) {
			node.reachable.tracker.RecordFailure(clock.Now(), "models", "a")
			node.reachable.RecordContact("models", "b")
			node.reachable.RecordContact("models", "a")
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			node := newNodeWithoutServers(t)
			node.reachable.tracker = reachability.New()
			c.before(node)
			if got := node.reachable.ReachesOthers("models", "b"); got != c.want {
				t.Errorf("the end of the other server counts as seen by itself: %v, want %v", got, c.want)
			}
		})
	}
}
