package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// The fleet below plays what a node does for each request to a cold server (ask the
// coordinators in order, else use its lot) on a virtual clock, under faults that are drawn
// from a seed, and adds up what each server received from all nodes in any second.

const (
	tick    = 50 * time.Millisecond
	hearing = 4 * tick
	// coordinators, coordinatorSilent, countedFor and freshFor are as in quota's schedule.
	coordinators      = 3
	coordinatorSilent = 700 * time.Millisecond
	countedFor        = 30 * time.Second
	freshFor          = 1100 * time.Millisecond
	// givesAfter and lotsAfter are how long after its start a node grants, and uses lots.
	givesAfter = time.Second
	lotsAfter  = 3 * time.Second
	// storeReaders is of how many nodes that start one reads the store within four seconds.
	storeReaders = 10
	// learnsSize is how long after its start a node takes it that it knows the fleet.
	learnsSize = 30 * time.Second
	// seeds is the number of other nodes that one which starts knows by its settings.
	seeds = 3
)

var (
	begin = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	bound = WarmUpBound{PerSecond: 12, Overage: 1.5, Slack: 5}
)

// defect is a mistake that the check has to find.
type defect int

const (
	defectNone defect = iota
	// defectWholeRate gives each node without a coordinator the server's whole rate.
	defectWholeRate
	// defectFirstSeenWarm takes a server for warm that a node knows nothing of.
	defectFirstSeenWarm
	// defectWindowAnew lets each coordinator begin with a whole window.
	defectWindowAnew
	// defectSavedUp lets a coordinator grant later what nobody asked for in a calm time.
	defectSavedUp
	// defectSmallFleet lets nodes use lots that were never told the fleet's size, and take
	// themselves for all of it.
	defectSmallFleet
	// defectPartIsAll lets a coordinator grant that knows only the part of the fleet that it
	// hears.
	defectPartIsAll
)

// rule is what bounds the servers of a fleet.
type rule struct {
	// window is the time in which a server may receive most.
	window time.Duration
	most   float64
	quota  routetable.Quota
	// newCoordinator and newLots are those of a node that starts.
	newCoordinator func() *quota.Coordinator
	newLots        func(node string) *FallbackAllowance
	// pressed are the requests a second that all nodes have for each server.
	pressed float64
}

// coldRule bounds cold servers.
func coldRule() rule {
	return rule{
		window: time.Second, most: bound.MaxRequests(), quota: bound.Quota(), newLots: NewWarmUpFallback, pressed: 70,
		newCoordinator: func() *quota.Coordinator { return quota.NewCoordinator(WarmUpTolerance()) },
	}
}

// limitRule bounds servers that name a rate limit, at which ten times that is pressed.
func limitRule(perSecond float64) rule {
	limit := RateLimitBound{PerSecond: perSecond}
	return rule{
		window: rateLimitWindow, most: limit.MaxRequests(), quota: limit.Quota(), newLots: NewRateLimitFallback, pressed: max(10, 10*perSecond),
		newCoordinator: func() *quota.Coordinator { return quota.NewCoordinator(RateLimitTolerance()) },
	}
}

type simNode struct {
	coordinator *quota.Coordinator
	lots        *FallbackAllowance
	fleet       quota.FleetSize
	isTold      bool
	// readsAt is when the node reads in the store how many there are; zero is never.
	readsAt time.Time
	started time.Time
	// side is the part of the fleet that the node is in; down is until when it is dead
	// or stands still.
	side int
	down time.Time
	// heard is the last tick in which each node was heard from; 0 is never.
	heard []int32
	// countedAt is when nodes and reach were last counted: once in a tick.
	countedAt time.Time
	nodes     int
	reach     float64
	// pending are grants that are not used yet.
	pending []pendingGrant
}

type pendingGrant struct {
	server int
	asked  time.Time
	sendAt time.Time
}

type simFleet struct {
	random  *rand.Rand
	nodes   []*simNode
	servers []string
	sends   [][]time.Time
	now     time.Time
	defect  defect
	refused int
	rule    rule
}

func newSimFleet(seed uint64, count, servers int, planted defect) *simFleet {
	return newFleetUnder(coldRule(), seed, count, servers, planted)
}

