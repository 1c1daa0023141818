package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is the arrival pattern of a model's requests.
type kind int

const (
	// steady models have requests all day, fewer at night.
	steady kind = iota
	// office models are used by people at work, with heavy-tailed idle times.
	office
	// periodic models get requests at fixed intervals.
	periodic
	// daily models run at about the same hours each day, such as for overnight
	// planning and morning reports.
	daily
	// rare models get requests a few times a day, at any hour.
	rare
)

// model is one declared model version.
type model struct {
	kind        kind
	bytes       int64
	maxReplicas int
	standing    int
	priority    int
	deadline    time.Duration
	adapters    []int
}

// request is one request for a model.
type request struct {
	at      time.Duration
	model   int
	adapter int // -1 for none
	node    int
	// serviceTime is how long an engine works on it.
	serviceTime time.Duration
	// first is set if the model had no request for wakeGap before.
	first bool
}

// wakeGap is the idle time after which a request counts as a first one.
const wakeGap = time.Minute

// fault is a failure or recovery of an engine or zone, or a change of the weight
// store's speed.
type fault struct {
	at   time.Duration
	kind faultKind
	// engine or zone is the index of what is affected; slowdown is the factor by
	// which the store slows down.
	engine, zone int
	slowdown     float64
}

type faultKind int

const (
	engineFails faultKind = iota
	engineRestarts
	zoneFails
	zoneRecovers
	storeSlows
)

// Trace holds all external inputs of a simulation: the declared models, the
// requests and the faults.
type Trace struct {
	shape  Shape
	models []model
	// adapterModels has the base model of each adapter.
	adapterModels []int
	requests      []request
	faults        []fault
	// cached are the engines that have a model's checkpoint on disk at the start.
	cached [][]int
	// measuredFrom is the end of the warm-up, in which policies learn.
	measuredFrom, end time.Duration
	// arrivals are the times of each model's requests.
	arrivals [][]time.Duration
}

// generator generates a trace.
type generator struct {
	*Trace
	random *rand.Rand
}

const traceSeed = 0x7472616365

// NewTrace generates the trace of a seed: learn is the warm-up before the
// measured period.
func NewTrace(shape Shape, seed uint64, learn, measured time.Duration) *Trace {
	g := generator{
		Trace:  &Trace{shape: shape, measuredFrom: learn, end: learn + measured},
		random: rand.New(rand.NewPCG(seed, traceSeed)),
	}
	g.drawModels()
	for index := range g.models {
		g.drawRequests(index)
	}
	g.drawFaults()
	slices.SortStableFunc(g.requests, func(a, b request) int { return cmp.Compare(a.at, b.at) })
	g.markFirst()
	return g.Trace
}

// sizes of models in GiB; most are of medium size.
var sizes = []int64{4, 6, 8, 8, 12, 12, 14, 14, 16, 18, 22, 28, 32, 40}

const (
	shortDeadline  = 30 * time.Second
	mediumDeadline = 90 * time.Second
	longDeadline   = 10 * time.Minute
)

func (g *generator) drawModels() {
	counts := []int{
		int(math.Round(g.shape.Steady * float64(g.shape.Models))),
		int(math.Round(g.shape.Office * float64(g.shape.Models))),
		int(math.Round(g.shape.Periodic * float64(g.shape.Models))),
		int(math.Round(g.shape.Daily * float64(g.shape.Models))),
	}
	for index := range g.shape.Models {
		model := model{kind: rare, maxReplicas: 1, deadline: mediumDeadline, priority: 40}
		for kind, count := range counts {
			if index < count {
				model.kind = kindOf(kind)
				break
			}
			index -= count
		}
		model.bytes = sizes[g.random.IntN(len(sizes))] * gib
		switch share := g.random.Float64(); {
		case share < 0.08:
			model.maxReplicas = 3
		case share < 0.3:
			model.maxReplicas = 2
		}
		g.applyKind(&model)
		g.models = append(g.models, model)
		g.cached = append(g.cached, g.random.Perm(g.shape.Engines)[:g.random.IntN(3)])
	}
	for adapter := range g.shape.Adapters {
		// The exponent concentrates adapters on a few base models.
		base := int(float64(g.shape.Models) * math.Pow(g.random.Float64(), 1.6))
		g.adapterModels = append(g.adapterModels, base)
		g.models[base].adapters = append(g.models[base].adapters, adapter)
	}
}

func kindOf(index int) kind { return kind(index) }

// applyKind sets the properties that depend on the kind of model.
func (g *generator) applyKind(model *model) {
	switch model.kind {
	case steady:
		model.bytes = min(model.bytes, 8*gib)
		model.maxReplicas = max(model.maxReplicas, 2)
		model.priority, model.deadline = 100, shortDeadline
		if g.random.IntN(2) == 0 {
			model.standing = 1
		}
	case periodic:
		model.deadline = mediumDeadline
	case daily:
		model.priority, model.deadline = 60, longDeadline
	case office, rare:
	}
}

// markFirst marks the first requests and collects the arrival times by model.
func (g *generator) markFirst() {
	g.arrivals = make([][]time.Duration, len(g.models))
	for index := range g.requests {
		request := &g.requests[index]
		times := g.arrivals[request.model]
		request.first = len(times) == 0 || request.at-times[len(times)-1] >= wakeGap
		g.arrivals[request.model] = append(times, request.at)
	}
}

// drawFaults adds faults for each day: one hour in which the store is slow, three
// engine failures and one zone failure.
func (g *generator) drawFaults() {
	const day = 24 * time.Hour
	for start := time.Duration(0); start < g.end; start += day {
		slow := start + time.Duration(9+g.random.IntN(8))*time.Hour
		g.faults = append(g.faults,
			fault{at: slow, kind: storeSlows, slowdown: 3},
			fault{at: slow + time.Hour, kind: storeSlows, slowdown: 1})
		for range 3 {
			at := start + g.uniform(day)
			engine := g.random.IntN(g.shape.Engines)
			g.faults = append(g.faults,
				fault{at: at, kind: engineFails, engine: engine},
				fault{at: at + 5*time.Minute + g.uniform(15*time.Minute), kind: engineRestarts, engine: engine})
		}
		at := start + 8*time.Hour + g.uniform(10*time.Hour)
		zone := g.random.IntN(g.shape.Zones)
		g.faults = append(g.faults,
			fault{at: at, kind: zoneFails, zone: zone},
			fault{at: at + 10*time.Minute, kind: zoneRecovers, zone: zone})
	}
	slices.SortStableFunc(g.faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
}

// uniform draws from a uniform distribution between zero and the span.
func (g *generator) uniform(span time.Duration) time.Duration {
	return time.Duration(g.random.Float64() * float64(span))
}
