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
	seeds = flag.Int("placer.seeds", 100, "drawn runs of leaders and servers")
	first = flag.Uint64("placer.first", 0, "seed of the first of them")
)

var begin = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

const (
	serviceName  = "llm"
	serverCount  = 6
	modelCount   = 14
	memoryMB     = 200_000
	adapterSlots = 4
	loadsPerS    = 2.0
	window       = 5 * time.Second
	overage      = 1.1
	tick         = 20 * time.Millisecond
	runLength    = 40 * time.Second
)

func simTable() *routetable.Table {
	models := make(map[string]routetable.Model)
	for i := range modelCount {
		name := fmt.Sprintf("m%02d", i)
		models[name] = routetable.Model{
			Name: name, WeightsMB: 45_000 + float64(i%3)*14_000, Load: 1500 * time.Millisecond,
			DiskLoad: 600 * time.Millisecond, MemoryLoad: 400 * time.Millisecond, Adapters: 6, AdapterMB: 60,
		}
	}
	engine := &routetable.Engine{Models: models, MemoryMB: memoryMB, AdapterSlots: adapterSlots, LoadsPerSecond: loadsPerS}
	return routetable.New(1, nil, []routetable.Service{{Name: serviceName, Engine: engine}}, routetable.Limits{})
}

// simServer is a server that carries out orders as the platform's do: one model
// order at a time, checked against its count, lost and late ones among them.
type simServer struct {
	id       string
	sequence int64
	models   map[string]map[string]bool
	loading  string
	ready    time.Time
}

type simWorld struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	table   *routetable.Table
	servers []*simServer
	core    *Core
	todo    []simEvent
	asked   map[dispatch.Requirements]RequestCount
	begun   []time.Time
	taken   int
	changes int
	record  map[string][]time.Duration
	wroteAt time.Time
	lossy   bool
	// ignoresCount plants servers that take orders whatever they expect.
	ignoresCount bool
	broken       string
}

type simEvent struct {
	at time.Time
	do func()
}

func newSimWorld(t *testing.T, seed uint64, lossy bool) *simWorld {
	w := &simWorld{
		t: t, random: rand.New(rand.NewPCG(seed, 3)), now: begin, table: simTable(),
		asked: make(map[dispatch.Requirements]RequestCount), lossy: lossy,
	}
	for i := range serverCount {
		w.servers = append(w.servers, &simServer{id: fmt.Sprintf("s%d", i), models: map[string]map[string]bool{
			fmt.Sprintf("m%02d", i): {}, fmt.Sprintf("m%02d", i+6): {},
		}})
	}
	w.lead()
	return w
}

// lead starts a term with what the record of the one before says.
func (w *simWorld) lead() {
	w.core = New(Options{Window: window, Overage: overage})
	w.core.SetTable(w.table)
	var changes []inventory.Change
	for _, s := range w.servers {
		changes = append(changes, inventory.Change{Server: inventory.Server{ID: s.id, Service: serviceName, Zone: "z"}})
	}
	w.core.SetServers(w.now, changes)
	past := make(map[string][]time.Time)
	for service, ages := range w.record {
		for _, age := range ages {
			past[service] = append(past[service], w.wroteAt.Add(-age))
		}
	}
	w.core.AddPriorLoads(past)
	w.write()
	w.changes++
}

// write is a write of the lease, which reserves loads.
func (w *simWorld) write() {
	w.record = w.core.ReserveLoads(w.now)
	w.wroteAt = w.now
	w.core.ConfirmReservation()
}

func (w *simWorld) after(pause time.Duration, do func()) {
	w.todo = append(w.todo, simEvent{at: w.now.Add(pause), do: do})
}

func (w *simWorld) run() {
	for w.now.Before(begin.Add(runLength)) && w.broken == "" {
		w.now = w.now.Add(tick)
		w.happen()
		w.want()
		if w.random.IntN(350) == 0 {
			w.lead()
		}
		if w.now.Sub(w.wroteAt) > 700*time.Millisecond {
			w.write()
		}
		core := w.core
		effects := core.Step(w.now, true)
		for _, order := range effects.Orders {
			w.order(core, order)
		}
		for _, call := range effects.ReportRequests {
			w.report(core, call)
		}
	}
}

func (w *simWorld) happen() {
	due := w.todo
	w.todo = nil
	for _, event := range due {
		if w.now.Before(event.at) {
			w.todo = append(w.todo, event)
			continue
		}
		event.do()
	}
	for _, s := range w.servers {
		if s.loading != "" && !w.now.Before(s.ready) {
			s.models[s.loading] = map[string]bool{}
			s.loading = ""
		}
	}
}

