package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// The fleet below plays the ladder that a node climbs for each request (its share, the
// coordinators in order, alone) on a virtual clock under faults that are drawn from a seed,
// and adds up what was granted over all nodes.

const (
	window = 8 * time.Second
	tick   = 50 * time.Millisecond
	// hearing is the time between two words of a node to the others.
	hearing = 4 * tick
	// coordinators is the number of nodes that may give.
	coordinators = 3
	// coordinatorSilent is how long after its last word the next node gives in a coordinator's place.
	coordinatorSilent = 700 * time.Millisecond
	// countedFor is how long a silent node counts among those that share the quota.
	countedFor = 30 * time.Second
	// freshFor is how long after its last word a node counts as one that can be heard,
	// with the time that a node works with what it summed up.
	freshFor = 1100 * time.Millisecond
)

var (
	begin     = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	tolerance = Tolerance{Window: window, Overage: 0.1, Slack: 110_000}
)

// defect is a mistake that the check has to find.
type defect int

const (
	defectNone defect = iota
	// defectUntold leaves the coordinator without a word of what was used without asking.
	defectUntold
	// defectBlind lets a coordinator give the whole quota whomever it hears from.
	defectBlind
	// defectWholeShare gives each node the whole quota as its share.
	defectWholeShare
	// defectFull lets a coordinator that knows nothing of the past begin with the burst.
	defectFull
	// defectAlone grants whatever comes where no coordinator answers.
	defectAlone
)

type simNode struct {
	coordinator *Coordinator
	share       *Share
	// side is the part of a fleet cut in two that the node is in; down is until when
	// it is dead or stands still.
	side int
	down time.Time
	// heard is when the node last heard from each other.
	heard      []time.Time
	fleet      FleetSize
	advisories *Advisories
	closed     bool
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
}

func newSimFleet(seed uint64, count int, quota routetable.Quota, planted defect) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), quota: quota, now: begin, defect: planted}
	for range count {
		f.nodes = append(f.nodes, &simNode{})
	}
	for i := range f.nodes {
		f.restart(i)
	}
	for _, node := range f.nodes {
		for other := range node.heard {
			node.heard[other] = begin
		}
	}
	return f
}

func (f *simFleet) restart(i int) {
	node := f.nodes[i]
	node.coordinator, node.share, node.fleet, node.advisories = NewCoordinator(tolerance), NewShare(tolerance, f.now.Equal(begin)), FleetSize{}, NewAdvisories()
	if f.defect == defectFull {
		node.coordinator.newcomer = tolerance.allowance(f.quota, 1).burst
	}
	// The store tells how many there were.
	node.fleet.RaiseTo(f.now, len(f.nodes))
	node.heard = make([]time.Time, len(f.nodes))
}

func (f *simFleet) isUp(i int) bool { return !f.now.Before(f.nodes[i].down) }

func (f *simFleet) reaches(a, b int) bool {
	return f.isUp(a) && f.isUp(b) && f.nodes[a].side == f.nodes[b].side
}

// count is the number of nodes that i knows of, and reach the part that it hears.
func (f *simFleet) count(i int) (count int, reach float64) {
	fresh := 1
	count = 1
	for other, at := range f.nodes[i].heard {
		if other == i || at.IsZero() {
			continue
		}
		if f.now.Sub(at) < countedFor {
			count++
		}
		if f.now.Sub(at) < freshFor {
			fresh++
		}
	}
	count, reach = f.nodes[i].fleet.Observe(f.now, count, fresh)
	if f.defect == defectBlind {
		return count, 1
	}
	return count, reach
}

// better is whether i hears a node that gives before it.
func (f *simFleet) better(i int) (int, bool) {
	for other := range i {
		if f.now.Sub(f.nodes[i].heard[other]) < coordinatorSilent {
			return other, true
		}
	}
	return 0, false
}

