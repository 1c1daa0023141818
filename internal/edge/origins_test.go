package edge

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/relay"
)

// newVersionedNodes returns connected nodes that know servers of a service at the software versions.
func newVersionedNodes(t *testing.T, count int, versions ...string) []*Node {
	t.Helper()
	nodes := newConnectedNodes(t, count)
	for _, node := range nodes {
		for i, version := range versions {
			change := inventory.Change{Server: inventory.Server{ID: string(rune('a' + i)), Service: "s", Zone: "z", SoftwareVersion: version}}
			node.dispatch.Do(func(core *dispatch.Core) { core.SetServers([]inventory.Change{change}) })
		}
	}
	return nodes
}

// observe makes the node hear of another one, beside what its socket brings.
func (n *Node) observe(state *peerpb.NodeState) {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	n.peers.roster.Observe(clock.Now(), state)
}

// awaitSize waits until the node keeps that many origins.
func awaitSize(t *testing.T, node *Node, size int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); node.origins.size() < size; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d origins, want %d", node.origins.size(), size)
		}
	}
}

// TestOriginIsFoundWithoutItsNode guards against streams whose beginning only the node knows that
// passed them on: any other node finds it, also from a keeper's hand-off after the keeper stopped.
func TestOriginIsFoundWithoutItsNode(t *testing.T) {
	nodes := newVersionedNodes(t, 4, "v1", "v2")
	entry := origins.Entry{Key: origins.NewKey("caller", "r1"), Origin: origins.Origin{Service: "s", SoftwareVersion: "v1"}, ExpiresAt: clock.Now().Add(time.Minute)}
	nodes[0].origins.Record(entry)
	for _, node := range nodes {
		awaitSize(t, node, 1)
	}
	newcomer := newVersionedNodes(t, 1, "v1", "v2")[0]
	newcomer.peers.roster.Observe(clock.Now(), &peerpb.NodeState{Node: "n", Address: nodes[2].peers.address, Life: 9, Sequence: 1})
	got := newcomer.origins.Find(context.Background(), entry.Key, "s")
	if !got.IsKnown || got.Entry.Origin != entry.Origin || got.Source != relay.OriginFromPeer {
		t.Fatalf("got %+v, want the origin from a keeper", got)
	}
	if got := newcomer.origins.Find(context.Background(), origins.NewKey("other caller", "r1"), "s"); got.IsKnown || got.IsPartial || len(got.Versions) != 2 {
		t.Errorf("got %+v, want an unknown stream of a service with two versions", got)
	}
	nodes[1].peers.roster.Observe(clock.Now(), &peerpb.NodeState{Node: "n", Address: newcomer.peers.address, Life: 10, Sequence: 1})
	for _, other := range []*Node{nodes[0], nodes[2], nodes[3]} {
		nodes[1].peers.roster.Observe(clock.Now(), &peerpb.NodeState{Node: "n", Address: other.peers.address, Life: 1, Sequence: 2, Leaving: true})
	}
	nodes[1].origins.handOff(clock.Now())
	awaitSize(t, newcomer, 1)
}

// TestStoppingNodesTellWhereStreamsBegan guards against refusing streams for good whose origin only nodes know
// that are stopping: while all are restarted in turn there may be no others.
func TestStoppingNodesTellWhereStreamsBegan(t *testing.T) {
	newcomer, stopping := newVersionedNodes(t, 1, "v1", "v2")[0], newVersionedNodes(t, 1, "v1", "v2")[0]
	entry := origins.Entry{Key: origins.NewKey("caller", "r1"), Origin: origins.Origin{Service: "s", SoftwareVersion: "v1"}, ExpiresAt: clock.Now().Add(time.Minute)}
	stopping.origins.Record(entry)
	stopping.stopping.Store(true)
	stopping.origins.handOff(clock.Now())
	newcomer.observe(&peerpb.NodeState{Node: "n", Address: stopping.peers.address, Life: 1, Sequence: 1, Leaving: true})
	if got := newcomer.origins.Find(context.Background(), entry.Key, "s"); !got.IsKnown || got.Entry.Origin != entry.Origin {
		t.Fatalf("got %+v, want the origin from a node that is stopping", got)
	}
	if newcomer.origins.size() != 0 {
		t.Fatal("the newcomer keeps the origin before it is handed on")
	}
	stopping.observe(&peerpb.NodeState{Node: "n", Address: newcomer.peers.address, Life: 1, Sequence: 1})
	stopping.origins.tick(clock.Now())
	awaitSize(t, newcomer, 1)
}

