package history

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Kind is the kind of a request.
type Kind string

// The kinds of request.
const (
	// KindStream is a model request answered by server-sent events.
	KindStream Kind = "stream"
	// KindWhole is a model request answered at once.
	KindWhole Kind = "whole"
	// KindCommand is a plain call that may not be repeated.
	KindCommand Kind = "command"
	// KindLookup is a plain call that may be repeated.
	KindLookup Kind = "lookup"
)

// ForModel reports whether requests of the kind go to a model.
func (k Kind) ForModel() bool {
	return k == KindStream || k == KindWhole
}

// Target is a model version, with an adapter or none, that may answer a
// request.
type Target struct {
	Model   fleet.ModelVersion `json:"model"`
	Adapter fleet.AdapterName  `json:"adapter,omitempty"`
}

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes. NotRun, Unknown and Failed are those that a refusal states.
const (
	// Answered means a complete answer came.
	Answered Outcome = "answered"
	NotRun   Outcome = "not-run"
	Unknown  Outcome = "unknown"
	Failed   Outcome = "failed"
	// Unreachable means that no connection was made, so nothing was sent.
	Unreachable Outcome = "unreachable"
	// Broken means that the connection ended without a complete answer.
	Broken Outcome = "broken"
	// Unended means that the caller gave up at its limit.
	Unended Outcome = "unended"
	// Malformed means that an answer came that is neither an answer nor a
	// refusal as documented.
	Malformed Outcome = "malformed"
)

// Record is one invocation and its answer.
type Record struct {
	RequestID fleet.RequestID `json:"requestId"`
	// Phase is the part of the scenario that sent it.
	Phase string `json:"phase"`
	// Node is the caller address of the node that was asked.
	Node   string `json:"node"`
	Kind   Kind   `json:"kind"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// Key is the Idempotency-Key sent, if any.
	Key string `json:"key,omitempty"`
	// Model is the model field of the body, Body all that was sent.
	Model     string `json:"model,omitempty"`
	Body      string `json:"body,omitempty"`
	MaxTokens int    `json:"maxTokens,omitempty"`
	// Targets are what the declarations allow to answer.
	Targets []Target `json:"targets,omitempty"`
	// Deadline bounds the time to the first token of a model request and the
	// whole time of a plain call, as declared.
	Deadline time.Duration `json:"deadline"`

	Sent time.Time `json:"sent"`
	// FirstToken is when the first text of a stream came, or the whole answer.
	FirstToken time.Time `json:"firstToken,omitzero"`
	Ended      time.Time `json:"ended,omitzero"`
	// TokenGaps are the times between the pieces of a stream.
	TokenGaps []time.Duration `json:"-"`

	Status  int     `json:"status,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Code is the refusal's code, RetryAfter its header.
	Code       string `json:"code,omitempty"`
	RetryAfter string `json:"retryAfter,omitempty"`
	// Ends counts the ends that the caller was given; a right one has one.
	Ends int `json:"ends"`
	// Text is the answer's text, of a plain call its body.
	Text   string `json:"text,omitempty"`
	Finish string `json:"finish,omitempty"`
	// AnswerID is the request identity that the answer names.
	AnswerID string `json:"answerId,omitempty"`
	// Error says what broke, for people.
	Error string `json:"error,omitempty"`
}

// Took is the time from sending to the end.
func (r Record) Took() time.Duration {
	return r.Ended.Sub(r.Sent)
}

// ToFirstToken is the time from sending to the first text, zero if none came.
func (r Record) ToFirstToken() time.Duration {
	if r.FirstToken.IsZero() {
		return 0
	}
	return r.FirstToken.Sub(r.Sent)
}

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of fault that a run can be told of.
const (
	NodeKilled FaultKind = "node-killed"
	// NodeStopped is a planned stop: it must cut nothing.
	NodeStopped FaultKind = "node-stopped"
	// NodeExited tells the exit code of a stopped node in Detail.
	NodeExited    FaultKind = "node-exited"
	NodePaused    FaultKind = "node-paused"
	NodeContinued FaultKind = "node-continued"
	EngineKilled  FaultKind = "engine-killed"
	// FaultInjected and FaultCleared bound a fault of a stand-in; Detail has
	// its kind.
	FaultInjected FaultKind = "injected"
	FaultCleared  FaultKind = "cleared"
)

// Fault is one fault brought about while the run went on. Target is the caller
// address of a node, or the name of an engine.
type Fault struct {
	At     time.Time `json:"at"`
	Kind   FaultKind `json:"kind"`
	Target string    `json:"target"`
	Detail string    `json:"detail,omitempty"`
}
