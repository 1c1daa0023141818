package engine

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	modelA = fleet.ModelVersion{Model: "alarm", Version: "1"}
	modelB = fleet.ModelVersion{Model: "report", Version: "2"}
)

const rigIncarnation = 7

// rig drives a core on a virtual clock and completes its weight store reads.
type rig struct {
	*testing.T
	core  *Core
	now   time.Time
	calls CallID
	// weightReadTime is the duration of a weight store read; if negative, reads
	// never complete.
	weightReadTime time.Duration
	reads          []pendingRead
	cancelled      []LoadID
	effects        []Effect
}

type pendingRead struct {
	load LoadID
	at   time.Time
}

func newRig(t *testing.T, options Options) *rig {
	t.Helper()
	options.Incarnation = rigIncarnation
	options.Backend = fleet.Backend{Name: "engine-0", Zone: "a"}
	return &rig{T: t, core: New(options), now: start, weightReadTime: 2 * time.Second}
}

// step sends a message to the core and returns the resulting effects.
func (r *rig) step(message Message) []Effect {
	effects := r.core.Step(r.now, message)
	for _, effect := range effects {
		switch f := effect.(type) {
		case FetchWeights:
			if r.weightReadTime >= 0 {
				r.reads = append(r.reads, pendingRead{load: f.Load, at: r.now.Add(r.weightReadTime)})
			}
		case CancelFetch:
			r.cancelled = append(r.cancelled, f.Load)
		}
	}
	r.effects = append(r.effects, effects...)
	return effects
}

// run advances the clock by length and processes everything due meanwhile.
func (r *rig) run(length time.Duration) {
	end := r.now.Add(length)
	for {
		next := end
		if wake := r.core.NextWake(); !wake.IsZero() && wake.Before(next) {
			next = wake
		}
		for _, read := range r.reads {
			if read.at.Before(next) {
				next = read.at
			}
		}
		r.now = next
		reads := r.reads
		r.reads = nil
		for _, read := range reads {
			if read.at.After(r.now) {
				r.reads = append(r.reads, read)
			} else {
				r.step(WeightsDone{Load: read.load})
			}
		}
		r.step(Tick{})
		if !r.now.Before(end) {
			return
		}
	}
}

func (r *rig) call() CallID {
	r.calls++
	return r.calls
}

func (r *rig) claim(fence fleet.Fence) Effect {
	r.Helper()
	claim := backend.Claim{Fence: fence, Incarnation: r.core.incarnation, Holder: "node-0"}
	return r.onlyEffect(r.step(TakeClaim{Call: r.call(), Claim: claim}))
}

func (r *rig) order(order backend.Order) Effect {
	r.Helper()
	if order.Fence == 0 {
		order.Fence = r.core.fence
	}
	if order.Incarnation == 0 {
		order.Incarnation = r.core.incarnation
	}
	for _, effect := range r.step(TakeOrder{Call: r.call(), Order: order}) {
		switch effect.(type) {
		case StateRead, FenceRefused, OrderRefused:
			return effect
		}
	}
	r.Fatalf("order %s was not answered", order.ID)
	return nil
}

func (r *rig) onlyEffect(effects []Effect) Effect {
	r.Helper()
	if len(effects) != 1 {
		r.Fatalf("got effects %#v, want one", effects)
	}
	return effects[0]
}

func (r *rig) load(id string, model fleet.ModelVersion, bytes int64) Effect {
	r.Helper()
	return r.order(backend.Order{
		ID: id, Action: backend.ActionLoad, Model: model, Bytes: bytes, CheckpointBytes: bytes,
	})
}

// loadModelA claims the engine, loads modelA and waits until it is ready.
func (r *rig) loadModelA() {
	r.Helper()
	r.claim(fleet.NewFence(1, 1, 1))
	r.load("load-a", modelA, 14*GiB)
	r.run(time.Minute)
	if state := r.core.State(r.now).Models[0].State; state != fleet.LoadReady {
		r.Fatalf("model is %s after a minute", state)
	}
}

func (r *rig) submit(request Request) CallID {
	r.Helper()
	if request.Model.IsZero() {
		request.Model = modelA
	}
	call := r.call()
	r.step(Submit{Call: call, Request: request})
	return call
}

// chunks returns the chunks sent to a call, and whether the call was accepted.
func (r *rig) chunks(call CallID) (chunks []backend.Chunk, accepted bool) {
	for _, effect := range r.effects {
		switch f := effect.(type) {
		case Emit:
			if f.Call == call {
				chunks = append(chunks, f.Chunk)
			}
		case Accepted:
			accepted = accepted || f.Call == call
		}
	}
	return chunks, accepted
}

func texts(chunks []backend.Chunk) []string {
	var tokens []string
	for _, chunk := range chunks {
		if chunk.Finish == "" {
			tokens = append(tokens, chunk.Text)
		}
	}
	return tokens
}

func (r *rig) refusal(call CallID) RefusalReason {
	for _, effect := range r.effects {
		if f, ok := effect.(Refused); ok && f.Call == call {
			return f.Reason
		}
	}
	return ""
}
