package attempt

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Message is an input of the core.
type Message interface{ isMessage() }

// Assigned names the back end of the next attempt.
type Assigned struct{ Backend fleet.BackendName }

// HedgeAssigned names the second back end of a request that waits for its first
// token.
type HedgeAssigned struct{ Backend fleet.BackendName }

// Unassigned says that no back end will be had: the request was refused while
// it waited, or the retry budget is spent.
type Unassigned struct {
	Code       string
	Detail     string
	RetryAfter time.Duration
}

// Chunk is one event of an answer stream as it came in.
type Chunk struct {
	// Connection is the number from the Open or Resume effect whose
	// connection carried the chunk.
	Connection   int
	RequestID    fleet.RequestID
	Attempt      int
	Sequence     int
	Text         string
	FinishReason string
}

// Ended says that a connection's stream ended. Terminated tells whether the
// stream's own terminator came first.
type Ended struct {
	Connection int
	Terminated bool
}

// Answered says that the whole answer of a plain call is there.
type Answered struct{ Connection int }

// Evidence is what is known of an attempt that broke.
type Evidence int

// The evidence, from the strongest proof that nothing ran.
const (
	// NeverSent is proved: no byte can have left.
	NeverSent Evidence = iota + 1
	// RefusedBeforeRun is the back end's own word that nothing ran.
	RefusedBeforeRun
	// ErrorStatus is an error status that says nothing of what ran.
	ErrorStatus
	// MaybeSent means that bytes may have left and no answer tells more.
	MaybeSent
)

// Failure says that a connection failed.
type Failure struct {
	Connection int
	Evidence   Evidence
	// Status is the back end's status where it answered, else 0.
	Status int
	// RetryAfter is the back end's own wish, else 0.
	RetryAfter time.Duration
	// NoResume is set where this back end must not be asked for the rest.
	NoResume bool
	// Permanent is set where another back end would answer the same, such as an
	// error in the caller's request.
	Permanent bool
	// Detail goes to logs and to the caller.
	Detail string
}

// CallerGone says that nobody waits for the answer any more.
type CallerGone struct{}

// Tick is wanted at NextWake.
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
	// ContinueFrom holds the tokens that the caller already has. It must not
	// be changed.
	ContinueFrom []string
}

// Resume asks the same back end for the rest of the same attempt.
type Resume struct {
	Connection int
	Attempt    int
	Backend    fleet.BackendName
	// From is the first sequence number wanted.
	From int
}

// Cancel stops an attempt that may still run.
type Cancel struct {
	Attempt int
	Backend fleet.BackendName
}

// Reassign asks for another back end, not before After has passed.
type Reassign struct {
	After   time.Duration
	Exclude []fleet.BackendName
	// BudgetExempt is set where the next attempt does not count against the retry
	// budget: the one before is proved not to have run, or tokens have been
	// delivered and giving up would waste them.
	BudgetExempt bool
}

// Hedge asks for a second back end beside the present one, within the retry
// budget. HedgeAssigned answers it; where there is none, nothing does.
type Hedge struct{ Exclude []fleet.BackendName }

// Drop ends one connection of a hedged request while the other goes on. Broken
// is what its back end is to be blamed for; without evidence it is nothing.
type Drop struct {
	Connection int
	Failure    Failure
}

// Deliver hands the next token to the caller.
type Deliver struct{ Text string }

// Outcome is what may be said of a request that is over.
type Outcome string

// The outcomes.
const (
	OutcomeOK      Outcome = "ok"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeFailed  Outcome = "failed"
)

// Codes of a Finish that is not OK; Unassigned brings further ones.
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
	// Reason is the answer's own finish reason when the outcome is OK.
	Reason     string
	Status     int
	RetryAfter time.Duration
	// Delivered counts the tokens that the caller has.
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