// TestUnreadableOriginsAreDropped guards against origins of peers that no stream can have.
func TestUnreadableOriginsAreDropped(t *testing.T) {
	node := newTestNode(t)
	key, long := origins.NewKey("", "r1"), string(make([]byte, origins.MaxTextBytes+1))
	for _, encoded := range []*peerpb.StreamOrigin{
		{}, {Key: key[:3], Service: "s", LeftMs: 1000}, {Key: key[:], LeftMs: 1000}, {Key: key[:], Service: "s"},
		{Key: key[:], Service: long, LeftMs: 1000}, {Key: key[:], Service: "s", SoftwareVersion: long, LeftMs: 1000},
	} {
		node.origins.receive(clock.Now(), []*peerpb.StreamOrigin{encoded})
	}
	node.peers.handleDatagram([]byte{0x80})
	node.origins.handleCall(&peerpb.OriginCall{Key: key[:2], Asker: "nowhere"})
	node.origins.handleCall(&peerpb.OriginCall{IsAnswer: true, Id: 7})
	if node.origins.size() != 0 {
		t.Errorf("%d origins kept, want none", node.origins.size())
	}
}

// TestCertainOriginIsSentAgain guards against losing a stream's origin with one datagram where it is certain
// from the first event on: such an origin is repeated and kept up like any other, until its stream ends.
func TestCertainOriginIsSentAgain(t *testing.T) {
	nodes := newVersionedNodes(t, 2, "v1", "v2")
	entry := origins.Entry{
		Key: origins.NewKey("caller", "r1"), Origin: origins.Origin{Service: "s", SoftwareVersion: "v1"}, ExpiresAt: clock.Now().Add(time.Minute), IsCertain: true,
	}
	nodes[0].origins.Record(entry)
	awaitSize(t, nodes[1], 1)
	forget := func() {
		nodes[1].origins.mu.Lock()
		nodes[1].origins.table = origins.NewTable()
		nodes[1].origins.mu.Unlock()
	}
	forget()
	nodes[0].origins.tick(clock.Now())
	awaitSize(t, nodes[1], 1)
	forget()
	nodes[0].origins.mu.Lock()
	nodes[0].origins.inProgress[entry.Key] = clock.Now().Add(-originRefreshPeriod)
	nodes[0].origins.mu.Unlock()
	nodes[0].origins.tick(clock.Now())
	awaitSize(t, nodes[1], 1)
	nodes[0].origins.End(entry.Key)
	nodes[0].origins.Record(entry)
	nodes[0].origins.mu.Lock()
	defer nodes[0].origins.mu.Unlock()
	if _, isInProgress := nodes[0].origins.inProgress[entry.Key]; isInProgress || len(nodes[0].origins.repeats) > 0 {
		t.Error("a confirmation after the stream's end keeps it in progress")
	}
}

// TestOutcomesOfQuestionsDiffer guards against taking a question that was not asked, or not answered, for one
// to a server that is down: such a server may have started again.
func TestOutcomesOfQuestionsDiffer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	_, refused := backendconn.New(backendconn.Options{}).Get(context.Background(), address, "")
	timedOut := backendconn.New(backendconn.Options{Dial: func(context.Context, string) (net.Conn, error) { return nil, os.ErrDeadlineExceeded }})
	_, unreached := timedOut.Get(context.Background(), address, "")
	cases := map[string]struct {
		err  error
		want relay.StartOutcome
	}{
		"answered":                       {nil, relay.StartTold},
		"not admitted":                   {errCallNotAdmitted, relay.StartNotAdmitted},
		"connection refused":             {refused, relay.StartServerDown},
		"connection not open in time":    {unreached, relay.StartUnanswered},
		"connection broke off":           {backendconn.ErrMaybeSent.Wrap(syscall.ECONNRESET, "read response"), relay.StartUnanswered},
		"answered by something else":     {errors.New("status 421"), relay.StartUnanswered},
		"broke off as if it was refused": {backendconn.ErrMaybeSent.Wrap(syscall.ECONNREFUSED, "read response"), relay.StartUnanswered},
	}
	for name, c := range cases {
		if got := startOutcome(c.err); got != c.want {
			t.Errorf("%s: %v is %q, want %q", name, c.err, got, c.want)
		}
	}
}
