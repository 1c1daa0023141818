package faults

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/lab/scenario"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// momentSignals has a channel for each moment of a run, closed when the moment is reached.
type momentSignals = map[scenario.Moment]chan struct{}

// takeoverDuration is the length of loads during which a paused or killed leader is
// replaced.
const takeoverDuration = 7 * time.Second

// changeDuration is the length of loads during which declarations change.
const changeDuration = 6 * time.Second

const slowStoreDelay = 800 * time.Millisecond

var (
	storeDown = faults.Set{Unavailable: true}
	// storeLosesAnswers applies every change and answers none.
	storeLosesAnswers = faults.Set{LoseAnswers: -1}
)

func TestNodeIsKilledUnderLoad(t *testing.T) {
	f := startFleet(t)
	f.loadAndCheck(loadRun{script: func(momentSignals) {
		f.awaitLoading(f.engines)
		f.killNode(f.nodes[1])
	}})
}

// TestEngineIsKilledDuringALoad kills an engine while it loads a model. The model must be
// loaded again elsewhere, without ever exceeding its number of replicas.
func TestEngineIsKilledDuringALoad(t *testing.T) {
	f := startFleet(t)
	var killed time.Time
	f.loadAndCheck(loadRun{script: func(momentSignals) {
		f.killEngine(f.awaitLoading(f.engines))
		killed = time.Now()
	}})
	if f.countLoads(killed, time.Now()) == 0 {
		t.Error("nothing was loaded after the engine was killed")
	}
}

// TestLeaderIsPausedPastItsLease pauses a leader right after one of its orders was
// accepted, waits until another node leads, and resumes the former leader.
func TestLeaderIsPausedPastItsLease(t *testing.T) {
	f := startFleet(t)
	f.loadAndCheck(loadRun{duration: takeoverDuration, script: func(momentSignals) {
		leader := f.pauseLeader(zones[0])
		successor := f.awaitSuccessor(leader)
		f.resumeNode(leader)
		eventually(t, "the former leader follows", func() bool {
			followed, _ := f.leaderSeenBy(leader)
			return followed == successor
		})
	}})
}

// TestStoreIsDownDuringColdStarts takes the store down before most models get their first
// request and restores it after they were loaded. Loading then requires an allotment
// record that was written before.
func TestStoreIsDownDuringColdStarts(t *testing.T) {
	f := startFleet(t)
	for _, node := range f.nodes {
		f.awaitAllotments(node)
	}
	f.loadAndCheck(loadRun{script: func(moment momentSignals) {
		f.setStoreFaults(storeDown, "store-down")
		down := time.Now()
		<-moment[scenario.MomentStopNode]
		if f.countLoads(down, time.Now()) == 0 {
			t.Error("nothing was loaded while the store was down")
		}
		f.setStoreFaults(faults.Set{}, "")
	}})
}

// TestStoreIsSlow changes declarations while the store is slow.
func TestStoreIsSlow(t *testing.T) {
	f := startFleet(t)
	folder := f.copyExamples("changed")
	f.setWeight(folder, 0.6)
	f.loadAndCheck(loadRun{duration: changeDuration, script: func(momentSignals) {
		f.setStoreFaults(faults.Set{Delay: slowStoreDelay}, "store-slow")
		f.awaitVersion(f.nodes[0], f.apply(folder, "slow").Version)
		f.setStoreFaults(faults.Set{}, "")
	}, requiredRules: []check.Rule{check.RuleConfig}})
}

// TestStoreLosesAnswers makes the store apply changes without answering, both an
// operator's change and the changes of the allotment record that follow from it.
func TestStoreLosesAnswers(t *testing.T) {
	f := startFleet(t)
	folder := f.copyExamples("changed")
	f.setWeight(folder, 0.6)
	f.declareSecondChatReplica(folder)
	f.loadAndCheck(loadRun{duration: changeDuration, script: func(momentSignals) {
		f.setStoreFaults(storeLosesAnswers, "store-loses-answers")
		f.awaitVersion(f.nodes[0], f.apply(folder, "unheard").Version)
		f.awaitSecondChatReplica()
		f.setStoreFaults(faults.Set{}, "")
	}, requiredRules: []check.Rule{check.RuleConfig}})
}

// TestZoneIsCutFromThePlatform separates a zone from the store and from the other zones'
// back ends; its nodes still reach their peers.
func TestZoneIsCutFromThePlatform(t *testing.T) {
	f := startFleet(t)
	folder := f.copyExamples("changed")
	f.setWeight(folder, 0.6)
	f.loadAndCheck(loadRun{duration: changeDuration, script: func(moment momentSignals) {
		f.cutZone(zones[1], faults.Set{})
		f.awaitVersion(f.nodes[0], f.apply(folder, "outside").Version)
		<-moment[scenario.MomentChange]
		f.clearFaults()
	}, requiredRules: []check.Rule{check.RuleConfig}})
}

// TestPlannedStopCutsNothing stops a node gracefully while long streams run.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := startFleet(t)
	f.loadAndCheck(loadRun{script: func(moment momentSignals) {
		<-moment[scenario.MomentStopNode]
		f.stopNode(f.nodes[3])
	}, requiredRules: []check.Rule{check.RulePlannedStop}})
}

// TestLeavingBackEndsGetNoNewWork makes an engine that has just received a load order and
// a service server announce that they leave. Both keep running for the whole load, so
// that work sent to them too late is recorded in their books.
func TestLeavingBackEndsGetNoNewWork(t *testing.T) {
	f := startFleet(t)
	var leaving []string
	f.loadAndCheck(loadRun{duration: changeDuration, script: func(momentSignals) {
		leaving = []string{"http://" + f.awaitLoading(f.engines).address, "http://" + f.hostPort(servicePort)}
		for _, url := range leaving {
			f.setFaults(url, faults.Set{Leaving: true})
			f.recordFault(history.FaultInjected, url, "leaving")
		}
	}, requiredRules: []check.Rule{check.RuleLeaving}})
	for _, url := range leaving {
		latest, refused := f.refusedAfterLeaving(url)
		t.Logf("%s refused %d times, last after %s", url, refused, latest.Round(time.Millisecond))
	}
}

// TestAllNodesAreLostWhileTheStoreIsDown kills every node, restarts them without a store,
// and requires that the fleet works again once the store is back.
func TestAllNodesAreLostWhileTheStoreIsDown(t *testing.T) {
	f := startFleet(t)
	f.loadAndCheck(loadRun{script: func(moment momentSignals) {
		<-moment[scenario.MomentChange]
		for _, node := range f.nodes {
			f.killNode(node)
		}
	}})
	f.setStoreFaults(storeDown, "store-down")
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
	f.setStoreFaults(faults.Set{}, "")
	f.awaitDecisions()
	// The kills must not excuse violations during the second load.
	f.injected = nil
	f.loadAndCheck(loadRun{script: func(momentSignals) {}})
}