func newFleetUnder(rule rule, seed uint64, count, servers int, planted defect) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), now: begin, defect: planted, rule: rule}
	for i := range servers {
		f.servers = append(f.servers, fmt.Sprintf("server-%d-%d", seed, i))
	}
	f.sends = make([][]time.Time, servers)
	for range count {
		f.nodes = append(f.nodes, &simNode{})
	}
	for i, node := range f.nodes {
		f.restart(i)
		node.fleet.RaiseTo(f.now, count)
		node.isTold, node.started = true, begin.Add(-time.Minute)
		for other := range node.heard {
			node.heard[other] = f.tick()
		}
	}
	return f
}

func (f *simFleet) restart(i int) {
	node := f.nodes[i]
	*node = simNode{
		coordinator: f.rule.newCoordinator(), lots: f.rule.newLots(fmt.Sprint("10.0.0.", i)), side: node.side,
		started: f.now, heard: make([]int32, len(f.nodes)),
	}
	if f.random.IntN(storeReaders) == 0 {
		node.readsAt = f.now.Add(time.Second + time.Duration(f.random.Int64N(int64(3*time.Second))))
	}
	if f.defect == defectWindowAnew {
		node.coordinator = quota.NewCoordinator(quota.Tolerance{Window: f.rule.window, Slack: 10 * f.rule.most})
	}
}

// tick is the number of the present tick, from 1 on.
func (f *simFleet) tick() int32 { return 1 + int32(f.now.Sub(begin)/tick) }

// since is the time since a tick.
func (f *simFleet) since(at int32) time.Duration { return time.Duration(f.tick()-at) * tick }

func (f *simFleet) isUp(i int) bool { return !f.now.Before(f.nodes[i].down) }

func (f *simFleet) reaches(a, b int) bool {
	return f.isUp(a) && f.isUp(b) && f.nodes[a].side == f.nodes[b].side
}

func (f *simFleet) count(i int) (nodes int, reach float64) {
	node := f.nodes[i]
	if !node.countedAt.Equal(f.now) {
		node.nodes, node.reach = f.countAnew(i)
		node.countedAt = f.now
	}
	return node.nodes, node.reach
}

func (f *simFleet) countAnew(i int) (nodes int, reach float64) {
	fresh, counted := 1, 1
	for other, at := range f.nodes[i].heard {
		if other == i || at == 0 {
			continue
		}
		if f.since(at) < countedFor {
			counted++
		}
		if f.since(at) < freshFor {
			fresh++
		}
	}
	return f.nodes[i].fleet.Observe(f.now, max(counted, min(1+seeds, len(f.nodes))), fresh)
}

// better is a node that i hears and that grants before it.
func (f *simFleet) better(i int) (int, bool) {
	for other := range i {
		if at := f.nodes[i].heard[other]; at > 0 && f.since(at) < coordinatorSilent {
			return other, true
		}
	}
	return 0, false
}

// mayGive is whether i has listened long enough, and knows how large the fleet is.
func (f *simFleet) mayGive(i int) bool {
	return f.now.Sub(f.nodes[i].started) >= givesAfter && (f.knowsFleet(i) || f.defect == defectPartIsAll)
}

func (f *simFleet) knowsFleet(i int) bool {
	return f.nodes[i].isTold || f.now.Sub(f.nodes[i].started) >= learnsSize
}

func (f *simFleet) coordinatorFor(i int) (int, bool) {
	for asked := range min(coordinators, len(f.nodes)) {
		if asked != i && !f.reaches(i, asked) {
			continue
		}
		other, ok := f.better(asked)
		_, reach := f.count(asked)
		switch {
		case !ok && (reach < quota.MinReach || !f.mayGive(asked)):
		case !ok:
			return asked, true
		case f.reaches(asked, other):
			if _, again := f.better(other); !again && f.mayGive(other) {
				return other, true
			}
		}
	}
	return 0, false
}

