package engine

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// CallID identifies a call from the driver, so that effects can be routed back
// to the caller.
type CallID uint64

// Message is an input of Core.Step.
type Message interface{ message() }

// Tick makes the core process what is due.
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

// WeightsDone reports the end of a weight store read, successful or not.
type WeightsDone struct {
	Load   LoadID
	Failed bool
}

// Request is one attempt of a caller's request.
type Request struct {
	ID       fleet.RequestID
	Attempt  int
	Priority int
	// Key is the caller's Idempotency-Key, kept for the records.
	Key     string
	Model   fleet.ModelVersion
	Adapter fleet.AdapterName
	// PromptHash determines the answer, PromptTokens the prefill time.
	PromptHash   uint64
	PromptTokens int
	// PrefixHashes are the hashes of the prompt's prefixes, shortest first.
	PrefixHashes []uint64
	// From is the index of the first token to generate; an earlier attempt
	// has delivered those before it.
	From int
	// MaxTokens is the maximum length of the whole answer; see AnswerLength.
	MaxTokens int
}

// Submit starts a request. It is answered by Refused, or by Accepted followed by
// Emit effects until a chunk has Finish set or the stream ends with Broken.
type Submit struct {
	Call    CallID
	Request Request
}

// Resume re-reads a retained stream from a given token and replaces its previous
// reader. It is answered in the same way as Submit.
type Resume struct {
	Call    CallID
	Request fleet.RequestID
	// Attempt must match the attempt that the engine holds; 0 matches any.
	Attempt int
	From    int
}

// Cancel ends a request; answered by Cancelled.
type Cancel struct {
	Call    CallID
	Request fleet.RequestID
	// Attempt must match the attempt that the engine holds, so that a late
	// cancel of an earlier attempt does not end the current one; 0 matches any.
	Attempt int
}

// Detach reports that the reader of a stream has disconnected. It cancels the
// request unless another reader has taken over the stream.
type Detach struct{ Call CallID }

// ReadCacheEvents is answered by CacheEventsRead.
type ReadCacheEvents struct {
	Call  CallID
	Since uint64
}

// Leave makes the engine announce its shutdown and refuse new work; running and
// waiting requests continue.
type Leave struct{}

// Restart drops all state, as a restart of the process does.
type Restart struct{}

// SetFaults replaces the active faults.
type SetFaults struct{ Faults Faults }

// Faults selects the faults injected into the simulated engine.
type Faults struct {
	// BreakAfterTokens breaks each stream once after this many tokens; 0 is off.
	BreakAfterTokens int `json:"breakAfterTokens,omitempty"`
	// DuplicateChunks sends every chunk twice.
	DuplicateChunks bool `json:"duplicateChunks,omitempty"`
	// CrossChunks follows each chunk with one that carries another request's ID.
	CrossChunks bool `json:"crossChunks,omitempty"`
	// LateChunks repeats the previous chunk after each chunk.
	LateChunks bool `json:"lateChunks,omitempty"`
	// TruncateAfterTokens closes the connection normally after this many
	// tokens, without a finish chunk; 0 is off.
	TruncateAfterTokens int `json:"truncateAfterTokens,omitempty"`
	// DieInLoad restarts the engine this long after a load starts; 0 is off.
	DieInLoad time.Duration `json:"dieInLoad,omitempty"`
	// StuckLoads prevents loads from completing.
	StuckLoads bool `json:"stuckLoads,omitempty"`
	// FreezeReport stops updates of the load report.
	FreezeReport bool `json:"freezeReport,omitempty"`
	// SlowFactor multiplies the duration of each iteration; 0 and 1 are off.
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
