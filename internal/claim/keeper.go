package claim

import (
	"slices"
	"time"
)

// Keeper holds the records of the slots in which this process has a seat, and
// decides on grants. It is not safe for concurrent use.
type Keeper struct {
	options        KeeperOptions
	now            time.Time
	records        map[string]*record
	slots          map[int]*slotState
	endedProcesses map[Seat]bool
	answerBytes    int
	nextCleanupAt  time.Time
	effects        []KeeperEffect
}

// NewKeeper returns a keeper without records.
func NewKeeper(options KeeperOptions) *Keeper {
	return &Keeper{
		options:        options.withDefaults(),
		records:        make(map[string]*record),
		slots:          make(map[int]*slotState),
		endedProcesses: make(map[Seat]bool),
	}
}

// cleanupInterval is the time between removals of expired records.
const cleanupInterval = time.Second

// Step handles a message and returns the effects to carry out.
func (k *Keeper) Step(now time.Time, message KeeperMessage) []KeeperEffect {
	k.now = now
	k.effects = nil
	k.removeExpired()
	switch message := message.(type) {
	case Tick:
	case Grant:
		k.effects = append(k.effects, k.grant(message))
	case Complete:
		k.effects = append(k.effects, k.complete(message))
	case SlotUpdate:
		k.updateSlot(message.Slot)
	case Seal:
		k.effects = append(k.effects, k.handleSeal(message.Slot))
	case SealAnswered:
		k.handleSealAnswer(message)
	case ProcessEnded:
		k.markEnded(message.Seat)
	case NodeLost:
		for _, entry := range k.records {
			entry.outcomeLost = entry.outcomeLost || entry.node == message.Node
		}
	}
	k.requestSeals()
	return k.effects
}

// NextWake returns when Step needs a Tick.
func (k *Keeper) NextWake() time.Time {
	wake := k.nextCleanupAt
	for _, state := range k.slots {
		if state.awaitsTransfer() && state.nextSealRequestAt.Before(wake) {
			wake = state.nextSealRequestAt
		}
	}
	return wake
}

// Records returns the number of records held.
func (k *Keeper) Records() int {
	return len(k.records)
}

func (k *Keeper) grant(request Grant) GrantReply {
	k.updateSlot(request.Slot)
	state := k.slots[request.Slot.Index]
	if !k.options.Defects.IgnoresVersion && (state.slot.Version != request.Slot.Version || !state.isMember) {
		return GrantReply{Vote: VoteStale, Slot: state.slot}
	}
	reply := k.vote(state, request)
	reply.Slot = state.slot
	if k.options.Defects.IgnoresVersion {
		reply.Slot = request.Slot
	}
	return reply
}

// vote answers from the key's record if there is one. The keeper may grant only if
// it knows of every grant within the whole window, even if the record is of the
// asking attempt: another attempt may have had the majority in an older version.
func (k *Keeper) vote(state *slotState, request Grant) GrantReply {
	entry := k.liveRecord(request.Key)
	reply := GrantReply{Vote: VoteGranted}
	hasRecord := entry != nil && (!entry.isUnclaimed() || slices.Contains(entry.released, request.Attempt))
	if hasRecord {
		reply = entry.vote(k.now, request.Attempt, request.Fingerprint)
	}
	wait := state.timeUntilFullHistory(k.now, k.options.retention(request.Window))
	if reply.Vote == VoteGranted && wait > 0 && !k.options.Defects.YoungVouches {
		return GrantReply{Vote: VoteIncompleteHistory, RetryAfter: wait}
	}
	if hasRecord {
		return reply
	}
	if entry == nil {
		entry = k.newRecord(request.Key, request.Slot.Index)
	}
	if entry == nil {
		return GrantReply{Vote: VoteFull}
	}
	entry.fingerprint = request.Fingerprint
	entry.holders = []string{request.Attempt}
	entry.node = request.Node
	entry.outcomeLost = false
	entry.attemptEndsAt = k.now.Add(k.options.AttemptTimeout)
	entry.expiresAt = later(entry.expiresAt, k.now.Add(k.options.retention(request.Window)))
	return GrantReply{Vote: VoteGranted}
}

