package engine

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// LoadID names one load of the engine, over restarts too.
type LoadID uint64

// Effect is an output of Core.Step.
type Effect interface{ effect() }

// StateRead answers ReadState and granted claims and orders.
type StateRead struct {
	Call  CallID
	State fleet.EngineState
}

// FenceRefused answers a claim or an order with a wrong fence or incarnation.
type FenceRefused struct {
	Call    CallID
	Refusal backend.FenceRefusal
}

// OrderRefused answers an order that cannot be carried out.
type OrderRefused struct {
	Call   CallID
	Reason string
}

// FetchWeights asks the weight store for a checkpoint; WeightsDone is wanted
// when it is there.
type FetchWeights struct {
	Load  LoadID
	Model fleet.ModelVersion
	Bytes int64
	// FullSpeed is the time that the read takes at the store's full speed.
	FullSpeed time.Duration
}

// CancelFetch takes a FetchWeights back.
type CancelFetch struct{ Load LoadID }

// RefusalReason says why a request was not accepted.
type RefusalReason string

// The reasons. Nothing ran for the first four; Duplicate says that the same
// attempt is or was here.
const (
	RefusedNotReady   RefusalReason = "model-not-ready"
	RefusedLeaving    RefusalReason = "leaving"
	RefusedOverfull   RefusalReason = "overfull"
	RefusedSuperseded RefusalReason = "superseded"
	RefusedDuplicate  RefusalReason = "duplicate-attempt"
	RefusedUnknown    RefusalReason = "unknown-request"
)

// Refused answers Submit or Resume.
type Refused struct {
	Call   CallID
	Reason RefusalReason
}

// Accepted answers Submit or Resume; chunks follow.
type Accepted struct{ Call CallID }

// Emit hands a chunk to the reader of a stream.
type Emit struct {
	Call  CallID
	Chunk backend.Chunk
}

// Broken ends a reader's stream without a finish.
type Broken struct {
	Call CallID
	// Clean says that the connection ends as if the answer were whole.
	Clean bool
}

// Cancelled answers Cancel.
type Cancelled struct {
	Call CallID
	// Found tells whether the request was still running or waiting.
	Found bool
}

// CacheEventsRead answers ReadCacheEvents.
type CacheEventsRead struct {
	Call   CallID
	Events backend.CacheEvents
}

func (StateRead) effect()       {}
func (FenceRefused) effect()    {}
func (OrderRefused) effect()    {}
func (FetchWeights) effect()    {}
func (CancelFetch) effect()     {}
func (Refused) effect()         {}
func (Accepted) effect()        {}
func (Emit) effect()            {}
func (Broken) effect()          {}
func (Cancelled) effect()       {}
func (CacheEventsRead) effect() {}