// request is one of node i for a server; a grant is used a little later.
func (f *simFleet) request(i, server int) {
	node := f.nodes[i]
	if f.defect == defectFirstSeenWarm && f.now.Sub(later(node.started, node.down)) < time.Second {
		f.send(server)
		return
	}
	coordinator, found := f.coordinatorFor(i)
	if found {
		_, reach := f.count(coordinator)
		granted := f.rule.quota
		if f.defect == defectSavedUp {
			granted.Burst = 10 * f.rule.most
		}
		if f.nodes[coordinator].coordinator.Acquire(f.now, f.servers[server], granted, reach, 1, f.random.IntN(3)).Granted {
			late := time.Duration(f.random.Int64N(int64(GrantLifetime)))
			node.pending = append(node.pending, pendingGrant{server: server, asked: f.now, sendAt: f.now.Add(late)})
		} else {
			f.refused++
		}
		return
	}
	nodes, _ := f.count(i)
	if f.defect == defectSmallFleet && !node.isTold {
		nodes = 1
	}
	switch {
	case f.defect == defectWholeRate:
		if f.random.Float64() < f.rule.quota.PerSecond*tick.Seconds() {
			f.send(server)
		}
	case !f.knowsFleet(i) && f.defect != defectSmallFleet, f.now.Sub(node.started) < lotsAfter:
		f.refused++
	case node.lots.Take(f.now, f.servers[server], f.rule.most, nodes):
		f.send(server)
	default:
		f.refused++
	}
}

func (f *simFleet) send(server int) { f.sends[server] = append(f.sends[server], f.now) }

// use sends what was granted and is still fresh.
func (f *simFleet) use() {
	for i, node := range f.nodes {
		if !f.isUp(i) {
			continue
		}
		kept := node.pending[:0]
		for _, grant := range node.pending {
			switch {
			case f.now.Before(grant.sendAt):
				kept = append(kept, grant)
			case f.now.Sub(grant.asked) <= GrantLifetime:
				f.send(grant.server)
			}
		}
		node.pending = kept
	}
}

// step lets nodes hear each other, and drops what a node granted that is no coordinator.
func (f *simFleet) step() {
	f.now = f.now.Add(tick)
	f.use()
	if f.now.Sub(begin)%hearing != 0 {
		return
	}
	for i, node := range f.nodes {
		if !f.isUp(i) {
			continue
		}
		for other := range f.nodes {
			if other == i || !f.reaches(i, other) {
				continue
			}
			node.heard[other] = f.tick()
			if !node.isTold && f.knowsFleet(other) {
				size, _ := f.count(other)
				node.fleet.RaiseTo(f.now, size)
				node.isTold = true
			}
		}
		if !node.isTold && !node.readsAt.IsZero() && !f.now.Before(node.readsAt) {
			node.fleet.RaiseTo(f.now, len(f.nodes))
			node.isTold = true
		}
		node.coordinator.Observe(f.now)
		if _, ok := f.better(i); ok || i >= coordinators {
			node.coordinator.Forget()
		}
	}
}

// kind is something that happens to a fleet.
type kind int

const (
	killed kind = iota
	frozen
	brieflyFrozen
	allKilled
	halves
	thirds
	cutOff
	restartedCutOff
	whole
	kinds
)

func (f *simFleet) fault(what kind) {
	switch what {
	case killed:
		f.restart(0)
		f.nodes[0].down = f.now.Add(time.Second)
	case frozen:
		f.nodes[0].down = f.now.Add(time.Duration(1+f.random.IntN(6)) * time.Second)
	case brieflyFrozen:
		for i := range f.nodes {
			if i < coordinators || f.random.IntN(2) == 0 {
				f.nodes[i].down = f.now.Add(time.Duration(f.random.Int64N(int64(1200 * time.Millisecond))))
			}
		}
	case allKilled:
		for i := range f.nodes {
			f.restart(i)
			f.nodes[i].down = f.now.Add(time.Second)
		}
	case halves, thirds:
		parts := 2 + int(what-halves)
		for i, node := range f.nodes {
			node.side = i % parts
		}
	case cutOff, restartedCutOff:
		for range max(1, len(f.nodes)/4) {
			i := f.random.IntN(len(f.nodes))
			f.nodes[i].side = i + 10
			if what == restartedCutOff {
				f.restart(i)
			}
		}
	case whole:
		for _, node := range f.nodes {
			node.side = 0
		}
	}
}

