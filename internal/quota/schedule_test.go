package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// The simulated fleet below runs the steps of a node for each request (its share, the
// coordinators in order, granting without one) on a virtual clock under random faults from a
// seed, and adds up what was granted over all nodes.

const (
	window = 8 * time.Second
	tick   = 50 * time.Millisecond
	// heartbeatInterval is the time between two heartbeats of a node to the others.
	heartbeatInterval = 4 * tick
	// coordinatorCandidates is the number of nodes that may be the coordinator.
	coordinatorCandidates = 3
	// coordinatorTimeout is how long after a coordinator's last heartbeat the next node replaces it.
	coordinatorTimeout = 700 * time.Millisecond
	// countedTimeout is how long a silent node is counted among those that share the quota.
	countedTimeout = 30 * time.Second
	// freshTimeout is how long after its last heartbeat a node counts as reachable, including
	// the time for which a node uses a computed sum.
	freshTimeout = 1100 * time.Millisecond
)

var (
	startTime = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	tolerance = Tolerance{Window: window, Overage: 0.1, Slack: 110_000}
)

// defect is a deliberate fault that the check must detect.
type defect int

const (
	defectNone defect = iota
	// defectUseNotReported does not report to the coordinator what was granted without asking.
	defectUseNotReported
	// defectIgnoresReach lets a coordinator grant the whole quota whatever its reach.
	defectIgnoresReach
	// defectWholeShare gives each node the whole quota as its share.
	defectWholeShare
	// defectStartsFull gives a new coordinator's buckets the burst as their initial level.
	defectStartsFull
	// defectUnlimitedAlone grants every request if no coordinator answers.
	defectUnlimitedAlone
	// defectForgetsFleetSize starts nodes that take themselves for the whole fleet.
	defectForgetsFleetSize
	// defectKeepsAccount lets a coordinator that was replaced meanwhile go on with the account that it had.
	defectKeepsAccount
)

const (
	// restartBatch is the share of the nodes that a rolling restart stops at a time, restartTime is how long
	// each of them is down, and restartInterval the time from one batch to the next.
	restartBatch    = 4
	restartTime     = 600 * time.Millisecond
	restartInterval = 800 * time.Millisecond
	// sizeRecordDelay is the time after which the store has the number of nodes of a fleet that grew.
	sizeRecordDelay = time.Second
)

// simFault is a kind of fault.
type simFault int

const (
	// killCoordinator: the coordinator is killed and restarts.
	killCoordinator simFault = iota
	// freezeCoordinator: the coordinator pauses, and resumes with its old state.
	freezeCoordinator
	// killAll: all nodes are killed at once.
	killAll
	// splitInHalves: the fleet is partitioned in two, or healed.
	splitInHalves
	// isolateNodes: a tenth of the nodes is isolated from all others.
	isolateNodes
	// healPartitions: all partitions heal.
	healPartitions
	// rollingRestart: all nodes are restarted in turn.
	rollingRestart
	// killNodes: a tenth of the nodes is killed.
	killNodes
	// addNodes: a tenth more nodes join.
	addNodes
	// stopCoordinators: the nodes that may coordinate are stopped one after the other within a window.
	stopCoordinators
	simFaultCount
)

// allFaults returns all kinds of faults.
func allFaults() (all []simFault) {
	for fault := range simFaultCount {
		all = append(all, fault)
	}
	return all
}

type simNode struct {
	coordinator *Coordinator
	share       *Share
	// partition is the network partition that the node is in; downUntil is when its crash
	// or pause ends.
	partition int
	downUntil time.Time
	// lastHeard is when the node last heard from each other node.
	lastHeard  []time.Time
	fleet      FleetSize
	advisories *Advisories
	// sentAdvisories counts the advisories of this process.
	sentAdvisories uint64
	isNearQuota    bool
}

type grant struct {
	at   time.Time
	cost float64
}