func (k *Keeper) complete(request Complete) CompleteReply {
	k.updateSlot(request.Slot)
	state := k.slots[request.Slot.Index]
	entry := k.liveRecord(request.Key)
	if entry == nil && state.isMember {
		entry = k.newRecord(request.Key, request.Slot.Index)
	}
	if entry != nil {
		k.recordOutcome(entry, request)
	}
	return CompleteReply{Slot: state.slot}
}

// recordOutcome records an attempt's outcome. An attempt that ran had a majority, so
// no other holder of this record can obtain one.
func (k *Keeper) recordOutcome(entry *record, request Complete) {
	switch request.Outcome {
	case NotRun:
		entry.release(request.Attempt)
		entry.expiresAt = later(entry.expiresAt, k.now.Add(k.options.AttemptTimeout))
	case Ran:
		entry.fingerprint = request.Fingerprint
		entry.done = true
		entry.holders = nil
		k.storeAnswer(entry, request.Answer)
		entry.expiresAt = later(entry.expiresAt, k.now.Add(k.options.retention(request.Window)))
	default:
		entry.fingerprint = request.Fingerprint
		entry.holders = []string{request.Attempt}
		entry.outcomeLost = true
		entry.expiresAt = later(entry.expiresAt, k.now.Add(k.options.retention(request.Window)))
	}
}

// storeAnswer stores the answer, without its body if that exceeds the limits.
func (k *Keeper) storeAnswer(entry *record, answer *Answer) {
	k.answerBytes -= bodyBytes(entry.answer)
	entry.answer = nil
	if answer == nil {
		return
	}
	stored := *answer
	size := len(stored.Body)
	if size > k.options.MaxAnswerBytes || k.answerBytes+size > k.options.MaxAnswersBytes {
		stored.Body = nil
		stored.BodyOmitted = true
	}
	entry.answer = &stored
	k.answerBytes += bodyBytes(entry.answer)
}

func bodyBytes(answer *Answer) int {
	if answer == nil {
		return 0
	}
	return len(answer.Body)
}

// liveRecord returns the key's record unless it has expired.
func (k *Keeper) liveRecord(key string) *record {
	entry := k.records[key]
	if entry == nil {
		return nil
	}
	timedOut := k.options.Defects.FreesTimedOut && entry.isOutcomeUnknown(k.now)
	if k.now.After(entry.expiresAt) || timedOut {
		k.removeRecord(entry)
		return nil
	}
	return entry
}

func (k *Keeper) removeRecord(entry *record) {
	k.answerBytes -= bodyBytes(entry.answer)
	delete(k.records, entry.key)
}

// newRecord returns an empty record, or nil if the keeper is full: a live record
// is never dropped for another.
func (k *Keeper) newRecord(key string, slot int) *record {
	if len(k.records) >= k.options.MaxRecords {
		if !k.options.Defects.ForgetsWhenFull {
			return nil
		}
		k.removeOldest()
	}
	entry := &record{key: key, slot: slot}
	k.records[key] = entry
	return entry
}

// removeOldest implements the deliberate fault ForgetsWhenFull.
func (k *Keeper) removeOldest() {
	var oldest *record
	for _, entry := range k.records {
		if oldest == nil || entry.expiresAt.Before(oldest.expiresAt) ||
			entry.expiresAt.Equal(oldest.expiresAt) && entry.key < oldest.key {
			oldest = entry
		}
	}
	if oldest != nil {
		k.removeRecord(oldest)
	}
}

func (k *Keeper) removeExpired() {
	if k.now.Before(k.nextCleanupAt) {
		return
	}
	k.nextCleanupAt = k.now.Add(cleanupInterval)
	for _, entry := range k.records {
		if k.now.After(entry.expiresAt) {
			k.removeRecord(entry)
		}
	}
}
