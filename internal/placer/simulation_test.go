package placer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

var (
	seeds = flag.Int("placer.seeds", 100, "number of random runs of leaders and servers")
	first = flag.Uint64("placer.first", 0, "seed of the first run")
)

var begin = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

const (
	serviceName    = "llm"
	serverCount    = 6
	modelCount     = 14
	memoryMB       = 200_000
	adapterSlots   = 4
	loadsPerSecond = 2.0
	window         = 5 * time.Second
	overage        = 1.1
	tick           = 20 * time.Millisecond
	runLength      = 40 * time.Second
)

// simTable returns the configuration of the simulation.
func simTable() *routetable.Table {
	models := make(map[string]routetable.Model)
	for i := range modelCount {
		name := fmt.Sprintf("m%02d", i)
		models[name] = routetable.Model{
			Name: name, WeightsMB: 45_000 + float64(i%3)*14_000, Load: 1500 * time.Millisecond,
			DiskLoad: 600 * time.Millisecond, MemoryLoad: 400 * time.Millisecond, Adapters: 6, AdapterMB: 60,
		}
	}
	engine := &routetable.Engine{Models: models, MemoryMB: memoryMB, AdapterSlots: adapterSlots, LoadsPerSecond: loadsPerSecond}
	return routetable.New(1, nil, []routetable.Service{{Name: serviceName, Engine: engine}}, routetable.Limits{})
}

// simServer executes orders like a server of the platform: one model order at a time, checked
// against its sequence number.
type simServer struct {
	id       string
	sequence int64
	models   map[string]map[string]bool
	loading  string
	readyAt  time.Time
}

// simWorld simulates servers and successive leaders over a network that, if lossy, delays, loses
// or fails to send orders.
type simWorld struct {
	t              *testing.T
	random         *rand.Rand
	now            time.Time
	table          *routetable.Table
	servers        []*simServer
	core           *Core
	pendingEvents  []simEvent
	counts         map[dispatch.Requirements]RequestCount
	loadStarts     []time.Time
	accepted       int
	terms          int
	leaseLoads     map[string][]time.Duration
	leaseWrittenAt time.Time
	lossy          bool
	// ignoresCount injects a defect: servers accept orders regardless of the expected sequence
	// number.
	ignoresCount bool
	violation    string
}

// simEvent is an action that is due at some time.
type simEvent struct {
	dueAt time.Time
	run   func()
}

func newSimWorld(t *testing.T, seed uint64, lossy bool) *simWorld {
	w := &simWorld{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: begin, table: simTable(),
		counts: make(map[dispatch.Requirements]RequestCount), lossy: lossy,
	}
	for i := range serverCount {
		w.servers = append(w.servers, &simServer{id: fmt.Sprintf("s%d", i), models: map[string]map[string]bool{
			fmt.Sprintf("m%02d", i): {}, fmt.Sprintf("m%02d", i+6): {},
		}})
	}
	w.startTerm()
	return w
}

// startTerm starts the term of a new leader, with the loads recorded in the lease by the one
// before.
func (w *simWorld) startTerm() {
	w.core = New(Options{Window: window, Overage: overage})
	w.core.SetTable(w.table)
	var changes []inventory.Change
	for _, s := range w.servers {
		changes = append(changes, inventory.Change{Server: inventory.Server{ID: s.id, Service: serviceName, Zone: "z"}})
	}
	w.core.SetServers(w.now, changes)
	priorLoads := make(map[string][]time.Time)
	for service, ages := range w.leaseLoads {
		for _, age := range ages {
			priorLoads[service] = append(priorLoads[service], w.leaseWrittenAt.Add(-age))
		}
	}
	w.core.AddPriorLoads(priorLoads)
	w.renewLease()
	w.terms++
}

// renewLease writes the lease, which reserves loads.
func (w *simWorld) renewLease() {
	w.leaseLoads = w.core.ReserveLoads(w.now)
	w.leaseWrittenAt = w.now
	w.core.ConfirmReservation()
}

func (w *simWorld) schedule(delay time.Duration, run func()) {
	w.pendingEvents = append(w.pendingEvents, simEvent{dueAt: w.now.Add(delay), run: run})
}

