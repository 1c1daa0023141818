package claim

import (
	"maps"
	"slices"
	"time"
)

// slotState is a keeper's state of one slot.
//
// Invariant: a settled keeper knows of every attempt that a majority of an
// older version granted at or after knownSince.
type slotState struct {
	slot     Slot
	isMember bool
	// settled refers to slot.Version. settledVersion is the newest version that was
	// ever settled; knowsAll and knownSince are as of then.
	settled        bool
	settledVersion uint64
	knowsAll       bool
	knownSince     time.Time
	// isTransferComplete is set once no further answer can add records.
	isTransferComplete bool
	sealReplies        map[Seat]SealReply
	sealRepliedAt      map[Seat]time.Time
	nextSealRequestAt  time.Time
}

// identity returns the seat without its address, for use as a map key.
func identity(seat Seat) Seat {
	return Seat{Name: seat.Name, Boot: seat.Boot}
}

// awaitsTransfer reports whether keepers of older versions still have to be asked.
func (s *slotState) awaitsTransfer() bool {
	return s.isMember && !s.isTransferComplete
}

// timeUntilFullHistory returns how long until the keeper knows of all grants within
// the retention time.
func (s *slotState) timeUntilFullHistory(now time.Time, retention time.Duration) time.Duration {
	switch {
	case !s.settled:
		return unsettledRetryDelay
	case s.knowsAll:
		return 0
	default:
		return retention - now.Sub(s.knownSince)
	}
}

// unsettledRetryDelay is after how long to ask a keeper again that is still collecting
// records.
const unsettledRetryDelay = 100 * time.Millisecond

// updateSlot switches to a newer version of a slot. From here on nothing is granted
// in an older one.
func (k *Keeper) updateSlot(slot Slot) {
	state := k.slots[slot.Index]
	if state == nil {
		state = &slotState{}
		k.slots[slot.Index] = state
	}
	if slot.Version <= state.slot.Version {
		return
	}
	state.slot = slot
	state.isMember = containsProcess(slot.Seats, k.options.Self)
	state.settled = false
	state.isTransferComplete = false
	state.sealReplies = make(map[Seat]SealReply)
	state.sealRepliedAt = make(map[Seat]time.Time)
	state.nextSealRequestAt = k.now
	if !state.isMember {
		return
	}
	if len(slot.Previous) == 0 {
		k.settle(state, true, k.now)
		state.isTransferComplete = true
		return
	}
	if containsProcess(slices.Concat(slot.Previous...), k.options.Self) {
		self := identity(k.options.Self)
		state.sealReplies[self] = k.sealReply(state)
		state.sealRepliedAt[self] = k.now
	}
	k.trySettle(state)
}

// handleSeal answers a keeper of a newer version; updateSlot stops grants in older ones.
func (k *Keeper) handleSeal(slot Slot) SealReply {
	k.updateSlot(slot)
	state := k.slots[slot.Index]
	reply := k.sealReply(state)
	for _, key := range slices.Sorted(maps.Keys(k.records)) {
		if entry := k.records[key]; entry.slot == slot.Index && !k.now.After(entry.expiresAt) {
			reply.Records = append(reply.Records, entry.transferred(k.now))
		}
	}
	return reply
}

// sealReply reports how far back this keeper's knowledge reaches, without records. The
// keeper counts as settled if it was in the version before the slot's, or later.
func (k *Keeper) sealReply(state *slotState) SealReply {
	return SealReply{
		Settled:  state.settledVersion > 0 && state.settledVersion+1 >= state.slot.Version,
		KnowsAll: state.knowsAll,
		KnownFor: k.now.Sub(state.knownSince),
	}
}

func (k *Keeper) handleSealAnswer(message SealAnswered) {
	state := k.slots[message.Index]
	if state == nil || !state.awaitsTransfer() || state.slot.Version != message.Version {
		return
	}
	for _, other := range message.Reply.Records {
		k.mergeRecord(message.Index, other)
	}
	from := identity(message.From)
	state.sealReplies[from] = message.Reply
	state.sealRepliedAt[from] = k.now
	k.trySettle(state)
}