// coordinatorFor is the node that decides on a request of i; false where none answers.
func (f *simFleet) coordinatorFor(i int) (int, bool) {
	for asked := range coordinators {
		if asked != i && !f.reaches(i, asked) {
			continue
		}
		other, ok := f.better(asked)
		_, reach := f.count(asked)
		switch {
		case !ok && reach < MinReach:
		case !ok:
			return asked, true
		case f.reaches(asked, other):
			if _, again := f.better(other); !again {
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
		if found && f.defect != defectUntold {
			_, reach := f.count(coordinator)
			f.nodes[coordinator].coordinator.RecordUse(f.now, "t", f.quota, reach, cost)
			f.speak(coordinator)
		}
		return f.granted(cost)
	}
	if node.share.Take(f.now, "t", f.quota, count, cost) {
		if found {
			_, reach := f.count(coordinator)
			f.nodes[coordinator].coordinator.RecordUse(f.now, "t", f.quota, reach, cost)
		}
		return f.granted(cost)
	}
	if found {
		_, reach := f.count(coordinator)
		if !f.nodes[coordinator].coordinator.Acquire(f.now, "t", f.quota, reach, cost, 0).Granted {
			return false
		}
		node.share.RecordGrant(f.now, "t", f.quota, count, cost)
		return f.granted(cost)
	}
	if f.defect == defectAlone || node.share.TakeWithoutCoordinator(f.now, "t", f.quota, count, cost) {
		return f.granted(cost)
	}
	return false
}

func (f *simFleet) granted(cost float64) bool {
	f.grants = append(f.grants, grant{at: f.now, cost: cost})
	return true
}

// step lets nodes hear each other, and drops what a node gave that is no coordinator.
func (f *simFleet) step() {
	f.now = f.now.Add(tick)
	if f.now.Sub(begin)%hearing != 0 {
		return
	}
	for i, node := range f.nodes {
		if !f.isUp(i) {
			continue
		}
		for other := range f.nodes {
			if f.reaches(i, other) {
				node.heard[other] = f.now
			}
		}
		node.coordinator.Observe(f.now)
		if _, ok := f.better(i); ok || i >= coordinators {
			node.coordinator.Forget()
			continue
		}
		_, reach := f.count(i)
		node.coordinator.OpenAccount(f.now, "t", f.quota, reach)
		node.closed = node.coordinator.IsNearQuota("t")
		if reach >= MinReach {
			f.tell(i)
		}
	}
}

// tell lets all hear the advisory of a coordinator, and speak lets them where it changed.
func (f *simFleet) tell(coordinator int) {
	for other := range f.nodes {
		if other == coordinator || f.reaches(coordinator, other) {
			f.nodes[other].advisories.Observe(f.now, fmt.Sprint(coordinator), f.nodes[coordinator].coordinator.NearQuota())
		}
	}
}

func (f *simFleet) speak(coordinator int) {
	node := f.nodes[coordinator]
	if closed := node.coordinator.IsNearQuota("t"); closed != node.closed {
		node.closed = closed
		f.tell(coordinator)
	}
}

// fault draws one of the things that happen to a fleet.
func (f *simFleet) fault(kind int) {
	switch kind {
	case 0: // the coordinator is killed, and starts again
		f.restart(0)
		f.nodes[0].down = f.now.Add(time.Second)
	case 1: // the coordinator stands still, and wakes with what it knew
		f.nodes[0].down = f.now.Add(time.Duration(1+f.random.IntN(6)) * time.Second)
	case 2: // all are killed at once
		for i := range f.nodes {
			f.restart(i)
			f.nodes[i].down = f.now.Add(time.Second)
		}
	case 3: // the fleet is cut in two, or whole again
		apart := f.nodes[0].side == f.nodes[len(f.nodes)-1].side
		for i, node := range f.nodes {
			node.side = 0
			if apart && i%2 == 1 {
				node.side = 1
			}
		}
	case 4: // a tenth of the nodes is cut from all others, or back
		for range max(1, len(f.nodes)/10) {
			i := f.random.IntN(len(f.nodes))
			f.nodes[i].side = i + 2
		}
	case 5: // all can speak to each other
		for _, node := range f.nodes {
			node.side = 0
		}
	}
}

// play sends load times what the quota allows, and returns the most that a window took
// in parts of what the rule allows.
func (f *simFleet) play(seconds int, load float64, faults []int, oneNode bool) float64 {
	const usualCost, plainCost = 9200.0, 200.0
	due := 0.0
	for elapsed := time.Duration(0); elapsed < time.Duration(seconds)*time.Second; elapsed += tick {
		f.step()
		if len(faults) > 0 && elapsed > 0 && elapsed%(4*time.Second) == 0 {
			f.fault(faults[f.random.IntN(len(faults))])
		}
		sent := load
		if load > 1 && elapsed%(10*time.Second) < 4*time.Second {
			sent = 0.3 // calm, so that the quota is full when the load comes
		}
		due += f.quota.PerSecond * sent * tick.Seconds()
		for due > 0 {
			cost := usualCost * (0.3 + 1.4*f.random.Float64())
			if f.random.IntN(3) == 0 {
				cost = plainCost
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
	return f.worst()
}

func (f *simFleet) worst() float64 {
	allowed := (f.quota.PerSecond*window.Seconds()+f.quota.Burst)*(1+tolerance.Overage) + tolerance.Slack
	worst, sum, first := 0.0, 0.0, 0
	for _, g := range f.grants {
		sum += g.cost
		for g.at.Sub(f.grants[first].at) > window {
			sum -= f.grants[first].cost
			first++
		}
		worst = max(worst, sum/allowed)
	}
	return worst
}

// quotas of a small and a large tenant; those of requests are covered by the same core.
var quotasPlayed = []routetable.Quota{
	{PerSecond: 29_000, Burst: 29_000, CountsTokens: true},
	{PerSecond: 800_000, Burst: 800_000, CountsTokens: true},
	{PerSecond: 100_000, Burst: 800_000, CountsTokens: true},
}

// TestNoWindowPassesTheQuota plays tenants that send five times their quota while
// coordinators die, freeze, and are cut off.
func TestNoWindowPassesTheQuota(t *testing.T) {
	kinds := map[string][]int{
		"calm": nil, "coordinator killed": {0}, "coordinator frozen": {1}, "all killed": {2}, "halves": {3, 5}, "cut off": {4, 5},
		"all of it": {0, 1, 2, 3, 4, 5},
	}
	for _, quota := range quotasPlayed {
		for _, nodes := range []int{7, 84} {
			for name, faults := range kinds {
				for seed := range uint64(3) {
					fleet := newSimFleet(seed, nodes, quota, defectNone)
					if worst := fleet.play(40, 5, faults, false); worst > 1 {
						t.Errorf("%.0f a second, %d nodes, %s, seed %d: %.2f of what a window may take", quota.PerSecond, nodes, name, seed, worst)
					}
				}
			}
		}
	}
}

// TestNothingWithinTheQuotaIsRefused: also where all of it comes through one node.
func TestNothingWithinTheQuotaIsRefused(t *testing.T) {
	for _, quota := range quotasPlayed {
		for _, nodes := range []int{7, 84} {
			for _, oneNode := range []bool{false, true} {
				fleet := newSimFleet(3, nodes, quota, defectNone)
				fleet.play(4, 0.3, nil, oneNode) // a coordinator begins without the burst
				fleet.refused = 0
				fleet.play(40, 0.8, nil, oneNode)
				if fleet.refused > 0 {
					t.Errorf("%.0f a second, %d nodes, through one %v: %d refused", quota.PerSecond, nodes, oneNode, fleet.refused)
				}
			}
		}
	}
}

// TestPlantedDefectsAreFound: each passes the bound on some seed.
func TestPlantedDefectsAreFound(t *testing.T) {
	cases := map[string]struct {
		defect defect
		faults []int
		nodes  int
		quota  int
	}{
		"the coordinator is not told": {defectUntold, nil, 84, 1},
		"parts give the whole":        {defectBlind, []int{3}, 84, 1},
		"each has the whole":          {defectWholeShare, []int{4}, 84, 1},
		"a new coordinator is full":   {defectFull, []int{1}, 84, 2},
		"alone grants all there":      {defectAlone, []int{4}, 84, 1},
	}
	for name, c := range cases {
		found := false
		for seed := range uint64(6) {
			fleet := newSimFleet(seed, c.nodes, quotasPlayed[c.quota], c.defect)
			found = found || fleet.play(60, 5, c.faults, false) > 1
		}
		if !found {
			t.Errorf("%s: not found", name)
		}
	}
}

func TestLowerLimitsBindAtOnce(t *testing.T) {
	coordinator := NewCoordinator(tolerance)
	high := routetable.Quota{PerSecond: 1000, Burst: 100_000}
	low := routetable.Quota{PerSecond: 10, Burst: 100}
	now := begin
	coordinator.Acquire(now, "t", high, 1, 1, 0)
	now = now.Add(time.Minute)
	verdict := coordinator.Acquire(now, "t", low, 1, 60_000, 0)
	if verdict.Granted || verdict.Remaining > 100+burstShare*tolerance.Slack {
		t.Errorf("%+v under the lower limit", verdict)
	}
	if verdict.RetryAfter == 0 {
		t.Error("it does not say when to come back")
	}
}

// TestWhoIsRefusedStandsInALine: all would come back at the same moment else.
func TestWhoIsRefusedStandsInALine(t *testing.T) {
	quota := routetable.Quota{PerSecond: 1000, Burst: 1000}
	coordinator := NewCoordinator(Tolerance{Window: window})
	coordinator.Acquire(begin, "t", quota, 1, 0, 0)
	var before time.Duration
	for coordinator.Acquire(begin, "t", quota, 1, 500, 0).Granted {
		t.Log("granted from what a coordinator begins with")
	}
	for range 5 {
		verdict := coordinator.Acquire(begin, "t", quota, 1, 500, 0)
		if verdict.Granted || verdict.RetryAfter < before+400*time.Millisecond {
			t.Errorf("%+v, the one before comes back in %v", verdict, before)
		}
		before = verdict.RetryAfter
	}
	for range 100 {
		before = coordinator.Acquire(begin, "t", quota, 1, 500, 0).RetryAfter
	}
	if before > window {
		t.Errorf("the last comes back in %v", before)
	}
}

// TestUrgentRequestsGoFirst: a tenant that sends more than its quota gets the urgent
// ones of its requests through before the others.
func TestUrgentRequestsGoFirst(t *testing.T) {
	quota := routetable.Quota{PerSecond: 10_000, Burst: 10_000}
	coordinator := NewCoordinator(Tolerance{Window: window})
	granted := [3]int{}
	for elapsed := time.Duration(0); elapsed < 20*time.Second; elapsed += 100 * time.Millisecond {
		for priority := range granted {
			if coordinator.Acquire(begin.Add(elapsed), "t", quota, 1, 900, priority).Granted {
				granted[priority]++
			}
		}
	}
	if granted[0] < 195 || granted[1] > 30 || granted[2] > granted[1] {
		t.Errorf("%v granted of 200 of each priority, the most urgent first", granted)
	}
}

// TestLargeRequestsAreNotStarved: of a tenant near its quota they are granted as often
// as small ones.
func TestLargeRequestsAreNotStarved(t *testing.T) {
	quota := routetable.Quota{PerSecond: 10_000, Burst: 10_000}
	coordinator := NewCoordinator(Tolerance{Window: window})
	random := rand.New(rand.NewPCG(1, 1))
	asked, granted := [2]int{}, [2]int{}
	for elapsed := time.Duration(0); elapsed < 60*time.Second; elapsed += 50 * time.Millisecond {
		size := random.IntN(2)
		asked[size]++
		if coordinator.Acquire(begin.Add(elapsed), "t", quota, 1, float64(1000+3000*size), 0).Granted {
			granted[size]++
		}
	}
	small, large := float64(granted[0])/float64(asked[0]), float64(granted[1])/float64(asked[1])
	if large < 0.8*small {
		t.Errorf("%.2f of the small and %.2f of the large requests are granted", small, large)
	}
}

// TestShortCommandsAreNotHeldBack: what they count is little, whatever their priority.
func TestShortCommandsAreNotHeldBack(t *testing.T) {
	quota := routetable.Quota{PerSecond: 30_000, Burst: 30_000}
	coordinator := NewCoordinator(Tolerance{Window: window})
	for elapsed := time.Duration(0); elapsed < 30*time.Second; elapsed += 100 * time.Millisecond {
		now := begin.Add(elapsed)
		coordinator.Acquire(now, "t", quota, 1, 9000, 1)
		if verdict := coordinator.Acquire(now, "t", quota, 1, 200, 2); !verdict.Granted && elapsed > 5*time.Second {
			t.Fatalf("after %v a short command is refused: %+v", elapsed, verdict)
		}
	}
}
