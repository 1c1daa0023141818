package attempt

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Options describe one request. Zero limits are replaced by the defaults.
type Options struct {
	RequestID fleet.RequestID
	// Deadline is when the first token, or the whole answer of a plain call, must have arrived.
	Deadline time.Time
	// Repeatable allows another attempt after bytes may have been sent.
	Repeatable bool
	// Resumable allows an answer stream to be resumed, or continued at another back end.
	Resumable bool
	// MaxAttempts bounds the attempts that may have run, MaxRefusals those known not to have run, and
	// MaxResumes the consecutive resumes that deliver nothing new.
	MaxAttempts int
	MaxRefusals int
	MaxResumes  int
	// StallTimeout bounds the time between two chunks.
	StallTimeout time.Duration
	// ResumeTimeout bounds the time until the first chunk of a resume: an engine that still has the answer
	// sends it within one or two iterations.
	ResumeTimeout time.Duration
	// HedgeAfter is how long a repeatable request waits for its first token before it is also sent to a
	// second back end; zero disables hedging.
	HedgeAfter time.Duration
	// ContinueTimeout bounds the search for another back end once tokens have been delivered.
	ContinueTimeout time.Duration
	// MaxKeptBytes bounds the delivered text that is kept for a continuation.
	MaxKeptBytes int
	Seed         uint64
	Defects      Defects
}

// Defects are deliberate faults, set only by tests and the simulator to check their checkers.
type Defects struct {
	// BlindResend repeats requests that are not repeatable.
	BlindResend bool
	// NoSequenceCheck accepts every chunk as the next one.
	NoSequenceCheck bool
	// PassTruncated accepts any end of a stream as the end of the answer.
	PassTruncated bool
	// ClaimNotRun reports every failure as not-run.
	ClaimNotRun bool
}

// Defaults of Options.
const (
	DefaultMaxAttempts     = 4
	DefaultMaxRefusals     = 16
	DefaultMaxResumes      = 2
	DefaultStallTimeout    = 10 * time.Second
	DefaultResumeTimeout   = 2 * time.Second
	DefaultContinueTimeout = 15 * time.Second
	DefaultMaxKeptBytes    = 1 << 20

	backoffMin = 20 * time.Millisecond
	backoffMax = time.Second
)

func (o Options) withDefaults() Options {
	o.MaxAttempts = cmp.Or(o.MaxAttempts, DefaultMaxAttempts)
	o.MaxRefusals = cmp.Or(o.MaxRefusals, DefaultMaxRefusals)
	o.MaxResumes = cmp.Or(o.MaxResumes, DefaultMaxResumes)
	o.StallTimeout = cmp.Or(o.StallTimeout, DefaultStallTimeout)
	o.ResumeTimeout = cmp.Or(o.ResumeTimeout, DefaultResumeTimeout)
	o.ContinueTimeout = cmp.Or(o.ContinueTimeout, DefaultContinueTimeout)
	o.MaxKeptBytes = cmp.Or(o.MaxKeptBytes, DefaultMaxKeptBytes)
	return o
}

// phase is the stage that a request is in.
type phase int

const (
	phaseAssigning phase = iota
	phaseConnected
	phaseDone
)

// Dropped counts the chunks that were discarded.
type Dropped struct {
	// Crossed chunks belong to another request, Late ones to an earlier attempt or connection, and
	// Duplicated ones were delivered before.
	Crossed, Late, Duplicated int
}

// Core is the state machine of one request.
type Core struct {
	options    Options
	random     *rand.Rand
	phase      phase
	backend    fleet.BackendName
	attempt    int
	connection int
	// attempts and connections count all that were made; attempt and connection are the current ones.
	attempts, connections int
	refusals              int
	resumes               int
	// hedge is the second connection of a hedged request.
	hedge     *hedgedConnection
	hasHedged bool
	hedgeAt   time.Time
	// nextSequence is the sequence number of the next token.
	nextSequence int
	keptTokens   []string
	keptBytes    int
	finishReason string
	// wakeAt is the time limit of the current phase.
	wakeAt   time.Time
	excluded []fleet.BackendName
	// mayStillRun is set while the previous attempt may still run at its back end.
	mayStillRun bool
	// worstExposure is the worst case over all attempts.
	worstExposure exposure
	lastFailure   Failure
	dropped       Dropped
	deliverEffect Deliver
	effects       []Effect
}

