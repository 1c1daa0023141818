package faults

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/scenario"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// pairDuration is the length of loads with two concurrent faults.
const pairDuration = 8 * time.Second

// TestLeaderIsKilledWhileTheStoreIsDown requires that another node takes over without the
// store. It can do so only if it has learned the allotment record before, which takes
// some seconds after the first record of a new fleet; the test waits for that.
func TestLeaderIsKilledWhileTheStoreIsDown(t *testing.T) {
	f := startFleet(t)
	for _, node := range f.nodesIn(zones[0]) {
		f.awaitAllotments(node)
	}
	f.loadAndCheck(loadRun{duration: takeoverDuration, script: func(momentSignals) {
		f.setStoreFaults(storeDown, "store-down")
		f.awaitLoading(f.enginesOf(zones[0]))
		leader := f.awaitLeader(zones[0])
		f.killNode(leader)
		f.awaitSuccessor(leader)
		f.setStoreFaults(faults.Set{}, "")
	}})
}

// TestEngineIsKilledWhileItsLeaderIsPaused kills an engine in the middle of a load that
// was ordered by a leader that is paused at that moment.
func TestEngineIsKilledWhileItsLeaderIsPaused(t *testing.T) {
	f := startFleet(t)
	f.loadAndCheck(loadRun{duration: pairDuration, script: func(momentSignals) {
		engine := f.awaitLoading(f.enginesOf(zones[0]))
		leader := f.awaitLeader(zones[0])
		f.pauseNode(leader)
		f.killEngine(engine)
		f.awaitSuccessor(leader)
		f.resumeNode(leader)
	}})
}

// TestZoneIsCutWhileTheStoreLosesAnswers separates a zone from the platform and from the
// other zones' back ends while the store applies changes without answering.
func TestZoneIsCutWhileTheStoreLosesAnswers(t *testing.T) {
	f := startFleet(t)
	folder := f.copyExamples("changed")
	f.setWeight(folder, 0.6)
	f.declareSecondChatReplica(folder)
	f.loadAndCheck(loadRun{duration: changeDuration, script: func(moment momentSignals) {
		f.cutZone(zones[1], storeLosesAnswers)
		f.awaitVersion(f.nodes[0], f.apply(folder, "unheard").Version)
		<-moment[scenario.MomentStopNode]
		f.clearFaults()
	}})
}

// TestZoneIsLostAndComesBack pauses both nodes of a zone and cuts its back ends off from
// the other zones, so that the zone is entirely silent.
func TestZoneIsLostAndComesBack(t *testing.T) {
	skipUnlessLong(t)
	f := startFleet(t)
	f.loadAndCheck(loadRun{duration: 3 * pairDuration, script: func(momentSignals) {
		f.cutZone(zones[1], faults.Set{})
		for _, node := range f.nodesIn(zones[1]) {
			f.pauseNode(node)
		}
		f.awaitUnusable(f.nodes[0], f.nodesIn(zones[1])[0])
		for _, node := range f.nodesIn(zones[1]) {
			f.resumeNode(node)
		}
		f.clearFaults()
	}})
	f.awaitDecisions()
}

// TestLeaderIsPausedWhileTheStoreLosesAnswers forces a change of leader while the store
// applies changes without answering, and then resumes the former leader.
func TestLeaderIsPausedWhileTheStoreLosesAnswers(t *testing.T) {
	skipUnlessLong(t)
	f := startFleet(t)
	folder := f.copyExamples("changed")
	f.declareSecondChatReplica(folder)
	f.loadAndCheck(loadRun{duration: 2 * pairDuration, script: func(momentSignals) {
		f.setStoreFaults(storeLosesAnswers, "store-loses-answers")
		leader := f.pauseLeader(zones[0])
		f.awaitSuccessor(leader)
		f.apply(folder, "unheard")
		f.resumeNode(leader)
		f.awaitSecondChatReplica()
		f.setStoreFaults(faults.Set{}, "")
	}})
}

// skipUnlessLong skips the test unless the long tests are enabled.
func skipUnlessLong(t *testing.T) {
	t.Helper()
	if !*long {
		t.Skip("runs with -faults.long")
	}
}

// slowEngineDelay is how long calls to an engine are delayed: longer than a new leader
// needs to claim the engine.
const slowEngineDelay = 8 * time.Second

// TestLateOrderOfAPausedLeaderBounces delays calls to a zone's engines and pauses the
// leader after it has sent an order. The order arrives after another node has claimed
// the engines, and must be refused.
func TestLateOrderOfAPausedLeaderBounces(t *testing.T) {
	skipUnlessLong(t)
	f := startFleet(t)
	f.loadAndCheck(loadRun{duration: 2 * pairDuration, script: func(momentSignals) {
		leader := f.awaitLeader(zones[0])
		ordered, refused := f.orderBytes(leader), f.refusedOrders(zones[0])
		f.slowEngines(zones[0], slowEngineDelay)
		eventually(t, "the leader sends an order", func() bool { return f.orderBytes(leader) > ordered })
		sent := time.Now()
		f.pauseNode(leader)
		f.slowEngines(zones[0], 0)
		f.awaitSuccessor(leader)
		eventually(t, "the late order has arrived", func() bool {
			return f.refusedOrders(zones[0]) > refused || time.Since(sent) > slowEngineDelay+time.Second
		})
		f.resumeNode(leader)
		eventually(t, "the late order was refused", func() bool { return f.refusedOrders(zones[0]) > refused })
	}})
}