type simFleet struct {
	random  *rand.Rand
	nodes   []*simNode
	quota   routetable.Quota
	grants  []grant
	refused int
	now     time.Time
	defect  defect
	// recordedSize is the number of nodes in the store, and grewAt when the last nodes joined.
	recordedSize int
	grewAt       time.Time
	// nextRestart is the first node that a rolling restart has not stopped yet, and nextRestartAt when it
	// does.
	nextRestart   int
	nextRestartAt time.Time
}

func newSimFleet(seed uint64, count int, quota routetable.Quota, injected defect) *simFleet {
	f := &simFleet{
		random: rand.New(rand.NewPCG(seed, 1)), quota: quota, now: startTime, defect: injected, recordedSize: count, nextRestart: count,
	}
	for range count {
		f.nodes = append(f.nodes, &simNode{})
	}
	for i := range f.nodes {
		f.restart(i)
	}
	for _, node := range f.nodes {
		for other := range node.lastHeard {
			node.lastHeard[other] = startTime
		}
	}
	return f
}

func (f *simFleet) restart(i int) {
	node := f.nodes[i]
	node.coordinator, node.share, node.fleet, node.advisories = NewCoordinator(tolerance), NewShare(tolerance, f.now.Equal(startTime)), FleetSize{}, NewAdvisories()
	node.sentAdvisories = 0
	if f.defect == defectStartsFull {
		node.coordinator.initialLevel = tolerance.grantLimits(f.quota, 1).burst
	}
	if f.defect != defectForgetsFleetSize {
		node.fleet.RaiseTo(f.now, f.recordedSize)
	}
	node.lastHeard = make([]time.Time, len(f.nodes))
}

// stop restarts the node as planned: it tells the others that it leaves.
func (f *simFleet) stop(i int) {
	for other, node := range f.nodes {
		if f.reaches(i, other) {
			node.lastHeard[i] = time.Time{}
		}
	}
	f.restart(i)
	f.nodes[i].downUntil = f.now.Add(restartTime)
}

// join adds nodes. Their addresses follow those of the others, so that none of them precedes a coordinator.
func (f *simFleet) join(count int) {
	f.grewAt = f.now
	for range count {
		f.nodes = append(f.nodes, &simNode{})
		for _, node := range f.nodes {
			node.lastHeard = append(node.lastHeard, time.Time{})
		}
		f.restart(len(f.nodes) - 1)
	}
}

// continueRestart stops the next nodes of a rolling restart.
func (f *simFleet) continueRestart() {
	if f.now.Before(f.nextRestartAt) {
		return
	}
	f.nextRestartAt = f.now.Add(restartInterval)
	for range max(1, len(f.nodes)/restartBatch) {
		if f.nextRestart < len(f.nodes) {
			f.stop(f.nextRestart)
			f.nextRestart++
		}
	}
}

func (f *simFleet) isUp(i int) bool { return !f.now.Before(f.nodes[i].downUntil) }

func (f *simFleet) reaches(a, b int) bool {
	return f.isUp(a) && f.isUp(b) && f.nodes[a].partition == f.nodes[b].partition
}

// count returns the number of nodes known to node i, and its reach.
func (f *simFleet) count(i int) (count int, reach float64) {
	fresh := 1
	count = 1
	for other, at := range f.nodes[i].lastHeard {
		if other == i || at.IsZero() {
			continue
		}
		if f.now.Sub(at) < countedTimeout {
			count++
		}
		if f.now.Sub(at) < freshTimeout {
			fresh++
		}
	}
	count, reach = f.nodes[i].fleet.Observe(f.now, count, fresh)
	if f.defect == defectIgnoresReach {
		return count, 1
	}
	return count, reach
}

// precedingCoordinator returns the first node before i that i hears from, if any.
func (f *simFleet) precedingCoordinator(i int) (int, bool) {
	for other := range i {
		if f.now.Sub(f.nodes[i].lastHeard[other]) < coordinatorTimeout {
			return other, true
		}
	}
	return 0, false
}