// New returns a request that waits for its first back end.
func New(options Options) *Core {
	options = options.withDefaults()
	return &Core{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		wakeAt:  options.Deadline,
	}
}

// Step handles one message. The effects are valid until the next Step.
func (c *Core) Step(now time.Time, message Message) []Effect {
	clear(c.effects)
	c.effects = c.effects[:0]
	if c.phase == phaseDone {
		return nil
	}
	switch message := message.(type) {
	case Assigned:
		c.handleAssigned(now, message.Backend)
	case HedgeAssigned:
		c.handleHedgeAssigned(message.Backend)
	case Unassigned:
		c.handleUnassigned(message)
	case *Chunk:
		c.handleChunk(now, message)
	case Ended:
		c.handleEnded(now, message)
	case Answered:
		c.handleAnswered(message)
	case Failure:
		c.handleFailure(now, message)
	case CallerGone:
		c.handleCallerGone()
	case Tick:
		c.handleTick(now)
	}
	return c.effects
}

// NextWake is when the next Tick is due; zero once the request is over.
func (c *Core) NextWake() time.Time {
	if c.phase == phaseDone {
		return time.Time{}
	}
	if c.phase == phaseConnected && c.nextSequence == 0 && !c.hedgeAt.IsZero() && c.hedgeAt.Before(c.wakeAt) {
		return c.hedgeAt
	}
	return c.wakeAt
}

// Dropped returns the counts of discarded chunks.
func (c *Core) Dropped() Dropped {
	return c.dropped
}

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

func (c *Core) handleAssigned(now time.Time, backend fleet.BackendName) {
	if c.phase != phaseAssigning {
		return
	}
	c.phase = phaseConnected
	c.cancelPrevious(backend)
	c.backend = backend
	c.attempts++
	c.connections++
	c.attempt, c.connection = c.attempts, c.connections
	c.resumes = 0
	c.lastFailure = Failure{}
	c.wakeAt = c.chunkDeadline(now)
	c.hedgeAt = time.Time{}
	if c.mayHedge() && !c.hasHedged {
		c.hedgeAt = now.Add(c.options.HedgeAfter)
	}
	c.emit(Open{Connection: c.connection, Attempt: c.attempt, Backend: backend, ContinueFrom: c.keptTokens})
}

// chunkDeadline is when the current connection must deliver its next chunk.
func (c *Core) chunkDeadline(now time.Time) time.Time {
	if c.nextSequence == 0 {
		return c.options.Deadline
	}
	return now.Add(c.options.StallTimeout)
}

func (c *Core) handleTick(now time.Time) {
	c.hedgeIfDue(now)
	if now.Before(c.wakeAt) {
		return
	}
	if c.phase == phaseAssigning || c.nextSequence == 0 {
		c.dropHedge()
		if c.phase == phaseConnected {
			c.lastFailure = Failure{Evidence: MaybeSent, Detail: "no token came before the deadline"}
			c.cancelAttempt()
			c.worstExposure = max(c.worstExposure, exposedUnknown)
		}
		c.cancelPrevious("")
		c.giveUp(CodeDeadline, "the deadline passed")
		return
	}
	c.resumeOrRetry(now, Failure{Evidence: MaybeSent, Detail: "no token came in time"})
}

func (c *Core) handleCallerGone() {
	c.dropHedge()
	if c.phase == phaseConnected {
		c.cancelAttempt()
		c.worstExposure = max(c.worstExposure, exposedUnknown)
	}
	c.cancelPrevious("")
	c.giveUp(CodeCallerGone, "the caller went away")
}

// cancelAttempt cancels the current attempt at its back end.
func (c *Core) cancelAttempt() {
	c.mayStillRun = false
	c.emit(Cancel{Attempt: c.attempt, Backend: c.backend})
}

// cancelPrevious cancels the previous attempt if it may still run, unless the next one goes to the same
// back end: there the new attempt replaces it, and a late cancel would stop the new one.
func (c *Core) cancelPrevious(next fleet.BackendName) {
	if c.mayStillRun && next != c.backend {
		c.cancelAttempt()
	}
	c.mayStillRun = false
}

// LastFailure returns what ended the latest attempt; its Evidence is 0 while the attempt has not failed.
func (c *Core) LastFailure() Failure {
	return c.lastFailure
}
