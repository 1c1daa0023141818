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

// Headers exchanged between nodes and backends.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
	// HeaderPriority carries the request's priority.
	HeaderPriority = "X-Priority"
	// HeaderModel carries model@version, HeaderAdapter the adapter's name.
	HeaderModel   = "X-Model"
	HeaderAdapter = "X-Adapter"
	// HeaderNotRun is set to "true" by a backend that refuses a request before
	// executing any of it.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving is set to "true" on every response of a backend that is
	// about to shut down.
	HeaderLeaving = "X-Leaving"
	// HeaderRateLimit carries the requests per second that a backend accepts from
	// all nodes together. It is set on every response while the limit applies.
	HeaderRateLimit = "X-Rate-Limit"
)

// Claim claims leadership of one engine. The engine grants it only if the
// incarnation matches its own and the fence exceeds every fence it has granted.
type Claim struct {
	Fence       fleet.Fence    `json:"fence"`
	Incarnation uint64         `json:"incarnation"`
	Holder      fleet.NodeName `json:"holder"`
}

// Action is the operation that an order requests.
type Action string

// Actions of an order.
const (
	ActionLoad          Action = "load"
	ActionUnload        Action = "unload"
	ActionLoadAdapter   Action = "load-adapter"
	ActionUnloadAdapter Action = "unload-adapter"
	ActionSetRole       Action = "set-role"
)

// Order changes the models, adapters or role of an engine. The engine accepts it
// only with the fence it granted last and in the same incarnation. Orders are
// idempotent by ID.
type Order struct {
	ID          string             `json:"id"`
	Fence       fleet.Fence        `json:"fence"`
	Incarnation uint64             `json:"incarnation"`
	Action      Action             `json:"action"`
	Model       fleet.ModelVersion `json:"model,omitzero"`
	Adapter     fleet.AdapterName  `json:"adapter,omitempty"`
	// Bytes is the accelerator memory needed, CheckpointBytes the amount of data
	// read to load.
	Bytes           int64  `json:"bytes,omitempty"`
	CheckpointBytes int64  `json:"checkpointBytes,omitempty"`
	Role            string `json:"role,omitempty"`
}

// FenceRefusal is the 409 response to a claim or an order.
type FenceRefusal struct {
	Fence       fleet.Fence `json:"fence"`
	Incarnation uint64      `json:"incarnation"`
}

// OrderRefusal is the 422 response to an order that cannot be executed.
type OrderRefusal struct {
	Reason string `json:"reason"`
}

// Reasons for refusing an order. ReasonLeaving is also the problem code with
// which a backend refuses a request because it is about to shut down.
const (
	ReasonNoMemory  = "no-memory"
	ReasonNotLoaded = "not-loaded"
	ReasonBusy      = "busy"
	ReasonLeaving   = "leaving"
	ReasonDuplicate = "already-loaded"
)

// Chunk is the JSON payload of one server-sent event in an engine's response
// stream. The stream ends with a chunk that has Finish set, then "data: [DONE]".
type Chunk struct {
	RequestID fleet.RequestID `json:"id"`
	Attempt   int             `json:"attempt"`
	// Sequence is the index of the token in the whole response, counted from 0
	// also after a resume or a continuation.
	Sequence int    `json:"sequence"`
	Text     string `json:"text"`
	// Finish is "stop" or "length" on the last chunk, which has no text, and
	// empty on the others.
	Finish string `json:"finish,omitempty"`
}

// CompletionRequest is the part of a caller's body that the node reads; all
// other members are passed on unchanged.
type CompletionRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	// ContinueFrom holds the tokens already delivered by an earlier attempt;
	// the engine continues at Sequence = len(ContinueFrom).
	ContinueFrom []string `json:"continue_from,omitempty"`
}

// CacheEvents is the response to GET /v1/cache-events. Events may be delayed or
// missing; a gap shows as a jump in Sequence.
type CacheEvents struct {
	Next   uint64       `json:"next"`
	Events []CacheEvent `json:"events"`
}

// CacheEvent reports that a prompt prefix was added to or removed from the
// engine's prefix cache.
type CacheEvent struct {
	Sequence   uint64             `json:"sequence"`
	Model      fleet.ModelVersion `json:"model"`
	PrefixHash uint64             `json:"prefixHash"`
	Removed    bool               `json:"removed,omitempty"`
}