// coordinatorFor returns the node that decides on a request of node i, or false if none answers.
func (f *simFleet) coordinatorFor(i int) (int, bool) {
	for candidate := range coordinatorCandidates {
		if candidate != i && !f.reaches(i, candidate) {
			continue
		}
		other, ok := f.precedingCoordinator(candidate)
		_, reach := f.count(candidate)
		switch {
		case !ok && reach < MinReach:
		case !ok:
			return candidate, true
		case f.reaches(candidate, other):
			if _, again := f.precedingCoordinator(other); !again {
				return other, true
			}
		}
	}
	return 0, false
}

func (f *simFleet) request(i int, cost float64) bool {
	node := f.nodes[i]
	count, _ := f.count(i)
	if f.defect == defectWholeShare {
		count = 1
	}
	coordinator, found := f.coordinatorFor(i)
	if node.advisories.IsFarBelowQuota(f.now, "t") {
		node.share.RecordGrant(f.now, "t", f.quota, count, cost)
		if found && f.defect != defectUseNotReported {
			_, reach := f.count(coordinator)
			f.nodes[coordinator].coordinator.RecordUse(f.now, "t", f.quota, reach, cost)
			f.sendAdvisoryIfChanged(coordinator)
		}
		return f.recordGrant(cost)
	}
	if node.share.Take(f.now, "t", f.quota, count, cost) {
		if found {
			_, reach := f.count(coordinator)
			f.nodes[coordinator].coordinator.RecordUse(f.now, "t", f.quota, reach, cost)
		}
		return f.recordGrant(cost)
	}
	if found {
		_, reach := f.count(coordinator)
		if !f.nodes[coordinator].coordinator.Acquire(f.now, "t", f.quota, reach, cost, 0).Granted {
			return false
		}
		node.share.RecordGrant(f.now, "t", f.quota, count, cost)
		return f.recordGrant(cost)
	}
	if f.defect == defectUnlimitedAlone || node.share.TakeWithoutCoordinator(f.now, "t", f.quota, count, cost) {
		return f.recordGrant(cost)
	}
	return false
}

func (f *simFleet) recordGrant(cost float64) bool {
	f.grants = append(f.grants, grant{at: f.now, cost: cost})
	return true
}

// step advances the clock, exchanges heartbeats and drops the accounts of nodes that are not
// the coordinator.
func (f *simFleet) step() {
	f.now = f.now.Add(tick)
	f.continueRestart()
	if f.now.Sub(f.grewAt) >= sizeRecordDelay {
		f.recordedSize = len(f.nodes)
	}
	if f.now.Sub(startTime)%heartbeatInterval != 0 {
		return
	}
	for i, node := range f.nodes {
		if !f.isUp(i) {
			continue
		}
		for other := range f.nodes {
			if f.reaches(i, other) {
				node.lastHeard[other] = f.now
			}
		}
		node.coordinator.Observe(f.now)
		if _, ok := f.precedingCoordinator(i); ok || i >= coordinatorCandidates {
			if f.defect != defectKeepsAccount {
				node.coordinator.Forget()
			}
			continue
		}
		_, reach := f.count(i)
		node.coordinator.OpenAccount(f.now, "t", f.quota, reach)
		node.isNearQuota = node.coordinator.IsNearQuota("t")
		if reach >= MinReach {
			f.sendAdvisory(i)
		}
	}
}

// sendAdvisory sends a coordinator's advisory to all nodes that it reaches, and
// sendAdvisoryIfChanged does so if the advisory has changed.
func (f *simFleet) sendAdvisory(coordinator int) {
	f.nodes[coordinator].sentAdvisories++
	for other := range f.nodes {
		if other == coordinator || f.reaches(coordinator, other) {
			f.nodes[other].advisories.Observe(f.now, fmt.Sprint(coordinator), f.nodes[coordinator].sentAdvisories, f.nodes[coordinator].coordinator.NearQuota([]string{"t"}))
		}
	}
}

