package faults

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/scenario"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// pairTime is the length of loads with two faults at once.
const pairTime = 8 * time.Second

// TestLeaderIsKilledWhileTheStoreIsDown demands that another node leads
// without the store. It can only where it has learned the record of allotments
// before: that is a matter of seconds after the first record of a new fleet,
// and waited for here.
func TestLeaderIsKilledWhileTheStoreIsDown(t *testing.T) {
	f := startFleet(t)
	for _, node := range f.nodesOf(zones[0]) {
		f.awaitAllotments(node)
	}
	f.underLoad(run{duration: takeoverTime, script: func(reached) {
		f.store(storeDown, "store-down")
		f.awaitLoading(f.enginesOf(zones[0]))
		leader := f.leaderOf(zones[0])
		f.killNode(leader)
		f.awaitSuccessor(leader)
		f.store(faults.Set{}, "")
	}})
}

// TestEngineIsKilledWhileItsLeaderIsPaused takes an engine away in the middle
// of a load whose order came from a leader that is paused just then.
func TestEngineIsKilledWhileItsLeaderIsPaused(t *testing.T) {
	f := startFleet(t)
	f.underLoad(run{duration: pairTime, script: func(reached) {
		engine := f.awaitLoading(f.enginesOf(zones[0]))
		leader := f.leaderOf(zones[0])
		f.pause(leader)
		f.killEngine(engine)
		f.awaitSuccessor(leader)
		f.resume(leader)
	}})
}

// TestZoneIsCutWhileTheStoreLosesAnswers parts a zone from the platform and
// the other zones' back ends while nobody hears of the changes that he makes.
func TestZoneIsCutWhileTheStoreLosesAnswers(t *testing.T) {
	f := startFleet(t)
	folder := f.declared("changed")
	f.setWeight(folder, 0.6)
	f.moreChat(folder)
	f.underLoad(run{duration: changeTime, script: func(moment reached) {
		f.cut(zones[1], storeLoses)
		f.awaitVersion(f.nodes[0], f.apply(folder, "unheard").Version)
		<-moment[scenario.MomentStopNode]
		f.heal()
	}})
}

// TestZoneIsLostAndComesBack freezes both nodes of a zone and cuts its back
// ends off from the others, so that nothing of it is heard.
func TestZoneIsLostAndComesBack(t *testing.T) {
	onlyLong(t)
	f := startFleet(t)
	f.underLoad(run{duration: 3 * pairTime, script: func(reached) {
		f.cut(zones[1], faults.Set{})
		for _, node := range f.nodesOf(zones[1]) {
			f.pause(node)
		}
		f.awaitMissing(f.nodes[0], f.nodesOf(zones[1])[0])
		for _, node := range f.nodesOf(zones[1]) {
			f.resume(node)
		}
		f.heal()
	}})
	f.awaitDecisions()
}

// TestLeaderIsPausedWhileTheStoreLosesAnswers makes a zone change its leader
// while nobody hears of changes, and lets the first one go on among them.
func TestLeaderIsPausedWhileTheStoreLosesAnswers(t *testing.T) {
	onlyLong(t)
	f := startFleet(t)
	folder := f.declared("changed")
	f.moreChat(folder)
	f.underLoad(run{duration: 2 * pairTime, script: func(reached) {
		f.store(storeLoses, "store-loses-answers")
		leader := f.pauseLeader(zones[0])
		f.awaitSuccessor(leader)
		f.apply(folder, "unheard")
		f.resume(leader)
		f.awaitMoreChat()
		f.store(faults.Set{}, "")
	}})
}

// onlyLong leaves a test out unless the long ones are asked for.
func onlyLong(t *testing.T) {
	t.Helper()
	if !*long {
		t.Skip("runs with -faults.long")
	}
}

// lateOrder is how long an engine's way is slow: longer than a new leader
// takes to claim the engine.
const lateOrder = 8 * time.Second

// TestLateOrderOfAPausedLeaderBounces makes the ways to a zone's engines slow,
// pauses the leader when it has sent an order, and demands that the order,
// which arrives after another node has claimed the engines, is refused.
func TestLateOrderOfAPausedLeaderBounces(t *testing.T) {
	onlyLong(t)
	f := startFleet(t)
	f.underLoad(run{duration: 2 * pairTime, script: func(reached) {
		leader := f.leaderOf(zones[0])
		ordered, refused := f.orderBytes(leader), f.refusedOrders(zones[0])
		f.slowEngines(zones[0], lateOrder)
		eventually(t, "the leader sends an order", func() bool { return f.orderBytes(leader) > ordered })
		sent := time.Now()
		f.pause(leader)
		f.slowEngines(zones[0], 0)
		f.awaitSuccessor(leader)
		eventually(t, "the late order has arrived", func() bool {
			return f.refusedOrders(zones[0]) > refused || time.Since(sent) > lateOrder+time.Second
		})
		f.resume(leader)
		eventually(t, "the late order was refused", func() bool { return f.refusedOrders(zones[0]) > refused })
	}})
}