func (w *simWorld) want() {
	if w.random.IntN(6) != 0 {
		return
	}
	wanted := dispatch.Requirements{Service: serviceName, Model: fmt.Sprintf("m%02d", w.random.IntN(modelCount))}
	if w.random.IntN(2) == 0 {
		wanted.Adapter = fmt.Sprintf("a%d", w.random.IntN(6))
	}
	count := w.asked[wanted]
	count.Requirements = wanted
	count.Requests++
	count.PromptTokens += 3000
	count.Waiting = w.random.IntN(3)
	count.LatencyGoal = 800 * time.Millisecond
	w.asked[wanted] = count
	counts := make([]RequestCount, 0, len(w.asked))
	for _, known := range w.asked {
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

func (w *simWorld) order(core *Core, order Order) {
	s := w.serverOf(order.ServerID)
	travel := time.Duration(1+w.random.IntN(6)) * time.Millisecond
	switch {
	case w.lossy && w.random.IntN(10) == 0:
		w.after(500*time.Millisecond, func() { core.HandleOrderResult(w.now, order, ResultNotSent) })
	case w.lossy && w.random.IntN(8) == 0:
		w.after(time.Duration(2+w.random.IntN(10))*time.Second, func() { w.take(s, order) })
		w.after(800*time.Millisecond, func() { core.HandleOrderResult(w.now, order, ResultUnknown) })
	case w.lossy && w.random.IntN(8) == 0:
		w.after(travel, func() { w.take(s, order) })
		w.after(800*time.Millisecond, func() { core.HandleOrderResult(w.now, order, ResultUnknown) })
	default:
		w.after(travel, func() {
			result := w.take(s, order)
			w.after(travel, func() { core.HandleOrderResult(w.now, order, result) })
		})
	}
}

// take carries an order out, and notes where a rule is broken.
func (w *simWorld) take(s *simServer, order Order) Result {
	if (order.ExpectedSequence != s.sequence && !w.ignoresCount) || (s.loading != "" && order.Adapter == "") {
		return ResultBusy
	}
	w.taken++
	if order.Operation == Unload {
		return s.unload(order)
	}
	if order.Adapter == "" {
		return w.takeModel(s, order)
	}
	return w.takeAdapter(s, order)
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

func (w *simWorld) takeModel(s *simServer, order Order) Result {
	if _, ok := s.models[order.Model]; ok {
		return ResultHeld
	}
	engine := w.table.Services[serviceName].Engine
	used := engine.Models[order.Model].WeightsMB
	for model, adapters := range s.models {
		used += engine.Models[model].WeightsMB + 60*float64(len(adapters))
	}
	if used > memoryMB {
		w.broken = fmt.Sprintf("%s ordered to load %s over its memory: %.0f MB", s.id, order.Model, used)
	}
	s.sequence++
	s.loading, s.ready = order.Model, w.now.Add(engine.Models[order.Model].Load)
	w.begun = append(w.begun, w.now)
	w.checkCeiling()
	return ResultTaken
}

func (w *simWorld) checkCeiling() {
	within := 0
	for _, at := range w.begun {
		if w.now.Sub(at) < window {
			within++
		}
	}
	if float64(within) > loadsPerS*window.Seconds()*overage+3 {
		w.broken = fmt.Sprintf("%d loads began within %v", within, window)
	}
}

func (w *simWorld) takeAdapter(s *simServer, order Order) Result {
	adapters, ok := s.models[order.Model]
	if !ok {
		return ResultRefused
	}
	count := 1
	for _, held := range s.models {
		count += len(held)
	}
	if count > adapterSlots {
		w.broken = fmt.Sprintf("%s ordered to hold %d adapters", s.id, count)
	}
	adapters[order.Adapter] = true
	s.sequence++
	return ResultTaken
}

func (w *simWorld) report(core *Core, call ReportRequest) {
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
	w.after(time.Duration(2+w.random.IntN(120))*time.Millisecond, func() { core.HandleReport(w.now, call.ServerID, report, ok) })
}

// TestRulesOfOrdersHold draws lost, late and unsent orders, and changes of the
// leader at any moment.
func TestRulesOfOrdersHold(t *testing.T) {
	taken, changes := 0, 0
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		w := newSimWorld(t, seed, true)
		w.run()
		if w.broken != "" {
			t.Fatalf("seed %d at %v: %s", seed, w.now.Sub(begin), w.broken)
		}
		taken += w.taken
		changes += w.changes
	}
	if taken < 20**seeds || changes < 3**seeds {
		t.Errorf("%d orders and %d terms in %d runs: the rules hardly came into play", taken, changes, *seeds)
	}
}

// TestWantedModelsGetLoaded is a run without troubles: what waits is loaded.
func TestWantedModelsGetLoaded(t *testing.T) {
	w := newSimWorld(t, 1, false)
	wanted := dispatch.Requirements{Service: serviceName, Model: "m13", Adapter: "a3"}
	w.asked[wanted] = RequestCount{Requirements: wanted, Requests: 1, Waiting: 1}
	for range 200 {
		w.now = w.now.Add(tick)
		w.happen()
		w.core.demand.SetCounts(w.now, "node", 1, []RequestCount{{Requirements: wanted, Requests: 1, Waiting: 1}})
		if w.now.Sub(w.wroteAt) > 700*time.Millisecond {
			w.write()
		}
		effects := w.core.Step(w.now, true)
		for _, order := range effects.Orders {
			w.order(w.core, order)
		}
		for _, call := range effects.ReportRequests {
			w.report(w.core, call)
		}
	}
	for _, s := range w.servers {
		if s.models["m13"]["a3"] {
			return
		}
	}
	t.Error("an adapter that is waited for is nowhere after four seconds")
}

// TestSimulationFindsUncountedOrders plants servers that do not check the count
// of an order, so that late ones take effect after newer ones.
func TestSimulationFindsUncountedOrders(t *testing.T) {
	for seed := range uint64(40) {
		w := newSimWorld(t, seed, true)
		w.ignoresCount = true
		w.run()
		if w.broken != "" {
			return
		}
	}
	t.Error("orders without a count break no rule")
}