func (f *simFleet) sendAdvisoryIfChanged(coordinator int) {
	node := f.nodes[coordinator]
	if isNearQuota := node.coordinator.IsNearQuota("t"); isNearQuota != node.isNearQuota {
		node.isNearQuota = isNearQuota
		f.sendAdvisory(coordinator)
	}
}

// injectFault injects a fault of this kind.
func (f *simFleet) injectFault(fault simFault) {
	switch fault {
	case killCoordinator:
		f.restart(0)
		f.nodes[0].downUntil = f.now.Add(time.Second)
	case freezeCoordinator:
		f.nodes[0].downUntil = f.now.Add(time.Duration(1+f.random.IntN(6)) * time.Second)
	case killAll:
		for i := range f.nodes {
			f.restart(i)
			f.nodes[i].downUntil = f.now.Add(time.Second)
		}
	case splitInHalves:
		isWhole := f.nodes[0].partition == f.nodes[len(f.nodes)-1].partition
		for i, node := range f.nodes {
			node.partition = 0
			if isWhole && i%2 == 1 {
				node.partition = 1
			}
		}
	case isolateNodes:
		for range max(1, len(f.nodes)/10) {
			i := f.random.IntN(len(f.nodes))
			f.nodes[i].partition = i + 2
		}
	case healPartitions:
		for _, node := range f.nodes {
			node.partition = 0
		}
	case rollingRestart:
		f.nextRestart = 0
	case killNodes:
		for range max(1, len(f.nodes)/10) {
			i := f.random.IntN(len(f.nodes))
			f.restart(i)
			f.nodes[i].downUntil = f.now.Add(restartTime)
		}
	case addNodes:
		f.join(max(1, len(f.nodes)/10))
	case stopCoordinators:
		for i := range coordinatorCandidates {
			f.stop(i)
			f.nodes[i].downUntil = f.now.Add(time.Duration(1+i) * restartTime)
		}
	}
}

// run sends load times what the quota allows, and returns the largest sum of a window
// as a fraction of what is allowed.
func (f *simFleet) run(seconds int, load float64, faults []simFault, oneNode bool) float64 {
	const usualCost, smallCost = 9200.0, 200.0
	due := 0.0
	for elapsed := time.Duration(0); elapsed < time.Duration(seconds)*time.Second; elapsed += tick {
		f.step()
		if len(faults) > 0 && elapsed > 0 && elapsed%(4*time.Second) == 0 {
			f.injectFault(faults[f.random.IntN(len(faults))])
		}
		currentLoad := load
		if load > 1 && elapsed%(10*time.Second) < 4*time.Second {
			currentLoad = 0.3 // low, so that the buckets are full when the load rises
		}
		due += f.quota.PerSecond * currentLoad * tick.Seconds()
		for due > 0 {
			cost := usualCost * (0.3 + 1.4*f.random.Float64())
			if f.random.IntN(3) == 0 {
				cost = smallCost
			}
			due -= cost
			node := f.random.IntN(len(f.nodes))
			if oneNode {
				node = len(f.nodes) - 1
			}
			if f.isUp(node) && !f.request(node, cost) {
				f.refused++
			}
		}
	}
	return f.worstWindow()
}

func (f *simFleet) worstWindow() float64 {
	allowed := (f.quota.PerSecond*window.Seconds()+f.quota.Burst)*(1+tolerance.Overage) + tolerance.Slack
	worstWindow, sum, first := 0.0, 0.0, 0
	for _, g := range f.grants {
		sum += g.cost
		for g.at.Sub(f.grants[first].at) > window {
			sum -= f.grants[first].cost
			first++
		}
		worstWindow = max(worstWindow, sum/allowed)
	}
	return worstWindow
}

