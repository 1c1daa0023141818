package httpdriver

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/books"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// PathBooks is the path at which a back end serves its records.
const PathBooks = "/lab/books"

// weightsRetryDelay is the pause after a failed read from the weight store.
const weightsRetryDelay = 300 * time.Millisecond

// WeightReader reads checkpoints from the weight store.
type WeightReader interface {
	// ReadWeights returns nil once the checkpoint has been read.
	ReadWeights(ctx context.Context, read WeightRead) error
}

// Engine serves one engine.Core over HTTP.
type Engine struct {
	backend   fleet.Backend
	weights   WeightReader
	faults    *faults.Switch
	ctx       context.Context
	eventLoop *eventLoop
	calls     atomic.Uint64
	leaving   atomic.Bool

	// Only the event loop's goroutine uses the fields below.
	core     *engine.Core
	outboxes map[engine.CallID]*outbox[engine.Effect]
	fetches  map[engine.LoadID]context.CancelFunc
}

// NewEngine starts an engine that runs until the context ends.
func NewEngine(ctx context.Context, options engine.Options, weights WeightReader) *Engine {
	created := &Engine{
		backend:  options.Backend,
		weights:  weights,
		ctx:      ctx,
		core:     engine.New(options),
		outboxes: map[engine.CallID]*outbox[engine.Effect]{},
		fetches:  map[engine.LoadID]context.CancelFunc{},
	}
	created.faults = faults.NewSwitch(options.Backend.Zone, created.applyFaults)
	created.eventLoop = newEventLoop(ctx, created.core.NextWake, func(now time.Time) {
		created.step(now, engine.Tick{})
	})
	return created
}

// Handler returns the handler of the engine's HTTP calls.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+backend.PathEngineState, e.serveState)
	mux.HandleFunc("POST "+backend.PathEngineClaim, e.serveClaim)
	mux.HandleFunc("POST "+backend.PathEngineOrders, e.serveOrder)
	mux.HandleFunc("GET "+backend.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("POST "+backend.PathChat, e.serveCompletion)
	mux.HandleFunc("POST "+backend.PathCompletions, e.serveCompletion)
	mux.HandleFunc("GET "+backend.PathRequests+"{id}/stream", e.serveResume)
	mux.HandleFunc("DELETE "+backend.PathRequests+"{id}", e.serveCancel)
	mux.Handle(faults.Path, e.faults)
	mux.HandleFunc("GET "+PathBooks, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, e.Book())
	})
	return withIdentity(e.faults.Wrap(withLeavingHeader(&e.leaving, mux)))
}

// Book returns the engine's records.
func (e *Engine) Book() books.Book {
	var book books.Book
	e.eventLoop.do(func(now time.Time) {
		e.step(now, engine.Tick{})
		book = e.core.Book(now)
	})
	return book
}

// Leave makes the engine announce its shutdown and refuse new work.
func (e *Engine) Leave() {
	e.leaving.Store(true)
	e.eventLoop.do(func(now time.Time) { e.step(now, engine.Leave{}) })
}

// Idle reports whether no request runs or waits.
func (e *Engine) Idle() bool {
	idle := true
	e.eventLoop.do(func(time.Time) { idle = e.core.Idle() })
	return idle
}

// Machine returns the engine's entry for the machine list.
func (e *Engine) Machine() objectstore.Machine {
	return backendMachine(e.backend, e.leaving.Load())
}

func (e *Engine) applyFaults(set faults.Set) {
	if set.Leaving {
		e.Leave()
	}
	e.eventLoop.do(func(now time.Time) {
		e.step(now, engine.SetFaults{Faults: set.Engine})
		if set.Restart {
			e.step(now, engine.Restart{})
		}
	})
}

// call sends the message built for a new call ID to the core. It returns the ID
// and the outbox that receives the call's effects.
func (e *Engine) call(message func(engine.CallID) engine.Message) (engine.CallID, *outbox[engine.Effect]) {
	id := engine.CallID(e.calls.Add(1))
	box := newOutbox[engine.Effect]()
	e.eventLoop.do(func(now time.Time) {
		e.outboxes[id] = box
		e.step(now, message(id))
	})
	return id, box
}

// detach ends a call whose client has disconnected.
func (e *Engine) detach(id engine.CallID) {
	e.eventLoop.do(func(now time.Time) {
		if _, open := e.outboxes[id]; open {
			delete(e.outboxes, id)
			e.step(now, engine.Detach{Call: id})
		}
	})
}

func (e *Engine) step(now time.Time, message engine.Message) {
	for _, effect := range e.core.Step(now, message) {
		e.applyEffect(effect)
	}
}

func (e *Engine) applyEffect(effect engine.Effect) {
	switch f := effect.(type) {
	case engine.FetchWeights:
		e.startFetch(f)
	case engine.CancelFetch:
		if cancel := e.fetches[f.Load]; cancel != nil {
			cancel()
			delete(e.fetches, f.Load)
		}
	case engine.Accepted:
		e.dispatch(f.Call, f, false)
	case engine.Emit:
		e.dispatch(f.Call, f, f.Chunk.Finish != "")
	case engine.Broken:
		e.dispatch(f.Call, f, true)
	case engine.Refused:
		e.dispatch(f.Call, f, true)
	case engine.StateRead:
		e.dispatch(f.Call, f, true)
	case engine.FenceRefused:
		e.dispatch(f.Call, f, true)
	case engine.OrderRefused:
		e.dispatch(f.Call, f, true)
	case engine.Cancelled:
		e.dispatch(f.Call, f, true)
	case engine.CacheEventsRead:
		e.dispatch(f.Call, f, true)
	}
}

func (e *Engine) dispatch(id engine.CallID, effect engine.Effect, last bool) {
	box := e.outboxes[id]
	if box == nil {
		return
	}
	box.put(effect)
	if last {
		delete(e.outboxes, id)
	}
}

func (e *Engine) startFetch(effect engine.FetchWeights) {
	ctx, cancel := context.WithCancel(e.ctx)
	e.fetches[effect.Load] = cancel
	read := WeightRead{
		Engine:    e.backend.Name,
		Load:      uint64(effect.Load),
		Model:     effect.Model,
		Bytes:     effect.Bytes,
		FullSpeed: effect.FullSpeed,
	}
	go func() {
		err := e.weights.ReadWeights(ctx, read)
		if err != nil {
			sleep(ctx, weightsRetryDelay)
		}
		if ctx.Err() != nil {
			return
		}
		e.eventLoop.do(func(now time.Time) {
			if ctx.Err() == nil {
				cancel()
				delete(e.fetches, effect.Load)
				e.step(now, engine.WeightsDone{Load: effect.Load, Failed: err != nil})
			}
		})
	}()
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
