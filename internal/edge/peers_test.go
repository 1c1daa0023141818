package edge

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storelease"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// newTestNode is a node with its socket on loopback, that nothing runs.
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

// TestNodeThatBecomesSentinelWatchesAnew: the first two nodes were cut from the
// store while a compaction had made the watches of the next ones deaf, which
// went on for five seconds.
func TestNodeThatBecomesSentinelWatchesAnew(t *testing.T) {
	node := newTestNode(t)
	sequence := uint64(0)
	hear := func(failing bool) {
		sequence++
		for _, address := range []string{"126.0.0.1:1", "126.0.0.2:1"} {
			node.peers.handleState(&peerpb.NodeState{Node: address, Address: address, Life: 1, Sequence: sequence, StoreFailing: failing})
		}
	}
	hear(false)
	node.peers.refreshOnSentinel()
	if config, servers := countSignals(node.configRefresh), countSignals(node.serversRefresh); config+servers != 0 {
		t.Errorf("%d and %d watches begun anew by a node that is no sentinel", config, servers)
	}
	hear(true)
	node.peers.refreshOnSentinel()
	if config, servers := countSignals(node.configRefresh), countSignals(node.serversRefresh); config != 1 || servers != 1 {
		t.Errorf("%d and %d watches begun anew, want both", config, servers)
	}
	node.peers.refreshOnSentinel()
	if config, servers := countSignals(node.configRefresh), countSignals(node.serversRefresh); config+servers != 0 {
		t.Errorf("%d and %d watches begun anew by a node that was a sentinel before", config, servers)
	}
}

// TestNodeThatStartsKeepsItsWatches: a node that knows nobody yet watches for
// itself, and each began its first watches anew for that.
func TestNodeThatStartsKeepsItsWatches(t *testing.T) {
	node := newTestNode(t)
	node.peers.refreshOnSentinel()
	if config, servers := countSignals(node.configRefresh), countSignals(node.serversRefresh); config+servers != 0 {
		t.Errorf("%d and %d watches begun anew by a node that just started", config, servers)
	}
}

// TestCandidateReadsPeersUnderTheirLock fails under the race detector, which found
// it over processes, where the candidate reads a peer that a datagram is changing.
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
		t.Error("a candidate beside a leader that is heard")
	}
}