// testQuotas are token quotas of small and large tenants; request quotas use the same code.
var testQuotas = []routetable.Quota{
	{PerSecond: 29_000, Burst: 29_000, CountsTokens: true},
	{PerSecond: 800_000, Burst: 800_000, CountsTokens: true},
	{PerSecond: 100_000, Burst: 800_000, CountsTokens: true},
}

// Tenants send five times their quota while coordinators crash, freeze and are partitioned: no
// window may exceed the quota and its tolerance.
func TestNoWindowPassesTheQuota(t *testing.T) {
	kinds := map[string][]simFault{
		"no faults": nil, "coordinator killed": {killCoordinator}, "coordinator frozen": {freezeCoordinator}, "all killed": {killAll},
		"halves": {splitInHalves, healPartitions}, "isolated nodes": {isolateNodes, healPartitions},
		"rolling restart": {rollingRestart}, "nodes killed": {killNodes}, "nodes join": {addNodes}, "coordinators stopped": {stopCoordinators}, "restarts and joins": {rollingRestart, killNodes, addNodes, stopCoordinators},
		"all faults": allFaults(),
	}
	for _, quota := range testQuotas {
		for _, nodes := range []int{7, 84} {
			for name, faults := range kinds {
				for seed := range uint64(3) {
					fleet := newSimFleet(seed, nodes, quota, defectNone)
					if worst := fleet.run(40, 5, faults, false); worst > 1 {
						t.Errorf("%.0f per second, %d nodes, %s, seed %d: a window has %.2f of what is allowed", quota.PerSecond, nodes, name, seed, worst)
					}
				}
			}
		}
	}
}

// Requests within the quota are never refused, even if all arrive at one node.
func TestNothingWithinTheQuotaIsRefused(t *testing.T) {
	for _, quota := range testQuotas {
		for _, nodes := range []int{7, 84} {
			for _, oneNode := range []bool{false, true} {
				fleet := newSimFleet(3, nodes, quota, defectNone)
				fleet.run(4, 0.3, nil, oneNode) // a new coordinator starts without the burst
				fleet.refused = 0
				fleet.run(40, 0.8, nil, oneNode)
				if fleet.refused > 0 {
					t.Errorf("%.0f per second, %d nodes, all through one node %v: %d refused", quota.PerSecond, nodes, oneNode, fleet.refused)
				}
			}
		}
	}
}

// Checks that the simulation detects deliberate faults: each exceeds the bound with some seed.
func TestPlantedDefectsAreFound(t *testing.T) {
	cases := map[string]struct {
		defect defect
		faults []simFault
		nodes  int
		quota  int
	}{
		"use is not reported":           {defectUseNotReported, nil, 84, 1},
		"partitions grant the whole":    {defectIgnoresReach, []simFault{splitInHalves}, 84, 1},
		"each share is the whole":       {defectWholeShare, []simFault{isolateNodes}, 84, 1},
		"a new coordinator starts full": {defectStartsFull, []simFault{freezeCoordinator}, 84, 2},
		"no limit without coordinator":  {defectUnlimitedAlone, []simFault{isolateNodes}, 84, 1},
		"a start forgets the others":    {defectForgetsFleetSize, []simFault{isolateNodes, rollingRestart}, 84, 1},
		"an old account goes on":        {defectKeepsAccount, []simFault{freezeCoordinator}, 84, 0},
		"restarts begin with the burst": {defectStartsFull, []simFault{stopCoordinators}, 84, 2},
	}
	for name, c := range cases {
		found := false
		for seed := range uint64(6) {
			fleet := newSimFleet(seed, c.nodes, testQuotas[c.quota], c.defect)
			found = found || fleet.run(60, 5, c.faults, false) > 1
		}
		if !found {
			t.Errorf("%s: not detected", name)
		}
	}
}

