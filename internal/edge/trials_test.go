package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// newConnectedNodes returns nodes that know each other and receive each other's datagrams; the
// first is the strongest.
func newConnectedNodes(t *testing.T, count int) []*Node {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var nodes []*Node
	for i := range count {
		node := newTestNode(t)
		node.peers.address = node.peers.conn.LocalAddr().String()
		node.options.PeerAddress = node.peers.address
		node.peers.roster = gossip.New(node.peers.address, nil, 1)
		node.peers.roster.SetStrength(strongStrength - uint32(i))
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		for i, other := range nodes {
			if other != node {
				node.peers.roster.Observe(clock.Now(), &peerpb.NodeState{
					Node: other.peers.address, Address: other.peers.address, Life: 1, Sequence: 1, Strength: strongStrength - uint32(i),
				})
			}
		}
		go node.peers.receive(ctx)
	}
	return nodes
}

// putOnTrial registers at all nodes a request whose bar has expired.
func putOnTrial(t *testing.T, nodes []*Node) poison.Fingerprint {
	t.Helper()
	fingerprint := poison.NewFingerprint(poison.Identity{Target: "/x"})
	for _, node := range nodes {
		node.suspects.recordReports(clock.Now(), "peer", []poison.Report{{Fingerprint: fingerprint, BarredFor: time.Millisecond}})
	}
	time.Sleep(5 * time.Millisecond)
	for i, node := range nodes {
		if got := node.suspects.Status(fingerprint); got != poison.StatusOnTrial {
			t.Fatalf("node %d: status %d, want on trial", i, got)
		}
	}
	return fingerprint
}

// TestOneNodeClaimsATrial checks that only one of several concurrent claims is granted, and that
// the other nodes bar the request meanwhile.
func TestOneNodeClaimsATrial(t *testing.T) {
	nodes := newConnectedNodes(t, 4)
	fingerprint := putOnTrial(t, nodes)
	var granted atomic.Int32
	var asking sync.WaitGroup
	for _, node := range nodes {
		for range 3 {
			asking.Go(func() {
				if node.suspects.ClaimTrial(context.Background(), fingerprint) {
					granted.Add(1)
				}
			})
		}
	}
	asking.Wait()
	if granted.Load() != 1 {
		t.Errorf("%d of 12 copies were granted a trial, want 1", granted.Load())
	}
	for i, node := range nodes {
		for wait := 0; node.suspects.Status(fingerprint) != poison.StatusBarred; wait++ {
			if wait == 200 {
				t.Fatalf("node %d was not notified that the request is barred during its trial", i)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// TestNoTrialWithoutACoordinator checks that no trial is granted if no coordinator responds.
func TestNoTrialWithoutACoordinator(t *testing.T) {
	nodes := newConnectedNodes(t, 4)
	fingerprint := putOnTrial(t, nodes)
	for _, node := range nodes[:3] {
		_ = node.peers.conn.Close()
	}
	if nodes[3].suspects.ClaimTrial(context.Background(), fingerprint) {
		t.Error("a trial was granted without a coordinator")
	}
}

// TestOperatorLiftsABar checks that a bar lifted at one node is removed at all nodes.
func TestOperatorLiftsABar(t *testing.T) {
	nodes := newConnectedNodes(t, 3)
	fingerprint := poison.NewFingerprint(poison.Identity{Target: "/x"})
	for _, node := range nodes {
		node.suspects.recordReports(clock.Now(), "peer", []poison.Report{{Fingerprint: fingerprint, ServerID: "a", BarredFor: time.Minute}})
	}
	listed, err := nodes[1].snapshots.Bars(context.Background(), &peerpb.BarsRequest{})
	if err != nil || len(listed.Bars) != 1 || listed.Bars[0].LeftMs == 0 || len(listed.Bars[0].Servers) != 1 {
		t.Fatalf("listed %v, %v; want one bar with its server", listed, err)
	}
	lifted, err := nodes[1].snapshots.LiftBar(context.Background(), &peerpb.LiftBarRequest{Fingerprint: fingerprint[:]})
	if err != nil || !lifted.WasBarred {
		t.Fatalf("lifted %v, %v", lifted, err)
	}
	for i, node := range nodes {
		for wait := 0; node.suspects.Status(fingerprint) != poison.StatusClear; wait++ {
			if wait == 200 {
				t.Fatalf("node %d still bars the request", i)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	if _, err := nodes[0].snapshots.LiftBar(context.Background(), &peerpb.LiftBarRequest{Fingerprint: []byte("short")}); err == nil {
		t.Error("a short fingerprint was accepted")
	}
}

// TestAnswersThatComeLate checks that late and duplicate responses are ignored.
func TestAnswersThatComeLate(t *testing.T) {
	calls := newPendingCalls[bool]()
	var callID uint64
	if _, ok := calls.call(context.Background(), time.Millisecond, func(id uint64) { callID = id }); ok {
		t.Error("received a response that was never sent")
	}
	calls.resolve(callID, true)
	answer, ok := calls.call(context.Background(), time.Minute, func(id uint64) {
		calls.resolve(id, true)
		calls.resolve(id, false)
	})
	if !ok || !answer {
		t.Errorf("response %v, %v; want the first one", answer, ok)
	}
}
