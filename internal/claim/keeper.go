package claim

import (
	"slices"
	"time"
)

// Keeper holds the records of the slots in which this process has a seat. It
// is not safe for concurrent use.
type Keeper struct {
	options     KeeperOptions
	now         time.Time
	records     map[string]*record
	slots       map[int]*seatState
	gone        map[Seat]bool
	answerBytes int
	nextSweep   time.Time
	effects     []KeeperEffect
}

// NewKeeper returns a keeper without records.
func NewKeeper(options KeeperOptions) *Keeper {
	return &Keeper{
		options: options.withDefaults(),
		records: make(map[string]*record),
		slots:   make(map[int]*seatState),
		gone:    make(map[Seat]bool),
	}
}

// sweepInterval is the time between removals of expired records.
const sweepInterval = time.Second

// Step takes a message.
func (k *Keeper) Step(now time.Time, message KeeperMessage) []KeeperEffect {
	k.now = now
	k.effects = nil
	k.sweep()
	switch message := message.(type) {
	case Tick:
	case Grant:
		k.effects = append(k.effects, k.grant(message))
	case Complete:
		k.effects = append(k.effects, k.complete(message))
	case SlotUpdate:
		k.learn(message.Slot)
	case Seal:
		k.effects = append(k.effects, k.seal(message.Slot))
	case SealAnswered:
		k.handed(message)
	case ProcessEnded:
		k.markGone(message.Seat)
	case NodeLost:
		for _, held := range k.records {
			held.lost = held.lost || held.node == message.Node
		}
	}
	k.askOlderKeepers()
	return k.effects
}

// NextWake is when Step wants a Tick.
func (k *Keeper) NextWake() time.Time {
	wake := k.nextSweep
	for _, state := range k.slots {
		if state.waits() && state.nextAsk.Before(wake) {
			wake = state.nextAsk
		}
	}
	return wake
}

// Records is how many records are held.
func (k *Keeper) Records() int {
	return len(k.records)
}

func (k *Keeper) grant(request Grant) GrantReply {
	k.learn(request.Slot)
	state := k.slots[request.Slot.Index]
	if !k.options.Defects.IgnoresVersion && (state.slot.Version != request.Slot.Version || !state.member) {
		return GrantReply{Vote: VoteStale, Slot: state.slot}
	}
	reply := k.vote(state, request)
	reply.Slot = state.slot
	if k.options.Defects.IgnoresVersion {
		reply.Slot = request.Slot
	}
	return reply
}

// vote answers from the record where there is one. The keeper may grant only
// if it knows of every grant of the whole window, also where its record is the
// asking attempt's own: in an older version another may have had the majority.
func (k *Keeper) vote(state *seatState, request Grant) GrantReply {
	held := k.live(request.Key)
	reply := GrantReply{Vote: VoteGranted}
	recorded := held != nil && (!held.free() || slices.Contains(held.released, request.Attempt))
	if recorded {
		reply = held.vote(k.now, request.Attempt, request.Fingerprint)
	}
	wait := state.wait(k.now, k.options.retention(request.Window))
	if reply.Vote == VoteGranted && wait > 0 && !k.options.Defects.YoungVouches {
		return GrantReply{Vote: VoteIncompleteHistory, RetryAfter: wait}
	}
	if recorded {
		return reply
	}
	if held == nil {
		held = k.newRecord(request.Key, request.Slot.Index)
	}
	if held == nil {
		return GrantReply{Vote: VoteFull}
	}
	held.fingerprint = request.Fingerprint
	held.holders = []string{request.Attempt}
	held.node = request.Node
	held.lost = false
	held.attemptEnds = k.now.Add(k.options.AttemptTimeout)
	held.expires = later(held.expires, k.now.Add(k.options.retention(request.Window)))
	return GrantReply{Vote: VoteGranted}
}

func (k *Keeper) complete(request Complete) CompleteReply {
	k.learn(request.Slot)
	state := k.slots[request.Slot.Index]
	held := k.live(request.Key)
	if held == nil && state.member {
		held = k.newRecord(request.Key, request.Slot.Index)
	}
	if held != nil {
		k.end(held, request)
	}
	return CompleteReply{Slot: state.slot}
}

// end records an attempt's outcome. An attempt that ran had a majority, so
// any other holder here can no longer get one.
func (k *Keeper) end(held *record, request Complete) {
	switch request.Outcome {
	case NotRun:
		held.release(request.Attempt)
		held.expires = later(held.expires, k.now.Add(k.options.AttemptTimeout))
	case Ran:
		held.fingerprint = request.Fingerprint
		held.done = true
		held.holders = nil
		k.storeAnswer(held, request.Answer)
		held.expires = later(held.expires, k.now.Add(k.options.retention(request.Window)))
	default:
		held.fingerprint = request.Fingerprint
		held.holders = []string{request.Attempt}
		held.lost = true
		held.expires = later(held.expires, k.now.Add(k.options.retention(request.Window)))
	}
}

// storeAnswer keeps the body only where there is room for it.
func (k *Keeper) storeAnswer(held *record, answer *Answer) {
	k.answerBytes -= bodyBytes(held.answer)
	held.answer = nil
	if answer == nil {
		return
	}
	kept := *answer
	size := len(kept.Body)
	if size > k.options.MaxAnswerBytes || k.answerBytes+size > k.options.MaxAnswersBytes {
		kept.Body = nil
		kept.BodyOmitted = true
	}
	held.answer = &kept
	k.answerBytes += bodyBytes(held.answer)
}

func bodyBytes(answer *Answer) int {
	if answer == nil {
		return 0
	}
	return len(answer.Body)
}

// live returns the key's record unless it has expired.
func (k *Keeper) live(key string) *record {
	held := k.records[key]
	if held == nil {
		return nil
	}
	timedOut := k.options.Defects.FreesTimedOut && held.unknown(k.now)
	if k.now.After(held.expires) || timedOut {
		k.drop(held)
		return nil
	}
	return held
}

func (k *Keeper) drop(held *record) {
	k.answerBytes -= bodyBytes(held.answer)
	delete(k.records, held.key)
}

// newRecord returns an empty record, or nil when the keeper is full: a live
// record is never dropped for another.
func (k *Keeper) newRecord(key string, slot int) *record {
	if len(k.records) >= k.options.MaxRecords {
		if !k.options.Defects.ForgetsWhenFull {
			return nil
		}
		k.dropOldest()
	}
	held := &record{key: key, slot: slot}
	k.records[key] = held
	return held
}

// dropOldest is the planted defect of silent forgetting.
func (k *Keeper) dropOldest() {
	var oldest *record
	for _, held := range k.records {
		if oldest == nil || held.expires.Before(oldest.expires) ||
			held.expires.Equal(oldest.expires) && held.key < oldest.key {
			oldest = held
		}
	}
	if oldest != nil {
		k.drop(oldest)
	}
}

func (k *Keeper) sweep() {
	if k.now.Before(k.nextSweep) {
		return
	}
	k.nextSweep = k.now.Add(sweepInterval)
	for _, held := range k.records {
		if k.now.After(held.expires) {
			k.drop(held)
		}
	}
}