// play lets every node press at every server, with calm times or without, and returns the most that one received in a
// window, and how many all received.
func (f *simFleet) play(seconds int, faults []kind, hasCalm bool) (worst, sent int) {
	for elapsed := time.Duration(0); elapsed < time.Duration(seconds)*time.Second; elapsed += tick {
		f.step()
		press := f.rule.pressed / float64(len(f.nodes)) * tick.Seconds()
		if hasCalm && elapsed%(10*time.Second) < 6*time.Second {
			press /= 50
		}
		if len(faults) > 0 && elapsed > 0 && elapsed%(2*time.Second) == 0 {
			f.fault(faults[f.random.IntN(len(faults))])
		}
		for i := range f.nodes {
			for server := range f.servers {
				if f.random.Float64() < press && f.isUp(i) {
					f.request(i, server)
				}
			}
		}
	}
	return f.worst()
}

func (f *simFleet) worst() (worst, sent int) {
	for _, sends := range f.sends {
		first := 0
		for last, at := range sends {
			for at.Sub(sends[first]) >= f.rule.window {
				first++
			}
			worst = max(worst, last-first+1)
		}
		sent += len(sends)
	}
	return worst, sent
}

// allFaults are all kinds of faults in one schedule.
var allFaults = []kind{killed, frozen, brieflyFrozen, allKilled, halves, thirds, cutOff, restartedCutOff, whole}

// TestNoServerReceivesMoreThanTheBound plays servers at which three times the bound is
// pressed, while nodes die, freeze, are cut off and start knowing nothing.
func TestNoServerReceivesMoreThanTheBound(t *testing.T) {
	schedules := map[string][]kind{"calm": nil, "killed in parts": {thirds, allKilled}, "all of it": allFaults}
	for what := range kinds {
		schedules[fmt.Sprint("kind ", int(what))] = []kind{what, whole}
	}
	most := 0
	for _, nodes := range []int{1, 7, 68} {
		for name, faults := range schedules {
			for seed := range uint64(4) {
				worst, _ := newSimFleet(seed, nodes, 8, defectNone).play(30, faults, seed%2 == 1)
				most = max(most, worst)
				if float64(worst) > bound.MaxRequests() {
					t.Errorf("%d nodes, %s, seed %d: %d requests in a second, %.0f allowed", nodes, name, seed, worst, bound.MaxRequests())
				}
			}
		}
	}
	t.Logf("%d requests in the worst second of all", most)
}

// TestColdServersServe: while all is well each server receives about what is granted.
func TestColdServersServe(t *testing.T) {
	for _, nodes := range []int{1, 7, 68} {
		fleet := newSimFleet(1, nodes, 8, defectNone)
		worst, sent := fleet.play(20, nil, false)
		if rate := float64(sent) / 20 / 8; rate < 0.9*bound.Quota().PerSecond || float64(worst) > 1.2*bound.PerSecond {
			t.Errorf("%d nodes: %.1f a second at each server, %d in the worst second", nodes, rate, worst)
		}
	}
}

// TestAThirdCutOffServesItsPart: a zone that is cut off has a coordinator of its own.
func TestAThirdCutOffServesItsPart(t *testing.T) {
	fleet := newSimFleet(1, 68, 8, defectNone)
	fleet.fault(thirds)
	if _, sent := fleet.play(20, nil, false); float64(sent)/20/8 < 0.8*bound.Quota().PerSecond {
		t.Errorf("%.1f a second at each server", float64(sent)/20/8)
	}
}

// TestPlantedDefectsAreFound: each passes the bound on some seed.
func TestPlantedDefectsAreFound(t *testing.T) {
	cases := map[string]struct {
		defect defect
		faults []kind
		// first is the first of eight seeds.
		first uint64
	}{
		"a whole rate for each node": {defectWholeRate, []kind{cutOff}, 0},
		"first seen is warm":         {defectFirstSeenWarm, []kind{allKilled}, 0},
		"the window begins anew":     {defectWindowAnew, []kind{frozen, killed}, 0},
		"what was saved up":          {defectSavedUp, []kind{brieflyFrozen, killed}, 0},
		"the fleet taken for small":  {defectSmallFleet, []kind{restartedCutOff}, 0},
		// It passes the bound rarely: of sixty seeds at the 50th alone.
		"a part taken for the fleet": {defectPartIsAll, []kind{thirds, thirds, thirds, thirds, thirds, allKilled}, 50},
	}
	for name, c := range cases {
		most := 0
		for seed := range uint64(8) {
			worst, _ := newSimFleet(c.first+seed, 68, 8, c.defect).play(30, c.faults, c.defect == defectPartIsAll || seed%2 == 1)
			most = max(most, worst)
		}
		t.Logf("%s: %d", name, most)
		if float64(most) <= bound.MaxRequests() {
			t.Errorf("%s: not found, %d in the worst second", name, most)
		}
	}
}

