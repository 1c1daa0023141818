package faults

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/lab/scenario"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// reached has the moments of a run that have come.
type reached = map[scenario.Moment]chan struct{}

// takeoverTime is the length of loads during which a paused or dead leader is
// replaced.
const takeoverTime = 7 * time.Second

// changeTime is the length of loads during which the declarations change.
const changeTime = 6 * time.Second

const slowStore = 800 * time.Millisecond

var (
	storeDown = faults.Set{Unavailable: true}
	// storeLoses carries out every change and answers none.
	storeLoses = faults.Set{LoseAnswers: -1}
)

func TestNodeIsKilledUnderLoad(t *testing.T) {
	f := startFleet(t)
	f.underLoad(run{script: func(reached) {
		f.awaitLoading(f.engines)
		f.killNode(f.nodes[1])
	}})
}

// TestEngineIsKilledDuringALoad strikes while a load goes on; the model must
// be loaded again elsewhere, and never once too often.
func TestEngineIsKilledDuringALoad(t *testing.T) {
	f := startFleet(t)
	var killed time.Time
	f.underLoad(run{script: func(reached) {
		f.killEngine(f.awaitLoading(f.engines))
		killed = time.Now()
	}})
	if f.loads(killed, time.Now()) == 0 {
		t.Error("nothing was loaded after the engine's death")
	}
}

// TestLeaderIsPausedPastItsLease stops a leader when an order of its has just
// been taken, lets another node lead, and lets the first one go on.
func TestLeaderIsPausedPastItsLease(t *testing.T) {
	f := startFleet(t)
	f.underLoad(run{duration: takeoverTime, script: func(reached) {
		leader := f.pauseLeader(zones[0])
		successor := f.awaitSuccessor(leader)
		f.resume(leader)
		eventually(t, "the former leader follows", func() bool {
			followed, _ := f.leaderSeenBy(leader)
			return followed == successor
		})
	}})
}

// TestStoreIsDownDuringColdStarts takes the store away before the first
// requests for most models come and gives it back after they were loaded. That
// can only be where a record that lets zones load was written before.
func TestStoreIsDownDuringColdStarts(t *testing.T) {
	f := startFleet(t)
	for _, node := range f.nodes {
		f.awaitAllotments(node)
	}
	f.underLoad(run{script: func(moment reached) {
		f.store(storeDown, "store-down")
		down := time.Now()
		<-moment[scenario.MomentStopNode]
		if f.loads(down, time.Now()) == 0 {
			t.Error("nothing was loaded while the store was down")
		}
		f.store(faults.Set{}, "")
	}})
}

// TestStoreIsSlow changes the declarations through a slow store.
func TestStoreIsSlow(t *testing.T) {
	f := startFleet(t)
	folder := f.declared("changed")
	f.setWeight(folder, 0.6)
	f.underLoad(run{duration: changeTime, script: func(reached) {
		f.store(faults.Set{Delay: slowStore}, "store-slow")
		f.awaitVersion(f.nodes[0], f.apply(folder, "slow").Version)
		f.store(faults.Set{}, "")
	}, rules: []check.Rule{check.RuleConfig}})
}

// TestStoreLosesAnswers lets the store carry out changes without an answer,
// both an operator's and those of the record of allotments that it asks for.
func TestStoreLosesAnswers(t *testing.T) {
	f := startFleet(t)
	folder := f.declared("changed")
	f.setWeight(folder, 0.6)
	f.moreChat(folder)
	f.underLoad(run{duration: changeTime, script: func(reached) {
		f.store(storeLoses, "store-loses-answers")
		f.awaitVersion(f.nodes[0], f.apply(folder, "unheard").Version)
		f.awaitMoreChat()
		f.store(faults.Set{}, "")
	}, rules: []check.Rule{check.RuleConfig}})
}

// TestZoneIsCutFromThePlatform parts a zone from the store and from the other
// zones' back ends; its nodes still hear their peers.
func TestZoneIsCutFromThePlatform(t *testing.T) {
	f := startFleet(t)
	folder := f.declared("changed")
	f.setWeight(folder, 0.6)
	f.underLoad(run{duration: changeTime, script: func(moment reached) {
		f.cut(zones[1], faults.Set{})
		f.awaitVersion(f.nodes[0], f.apply(folder, "outside").Version)
		<-moment[scenario.MomentChange]
		f.heal()
	}, rules: []check.Rule{check.RuleConfig}})
}

// TestPlannedStopCutsNothing stops a node as planned while long streams run.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := startFleet(t)
	f.underLoad(run{script: func(moment reached) {
		<-moment[scenario.MomentStopNode]
		f.stop(f.nodes[3])
	}, rules: []check.Rule{check.RulePlannedStop}})
}

// TestLeavingBackEndsGetNoNewWork lets an engine that has just been sent a
// load and a command server say that they leave. Both stay for the whole load,
// so that whatever is sent to them late stands in their books.
func TestLeavingBackEndsGetNoNewWork(t *testing.T) {
	f := startFleet(t)
	var left []string
	f.underLoad(run{duration: changeTime, script: func(reached) {
		left = []string{"http://" + f.awaitLoading(f.engines).address, "http://" + f.at(servicePort)}
		for _, url := range left {
			f.faultsAt(url, faults.Set{Leaving: true})
			f.note(history.FaultInjected, url, "leaving")
		}
	}, rules: []check.Rule{check.RuleLeaving}})
	for _, url := range left {
		latest, refused := f.latestTurnedAway(url)
		t.Logf("%s refused %d times, last after %s", url, refused, latest.Round(time.Millisecond))
	}
}

// TestAllNodesAreLostWhileTheStoreIsDown kills every node, starts them anew
// without a store, and demands that the fleet works again after it is back.
func TestAllNodesAreLostWhileTheStoreIsDown(t *testing.T) {
	f := startFleet(t)
	f.underLoad(run{script: func(moment reached) {
		<-moment[scenario.MomentChange]
		for _, node := range f.nodes {
			f.killNode(node)
		}
	}})
	f.store(storeDown, "store-down")
	for _, node := range f.nodes {
		f.startNode(node)
	}
	for _, node := range f.nodes {
		eventually(t, "the node is up", func() bool {
			status, up := f.status(node)
			if status.Ready {
				t.Errorf("%s serves callers without a configuration", status.Node)
			}
			return up && status.UptimeSeconds > 2
		})
	}
	f.store(faults.Set{}, "")
	f.awaitDecisions()
	// The kills are over; nothing of the second load is excused by them.
	f.log = nil
	f.underLoad(run{script: func(reached) {}})
}
