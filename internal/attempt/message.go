package attempt

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Message is an input of the core.
type Message interface{ isMessage() }

// Assigned names the back end of the next attempt.
type Assigned struct{ Backend fleet.BackendName }

// HedgeAssigned names the second back end of a request that still waits for its first token.
type HedgeAssigned struct{ Backend fleet.BackendName }

// Unassigned says that no back end will be assigned: the request was refused while it waited, or the
// retry budget is spent.
type Unassigned struct {
	Code       string
	Detail     string
	RetryAfter time.Duration
}

// Chunk is one event of an answer stream.
type Chunk struct {
	// Connection is the number in the Open or Resume effect that opened the connection.
	Connection   int
	RequestID    fleet.RequestID
	Attempt      int
	Sequence     int
	Text         string
	FinishReason string
}

// Ended says that a connection's stream ended. Terminated says whether the stream's terminator was
// received before.
type Ended struct {
	Connection int
	Terminated bool
}

// Answered says that the whole answer of a plain call was received.
type Answered struct{ Connection int }

// Evidence is what is known of a failed attempt.
type Evidence int

// The kinds of evidence, strongest proof that nothing ran first.
const (
	// NeverSent: no byte can have been sent.
	NeverSent Evidence = iota + 1
	// RefusedBeforeRun: the back end says that it did not run the request.
	RefusedBeforeRun
	// ErrorStatus: the back end responded with an error that does not say whether the request ran.
	ErrorStatus
	// MaybeSent: bytes may have been sent, and no response tells more.
	MaybeSent
)

// Failure says that a connection failed.
type Failure struct {
	Connection int
	Evidence   Evidence
	// Status is the status of the back end's response, or 0.
	Status int
	// RetryAfter is the delay that the back end asked for, or 0.
	RetryAfter time.Duration
	// NoResume is set where this back end must not be asked for the rest of the answer.
	NoResume bool
	// Permanent is set where every other back end would respond the same, as to an error in the caller's
	// request.
	Permanent bool
	// Detail is passed to logs and to the caller.
	Detail string
}

// CallerGone says that the caller closed its connection.
type CallerGone struct{}

// Tick is due at NextWake.
type Tick struct{}

func (Assigned) isMessage()      {}
func (Unassigned) isMessage()    {}
func (HedgeAssigned) isMessage() {}
func (*Chunk) isMessage()        {}
func (Ended) isMessage()         {}
func (Answered) isMessage()      {}
func (Failure) isMessage()       {}
func (CallerGone) isMessage()    {}
func (Tick) isMessage()          {}

// Effect is an output of the core.
type Effect interface{ isEffect() }

// Open sends the request to a back end as a new attempt.
type Open struct {
	Connection int
	Attempt    int
	Backend    fleet.BackendName
	// ContinueFrom are the tokens that the caller already has. It must not be modified.
	ContinueFrom []string
}

// Resume asks the same back end for the rest of the same attempt.
type Resume struct {
	Connection int
	Attempt    int
	Backend    fleet.BackendName
	// From is the first missing sequence number.
	From int
}

// Cancel stops an attempt that may still run.
type Cancel struct {
	Attempt int
	Backend fleet.BackendName
}

// Reassign asks for another back end, no earlier than After from now.
type Reassign struct {
	After   time.Duration
	Exclude []fleet.BackendName
	// BudgetExempt is set where the next attempt does not count against the retry budget: the previous one
	// is known not to have run, or tokens have been delivered and giving up would waste them.
	BudgetExempt bool
}

// Hedge asks for a second back end, within the retry budget. The reply is HedgeAssigned; if there is no
// such back end, there is no reply.
type Hedge struct{ Exclude []fleet.BackendName }

// Drop closes one connection of a hedged request while the other one continues. Failure is what its back
// end is to be blamed for; without Evidence it is not blamed.
type Drop struct {
	Connection int
	Failure    Failure
}

// Deliver passes the next token to the caller.
type Deliver struct{ Text string }

// Outcome is what is known of a request that is over.
type Outcome string

const (
	// OutcomeOK: the caller received the whole answer.
	OutcomeOK Outcome = "ok"
	// OutcomeNotRun: no attempt ran.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: an attempt may have run, and no response tells whether it did.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed: an attempt ran into an error, or the answer was interrupted.
	OutcomeFailed Outcome = "failed"
)

// Codes of a Finish that is not OK; Unassigned messages bring others.
const (
	CodeDeadline    = "deadline-reached"
	CodeInterrupted = "answer-interrupted"
	CodeBackend     = "backend-failed"
	CodeUnreachable = "backend-unreachable"
	CodeRefused     = "backend-refused"
	CodeCallerGone  = "caller-gone"
)

// Finish is the last effect of a request.
type Finish struct {
	Outcome Outcome
	Code    string
	Detail  string
	// Reason is the finish reason of the answer when the outcome is OK.
	Reason     string
	Status     int
	RetryAfter time.Duration
	// Delivered is the number of tokens that the caller received.
	Delivered int
	Attempts  int
}

func (Open) isEffect()     {}
func (Resume) isEffect()   {}
func (Cancel) isEffect()   {}
func (Reassign) isEffect() {}
func (Hedge) isEffect()    {}
func (Drop) isEffect()     {}
func (*Deliver) isEffect() {}
func (Finish) isEffect()   {}
