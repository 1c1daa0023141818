package attempt

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Options describe one request. Zero bounds are replaced by the defaults.
type Options struct {
	RequestID fleet.RequestID
	// Deadline is when the first token, or a plain call's answer, must be there.
	Deadline time.Time
	// Repeatable allows a second attempt after a byte may have left.
	Repeatable bool
	// Resumable allows resume and continuation of an answer stream.
	Resumable bool
	// MaxAttempts bounds the attempts that may have run, MaxRefusals those
	// proved not to have, MaxResumes the resumes in a row that bring nothing
	// new.
	MaxAttempts int
	MaxRefusals int
	MaxResumes  int
	// StallTimeout bounds the time between two chunks.
	StallTimeout time.Duration
	// ResumeTimeout bounds the time until a resume brings its first chunk: an
	// engine that still has the answer brings it within an iteration or two.
	ResumeTimeout time.Duration
	// HedgeAfter is how long a repeatable request waits for its first token
	// until it is sent to a second back end as well; zero is never.
	HedgeAfter time.Duration
	// ContinueTimeout bounds the search for another back end once tokens have
	// been delivered.
	ContinueTimeout time.Duration
	// MaxKeptBytes bounds the delivered text that is kept for a continuation.
	MaxKeptBytes int
	Seed         uint64
	Defects      Defects
}

// Defects are faults to plant. Only tests and the simulator set them.
type Defects struct {
	// BlindResend repeats what may not be repeated.
	BlindResend bool
	// NoSequenceCheck takes every chunk as the next one.
	NoSequenceCheck bool
	// PassTruncated takes any end of a stream as the end of the answer.
	PassTruncated bool
	// ClaimNotRun calls every failure not-run.
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

type phase int

const (
	phaseAssigning phase = iota
	phaseConnected
	phaseDone
)

// Dropped counts chunks that were not taken.
type Dropped struct {
	// Crossed chunks belong to another request, Late ones to an earlier
	// attempt or connection, Duplicated ones were delivered before.
	Crossed, Late, Duplicated int
}

// Core is one request.
type Core struct {
	options    Options
	random     *rand.Rand
	phase      phase
	backend    fleet.BackendName
	attempt    int
	connection int
	// attempts and connections count all that were made.
	attempts, connections int
	refusals              int
	resumes               int
	// rival is the second connection of a hedged request.
	rival   *side
	hedged  bool
	hedgeAt time.Time
	// next is the sequence number of the next token.
	next      int
	kept      []string
	keptBytes int
	finish    string
	// wake bounds the present phase.
	wake    time.Time
	exclude []fleet.BackendName
	// former is set while the attempt before may still run at the back end.
	former bool
	// ran is the worst that any attempt leaves open.
	ran     exposure
	last    Failure
	dropped Dropped
	deliver Deliver
	effects []Effect
}

// New returns a request that waits for its first back end.
func New(options Options) *Core {
	options = options.withDefaults()
	return &Core{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		wake:    options.Deadline,
	}
}

// Step takes one message. The effects are valid until the next Step.
func (c *Core) Step(now time.Time, message Message) []Effect {
	clear(c.effects)
	c.effects = c.effects[:0]
	if c.phase == phaseDone {
		return nil
	}
	switch message := message.(type) {
	case Assigned:
		c.assigned(now, message.Backend)
	case HedgeAssigned:
		c.hedgeAssigned(message.Backend)
	case Unassigned:
		c.unassigned(message)
	case *Chunk:
		c.chunk(now, message)
	case Ended:
		c.ended(now, message)
	case Answered:
		c.answered(message)
	case Failure:
		c.broken(now, message)
	case CallerGone:
		c.callerGone()
	case Tick:
		c.tick(now)
	}
	return c.effects
}

// NextWake is when the present wait ends.
func (c *Core) NextWake() time.Time {
	if c.phase == phaseDone {
		return time.Time{}
	}
	if c.phase == phaseConnected && c.next == 0 && !c.hedgeAt.IsZero() && c.hedgeAt.Before(c.wake) {
		return c.hedgeAt
	}
	return c.wake
}

// Dropped returns the counts of chunks not taken.
func (c *Core) Dropped() Dropped {
	return c.dropped
}

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

func (c *Core) assigned(now time.Time, backend fleet.BackendName) {
	if c.phase != phaseAssigning {
		return
	}
	c.phase = phaseConnected
	c.cancelFormer(backend)
	c.backend = backend
	c.attempts++
	c.connections++
	c.attempt, c.connection = c.attempts, c.connections
	c.resumes = 0
	c.last = Failure{}
	c.wake = c.bound(now)
	c.hedgeAt = time.Time{}
	if c.mayHedge() && !c.hedged {
		c.hedgeAt = now.Add(c.options.HedgeAfter)
	}
	c.emit(Open{Connection: c.connection, Attempt: c.attempt, Backend: backend, ContinueFrom: c.kept})
}

// bound is when the present connection must bring its next chunk.
func (c *Core) bound(now time.Time) time.Time {
	if c.next == 0 {
		return c.options.Deadline
	}
	return now.Add(c.options.StallTimeout)
}

func (c *Core) tick(now time.Time) {
	c.hedge(now)
	if now.Before(c.wake) {
		return
	}
	if c.phase == phaseAssigning || c.next == 0 {
		c.dropRival()
		if c.phase == phaseConnected {
			c.last = Failure{Evidence: MaybeSent, Detail: "no token came before the deadline"}
			c.cancel()
			c.ran = max(c.ran, exposedUnknown)
		}
		c.cancelFormer("")
		c.giveUp(CodeDeadline, "the deadline passed")
		return
	}
	c.lost(now, Failure{Evidence: MaybeSent, Detail: "no token came in time"})
}

func (c *Core) callerGone() {
	c.dropRival()
	if c.phase == phaseConnected {
		c.cancel()
		c.ran = max(c.ran, exposedUnknown)
	}
	c.cancelFormer("")
	c.giveUp(CodeCallerGone, "the caller went away")
}

func (c *Core) cancel() {
	c.former = false
	c.emit(Cancel{Attempt: c.attempt, Backend: c.backend})
}

// cancelFormer stops the attempt before, unless the next one goes to the same
// back end: there it takes the place of the former, and a cancel that came
// late would stop the new one.
func (c *Core) cancelFormer(next fleet.BackendName) {
	if c.former && next != c.backend {
		c.cancel()
	}
	c.former = false
}

// LastFailure returns what broke the latest attempt; its Evidence is 0 while it has
// not broken.
func (c *Core) LastFailure() Failure {
	return c.last
}
