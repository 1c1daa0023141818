package history

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Kind is the type of a request.
type Kind string

// The request types.
const (
	// KindStream is a model request answered with server-sent events.
	KindStream Kind = "stream"
	// KindWhole is a model request answered with a single response body.
	KindWhole Kind = "whole"
	// KindCommand is a service call that must not be executed twice.
	KindCommand Kind = "command"
	// KindLookup is a service call that may be repeated.
	KindLookup Kind = "lookup"
)

// ForModel reports whether requests of the kind go to a model.
func (k Kind) ForModel() bool {
	return k == KindStream || k == KindWhole
}

// Target is a model version, optionally with an adapter, that may answer a
// request.
type Target struct {
	Model   fleet.ModelVersion `json:"model"`
	Adapter fleet.AdapterName  `json:"adapter,omitempty"`
}

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes. NotRun, Unknown and Failed are stated by refusals.
const (
	// Answered means that the caller received a complete answer.
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	Failed   Outcome = "failed"
	// Unreachable means that no connection was established, so nothing was sent.
	Unreachable Outcome = "unreachable"
	// Broken means that the connection closed without a complete answer.
	Broken Outcome = "broken"
	// Unended means that the request timed out at the caller.
	Unended Outcome = "unended"
	// Malformed means that the response was neither a valid answer nor a
	// documented refusal.
	Malformed Outcome = "malformed"
)

// Record is one request and its answer as the caller observed it.
type Record struct {
	RequestID fleet.RequestID `json:"requestId"`
	// Phase is the part of the scenario that the request belongs to.
	Phase string `json:"phase"`
	// Node is the address for callers of the node that the request was sent to.
	Node   string `json:"node"`
	Kind   Kind   `json:"kind"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Key is the Idempotency-Key sent, if any.
	Key string `json:"key,omitempty"`
	// Model is the model field of the body, and Body the complete body sent.
	Model     string `json:"model,omitempty"`
	Body      string `json:"body,omitempty"`
	MaxTokens int    `json:"maxTokens,omitempty"`
	// Targets are the targets that may answer according to the declarations.
	Targets []Target `json:"targets,omitempty"`
	// Deadline is the declared limit of the time to the first token for a model
	// request, and of the total time for a service call.
	Deadline time.Duration `json:"deadline"`

	Sent time.Time `json:"sent"`
	// FirstToken is when the first text of a stream, or the single response
	// body, was received.
	FirstToken time.Time `json:"firstToken,omitzero"`
	Ended      time.Time `json:"ended,omitzero"`
	// TokenGaps are the intervals between text chunks of a stream.
	TokenGaps []time.Duration `json:"-"`

	Status  int     `json:"status,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Code is the refusal's code, and RetryAfter its Retry-After header.
	Code       string `json:"code,omitempty"`
	RetryAfter string `json:"retryAfter,omitempty"`
	// Ends counts the finish reasons, refusals and error events that the caller
	// received. A correct request has exactly one.
	Ends int `json:"ends"`
	// Text is the generated text of a model answer, or the body of a service
	// call's answer.
	Text   string `json:"text,omitempty"`
	Finish string `json:"finish,omitempty"`
	// AnswerID is the request ID stated in the answer.
	AnswerID string `json:"answerId,omitempty"`
	// Error is a readable description of the failure.
	Error string `json:"error,omitempty"`
}

// Took returns the time from sending the request to its end.
func (r Record) Took() time.Duration {
	return r.Ended.Sub(r.Sent)
}

// ToFirstToken returns the time from sending the request to the first text, or
// zero if no text was received.
func (r Record) ToFirstToken() time.Duration {
	if r.FirstToken.IsZero() {
		return 0
	}
	return r.FirstToken.Sub(r.Sent)
}

// FaultKind is the type of a fault.
type FaultKind string

// The types of faults recorded for a run.
const (
	NodeKilled FaultKind = "node-killed"
	// NodeStopped is a planned stop, which must not interrupt any request.
	NodeStopped FaultKind = "node-stopped"
	// NodeExited has the exit code of the stopped node in Detail.
	NodeExited    FaultKind = "node-exited"
	NodePaused    FaultKind = "node-paused"
	NodeContinued FaultKind = "node-continued"
	EngineKilled  FaultKind = "engine-killed"
	// FaultInjected and FaultCleared mark the start and end of a fault of a
	// stand-in. Detail has the name of the fault.
	FaultInjected FaultKind = "injected"
	FaultCleared  FaultKind = "cleared"
)

// Fault is one fault event during a run. Target is a node's address for callers,
// or the name of a back end, of the platform or of a zone.
type Fault struct {
	At     time.Time `json:"at"`
	Kind   FaultKind `json:"kind"`
	Target string    `json:"target"`
	Detail string    `json:"detail,omitempty"`
}
