package claim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// AskerOptions configure an Asker. Zero durations select the defaults.
type AskerOptions struct {
	Request Request
	// Attempt is unique in the fleet. If several attempts split the keepers, the
	// one that sorts first continues and the others give up.
	Attempt string
	Node    fleet.NodeName
	// RoundTimeout is how long one round waits for the keepers' answers.
	RoundTimeout time.Duration
	// RetryDelay is the mean time between two rounds.
	RetryDelay time.Duration
	// Deadline is when the asker gives up.
	Deadline time.Time
	// RandomSeed makes the delays reproducible.
	RandomSeed uint64
	// Defects injects faults; only tests and the simulator set it.
	Defects Defects
}

const (
	defaultRoundTimeout = 500 * time.Millisecond
	defaultRetryDelay   = 30 * time.Millisecond
	// maxHistoryWait is the longest time that an asker waits for a keeper to
	// complete its history.
	maxHistoryWait = time.Second
	// defaultRetryAfter is the RetryAfter returned if no better estimate is known.
	defaultRetryAfter = time.Second
)

// AskerMessage is an input of Asker.Step.
type AskerMessage interface{ askerMessage() }

// Begin starts the asker with the newest known version of the key's slot.
type Begin struct{ Slot Slot }

// VoteReceived is a keeper's answer, or VoteNone if it could not be reached.
type VoteReceived struct {
	From Seat
	// Version is the version of the slot in the request.
	Version uint64
	Reply   GrantReply
}

func (Begin) askerMessage()        {}
func (VoteReceived) askerMessage() {}
func (Tick) askerMessage()         {}

// AskerEffect is an action that Asker.Step requests from its caller.
type AskerEffect interface{ askerEffect() }

// RequestGrant asks the caller to send a Grant to a keeper; the answer returns as
// VoteReceived.
type RequestGrant struct {
	To    Seat
	Grant Grant
}

// Release gives up the attempt at all keepers that were asked.
type Release struct {
	To       []Seat
	Complete Complete
}

// Finish ends the attempt's request for grants. Asked are the keepers to which the
// outcome must be reported.
type Finish struct {
	Decision Decision
	Asked    []Seat
	Slot     Slot
}

func (RequestGrant) askerEffect() {}
func (Release) askerEffect()      {}
func (Finish) askerEffect()       {}

// Asker requests grants from a majority of keepers for one attempt. A released
// attempt is never requested again and never runs.
type Asker struct {
	options       AskerOptions
	random        *rand.Rand
	now           time.Time
	slot          Slot
	replies       map[Seat]GrantReply
	asked         []Seat
	roundDeadline time.Time
	nextRoundAt   time.Time
	finished      bool
	effects       []AskerEffect
}

// NewAsker returns an asker that waits for Begin.
func NewAsker(options AskerOptions) *Asker {
	options.RoundTimeout = cmp.Or(options.RoundTimeout, defaultRoundTimeout)
	options.RetryDelay = cmp.Or(options.RetryDelay, defaultRetryDelay)
	return &Asker{
		options: options,
		random:  rand.New(rand.NewPCG(options.RandomSeed, 0)),
	}
}

// Step handles a message and returns the effects to carry out; after Finish it
// returns nothing.
func (a *Asker) Step(now time.Time, message AskerMessage) []AskerEffect {
	a.now = now
	a.effects = nil
	if a.finished {
		return nil
	}
	switch message := message.(type) {
	case Begin:
		a.adoptSlot(message.Slot)
	case VoteReceived:
		// An asker that was paused must not combine grants from before its
		// deadline with later ones: the earlier grants may have expired.
		if !now.Before(a.options.Deadline) {
			a.handleTick()
			break
		}
		a.handleVote(message)
	case Tick:
		a.handleTick()
	}
	return a.effects
}

// NextWake returns when Step needs a Tick.
func (a *Asker) NextWake() time.Time {
	wake := a.options.Deadline
	for _, other := range []time.Time{a.roundDeadline, a.nextRoundAt} {
		if !other.IsZero() && other.Before(wake) {
			wake = other
		}
	}
	return wake
}

// adoptSlot starts over with a version of the slot: votes of different versions
// are never counted together.
func (a *Asker) adoptSlot(slot Slot) {
	a.slot = slot
	a.replies = make(map[Seat]GrantReply)
	if len(slot.Seats) == 0 {
		a.finish(Decision{Verdict: NoMajority, RetryAfter: defaultRetryAfter})
		return
	}
	a.startRound()
}

// startRound asks all seats that have not granted yet.
func (a *Asker) startRound() {
	a.nextRoundAt = time.Time{}
	a.roundDeadline = a.now.Add(a.options.RoundTimeout)
	for _, seat := range a.slot.Seats {
		if a.replies[identity(seat)].Vote == VoteGranted {
			continue
		}
		delete(a.replies, identity(seat))
		if !slices.Contains(a.asked, seat) {
			a.asked = append(a.asked, seat)
		}
		a.effects = append(a.effects, RequestGrant{To: seat, Grant: Grant{
			Key:         a.options.Request.Key,
			Fingerprint: a.options.Request.Fingerprint,
			Attempt:     a.options.Attempt,
			Node:        a.options.Node,
			Window:      a.options.Request.Window,
			Slot:        a.slot,
		}})
	}
}

