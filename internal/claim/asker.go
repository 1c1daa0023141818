package claim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// AskerOptions set up an Asker. Zero durations take the defaults.
type AskerOptions struct {
	Request Request
	// Attempt is unique in the fleet; among attempts that split the keepers
	// the one that sorts first goes on and the others give up.
	Attempt string
	Node    fleet.NodeName
	// RoundTimeout is how long one round waits for the keepers' answers.
	RoundTimeout time.Duration
	// RetryDelay is the mean time between two rounds.
	RetryDelay time.Duration
	// Deadline is when the asker gives up.
	Deadline time.Time
	// RandomSeed makes the delays repeatable.
	RandomSeed uint64
	// Defects plant faults; only tests and the simulator set it.
	Defects Defects
}

const (
	defaultRoundTimeout = 500 * time.Millisecond
	defaultRetryDelay   = 30 * time.Millisecond
	// longestYoungWait is how long a keeper may need until it vouches for it
	// to be worth waiting.
	longestYoungWait = time.Second
	// defaultRetryAfter is what a caller is told where nothing better is known.
	defaultRetryAfter = time.Second
)

// AskerMessage is what an Asker takes.
type AskerMessage interface{ askerMessage() }

// Begin starts with the newest version of the key's slot that is known.
type Begin struct{ Slot Slot }

// VoteReceived is a keeper's answer, or VoteNone where it could not be reached.
type VoteReceived struct {
	From Seat
	// Version is the slot's version that was asked with.
	Version uint64
	Reply   GrantReply
}

func (Begin) askerMessage()        {}
func (VoteReceived) askerMessage() {}
func (Tick) askerMessage()         {}

// AskerEffect is what an Asker wants done.
type AskerEffect interface{ askerEffect() }

// RequestGrant asks a keeper; the answer comes back as Voted.
type RequestGrant struct {
	To    Seat
	Grant Grant
}

// Release gives the attempt up at all keepers that were asked.
type Release struct {
	To       []Seat
	Complete Complete
}

// Finish is the end. Asked are the keepers that must hear of the outcome.
type Finish struct {
	Decision Decision
	Asked    []Seat
	Slot     Slot
}

func (RequestGrant) askerEffect() {}
func (Release) askerEffect()      {}
func (Finish) askerEffect()       {}

// Asker seeks a majority for one attempt. An attempt that was released is
// never asked for again and never runs.
type Asker struct {
	options  AskerOptions
	random   *rand.Rand
	now      time.Time
	slot     Slot
	replies  map[Seat]GrantReply
	asked    []Seat
	roundEnd time.Time
	nextTry  time.Time
	finished bool
	effects  []AskerEffect
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

// Step takes a message; after Finish it returns nothing.
func (a *Asker) Step(now time.Time, message AskerMessage) []AskerEffect {
	a.now = now
	a.effects = nil
	if a.finished {
		return nil
	}
	switch message := message.(type) {
	case Begin:
		a.adopt(message.Slot)
	case VoteReceived:
		// An asker that was paused must not count grants of before and after
		// its deadline together: the earlier ones may have expired.
		if !now.Before(a.options.Deadline) {
			a.tick()
			break
		}
		a.voted(message)
	case Tick:
		a.tick()
	}
	return a.effects
}

// NextWake is when Step wants a Tick.
func (a *Asker) NextWake() time.Time {
	wake := a.options.Deadline
	for _, other := range []time.Time{a.roundEnd, a.nextTry} {
		if !other.IsZero() && other.Before(wake) {
			wake = other
		}
	}
	return wake
}

// adopt begins anew with a version of the slot: votes of different versions
// are never counted together.
func (a *Asker) adopt(slot Slot) {
	a.slot = slot
	a.replies = make(map[Seat]GrantReply)
	if len(slot.Seats) == 0 {
		a.finish(Decision{Verdict: NoMajority, RetryAfter: defaultRetryAfter})
		return
	}
	a.ask()
}

// ask starts a round: all seats that have not granted are asked.
func (a *Asker) ask() {
	a.nextTry = time.Time{}
	a.roundEnd = a.now.Add(a.options.RoundTimeout)
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

func (a *Asker) voted(message VoteReceived) {
	if message.Reply.Slot.Version > a.slot.Version {
		a.adopt(message.Reply.Slot)
		return
	}
	from := identity(message.From)
	if message.Version != a.slot.Version || !contains(a.slot.Seats, from) {
		return
	}
	if a.replies[from].Vote == VoteGranted {
		return
	}
	a.replies[from] = message.Reply
	a.evaluate(len(a.replies) == len(a.slot.Seats))
}

func (a *Asker) tick() {
	switch {
	case !a.now.Before(a.options.Deadline):
		a.giveUp()
	case !a.nextTry.IsZero() && !a.now.Before(a.nextTry):
		a.ask()
	case !a.roundEnd.IsZero() && !a.now.Before(a.roundEnd):
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

// evaluate decides as soon as the votes allow; roundOver is set when no more
// are to be waited for.
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

// heldByOther reports whether another attempt has a majority, or splits the
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

// retry waits for the others to give up, for a keeper to gather its records or
// for one to be reached again, where that may be soon.
func (a *Asker) retry() {
	if wait, young := a.youngWait(); young && wait > longestYoungWait && a.count(VoteInProgress) == 0 {
		a.giveUp()
		return
	}
	a.roundEnd = time.Time{}
	half := a.options.RetryDelay / 2
	a.nextTry = a.now.Add(half + time.Duration(a.random.Int64N(int64(a.options.RetryDelay))))
}

// youngWait is how long it takes until enough keepers may vouch.
func (a *Asker) youngWait() (time.Duration, bool) {
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
	if wait, young := a.youngWait(); young {
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