// TestNoLimitedServerReceivesMoreThanItsLimit plays servers that name a rate limit, at which ten times
// that is pressed. What nodes send counts whether or not a fault excuses them.
func TestNoLimitedServerReceivesMoreThanItsLimit(t *testing.T) {
	schedules := map[string][]kind{"calm": nil, "killed in parts": {thirds, allKilled}, "all of it": allFaults}
	for what := range kinds {
		schedules[fmt.Sprint("kind ", int(what))] = []kind{what, whole}
	}
	for _, fleet := range []struct {
		nodes, seeds, seconds int
		rates                 []float64
	}{
		{1, 2, 20, []float64{0, 1}},
		{7, 3, 20, []float64{0, 0.2, 1, 10, 50}},
		{70, 2, 20, []float64{0, 0.2, 1, 10, 50}},
		{300, 1, 20, []float64{0.2, 1}},
		{3000, 1, 8, []float64{1}},
	} {
		for _, perSecond := range fleet.rates {
			limit, most, at := limitRule(perSecond), 0, ""
			for name, faults := range schedules {
				if fleet.nodes > 100 && name != "all of it" {
					continue
				}
				for seed := range uint64(fleet.seeds) {
					worst, _ := newFleetUnder(limit, seed, fleet.nodes, 4, defectNone).play(fleet.seconds, faults, seed%2 == 1)
					if worst > most {
						most, at = worst, fmt.Sprintf("%s, seed %d", name, seed)
					}
				}
			}
			t.Logf("%d nodes, %.1f a second: %d in the worst window of %.1f (%s)", fleet.nodes, perSecond, most, limit.most, at)
			if float64(most) > limit.most {
				t.Errorf("%d nodes, %.1f a second, %s: %d requests in a window, %.0f allowed", fleet.nodes, perSecond, at, most, limit.most)
			}
		}
	}
}

// TestLimitedServersServe: while all is well each server receives what it names, however many nodes
// there are; one that names nothing is asked now and then.
func TestLimitedServersServe(t *testing.T) {
	for _, nodes := range []int{1, 7, 70} {
		for _, perSecond := range []float64{0, 0.2, 1, 10} {
			_, sent := newFleetUnder(limitRule(perSecond), 1, nodes, 4, defectNone).play(40, nil, false)
			rate, want := float64(sent)/40/4, max(perSecond, probeRate)
			if rate < 0.8*want || rate > 1.05*want+0.1 {
				t.Errorf("%d nodes: %.2f a second at each server, want %.2f", nodes, rate, want)
			}
		}
	}
}

// TestPlantedDefectsOfLimitsAreFound: each passes the limit on some seed.
func TestPlantedDefectsOfLimitsAreFound(t *testing.T) {
	pressed := limitRule(1)
	pressed.pressed = 700
	roundedUp := limitRule(1)
	roundedUp.quota.PerSecond = 3
	twice := limitRule(1)
	twice.newCoordinator = func() *quota.Coordinator {
		return quota.NewCoordinator(quota.Tolerance{Window: rateLimitWindow, Slack: 10 * twice.most, StrictRate: true})
	}
	cases := map[string]struct {
		rule   rule
		defect defect
		faults []kind
	}{
		"all of it for each node":       {pressed, defectWholeRate, []kind{cutOff}},
		"a rate that is rounded up":     {roundedUp, defectNone, []kind{killed, whole}},
		"given anew by the next":        {twice, defectNone, []kind{frozen, killed}},
		"saved up in calm times":        {limitRule(10), defectSavedUp, []kind{brieflyFrozen, killed}},
		"unbounded by who just started": {limitRule(1), defectFirstSeenWarm, []kind{allKilled}},
	}
	for name, c := range cases {
		most := 0
		for seed := range uint64(8) {
			worst, _ := newFleetUnder(c.rule, seed, 68, 4, c.defect).play(30, c.faults, seed%2 == 1)
			most = max(most, worst)
		}
		if float64(most) <= c.rule.most {
			t.Errorf("%s: not found, %d in the worst window", name, most)
		}
	}
}
