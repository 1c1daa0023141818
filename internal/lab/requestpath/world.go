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
	// tableInterval is how often a zone's leader reads its engines, tableDelay
	// how long a table takes to the nodes.
	tableInterval = 500 * time.Millisecond
	tableDelay    = 50 * time.Millisecond

	promptTokens = 400
	minTokens    = 16
	maxTokens    = 112
	priorities   = 3
	deadline     = 4 * time.Second
	// ending is the time in which what runs at the end may end.
	ending = 30 * time.Second
)

// layout says what is there.
type layout struct {
	// zones of the engines; nodes are in the first nodeZones of them.
	zones          []fleet.Zone
	enginesPerZone int
	nodeZones      int
	nodesPerZone   int
	// plain serves by round robin and engines' own lines.
	plain   bool
	givesUp bool
	// budget bounds retries.
	budget bool
	// hedgeAfter is zero where nothing is hedged.
	hedgeAfter time.Duration
}

// world is one run.
type world struct {
	clock   clock
	random  *rand.Rand
	layout  layout
	servers []*server
	byName  map[fleet.BackendName]*server
	nodes   []*node
	plains  []*plain
	tickets uint64
	begun   time.Time
	calls   []*call
	// opens are the times of attempts.
	opens []time.Time
}

func newWorld(layout layout, seed uint64) *world {
	created := &world{layout: layout, random: rand.New(rand.NewPCG(seed, 0x72657175657374)),
		byName: make(map[fleet.BackendName]*server)}
	created.clock.now = start
	maxWaiting := 0
	if layout.plain {
		maxWaiting = waitsLong
	}
	for index, zone := range layout.zones {
		for range layout.enginesPerZone {
			server := newServer(created, len(created.servers), zone, maxWaiting, seed)
			created.servers = append(created.servers, server)
			created.byName[server.backend.Name] = server
		}
		if index >= layout.nodeZones {
			continue
		}
		for range layout.nodesPerZone {
			created.nodes = append(created.nodes, newNode(created, len(created.nodes), zone, layout.budget, seed))
			created.plains = append(created.plains, &plain{world: created, zone: zone, next: len(created.plains), givesUp: layout.givesUp})
		}
	}
	created.clock.runUntil(start.Add(loadedBefore))
	created.begun = created.clock.now
	if !layout.plain {
		created.publish()
		created.clock.runUntil(created.begun.Add(tableInterval))
		created.begun = created.clock.now
	}
	return created
}

func (w *world) server(name fleet.BackendName) *server { return w.byName[name] }

func (w *world) opened(at time.Time) { w.opens = append(w.opens, at) }

// publish gives every node the engines' states. Engines that cannot be reached
// stay in the table as they were last seen: routing has to find out.
func (w *world) publish() {
	tables := make([]fleet.RouteTable, 0, len(w.layout.zones))
	for _, zone := range w.layout.zones {
		table := fleet.RouteTable{Zone: zone}
		for _, server := range w.servers {
			if server.backend.Zone == zone {
				table.Engines = append(table.Engines, server.lastState())
			}
		}
		tables = append(tables, table)
	}
	w.clock.after(tableDelay, func() {
		for _, node := range w.nodes {
			node.stepRouting(routing.Tables{Tables: tables})
		}
	})
	w.clock.after(tableInterval, w.publish)
}

// lastState is what the zone's leader saw last.
func (s *server) lastState() fleet.EngineState {
	if s.reach == reachable {
		s.seen = s.core.State(s.world.clock.now)
	}
	return s.seen
}

// arrivals lets requests come at a rate for a time, and lets them end.
func (w *world) arrivals(ctx context.Context, duration time.Duration, rate float64) error {
	if rate <= 0 {
		return fmt.Errorf("%g is no rate of requests a second", rate)
	}
	end := w.begun.Add(duration)
	for at := w.gap(w.begun, rate); at.Before(end); at = w.gap(at, rate) {
		if err := ctx.Err(); err != nil {
			return err
		}
		w.clock.runUntil(at)
		w.arrive()
	}
	w.clock.runUntil(end.Add(ending))
	return nil
}

func (w *world) gap(from time.Time, rate float64) time.Time {
	return from.Add(time.Duration(w.random.ExpFloat64() / rate * float64(time.Second)))
}

func (w *world) arrive() {
	now := w.clock.now
	number := uint64(len(w.calls) + 1)
	asked := &call{
		id: fleet.RequestID(fmt.Sprint("r", number)), number: number, arrived: now, deadline: now.Add(deadline),
		priority: w.random.IntN(priorities), promptTokens: promptTokens,
		answerTokens: minTokens + w.random.IntN(maxTokens-minTokens+1),
	}
	at, seed := w.random.IntN(len(w.nodes)), w.random.Uint64()
	w.calls = append(w.calls, asked)
	if w.layout.plain {
		w.plains[at].serve(asked)
		return
	}
	(&request{call: asked, node: w.nodes[at]}).start(seed)
}

// capacity is the number of requests a second that an engine ends when its
// batch is always full: in each iteration every request gains one token, and a
// share of them is new and brings its prompt.
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
