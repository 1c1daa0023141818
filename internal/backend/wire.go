package backend

import "github.com/spanlanding/spanlanding/internal/fleet"

// Paths of an engine's control API.
const (
	PathEngineState  = "/v1/engine"        // GET: fleet.EngineState
	PathEngineClaim  = "/v1/engine/claim"  // POST Claim: 200 fleet.EngineState, 409 FenceRefusal
	PathEngineOrders = "/v1/engine/orders" // POST Order: 202 fleet.EngineState, 409 FenceRefusal, 422 OrderRefusal
	PathCacheEvents  = "/v1/cache-events"  // GET ?since=N: CacheEvents
	PathRequests     = "/v1/requests/"     // GET {id}/stream?from=N: resume; DELETE {id}: cancel
	PathChat         = "/v1/chat/completions"
	PathCompletions  = "/v1/completions"
)

// Headers between nodes and back ends.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	// HeaderPriority carries the request's priority to an engine.
	HeaderPriority = "X-Priority"
	// HeaderModel carries model@version, HeaderAdapter the adapter.
	HeaderModel   = "X-Model"
	HeaderAdapter = "X-Adapter"
	// HeaderNotRun is set to "true" by a back end on a refusal made before
	// anything ran.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is set to "true" in the head of any answer of a back end that goes
	// away.
	HeaderLeaving = "X-Leaving"
	// HeaderRateLimit names the requests a second that a back end takes from all nodes
	// together, in the head of any answer for as long as that holds.
	HeaderRateLimit = "X-Rate-Limit"
)

// Claim takes leadership of one engine. The engine grants it only if the
// incarnation is its own and the fence is greater than any it has granted.
type Claim struct {
	Fence       fleet.Fence    `json:"fence"`
	Incarnation uint64         `json:"incarnation"`
	Holder      fleet.NodeName `json:"holder"`
}

// Action is what an order does.
type Action string

// The actions of an order.
const (
	ActionLoad          Action = "load"
	ActionUnload        Action = "unload"
	ActionLoadAdapter   Action = "load-adapter"
	ActionUnloadAdapter Action = "unload-adapter"
	ActionSetRole       Action = "set-role"
)

// Order changes what an engine holds. The engine takes it only under the fence
// it granted last and in the same incarnation. An order repeated with the same
// ID has no second effect.
type Order struct {
	ID          string             `json:"id"`
	Fence       fleet.Fence        `json:"fence"`
	Incarnation uint64             `json:"incarnation"`
	Action      Action             `json:"action"`
	Model       fleet.ModelVersion `json:"model,omitzero"`
	Adapter     fleet.AdapterName  `json:"adapter,omitempty"`
	// Bytes is the accelerator memory taken, CheckpointBytes what is read.
	Bytes           int64  `json:"bytes,omitempty"`
	CheckpointBytes int64  `json:"checkpointBytes,omitempty"`
	Role            string `json:"role,omitempty"`
}

// FenceRefusal is the 409 answer to a claim or an order.
type FenceRefusal struct {
	Fence       fleet.Fence `json:"fence"`
	Incarnation uint64      `json:"incarnation"`
}

// OrderRefusal is the 422 answer to an order that cannot be carried out.
type OrderRefusal struct {
	Reason string `json:"reason"`
}

// Refusal reasons of an order. ReasonLeaving is also the problem code with
// which a back end refuses a request because it goes away.
const (
	ReasonNoMemory  = "no-memory"
	ReasonNotLoaded = "not-loaded"
	ReasonBusy      = "busy"
	ReasonLeaving   = "leaving"
	ReasonDuplicate = "already-loaded"
)

// Chunk is the JSON of one server-sent event of an engine's answer stream.
// The stream ends with a chunk whose Finish is set, then "data: [DONE]".
type Chunk struct {
	RequestID fleet.RequestID `json:"id"`
	Attempt   int             `json:"attempt"`
	// Sequence counts tokens of the whole answer from 0, also after a resume
	// or a continuation.
	Sequence int    `json:"sequence"`
	Text     string `json:"text"`
	// Finish is "stop" or "length" on the last chunk, which has no text.
	Finish string `json:"finish,omitempty"`
}

// CompletionRequest is the part of a caller's body that this system reads; all
// else is passed on as it came.
type CompletionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// ContinueFrom holds the tokens already delivered by an earlier attempt;
	// the engine goes on with Sequence = len(ContinueFrom).
	ContinueFrom []string `json:"continue_from,omitempty"`
}

// CacheEvents answers GET /v1/cache-events. Events come late and with gaps;
// a gap shows as a jump in Sequence.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEvent says that a prompt prefix was stored in or removed from the
// engine's prefix cache.
type CacheEvent struct {
	Sequence   uint64             `json:"sequence"`
	Model      fleet.ModelVersion `json:"model"`
	PrefixHash uint64             `json:"prefixHash"`
	Removed    bool               `json:"removed,omitempty"`
}
