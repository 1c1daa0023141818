package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetStep is the resolution of the virtual clock.
const fleetStep = 20 * time.Millisecond

// defect is a planted fault of the nodes or of what they know.
type defect int

const (
	noDefect defect = iota
	// creditAtStart gives each run credit that none of its requests earned.
	creditAtStart
	// extrasAtStart lets a run send extra retries before a window has passed since its start.
	extrasAtStart
	// shareOfOneNode divides the extra retries by one node.
	shareOfOneNode
	// shortWindow lets extra retries return before the window has passed.
	shortWindow
	// joinersUncounted never counts nodes that were added.
	joinersUncounted
	// uncountedResend sends a retry twice that was taken once.
	uncountedResend
)

// machine is one node's place in the fleet.
type machine struct {
	// budget is that of its running process, or nil.
	budget    *Budget
	startedAt time.Duration
	// frozenUntil is when it goes on running.
	frozenUntil time.Duration
	// knownNodes is how many nodes its process shares with.
	knownNodes int
}

// fleet plays the nodes of a service on a virtual clock and records what all their runs together send.
type fleet struct {
	options  Options
	defect   defect
	random   *rand.Rand
	now      time.Duration
	machines []*machine
	// requests and retries are counted for each step.
	requests, retries []int
}

func newFleet(seed uint64, nodes int, defect defect) *fleet {
	f := &fleet{options: options(), defect: defect, random: rand.New(rand.NewPCG(seed, 1))}
	for range nodes {
		f.machines = append(f.machines, &machine{})
	}
	for _, started := range f.machines {
		f.start(started)
	}
	return f
}

// start begins a new run on a machine, which knows nothing of the one before.
func (f *fleet) start(m *machine) {
	limits := f.options
	if f.defect == shortWindow {
		limits.Window = 3 * time.Second
	}
	m.budget, m.startedAt, m.knownNodes = New(limits), f.now, len(f.machines)
	if f.defect == creditAtStart {
		m.budget.SetNodes(m.knownNodes, true)
		for range 1000 {
			m.budget.CountRequest("s")
		}
	}
}

func (f *fleet) stop(m *machine) { m.budget = nil }

// join adds a machine. The others learn of it at their next step.
func (f *fleet) join() {
	added := &machine{}
	f.machines = append(f.machines, added)
	f.start(added)
	if f.defect == joinersUncounted {
		added.knownNodes = 1
		return
	}
	for _, other := range f.machines {
		other.knownNodes = len(f.machines)
	}
}

// run plays steps until the given time. Callers send perSecond requests, each of which is sent again up to
// retriesWanted times.
func (f *fleet) run(until time.Duration, perSecond float64, retriesWanted int) {
	for ; f.now < until; f.now += fleetStep {
		requests, retries := 0, 0
		for expected := perSecond * fleetStep.Seconds(); expected > 0 && f.random.Float64() < expected; expected-- {
			requests++
			retries += f.request(f.machines[f.random.IntN(len(f.machines))], retriesWanted)
		}
		f.requests, f.retries = append(f.requests, requests), append(f.retries, retries)
	}
}

// request has a machine take a request, and returns the retries that it sends.
func (f *fleet) request(m *machine, retriesWanted int) (retries int) {
	if m.budget == nil || f.now < m.frozenUntil {
		return 0
	}
	knownNodes, age := m.knownNodes, f.now-m.startedAt
	if f.defect == shareOfOneNode {
		knownNodes = 1
	}
	if f.defect == extrasAtStart {
		age += time.Hour
	}
	m.budget.SetNodes(knownNodes, true)
	m.budget.CountRequest("s")
	for range retriesWanted {
		if !m.budget.Take(age, "s") {
			continue
		}
		retries++
		if f.defect == uncountedResend {
			retries++
		}
	}
	return retries
}

// check holds the retries of every window to the limit: those allowed by the requests of that window, of the
// one before it or of the one half a window before it, whichever holds most.
func (f *fleet) check() error {
	window := int(f.options.Window / fleetStep)
	requests, retries := prefixSums(f.requests), prefixSums(f.retries)
	for start := range f.retries {
		allowed := max(requests.between(start, start+window), requests.between(start-window, start), requests.between(start-window/2, start+window/2))
		limit := f.options.Ratio*float64(allowed) + f.options.Extra
		if sent := retries.between(start, start+window); float64(sent) > limit {
			return fmt.Errorf("%d retries in the window from %v, limit %.1f for %d requests", sent, time.Duration(start)*fleetStep, limit, allowed)
		}
	}
	return nil
}