func (w *simWorld) run() {
	for w.now.Before(begin.Add(runLength)) && w.violation == "" {
		w.now = w.now.Add(tick)
		w.runDueEvents()
		w.addRandomRequest()
		if w.random.IntN(350) == 0 {
			w.startTerm()
		}
		if w.now.Sub(w.leaseWrittenAt) > 700*time.Millisecond {
			w.renewLease()
		}
		core := w.core
		effects := core.Step(w.now, true)
		for _, order := range effects.Orders {
			w.sendOrder(core, order)
		}
		for _, call := range effects.ReportRequests {
			w.requestReport(core, call)
		}
	}
}

func (w *simWorld) runDueEvents() {
	due := w.pendingEvents
	w.pendingEvents = nil
	for _, event := range due {
		if w.now.Before(event.dueAt) {
			w.pendingEvents = append(w.pendingEvents, event)
			continue
		}
		event.run()
	}
	for _, s := range w.servers {
		if s.loading != "" && !w.now.Before(s.readyAt) {
			s.models[s.loading] = map[string]bool{}
			s.loading = ""
		}
	}
}

func (w *simWorld) addRandomRequest() {
	if w.random.IntN(6) != 0 {
		return
	}
	requirements := dispatch.Requirements{Service: serviceName, Model: fmt.Sprintf("m%02d", w.random.IntN(modelCount))}
	if w.random.IntN(2) == 0 {
		requirements.Adapter = fmt.Sprintf("a%d", w.random.IntN(6))
	}
	count := w.counts[requirements]
	count.Requirements = requirements
	count.Requests++
	count.PromptTokens += 3000
	count.Waiting = w.random.IntN(3)
	count.LatencyGoal = 800 * time.Millisecond
	w.counts[requirements] = count
	counts := make([]RequestCount, 0, len(w.counts))
	for _, known := range w.counts {
		counts = append(counts, known)
	}
	w.core.demand.SetCounts(w.now, "node", 1, counts)
}

