package requestpath

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/routing"
)

const (
	// tableInterval is how often a zone's leader reads the states of its engines,
	// tableDelay how long a route table takes to reach the nodes.
	tableInterval = 500 * time.Millisecond
	tableDelay    = 50 * time.Millisecond

	promptTokens = 400
	minTokens    = 16
	maxTokens    = 112
	priorities   = 3
	deadline     = 4 * time.Second
	// drainTime is how long the simulation goes on after the last arrival, so that
	// running requests can end.
	drainTime = 30 * time.Second
)

// topology describes the simulated fleet and its options.
type topology struct {
	// zones are the zones of the engines; the first nodeZones of them have nodes.
	zones          []fleet.Zone
	enginesPerZone int
	nodeZones      int
	nodesPerZone   int
	// baseline replaces the product's cores by round robin over the engines'
	// queues. callersCancel lets callers cancel at their deadline.
	baseline      bool
	callersCancel bool
	// retryBudget limits retries.
	retryBudget bool
	// hedgeAfter is the delay before a request is hedged; zero disables hedging.
	hedgeAfter time.Duration
}

// simulation is the state of one run.
type simulation struct {
	clock      clock
	random     *rand.Rand
	topology   topology
	servers    []*server
	byName     map[fleet.BackendName]*server
	nodes      []*node
	baselines  []*baseline
	lastTicket uint64
	started    time.Time
	calls      []*call
	// attemptTimes has the start of each attempt.
	attemptTimes []time.Time
}

func newSimulation(topology topology, seed uint64) *simulation {
	created := &simulation{topology: topology, random: rand.New(rand.NewPCG(seed, 0x72657175657374)),
		byName: make(map[fleet.BackendName]*server)}
	created.clock.now = epoch
	maxWaiting := 0
	if topology.baseline {
		maxWaiting = unlimitedWaiting
	}
	for index, zone := range topology.zones {
		for range topology.enginesPerZone {
			server := newServer(created, len(created.servers), zone, maxWaiting, seed)
			created.servers = append(created.servers, server)
			created.byName[server.backend.Name] = server
		}
		if index >= topology.nodeZones {
			continue
		}
		for range topology.nodesPerZone {
			created.nodes = append(created.nodes, newNode(created, len(created.nodes), zone, topology.retryBudget, seed))
			created.baselines = append(created.baselines, &baseline{simulation: created, zone: zone, next: len(created.baselines), callersCancel: topology.callersCancel})
		}
	}
	created.clock.runUntil(epoch.Add(modelLoadTime))
	created.started = created.clock.now
	if !topology.baseline {
		created.publish()
		created.clock.runUntil(created.started.Add(tableInterval))
		created.started = created.clock.now
	}
	return created
}

func (w *simulation) server(name fleet.BackendName) *server { return w.byName[name] }

func (w *simulation) recordAttempt(at time.Time) { w.attemptTimes = append(w.attemptTimes, at) }

// publish sends every node the engines' states and schedules the next one.
// Engines that can't be reached stay in the table with their last known state, so
// that routing has to detect the loss.
func (w *simulation) publish() {
	tables := make([]fleet.RouteTable, 0, len(w.topology.zones))
	for _, zone := range w.topology.zones {
		table := fleet.RouteTable{Zone: zone}
		for _, server := range w.servers {
			if server.backend.Zone == zone {
				table.Engines = append(table.Engines, server.lastState())
			}
		}
		tables = append(tables, table)
	}
	w.clock.scheduleAfter(tableDelay, func() {
		for _, node := range w.nodes {
			node.stepRouting(routing.Tables{Tables: tables})
		}
	})
	w.clock.scheduleAfter(tableInterval, w.publish)
}

// lastState returns the engine's state as its zone's leader last read it.
func (s *server) lastState() fleet.EngineState {
	if s.reachability == reachable {
		s.lastSeen = s.core.State(s.simulation.clock.now)
	}
	return s.lastSeen
}

// generateArrivals simulates Poisson arrivals at a rate for a duration, then lets
// running requests end.
func (w *simulation) generateArrivals(ctx context.Context, duration time.Duration, rate float64) error {
	if rate <= 0 {
		return fmt.Errorf("%g is no rate of requests a second", rate)
	}
	end := w.started.Add(duration)
	for at := w.nextArrival(w.started, rate); at.Before(end); at = w.nextArrival(at, rate) {
		if err := ctx.Err(); err != nil {
			return err
		}
		w.clock.runUntil(at)
		w.arrive()
	}
	w.clock.runUntil(end.Add(drainTime))
	return nil
}

func (w *simulation) nextArrival(from time.Time, rate float64) time.Time {
	return from.Add(time.Duration(w.random.ExpFloat64() / rate * float64(time.Second)))
}

func (w *simulation) arrive() {
	now := w.clock.now
	number := uint64(len(w.calls) + 1)
	created := &call{
		id: fleet.RequestID(fmt.Sprint("r", number)), number: number, arrived: now, deadline: now.Add(deadline),
		priority: w.random.IntN(priorities), promptTokens: promptTokens,
		answerTokens: minTokens + w.random.IntN(maxTokens-minTokens+1),
	}
	at, seed := w.random.IntN(len(w.nodes)), w.random.Uint64()
	w.calls = append(w.calls, created)
	if w.topology.baseline {
		w.baselines[at].serve(created)
		return
	}
	(&request{call: created, node: w.nodes[at]}).start(seed)
}

// capacity returns the number of requests a second that an engine completes with
// a batch that is always full. In each iteration every request gains one token,
// and the prompts of the new requests are processed.
func capacity() float64 {
	const (
		base        = 0.020
		perSequence = 0.0001
		perPrefill  = 0.00002
		meanTokens  = (minTokens + maxTokens) / 2.0
	)
	ending := maxRunning / meanTokens
	return ending / (base + maxRunning*perSequence + ending*promptTokens*perPrefill)
}
