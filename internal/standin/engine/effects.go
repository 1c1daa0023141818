package engine

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// LoadID identifies one model load of the engine; IDs are not reused after a
// restart.
type LoadID uint64

// Effect is an output of Core.Step.
type Effect interface{ effect() }

// StateRead answers ReadState, granted claims and accepted orders.
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

// FetchWeights asks the driver to read a checkpoint from the weight store. The
// driver sends WeightsDone when the read has ended.
type FetchWeights struct {
	Load  LoadID
	Model fleet.ModelVersion
	Bytes int64
	// FullSpeed is the duration of the read at the store's full speed.
	FullSpeed time.Duration
}

// CancelFetch cancels a FetchWeights.
type CancelFetch struct{ Load LoadID }

// RefusalReason says why a request was not accepted.
type RefusalReason string

// Refusal reasons. For the first four, nothing of the attempt has run.
// RefusedDuplicate means that the engine has already received this attempt.
const (
	RefusedNotReady   RefusalReason = "model-not-ready"
	RefusedLeaving    RefusalReason = "leaving"
	RefusedOverfull   RefusalReason = "overfull"
	RefusedSuperseded RefusalReason = "superseded"
	RefusedDuplicate  RefusalReason = "duplicate-attempt"
	RefusedUnknown    RefusalReason = "unknown-request"
)

// Refused answers a Submit or Resume that the engine rejects.
type Refused struct {
	Call   CallID
	Reason RefusalReason
}

// Accepted answers a Submit or Resume; the chunks follow as Emit effects.
type Accepted struct{ Call CallID }

// Emit sends a chunk to the reader of a stream.
type Emit struct {
	Call  CallID
	Chunk backend.Chunk
}

// Broken ends a reader's stream without a finish chunk.
type Broken struct {
	Call CallID
	// Clean means that the connection closes normally, as after a complete
	// answer.
	Clean bool
}

// Cancelled answers Cancel.
type Cancelled struct {
	Call CallID
	// Found reports whether the request was still running or waiting.
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