func TestLowerLimitsBindAtOnce(t *testing.T) {
	coordinator := NewCoordinator(tolerance)
	high := routetable.Quota{PerSecond: 1000, Burst: 100_000}
	low := routetable.Quota{PerSecond: 10, Burst: 100}
	now := startTime
	coordinator.Acquire(now, "t", high, 1, 1, 0)
	now = now.Add(time.Minute)
	decision := coordinator.Acquire(now, "t", low, 1, 60_000, 0)
	if decision.Granted || decision.Remaining > 100+burstShare*tolerance.Slack {
		t.Errorf("decision %+v under the lower quota", decision)
	}
	if decision.RetryAfter == 0 {
		t.Error("RetryAfter is not set")
	}
}

// Refused requests get increasing retry times: otherwise all would return at the same moment.
func TestWhoIsRefusedStandsInALine(t *testing.T) {
	quota := routetable.Quota{PerSecond: 1000, Burst: 1000}
	coordinator := NewCoordinator(Tolerance{Window: window})
	coordinator.Acquire(startTime, "t", quota, 1, 0, 0)
	var before time.Duration
	for coordinator.Acquire(startTime, "t", quota, 1, 500, 0).Granted {
		t.Log("granted from the initial level of a coordinator")
	}
	for range 5 {
		decision := coordinator.Acquire(startTime, "t", quota, 1, 500, 0)
		if decision.Granted || decision.RetryAfter < before+400*time.Millisecond {
			t.Errorf("decision %+v, the previous retry is after %v", decision, before)
		}
		before = decision.RetryAfter
	}
	for range 100 {
		before = coordinator.Acquire(startTime, "t", quota, 1, 500, 0).RetryAfter
	}
	if before > window {
		t.Errorf("the last retry is after %v, beyond the window", before)
	}
}

// If a tenant sends more than its quota, its urgent requests are granted before the others.
func TestUrgentRequestsGoFirst(t *testing.T) {
	quota := routetable.Quota{PerSecond: 10_000, Burst: 10_000}
	coordinator := NewCoordinator(Tolerance{Window: window})
	granted := [3]int{}
	for elapsed := time.Duration(0); elapsed < 20*time.Second; elapsed += 100 * time.Millisecond {
		for priority := range granted {
			if coordinator.Acquire(startTime.Add(elapsed), "t", quota, 1, 900, priority).Granted {
				granted[priority]++
			}
		}
	}
	if granted[0] < 195 || granted[1] > 30 || granted[2] > granted[1] {
		t.Errorf("%v granted of 200 of each priority, the most urgent first", granted)
	}
}

// Large requests of a tenant near its quota are granted nearly as often as small ones.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	quota := routetable.Quota{PerSecond: 10_000, Burst: 10_000}
	coordinator := NewCoordinator(Tolerance{Window: window})
	random := rand.New(rand.NewPCG(1, 1))
	asked, granted := [2]int{}, [2]int{}
	for elapsed := time.Duration(0); elapsed < 60*time.Second; elapsed += 50 * time.Millisecond {
		size := random.IntN(2)
		asked[size]++
		if coordinator.Acquire(startTime.Add(elapsed), "t", quota, 1, float64(1000+3000*size), 0).Granted {
			granted[size]++
		}
	}
	small, large := float64(granted[0])/float64(asked[0]), float64(granted[1])/float64(asked[1])
	if large < 0.8*small {
		t.Errorf("granted %.2f of the small and %.2f of the large requests", small, large)
	}
}

// Short commands are granted whatever their priority, as they cost little.
func TestShortCommandsAreNotHeldBack(t *testing.T) {
	quota := routetable.Quota{PerSecond: 30_000, Burst: 30_000}
	coordinator := NewCoordinator(Tolerance{Window: window})
	for elapsed := time.Duration(0); elapsed < 30*time.Second; elapsed += 100 * time.Millisecond {
		now := startTime.Add(elapsed)
		coordinator.Acquire(now, "t", quota, 1, 9000, 1)
		if decision := coordinator.Acquire(now, "t", quota, 1, 200, 2); !decision.Granted && elapsed > 5*time.Second {
			t.Fatalf("short command refused after %v: %+v", elapsed, decision)
		}
	}
}