func (a *Asker) handleVote(message VoteReceived) {
	if message.Reply.Slot.Version > a.slot.Version {
		a.adoptSlot(message.Reply.Slot)
		return
	}
	from := identity(message.From)
	if message.Version != a.slot.Version || !containsProcess(a.slot.Seats, from) {
		return
	}
	if a.replies[from].Vote == VoteGranted {
		return
	}
	a.replies[from] = message.Reply
	a.evaluate(len(a.replies) == len(a.slot.Seats))
}

func (a *Asker) handleTick() {
	switch {
	case !a.now.Before(a.options.Deadline):
		a.giveUp()
	case !a.nextRoundAt.IsZero() && !a.now.Before(a.nextRoundAt):
		a.startRound()
	case !a.roundDeadline.IsZero() && !a.now.Before(a.roundDeadline):
		a.evaluate(true)
	}
}

func (a *Asker) count(vote Vote) int {
	count := 0
	for _, reply := range a.replies {
		if reply.Vote == vote {
			count++
		}
	}
	return count
}

// evaluate decides as soon as the votes allow it. roundOver is set if no more votes
// are expected in this round.
func (a *Asker) evaluate(roundOver bool) {
	majority := Majority(a.slot.Seats)
	if a.options.Defects.AnyGrant {
		majority = 1
	}
	granted := a.count(VoteGranted)
	switch {
	case granted >= majority:
		a.finish(Decision{Verdict: Granted, Attempt: a.options.Attempt})
	case a.count(VoteDone) > 0:
		a.finish(Decision{Verdict: Done, Answer: a.storedAnswer()})
	case a.count(VoteMismatch) > 0:
		a.finish(Decision{Verdict: Mismatch})
	case !roundOver:
	case a.count(VoteUnknown) > 0:
		a.finish(Decision{Verdict: Unknown})
	case a.heldByOther(majority):
		a.finish(Decision{Verdict: InProgress, RetryAfter: defaultRetryAfter})
	default:
		a.retry()
	}
}

func (a *Asker) storedAnswer() *Answer {
	var answer *Answer
	for _, seat := range a.slot.Seats {
		reply := a.replies[identity(seat)]
		if reply.Vote == VoteDone && reply.Answer != nil && (answer == nil || answer.BodyOmitted) {
			answer = reply.Answer
		}
	}
	return answer
}

// heldByOther reports whether another attempt holds a majority, or shares the
// keepers with this one and sorts first.
func (a *Asker) heldByOther(majority int) bool {
	held := make(map[string]int)
	for _, reply := range a.replies {
		if reply.Vote == VoteInProgress {
			held[reply.Holder]++
		}
	}
	for holder, count := range held {
		if count >= majority || holder < a.options.Attempt {
			return true
		}
	}
	return false
}

// retry schedules another round, in which other attempts may have given up, or a
// keeper may have collected its records or become reachable. If no other attempt is
// in progress and the missing keepers need longer than maxHistoryWait, it gives up.
func (a *Asker) retry() {
	if wait, isBuildingHistory := a.historyWait(); isBuildingHistory && wait > maxHistoryWait && a.count(VoteInProgress) == 0 {
		a.giveUp()
		return
	}
	a.roundDeadline = time.Time{}
	half := a.options.RetryDelay / 2
	a.nextRoundAt = a.now.Add(half + time.Duration(a.random.Int64N(int64(a.options.RetryDelay))))
}

// historyWait returns how long it takes until enough keepers have a complete history
// to form a majority, and whether the asker is waiting for that.
func (a *Asker) historyWait() (time.Duration, bool) {
	var waits []time.Duration
	for _, reply := range a.replies {
		if reply.Vote == VoteIncompleteHistory {
			waits = append(waits, reply.RetryAfter)
		}
	}
	missing := Majority(a.slot.Seats) - a.count(VoteGranted)
	if missing <= 0 || len(waits) < missing {
		return 0, false
	}
	slices.Sort(waits)
	return waits[missing-1], true
}

func (a *Asker) giveUp() {
	if a.count(VoteInProgress) > 0 {
		a.finish(Decision{Verdict: InProgress, RetryAfter: defaultRetryAfter})
		return
	}
	retryAfter := defaultRetryAfter
	if wait, isBuildingHistory := a.historyWait(); isBuildingHistory {
		retryAfter = max(retryAfter, wait)
	}
	a.finish(Decision{Verdict: NoMajority, RetryAfter: retryAfter})
}

func (a *Asker) finish(decision Decision) {
	a.finished = true
	if decision.Verdict != Granted && len(a.asked) > 0 {
		a.effects = append(a.effects, Release{To: a.asked, Complete: Complete{
			Key:         a.options.Request.Key,
			Fingerprint: a.options.Request.Fingerprint,
			Attempt:     a.options.Attempt,
			Window:      a.options.Request.Window,
			Outcome:     NotRun,
			Slot:        a.slot,
		}})
	}
	a.effects = append(a.effects, Finish{Decision: decision, Asked: a.asked, Slot: a.slot})
}
