package edge

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/relay"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storelease"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// newTestNode returns a node with a socket on loopback and no running goroutines.
func newTestNode(t testing.TB) *Node {
	t.Helper()
	node := New(Options{
		Name: "n", Zone: "z", PeerAddress: "127.0.0.1:0", Logger: logging.Discard(),
		Pool:     backendconn.New(backendconn.Options{}),
		Tunables: Tunables{RetryBudget: retrybudget.Options{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}},
	})
	peers, err := newPeers(node)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peers.conn.Close() })
	node.peers = peers
	return node
}

func countSignals(signals chan struct{}) int {
	count := len(signals)
	for len(signals) > 0 {
		<-signals
	}
	return count
}

// TestNodeThatBecomesSentinelWatchesAnew guards against stalled watches: while the first two
// nodes were cut off from the store, a compaction had stalled the watches of the nodes next in
// rank, which missed changes for five seconds.
func TestNodeThatBecomesSentinelWatchesAnew(t *testing.T) {
	node := newTestNode(t)
	sequence := uint64(0)
	receive := func(failing bool) {
		sequence++
		for _, address := range []string{"126.0.0.1:1", "126.0.0.2:1"} {
			node.peers.handleState(&peerpb.NodeState{Node: address, Address: address, Life: 1, Sequence: sequence, StoreFailing: failing})
		}
	}
	receive(false)
	node.peers.refreshOnSentinel()
	if config, servers := countSignals(node.configRefresh), countSignals(node.serversRefresh); config+servers != 0 {
		t.Errorf("%d and %d watches restarted by a node that is no sentinel", config, servers)
	}
	receive(true)
	node.peers.refreshOnSentinel()
	if config, servers := countSignals(node.configRefresh), countSignals(node.serversRefresh); config != 1 || servers != 1 {
		t.Errorf("%d and %d watches restarted, want both", config, servers)
	}
	node.peers.refreshOnSentinel()
	if config, servers := countSignals(node.configRefresh), countSignals(node.serversRefresh); config+servers != 0 {
		t.Errorf("%d and %d watches restarted by a node that was a sentinel before", config, servers)
	}
}

// TestNodeThatStartsKeepsItsWatches checks that a starting node, which knows no peers and
// watches for itself, does not restart its first watches.
func TestNodeThatStartsKeepsItsWatches(t *testing.T) {
	node := newTestNode(t)
	node.peers.refreshOnSentinel()
	if config, servers := countSignals(node.configRefresh), countSignals(node.serversRefresh); config+servers != 0 {
		t.Errorf("%d and %d watches restarted by a node that has just started", config, servers)
	}
}

// TestCandidateReadsPeersUnderTheirLock relies on the race detector: a candidate must not read a
// peer's state while a datagram changes it.
func TestCandidateReadsPeersUnderTheirLock(t *testing.T) {
	node := newTestNode(t)
	node.handler.SetTable(routetable.New(1, nil, nil, routetable.Limits{}))
	node.hasServers.Store(true)
	now := clock.Now()
	node.leader.lease.Observe(now, now, storelease.Record{Holder: "other", Position: storepos.At(0, 3)})
	const datagrams = 2000
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sequence := range uint64(datagrams) {
			node.peers.handleState(&peerpb.NodeState{
				Node: "other", Address: "126.0.0.1:1", Life: 1, Sequence: sequence + 1, Leader: &peerpb.LeaderState{Term: 3},
			})
		}
	}()
	for isOver := false; !isOver; {
		node.leader.isCandidate(now)
		select {
		case <-done:
			isOver = true
		default:
		}
	}
	if node.leader.isCandidate(clock.Now()) {
		t.Error("candidate although a leader is heard from")
	}
}

// TestPotentialLeadersHearOfNewServers guards against a potential leader that watches no store, and learns of
// new servers and later starts a second after the others: streams that it began meanwhile did not go on.
func TestPotentialLeadersHearOfNewServers(t *testing.T) {
	node := newTestNode(t)
	// The first is the leader, and the next two are the strongest besides it.
	strengths := []uint32{400, 300, 200, 100}
	var listeners []*net.UDPConn
	for number, strength := range strengths {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		listeners = append(listeners, conn)
		state := &peerpb.NodeState{Node: fmt.Sprint("n", number), Address: conn.LocalAddr().String(), Life: 1, Sequence: 1, Strength: strength}
		if number == 0 {
			state.Leader = &peerpb.LeaderState{Term: 7}
		}
		node.peers.handleState(state)
	}
	now := clock.Now()
	node.directory.replace(now, now, nil, storepos.At(1, 1))
	started := inventory.Server{ID: "i-1", StartedAtMs: 5, Service: "s", Address: "127.0.0.1:1", Position: storepos.At(1, 2)}
	node.directory.apply(now, []inventory.Change{{Server: started}}, storepos.At(1, 2))
	node.peers.tick()
	for number, conn := range listeners {
		if isLeader, isTold := number == 0, hearsOf(t, conn, started.ID); isTold == isLeader {
			t.Errorf("the node of strength %d heard of the new server: %v", strengths[number], isTold)
		}
	}
}

// hearsOf reports whether a datagram that has been sent to the connection tells of the server.
func hearsOf(t *testing.T, conn *net.UDPConn, serverID string) bool {
	t.Helper()
	buffer := make([]byte, maxDatagram)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		count, err := conn.Read(buffer)
		if err != nil {
			return false
		}
		state := &peerpb.NodeState{}
		if err := proto.Unmarshal(buffer[:count], state); err != nil {
			t.Fatal(err)
		}
		if slices.ContainsFunc(state.News, func(news *peerpb.ServerNews) bool { return news.Server == serverID }) {
			return true
		}
	}
}

// TestTicksAreMadeOneAfterTheOther guards against states that cross, and bars that are told twice or not at all, as the
// news of the store or of a peer come while the period's datagrams are sent. It needs the race detector.
func TestTicksAreMadeOneAfterTheOther(t *testing.T) {
	const nodes, tickers = 40, 4
	for range nodes {
		node := newTestNode(t)
		node.suspects.ReportCrash(relay.Crash{Request: poison.Fingerprint{1}, ServerID: "a", RanFor: time.Second})
		var ticks sync.WaitGroup
		begin := make(chan struct{})
		for range tickers {
			ticks.Go(func() {
				<-begin
				node.peers.tick()
			})
		}
		close(begin)
		ticks.Wait()
	}
}