// mergeRecord ignores MaxRecords: without the record of a grant the call may run
// twice. The number of transferred records is bounded by the senders' own limits.
func (k *Keeper) mergeRecord(slot int, other TransferredRecord) {
	entry := k.liveRecord(other.Key)
	if entry == nil {
		entry = &record{key: other.Key, slot: slot}
		k.records[other.Key] = entry
	}
	k.answerBytes -= bodyBytes(entry.answer)
	entry.merge(k.now, other)
	answer := entry.answer
	entry.answer = nil
	k.storeAnswer(entry, answer)
}

func (k *Keeper) markEnded(seat Seat) {
	k.endedProcesses[identity(seat)] = true
	for _, index := range slices.Sorted(maps.Keys(k.slots)) {
		if state := k.slots[index]; state.awaitsTransfer() {
			k.trySettle(state)
		}
	}
}

// trySettle applies the two rules of docs/design/at-most-once.md by which a keeper
// becomes settled.
func (k *Keeper) trySettle(state *slotState) {
	newest := state.slot.Previous[len(state.slot.Previous)-1]
	if k.settleFromRecords(state, newest) {
		return
	}
	if state.settled {
		return
	}
	for _, generation := range state.slot.Previous {
		if k.countSealed(state, generation) < Overlap(generation) {
			return
		}
	}
	k.settle(state, false, k.now)
}

// settleFromRecords settles the slot if enough seats of the preceding version to
// intersect every majority have sent their records and one of them was settled in it.
func (k *Keeper) settleFromRecords(state *slotState, generation []Seat) bool {
	answers := 0
	var best *SealReply
	var bestSince time.Time
	for _, seat := range generation {
		reply, found := state.sealReplies[identity(seat)]
		if !found {
			continue
		}
		answers++
		since := state.sealRepliedAt[identity(seat)].Add(-reply.KnownFor)
		if reply.Settled && (best == nil || reply.KnowsAll || !best.KnowsAll && since.Before(bestSince)) {
			best = &reply
			bestSince = since
		}
	}
	if answers < Overlap(generation) || best == nil {
		return false
	}
	k.settle(state, best.KnowsAll, bestSince)
	state.isTransferComplete = answers == len(generation) || best.KnowsAll
	return true
}

// countSealed counts the seats that can no longer grant because they answered or ended.
func (k *Keeper) countSealed(state *slotState, generation []Seat) int {
	count := 0
	for _, seat := range generation {
		if _, found := state.sealReplies[identity(seat)]; found || k.endedProcesses[identity(seat)] {
			count++
		}
	}
	return count
}

func (k *Keeper) settle(state *slotState, knowsAll bool, since time.Time) {
	state.settled = true
	state.settledVersion = state.slot.Version
	state.knowsAll = knowsAll
	state.knownSince = since
}

// requestSeals sends the due Seal requests that have not been answered.
func (k *Keeper) requestSeals() {
	for _, index := range slices.Sorted(maps.Keys(k.slots)) {
		state := k.slots[index]
		if !state.awaitsTransfer() || k.now.Before(state.nextSealRequestAt) {
			continue
		}
		state.nextSealRequestAt = k.now.Add(k.options.SealRetryInterval)
		requested := make(map[Seat]bool)
		for _, seat := range slices.Concat(state.slot.Previous...) {
			_, found := state.sealReplies[identity(seat)]
			if found || k.endedProcesses[identity(seat)] || requested[identity(seat)] {
				continue
			}
			requested[identity(seat)] = true
			k.effects = append(k.effects, RequestSeal{To: seat, Slot: state.slot})
		}
	}
}

// Settled returns the versions of the slots in which this process is settled, by index.
func (k *Keeper) Settled() map[int]uint64 {
	settled := make(map[int]uint64)
	for index, state := range k.slots {
		if state.isMember && state.settled {
			settled[index] = state.slot.Version
		}
	}
	return settled
}
