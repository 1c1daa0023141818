package retrybudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fleetStep is the resolution of the virtual clock.
const fleetStep = 20 * time.Millisecond

// fleet plays the nodes of a service on a virtual clock and records what all their runs together send.
type fleet struct {
	options Options
	random  *rand.Rand
	now     time.Duration
	// members are the machines; a nil budget is one without a running process.
	members []*Budget
	// knownNodes is how many nodes each process is told to share with.
	knownNodes int
	// requests and retries are counted for each step.
	requests, retries []int
}

func newFleet(seed uint64, nodes int) *fleet {
	f := &fleet{options: options(), random: rand.New(rand.NewPCG(seed, 1)), knownNodes: nodes, members: make([]*Budget, nodes)}
	for i := range f.members {
		f.start(i)
	}
	return f
}

// start begins a new run on a machine, which knows nothing of the one before.
func (f *fleet) start(machine int) { f.members[machine] = New(f.options) }

func (f *fleet) stop(machine int) { f.members[machine] = nil }

// run plays steps until the given time. Callers send perSecond requests, each of which is sent again up to
// retriesWanted times.
func (f *fleet) run(until time.Duration, perSecond float64, retriesWanted int) {
	for ; f.now < until; f.now += fleetStep {
		requests, retries := 0, 0
		for expected := perSecond * fleetStep.Seconds(); expected > 0 && f.random.Float64() < expected; expected-- {
			requests++
			budget := f.members[f.random.IntN(len(f.members))]
			if budget == nil {
				continue
			}
			budget.SetNodes(f.knownNodes)
			budget.CountRequest(f.now, "s")
			for range retriesWanted {
				if budget.Take(f.now, "s") {
					retries++
				}
			}
		}
		f.requests, f.retries = append(f.requests, requests), append(f.retries, retries)
	}
}

// check holds the retries of every window to the limit: those allowed by the requests of that window, of the
// one before it or of the one half a window before it, whichever holds most.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	window := int(f.options.Window / fleetStep)
	requests, retries := prefixSums(f.requests), prefixSums(f.retries)
	for start := range f.retries {
		allowed := max(requests.between(start, start+window), requests.between(start-window, start), requests.between(start-window/2, start+window/2))
		limit := f.options.Ratio*float64(allowed) + f.options.Extra
		if sent := retries.between(start, start+window); float64(sent) > limit {
			t.Fatalf("%d retries in the window from %v, limit %.1f for %d requests", sent, time.Duration(start)*fleetStep, limit, allowed)
		}
	}
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

// Guards against more retries than all nodes together may send while each of them restarts during an
// outbreak of failures.
func TestRetriesStayWithinTheBudgetWhileNodesRestart(t *testing.T) {
	const nodes, perSecond = 8, 110
	fleet := newFleet(1, nodes)
	fleet.run(20*time.Second, perSecond, 0)
	fleet.run(24*time.Second, perSecond, 3)
	for machine := range nodes {
		fleet.stop(machine)
		fleet.run(fleet.now+400*time.Millisecond, perSecond, 3)
		fleet.start(machine)
	}
	fleet.run(30*time.Second, perSecond, 3)
	fleet.run(45*time.Second, perSecond, 0)
	fleet.check(t)
}
