package batching

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/experiment"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// Name is the runner's name in experiment files.
const Name = "batching"

const (
	defaultDuration = 5 * time.Minute
	minTokens       = 16
	maxTokens       = 256
	promptTokens    = 400
	// maxWaiting is a queue limit that is never reached, so that no request is
	// refused.
	maxWaiting     = 1 << 30
	sampleInterval = time.Second
	modelBytes     = 14 * engine.GiB
	kvReserve      = 32 * engine.GiB
	modelLoadTime  = time.Minute
)

var model = fleet.ModelVersion{Model: "measured", Version: "v1"}

// Run implements experiment.Runner.
func Run(ctx context.Context, parameters experiment.Parameters) (experiment.Measurements, error) {
	batch, err := strconv.Atoi(parameters.Policy)
	if err != nil || batch < 1 {
		return experiment.Measurements{}, fmt.Errorf("policy %q is not a batch size", parameters.Policy)
	}
	run := newSimulation(batch, parameters)
	if err := run.load(); err != nil {
		return experiment.Measurements{}, err
	}
	if err := run.generateArrivals(ctx, cmp.Or(parameters.Duration, defaultDuration), parameters.Load); err != nil {
		return experiment.Measurements{}, err
	}
	return run.measurements(), nil
}

// simulation is one engine with its requests in progress and measurements.
type simulation struct {
	core    *engine.Core
	random  *rand.Rand
	start   time.Time
	now     time.Time
	next    engine.CallID
	streams map[engine.CallID]*stream
	tokens  int
	// firstTokens has the times to the first token, gaps those between tokens, in
	// seconds.
	firstTokens []float64
	gaps        []float64
	running     []experiment.Point
}

// stream has the times of a request in progress.
type stream struct {
	submittedAt time.Time
	lastTokenAt time.Time
}

func newSimulation(batch int, parameters experiment.Parameters) *simulation {
	start := time.Unix(0, 0).UTC()
	return &simulation{
		core: engine.New(engine.Options{
			Backend: fleet.Backend{Name: "e", Zone: "z"}, Incarnation: 1,
			KVReserveBytes: kvReserve, MaxRunning: batch, MaxWaiting: maxWaiting, Seed: parameters.Seed,
			Tiers: map[fleet.ModelVersion]fleet.Tier{model: fleet.TierMemory},
		}),
		random:  rand.New(rand.NewPCG(parameters.Seed, 0x6261746368)),
		start:   start,
		now:     start,
		streams: make(map[engine.CallID]*stream),
	}
}

// load loads the model before the first request.
func (r *simulation) load() error {
	r.step(engine.TakeClaim{Claim: backend.Claim{Fence: 1, Incarnation: 1}})
	r.step(engine.TakeOrder{Order: backend.Order{
		ID: "load", Fence: 1, Incarnation: 1, Action: backend.ActionLoad,
		Model: model, Bytes: modelBytes, CheckpointBytes: modelBytes,
	}})
	r.advance(r.now.Add(modelLoadTime))
	if entry := r.core.State(r.now).Find(model); entry == nil || entry.State != fleet.LoadReady {
		return fmt.Errorf("the model is not ready after %s", modelLoadTime)
	}
	r.start = r.now
	return nil
}

// generateArrivals sends requests with exponentially distributed gaps, then lets
// all of them end.
func (r *simulation) generateArrivals(ctx context.Context, duration time.Duration, rate float64) error {
	if rate <= 0 {
		return fmt.Errorf("load %g is no rate of requests a second", rate)
	}
	end := r.start.Add(duration)
	sample := r.start
	for {
		gap := time.Duration(r.random.ExpFloat64() / rate * float64(time.Second))
		arrival := r.now.Add(gap)
		for ; sample.Before(arrival) && sample.Before(end); sample = sample.Add(sampleInterval) {
			r.advance(sample)
			r.running = append(r.running, experiment.Point{
				Seconds: sample.Sub(r.start).Seconds(), Value: float64(len(r.streams)),
			})
		}
		if !arrival.Before(end) {
			break
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		r.advance(arrival)
		r.submit()
	}
	for len(r.streams) > 0 && !r.core.NextWake().IsZero() {
		r.advance(r.core.NextWake())
	}
	return nil
}

func (r *simulation) submit() {
	r.next++
	r.streams[r.next] = &stream{submittedAt: r.now}
	r.step(engine.Submit{Call: r.next, Request: engine.Request{
		ID:    fleet.RequestID(strconv.FormatUint(uint64(r.next), 10)),
		Model: model, PromptHash: uint64(r.next), PromptTokens: promptTokens,
		MaxTokens: minTokens + r.random.IntN(maxTokens-minTokens+1),
	}})
}

// advance runs all engine steps due until a time.
func (r *simulation) advance(to time.Time) {
	for wake := r.core.NextWake(); !wake.IsZero() && !wake.After(to); wake = r.core.NextWake() {
		r.now = wake
		r.step(engine.Tick{})
	}
	r.now = to
	r.step(engine.Tick{})
}

func (r *simulation) step(message engine.Message) {
	for _, effect := range r.core.Step(r.now, message) {
		switch e := effect.(type) {
		case engine.Emit:
			r.emit(e)
		case engine.FetchWeights:
			r.step(engine.WeightsDone{Load: e.Load})
		}
	}
}

func (r *simulation) emit(emit engine.Emit) {
	current := r.streams[emit.Call]
	if current == nil {
		return
	}
	if emit.Chunk.Finish != "" {
		delete(r.streams, emit.Call)
		return
	}
	r.tokens++
	if current.lastTokenAt.IsZero() {
		r.firstTokens = append(r.firstTokens, r.now.Sub(current.submittedAt).Seconds())
	} else {
		r.gaps = append(r.gaps, r.now.Sub(current.lastTokenAt).Seconds())
	}
	current.lastTokenAt = r.now
}

func (r *simulation) measurements() experiment.Measurements {
	elapsed := r.now.Sub(r.start).Seconds()
	return experiment.Measurements{
		Values: []experiment.Value{
			{Metric: "throughput", Unit: "tokens/s", Value: float64(r.tokens) / elapsed},
			{Metric: "unfinished", Unit: "requests", Value: float64(len(r.streams))},
		},
		Distributions: []experiment.Distribution{
			{Metric: "first token", Unit: "s", Samples: r.firstTokens},
			{Metric: "between tokens", Unit: "s", Samples: r.gaps},
		},
		Series: []experiment.Series{{Metric: "requests in progress", Unit: "requests", Points: r.running}},
	}
}
