package edge

import (
	"context"
	"fmt"
	"testing"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

const earlierEra, restoredEra = storepos.FirstEra, storepos.FirstEra + 1

// newRestartable returns a node without servers, on a platform that evacuates zones.
func newRestartable(t *testing.T) *Node {
	t.Helper()
	node := newTestNode(t)
	node.options.EvacuateWithin, node.options.Zones = evacuateWithin, []string{"a", "b"}
	node.evacuations = newEvacuations(node)
	node.handler.SetTable(routetable.New(7, nil, nil, routetable.Limits{}))
	return node
}

// readStore lets the node read the store at the position.
func (n *Node) readStore(at storepos.Position, zones []string, ids ...string) {
	var servers []inventory.Server
	for i, id := range ids {
		servers = append(servers, inventory.Server{
			ID: id, Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Zone: "b", Position: storepos.At(at.Era, 40),
		})
	}
	n.applyServerList(clock.Now(), servers, at)
	n.evacuations.applyStoreList(clock.Now(), evacuation.Snapshot{Zones: zones, Position: at})
}

// TestNodeThatReadsTheCopyFirstLearnsWhatItsSeedsKnew guards against a starting node using servers
// that had drained or ended before the store was restored, and zones that were evacuated, because it
// read the restored copy before its seeds answered: wherever these stand, and also if the first of
// them started from the copy, too.
func TestNodeThatReadsTheCopyFirstLearnsWhatItsSeedsKnew(t *testing.T) {
	for name, restoredAt := range map[string]int64{"a seed that has not seen the restore": 0, "a seed behind the node": 50, "a seed ahead of the node": 60} {
		t.Run(name, func(t *testing.T) {
			informed, uninformed, node := newRestartable(t), newRestartable(t), newRestartable(t)
			informed.readStore(storepos.At(earlierEra, 69), []string{"a"}, "kept")
			if restoredAt > 0 {
				informed.readStore(storepos.At(restoredEra, restoredAt), nil, "kept", "left")
			}
			uninformed.readStore(storepos.At(restoredEra, 52), nil, "kept", "left")
			node.readStore(storepos.At(restoredEra, 55), nil, "kept", "left")
			node.options.Tunables.PeerSeeds = []string{serveSnapshots(t, uninformed), serveSnapshots(t, informed)}
			node.seedsQueried.Store(false)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { defer cancel(); eventually(t, snapshotTimeout, "the seeds were asked", node.seedsQueried.Load) }()
			node.snapshots.run(ctx)
			if isAvailable(node, "left") || !isAvailable(node, "kept") {
				t.Errorf("available: left %v, kept %v", isAvailable(node, "left"), isAvailable(node, "kept"))
			}
			if zones := node.evacuations.zones(); len(zones) != 1 || zones[0] != "a" {
				t.Errorf("%q evacuated, want a", zones)
			}
		})
	}
}

// TestNodeWithTheCopyAloneAsksItsPeers guards against a node that started without a seed that
// answers never asking peers at earlier positions for what they knew before the restore.
func TestNodeWithTheCopyAloneAsksItsPeers(t *testing.T) {
	informed, node := newRestartable(t), newRestartable(t)
	informed.readStore(storepos.At(earlierEra, 69), nil, "kept")
	node.readStore(storepos.At(restoredEra, 55), nil, "kept", "left")
	digest, at := informed.directory.digestAndPosition()
	for sequence := range uint64(3) {
		node.peers.handleState(&peerpb.NodeState{
			Node: "p", Address: "126.0.0.1:1", Life: 1, Sequence: sequence + 1, ServersDigest: digest, ServersRevision: at.Revision, ServersEra: at.Era,
		})
	}
	if len(node.snapshots.pending) != 1 {
		t.Fatal("the peer is not asked")
	}
	<-node.snapshots.pending
	node.snapshots.fetch(context.Background(), serveSnapshots(t, informed), node.knownState())
	if isAvailable(node, "left") || node.directory.lacksPrior(clock.Now()) {
		t.Error("the peer's answer does not take the server out of use")
	}
}