func (w *simWorld) serverOf(id string) *simServer {
	for _, s := range w.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (w *simWorld) sendOrder(core *Core, order Order) {
	s := w.serverOf(order.ServerID)
	travel := time.Duration(1+w.random.IntN(6)) * time.Millisecond
	switch {
	case w.lossy && w.random.IntN(10) == 0:
		w.schedule(500*time.Millisecond, func() { core.HandleOrderResult(w.now, order, ResultNotSent) })
	case w.lossy && w.random.IntN(8) == 0:
		w.schedule(time.Duration(2+w.random.IntN(10))*time.Second, func() { w.executeOrder(s, order) })
		w.schedule(800*time.Millisecond, func() { core.HandleOrderResult(w.now, order, ResultUnknown) })
	case w.lossy && w.random.IntN(8) == 0:
		w.schedule(travel, func() { w.executeOrder(s, order) })
		w.schedule(800*time.Millisecond, func() { core.HandleOrderResult(w.now, order, ResultUnknown) })
	default:
		w.schedule(travel, func() {
			result := w.executeOrder(s, order)
			w.schedule(travel, func() { core.HandleOrderResult(w.now, order, result) })
		})
	}
}

// executeOrder executes an order on a server, and records violations.
func (w *simWorld) executeOrder(s *simServer, order Order) Result {
	if (order.ExpectedSequence != s.sequence && !w.ignoresCount) || (s.loading != "" && order.Adapter == "") {
		return ResultBusy
	}
	w.accepted++
	if order.Operation == Unload {
		return s.unload(order)
	}
	if order.Adapter == "" {
		return w.loadModel(s, order)
	}
	return w.loadAdapter(s, order)
}

func (s *simServer) unload(order Order) Result {
	if order.Adapter != "" {
		delete(s.models[order.Model], order.Adapter)
	} else {
		delete(s.models, order.Model)
	}
	s.sequence++
	return ResultTaken
}

func (w *simWorld) loadModel(s *simServer, order Order) Result {
	if _, ok := s.models[order.Model]; ok {
		return ResultHeld
	}
	engine := w.table.Services[serviceName].Engine
	used := engine.Models[order.Model].WeightsMB
	for model, adapters := range s.models {
		used += engine.Models[model].WeightsMB + 60*float64(len(adapters))
	}
	if used > memoryMB {
		w.violation = fmt.Sprintf("%s was ordered to load %s beyond its memory: %.0f MB", s.id, order.Model, used)
	}
	s.sequence++
	s.loading, s.readyAt = order.Model, w.now.Add(engine.Models[order.Model].Load)
	w.loadStarts = append(w.loadStarts, w.now)
	w.checkLoadLimit()
	return ResultTaken
}

func (w *simWorld) checkLoadLimit() {
	within := 0
	for _, at := range w.loadStarts {
		if w.now.Sub(at) < window {
			within++
		}
	}
	if float64(within) > loadsPerSecond*window.Seconds()*overage+3 {
		w.violation = fmt.Sprintf("%d loads began within %v", within, window)
	}
}

func (w *simWorld) loadAdapter(s *simServer, order Order) Result {
	adapters, ok := s.models[order.Model]
	if !ok {
		return ResultRefused
	}
	count := 1
	for _, held := range s.models {
		count += len(held)
	}
	if count > adapterSlots {
		w.violation = fmt.Sprintf("%s was ordered to hold %d adapters", s.id, count)
	}
	adapters[order.Adapter] = true
	s.sequence++
	return ResultTaken
}

func (w *simWorld) requestReport(core *Core, call ReportRequest) {
	s := w.serverOf(call.ServerID)
	report := Report{Sequence: s.sequence, Busy: s.loading != ""}
	for model, adapters := range s.models {
		held := inventory.HeldModel{Name: model}
		for adapter := range adapters {
			held.Adapters = append(held.Adapters, adapter)
		}
		report.Models = append(report.Models, held)
	}
	ok := !w.lossy || w.random.IntN(10) != 0
	w.schedule(time.Duration(2+w.random.IntN(120))*time.Millisecond, func() { core.HandleReport(w.now, call.ServerID, report, ok) })
}

// TestRulesOfOrdersHold checks memory, adapter slots and the load limit over random runs with
// lost, late and unsent orders, and with leader changes at any moment.
func TestRulesOfOrdersHold(t *testing.T) {
	accepted, terms := 0, 0
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		w := newSimWorld(t, seed, true)
		w.run()
		if w.violation != "" {
			t.Fatalf("seed %d at %v: %s", seed, w.now.Sub(begin), w.violation)
		}
		accepted += w.accepted
		terms += w.terms
	}
	if accepted < 20**seeds || terms < 3**seeds {
		t.Errorf("%d orders and %d terms in %d runs: too few to exercise the rules", accepted, terms, *seeds)
	}
}

// TestWantedModelsGetLoaded checks that what requests wait for is loaded in a run without
// failures.
func TestWantedModelsGetLoaded(t *testing.T) {
	w := newSimWorld(t, 1, false)
	requirements := dispatch.Requirements{Service: serviceName, Model: "m13", Adapter: "a3"}
	w.counts[requirements] = RequestCount{Requirements: requirements, Requests: 1, Waiting: 1}
	for range 200 {
		w.now = w.now.Add(tick)
		w.runDueEvents()
		w.core.demand.SetCounts(w.now, "node", 1, []RequestCount{{Requirements: requirements, Requests: 1, Waiting: 1}})
		if w.now.Sub(w.leaseWrittenAt) > 700*time.Millisecond {
			w.renewLease()
		}
		effects := w.core.Step(w.now, true)
		for _, order := range effects.Orders {
			w.sendOrder(w.core, order)
		}
		for _, call := range effects.ReportRequests {
			w.requestReport(w.core, call)
		}
	}
	for _, s := range w.servers {
		if s.models["m13"]["a3"] {
			return
		}
	}
	t.Error("an adapter with waiting requests is not loaded anywhere after four seconds")
}

// TestSimulationFindsUncountedOrders checks that the simulation detects servers that do not check
// the sequence number of an order, so that late orders take effect after newer ones.
func TestSimulationFindsUncountedOrders(t *testing.T) {
	for seed := range uint64(40) {
		w := newSimWorld(t, seed, true)
		w.ignoresCount = true
		w.run()
		if w.violation != "" {
			return
		}
	}
	t.Error("orders without a checked sequence number cause no violation")
}