// prefix holds the sums of the first elements of a series.
type prefix []int

func prefixSums(series []int) prefix {
	sums := make(prefix, 1, len(series)+1)
	for _, value := range series {
		sums = append(sums, sums[len(sums)-1]+value)
	}
	return sums
}

// between returns the sum of the elements from start up to end; those outside the series count as 0.
func (p prefix) between(start, end int) int {
	last := len(p) - 1
	return p[min(max(end, 0), last)] - p[min(max(start, 0), last)]
}

// playDrawn plays a schedule drawn from the seed: phases of calm and of failures, with starts, kills, freezes
// and machines that are added or replaced.
func playDrawn(seed uint64, defect defect) *fleet {
	f := newFleet(seed, 2+rand.New(rand.NewPCG(seed, 2)).IntN(12), defect)
	perSecond := 2 + 150*f.random.Float64()
	for f.now < 90*time.Second {
		retriesWanted := f.random.IntN(4)
		if f.random.IntN(3) == 0 {
			perSecond = 2 + 150*f.random.Float64()
		}
		for phaseEnd := f.now + time.Duration(f.random.IntN(12000))*time.Millisecond; f.now < phaseEnd; {
			f.disrupt()
			f.run(f.now+time.Duration(50+f.random.IntN(2000))*time.Millisecond, perSecond, retriesWanted)
		}
	}
	return f
}

// disrupt draws what happens to one machine, or to all.
func (f *fleet) disrupt() {
	drawn := f.machines[f.random.IntN(len(f.machines))]
	switch f.random.IntN(8) {
	case 0, 1:
		f.start(drawn)
	case 2:
		f.stop(drawn)
	case 3:
		drawn.frozenUntil = f.now + time.Duration(f.random.IntN(5000))*time.Millisecond
	case 4:
		for _, m := range f.machines {
			f.start(m)
		}
	case 5:
		if len(f.machines) < 20 {
			f.join()
		}
	case 6:
		f.stop(drawn)
		if len(f.machines) < 20 {
			f.join()
		}
	default:
		for _, m := range f.machines {
			if m.budget == nil {
				f.start(m)
			}
		}
	}
}

// Guards against more retries than all nodes together may send while each of them restarts during an
// outbreak of failures.
func TestRetriesStayWithinTheBudgetWhileNodesRestart(t *testing.T) {
	const nodes, perSecond = 8, 110
	fleet := newFleet(1, nodes, noDefect)
	fleet.run(20*time.Second, perSecond, 0)
	fleet.run(24*time.Second, perSecond, 3)
	for _, m := range fleet.machines {
		fleet.stop(m)
		fleet.run(fleet.now+400*time.Millisecond, perSecond, 3)
		fleet.start(m)
	}
	fleet.run(30*time.Second, perSecond, 3)
	fleet.run(45*time.Second, perSecond, 0)
	if err := fleet.check(); err != nil {
		t.Fatal(err)
	}
}

const drawnSchedules = 300

// Guards the limit of every window against any schedule of starts, stops, kills, freezes, added and replaced
// nodes.
func TestRetriesStayWithinTheBudgetOnDrawnSchedules(t *testing.T) {
	sent := 0
	for seed := range uint64(drawnSchedules) {
		fleet := playDrawn(seed, noDefect)
		if err := fleet.check(); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
		sent += sum(fleet.retries)
	}
	if sent < 100*drawnSchedules {
		t.Errorf("%d retries in %d schedules: too few to reach the limit", sent, drawnSchedules)
	}
}

// TestDrawnSchedulesFindPlantedDefects checks that the drawn schedules can fail.
func TestDrawnSchedulesFindPlantedDefects(t *testing.T) {
	for name, planted := range map[string]defect{
		"credit at the start": creditAtStart, "extras at the start": extrasAtStart, "share of one node": shareOfOneNode,
		"short window": shortWindow, "joiners uncounted": joinersUncounted, "uncounted resend": uncountedResend,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(drawnSchedules) {
				if playDrawn(seed, planted).check() != nil {
					return
				}
			}
			t.Errorf("not found by %d schedules", drawnSchedules)
		})
	}
}
