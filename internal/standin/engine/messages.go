package engine

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// CallID names one call that a driver made, so that effects find its caller.
type CallID uint64

// Message is an input of Core.Step.
type Message interface{ message() }

// Tick lets the core do what is due.
type Tick struct{}

// ReadState asks for the engine's state; answered by StateRead.
type ReadState struct{ Call CallID }

// TakeClaim is answered by StateRead or FenceRefused.
type TakeClaim struct {
	Call  CallID
	Claim backend.Claim
}

// TakeOrder is answered by StateRead, FenceRefused or OrderRefused.
type TakeOrder struct {
	Call  CallID
	Order backend.Order
}

// WeightsDone says that the weight store has handed over, or failed to.
type WeightsDone struct {
	Load   LoadID
	Failed bool
}

// Request is one attempt of a caller's request.
type Request struct {
	ID       fleet.RequestID
	Attempt  int
	Priority int
	// Key is the caller's Idempotency-Key, for the books.
	Key     string
	Model   fleet.ModelVersion
	Adapter fleet.AdapterName
	// PromptHash decides the answer, PromptTokens its prefill time.
	PromptHash   uint64
	PromptTokens int
	// PrefixHashes name the prompt's prefixes, shortest first.
	PrefixHashes []uint64
	// From is the first token wanted; earlier ones were delivered before.
	From int
	// MaxTokens bounds the whole answer; see AnswerLength.
	MaxTokens int
}

// Submit starts a request. It is answered by Accepted, then Emit until a chunk
// has Finish set or Broken comes; or by Refused.
type Submit struct {
	Call    CallID
	Request Request
}

// Resume reads a kept stream again, from a token on; it replaces the former
// reader. It is answered as Submit is.
type Resume struct {
	Call    CallID
	Request fleet.RequestID
	// Attempt must be the one that is here; 0 takes any.
	Attempt int
	From    int
}

// Cancel ends a request; answered by Cancelled.
type Cancel struct {
	Call    CallID
	Request fleet.RequestID
	// Attempt must be the one that is here; 0 takes any. A cancel of an earlier
	// attempt that comes late so does not end the present one.
	Attempt int
}

// Detach says that the reader of a stream has gone away; it cancels the
// request unless another reader has replaced it.
type Detach struct{ Call CallID }

// ReadCacheEvents is answered by CacheEventsRead.
type ReadCacheEvents struct {
	Call  CallID
	Since uint64
}

// Leave makes the engine say that it goes away; what runs goes on.
type Leave struct{}

// Restart forgets everything, as a new start of the process does.
type Restart struct{}

// SetFaults replaces the faults in force.
type SetFaults struct{ Faults Faults }

// Faults are what can go wrong within the model.
type Faults struct {
	// BreakAfterTokens breaks a stream once after so many tokens; 0 is off.
	BreakAfterTokens int `json:"breakAfterTokens,omitempty"`
	// DuplicateChunks sends every chunk twice.
	DuplicateChunks bool `json:"duplicateChunks,omitempty"`
	// CrossChunks sends, beside each chunk, one of another request.
	CrossChunks bool `json:"crossChunks,omitempty"`
	// LateChunks repeats at each chunk the one before it.
	LateChunks bool `json:"lateChunks,omitempty"`
	// TruncateAfterTokens ends an answer early without finish or break; the
	// connection just ends. 0 is off.
	TruncateAfterTokens int `json:"truncateAfterTokens,omitempty"`
	// DieInLoad restarts the engine this long after each load's begin; 0 is off.
	DieInLoad time.Duration `json:"dieInLoad,omitempty"`
	// StuckLoads lets no load end.
	StuckLoads bool `json:"stuckLoads,omitempty"`
	// FreezeReport keeps the load report as it is.
	FreezeReport bool `json:"freezeReport,omitempty"`
	// SlowFactor stretches each iteration; 0 and 1 are off.
	SlowFactor float64 `json:"slowFactor,omitempty"`
}

func (Tick) message()            {}
func (ReadState) message()       {}
func (TakeClaim) message()       {}
func (TakeOrder) message()       {}
func (WeightsDone) message()     {}
func (Submit) message()          {}
func (Resume) message()          {}
func (Cancel) message()          {}
func (Detach) message()          {}
func (ReadCacheEvents) message() {}
func (Leave) message()           {}
func (Restart) message()         {}
func (SetFaults) message()       {}
