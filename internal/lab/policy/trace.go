package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is what wakes a model.
type kind int

const (
	// steady models have requests all day, fewer at night.
	steady kind = iota
	// office models wake by people at work, with heavy-tailed idle times.
	office
	// periodic ones are asked at fixed intervals.
	periodic
	// daily ones run at about the same hours each day: overnight re-plans and
	// morning reports.
	daily
	// rare ones wake a few times a day, at any hour.
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
	// runs is how long an engine works on it.
	runs time.Duration
	// first is set where the model had no request for wakeGap before.
	first bool
}

// wakeGap is the silence after which a request counts as a first one.
const wakeGap = time.Minute

// fault is a change of the surroundings.
type fault struct {
	at   time.Duration
	kind faultKind
	// engine or zone is what is struck; slow is the store's factor.
	engine, zone int
	slow         float64
}

type faultKind int

const (
	engineDies faultKind = iota
	engineBack
	zoneDies
	zoneBack
	storeSlow
)

// Trace is all that happens to the fleet from outside.
type Trace struct {
	shape  Shape
	models []model
	// adapterModels names the base model of each adapter.
	adapterModels []int
	requests      []request
	faults        []fault
	// cached are the engines that have a model's checkpoint on disk at the start.
	cached [][]int
	// measuredFrom separates the time in which policies learn.
	measuredFrom, end time.Duration
	// arrivals are the times of each model's requests.
	arrivals [][]time.Duration
}

// generator draws a trace.
type generator struct {
	*Trace
	random *rand.Rand
}

const traceSeed = 0x7472616365

// NewTrace draws the trace of a seed: learn is the time before measuring.
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

// sizes of models in GiB: most are of medium size.
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
		drawn := model{kind: rare, maxReplicas: 1, deadline: mediumDeadline, priority: 40}
		for kind, count := range counts {
			if index < count {
				drawn.kind = kindOf(kind)
				break
			}
			index -= count
		}
		drawn.bytes = sizes[g.random.IntN(len(sizes))] * gib
		switch share := g.random.Float64(); {
		case share < 0.08:
			drawn.maxReplicas = 3
		case share < 0.3:
			drawn.maxReplicas = 2
		}
		g.adjust(&drawn)
		g.models = append(g.models, drawn)
		g.cached = append(g.cached, g.random.Perm(g.shape.Engines)[:g.random.IntN(3)])
	}
	for adapter := range g.shape.Adapters {
		// Adapters gather at few bases.
		base := int(float64(g.shape.Models) * math.Pow(g.random.Float64(), 1.6))
		g.adapterModels = append(g.adapterModels, base)
		g.models[base].adapters = append(g.models[base].adapters, adapter)
	}
}

func kindOf(index int) kind { return kind(index) }

// adjust sets what goes with a kind of model.
func (g *generator) adjust(drawn *model) {
	switch drawn.kind {
	case steady:
		drawn.bytes = min(drawn.bytes, 8*gib)
		drawn.maxReplicas = max(drawn.maxReplicas, 2)
		drawn.priority, drawn.deadline = 100, shortDeadline
		if g.random.IntN(2) == 0 {
			drawn.standing = 1
		}
	case periodic:
		drawn.deadline = mediumDeadline
	case daily:
		drawn.priority, drawn.deadline = 60, longDeadline
	case office, rare:
	}
}

func (g *generator) markFirst() {
	g.arrivals = make([][]time.Duration, len(g.models))
	for index := range g.requests {
		asked := &g.requests[index]
		times := g.arrivals[asked.model]
		asked.first = len(times) == 0 || asked.at-times[len(times)-1] >= wakeGap
		g.arrivals[asked.model] = append(times, asked.at)
	}
}

// drawFaults has one slow hour of the store, a few machines lost and one zone
// lost in each day.
func (g *generator) drawFaults() {
	const day = 24 * time.Hour
	for start := time.Duration(0); start < g.end; start += day {
		slow := start + time.Duration(9+g.random.IntN(8))*time.Hour
		g.faults = append(g.faults,
			fault{at: slow, kind: storeSlow, slow: 3},
			fault{at: slow + time.Hour, kind: storeSlow, slow: 1})
		for range 3 {
			at := start + g.within(day)
			engine := g.random.IntN(g.shape.Engines)
			g.faults = append(g.faults,
				fault{at: at, kind: engineDies, engine: engine},
				fault{at: at + 5*time.Minute + g.within(15*time.Minute), kind: engineBack, engine: engine})
		}
		at := start + 8*time.Hour + g.within(10*time.Hour)
		zone := g.random.IntN(g.shape.Zones)
		g.faults = append(g.faults,
			fault{at: at, kind: zoneDies, zone: zone},
			fault{at: at + 10*time.Minute, kind: zoneBack, zone: zone})
	}
	slices.SortStableFunc(g.faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
}

// within is an even draw from zero to the span.
func (g *generator) within(span time.Duration) time.Duration {
	return time.Duration(g.random.Float64() * float64(span))
}
