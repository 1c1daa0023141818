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
	"github.com/spanlanding/spanlanding/internal/relay"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// newNodeWithoutServers returns a node all of whose servers refuse connections.
func newNodeWithoutServers(t *testing.T) *Node {
	t.Helper()
	address := closedAddress(t)
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
		{"the other crashed under a request", func(node *Node) { node.suspects.ReportCrash(relay.Crash{Request: blamed, ServerID: "a"}) }, true},
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

// TestWitnessSharesTheWay guards against blaming a request for servers that are alive: the ways to one
// service, or to one zone of it, fail while this node reaches others.
func TestWitnessSharesTheWay(t *testing.T) {
	answering, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer answering.Close()
	refusing := closedAddress(t)
	server := func(id, service, zone, address string) inventory.Change {
		return inventory.Change{Server: inventory.Server{ID: id, Service: service, Address: address, Zone: zone, Position: storepos.At(0, 1)}}
	}
	up := answering.Addr().String()
	cases := map[string]struct {
		others  []inventory.Change
		crashed []string
		want    bool
	}{
		"others of its zone answer":                  {others: []inventory.Change{server("b", "models", "z", up)}, want: true},
		"its service alone is cut off":               {others: []inventory.Change{server("b", "models", "z", refusing), server("c", "commands", "z", up)}},
		"its zone alone is cut off":                  {others: []inventory.Change{server("b", "models", "z", refusing), server("c", "models", "y", up)}},
		"others of its zone crashed before":          {others: []inventory.Change{server("b", "models", "z", refusing), server("c", "models", "y", up)}, crashed: []string{"b"}, want: true},
		"all of its service crashed before":          {others: []inventory.Change{server("b", "models", "z", refusing), server("c", "commands", "z", up)}, crashed: []string{"b"}, want: true},
		"it is alone in its service":                 {others: []inventory.Change{server("c", "commands", "z", up)}, want: true},
		"it is alone in its service, all is cut off": {others: []inventory.Change{server("c", "commands", "z", refusing)}},
		"it is alone":                                {want: true},
	}
	for name, c := range cases {
		node := newTestNode(t)
		node.dispatch.Do(func(core *dispatch.Core) { core.SetServers(append(c.others, server("a", "models", "z", refusing))) })
		for _, id := range c.crashed {
			node.suspects.ReportCrash(relay.Crash{Request: poison.Fingerprint{1}, ServerID: id})
		}
		if got := node.reachable.ReachesOthers("models", "a"); got != c.want {
			t.Errorf("%s: the end of the server counts as seen: %v, want %v", name, got, c.want)
		}
	}
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
