package claim

import (
	"maps"
	"slices"
	"time"
)

// seatState is what a keeper knows of one slot.
//
// Invariant: a settled keeper knows of every attempt that a majority of an
// older version granted at or after knownSince.
type seatState struct {
	slot   Slot
	member bool
	// settled holds for slot.Version; settledVersion is the newest version for
	// which it ever held, with always and knownSince as of then.
	settled        bool
	settledVersion uint64
	always         bool
	knownSince     time.Time
	// complete is set once no further answer can tell more.
	complete bool
	answered map[Seat]SealReply
	heard    map[Seat]time.Time
	nextAsk  time.Time
}

// identity is the seat without its address.
func identity(seat Seat) Seat {
	return Seat{Name: seat.Name, Boot: seat.Boot}
}

// waits reports whether older keepers are still to be asked.
func (s *seatState) waits() bool {
	return s.member && !s.complete
}

// wait is how long until the keeper knows of the whole retention.
func (s *seatState) wait(now time.Time, retention time.Duration) time.Duration {
	switch {
	case !s.settled:
		return unsettledRetry
	case s.always:
		return 0
	default:
		return retention - now.Sub(s.knownSince)
	}
}

// unsettledRetry is when to ask a keeper again that is gathering records.
const unsettledRetry = 100 * time.Millisecond

// learn takes a newer version of a slot. From here on nothing is granted in an
// older one.
func (k *Keeper) learn(slot Slot) {
	state := k.slots[slot.Index]
	if state == nil {
		state = &seatState{}
		k.slots[slot.Index] = state
	}
	if slot.Version <= state.slot.Version {
		return
	}
	state.slot = slot
	state.member = contains(slot.Seats, k.options.Self)
	state.settled = false
	state.complete = false
	state.answered = make(map[Seat]SealReply)
	state.heard = make(map[Seat]time.Time)
	state.nextAsk = k.now
	if !state.member {
		return
	}
	if len(slot.Previous) == 0 {
		k.settle(state, true, k.now)
		state.complete = true
		return
	}
	if contains(slices.Concat(slot.Previous...), k.options.Self) {
		self := identity(k.options.Self)
		state.answered[self] = k.sealReply(state)
		state.heard[self] = k.now
	}
	k.trySettle(state)
}

// seal answers a keeper of a newer version; learn has closed the older ones.
func (k *Keeper) seal(slot Slot) SealReply {
	k.learn(slot)
	state := k.slots[slot.Index]
	reply := k.sealReply(state)
	for _, key := range slices.Sorted(maps.Keys(k.records)) {
		if held := k.records[key]; held.slot == slot.Index && !k.now.After(held.expires) {
			reply.Records = append(reply.Records, held.handed(k.now))
		}
	}
	return reply
}

// sealReply tells, without records, how far back this keeper knows. It counts
// as settled where that holds for the version before the slot's.
func (k *Keeper) sealReply(state *seatState) SealReply {
	return SealReply{
		Settled:  state.settledVersion > 0 && state.settledVersion+1 >= state.slot.Version,
		KnowsAll: state.always,
		KnownFor: k.now.Sub(state.knownSince),
	}
}

func (k *Keeper) handed(message SealAnswered) {
	state := k.slots[message.Index]
	if state == nil || !state.waits() || state.slot.Version != message.Version {
		return
	}
	for _, other := range message.Reply.Records {
		k.joinRecord(message.Index, other)
	}
	from := identity(message.From)
	state.answered[from] = message.Reply
	state.heard[from] = k.now
	k.trySettle(state)
}

// joinRecord must not fail for lack of room: an unknown grant is a call that
// may run twice. What is handed over is bounded by the senders' own limits.
func (k *Keeper) joinRecord(slot int, other TransferredRecord) {
	held := k.live(other.Key)
	if held == nil {
		held = &record{key: other.Key, slot: slot}
		k.records[other.Key] = held
	}
	k.answerBytes -= bodyBytes(held.answer)
	held.join(k.now, other)
	answer := held.answer
	held.answer = nil
	k.storeAnswer(held, answer)
}

func (k *Keeper) markGone(seat Seat) {
	k.gone[identity(seat)] = true
	for _, index := range slices.Sorted(maps.Keys(k.slots)) {
		if state := k.slots[index]; state.waits() {
			k.trySettle(state)
		}
	}
}

// trySettle applies the two rules of docs/design/at-most-once.md.
func (k *Keeper) trySettle(state *seatState) {
	newest := state.slot.Previous[len(state.slot.Previous)-1]
	if k.settleFromRecords(state, newest) {
		return
	}
	if state.settled {
		return
	}
	for _, generation := range state.slot.Previous {
		if k.closed(state, generation) < Overlap(generation) {
			return
		}
	}
	k.settle(state, false, k.now)
}

// settleFromRecords holds where enough seats of the newest older version to
// overlap every majority handed their records over and one of them was settled in it.
func (k *Keeper) settleFromRecords(state *seatState, generation []Seat) bool {
	answers := 0
	var best *SealReply
	var bestSince time.Time
	for _, seat := range generation {
		reply, found := state.answered[identity(seat)]
		if !found {
			continue
		}
		answers++
		since := state.heard[identity(seat)].Add(-reply.KnownFor)
		if reply.Settled && (best == nil || reply.KnowsAll || !best.KnowsAll && since.Before(bestSince)) {
			best = &reply
			bestSince = since
		}
	}
	if answers < Overlap(generation) || best == nil {
		return false
	}
	k.settle(state, best.KnowsAll, bestSince)
	state.complete = answers == len(generation) || best.KnowsAll
	return true
}

// closed counts the seats that can grant no more: they answered, or ended.
func (k *Keeper) closed(state *seatState, generation []Seat) int {
	count := 0
	for _, seat := range generation {
		if _, found := state.answered[identity(seat)]; found || k.gone[identity(seat)] {
			count++
		}
	}
	return count
}

func (k *Keeper) settle(state *seatState, always bool, since time.Time) {
	state.settled = true
	state.settledVersion = state.slot.Version
	state.always = always
	state.knownSince = since
}

// askOlderKeepers repeats the requests that were not answered.
func (k *Keeper) askOlderKeepers() {
	for _, index := range slices.Sorted(maps.Keys(k.slots)) {
		state := k.slots[index]
		if !state.waits() || k.now.Before(state.nextAsk) {
			continue
		}
		state.nextAsk = k.now.Add(k.options.SealRetryInterval)
		asked := make(map[Seat]bool)
		for _, seat := range slices.Concat(state.slot.Previous...) {
			_, found := state.answered[identity(seat)]
			if found || k.gone[identity(seat)] || asked[identity(seat)] {
				continue
			}
			asked[identity(seat)] = true
			k.effects = append(k.effects, RequestSeal{To: seat, Slot: state.slot})
		}
	}
}

// Settled returns the slots in which this process is settled, by index.
func (k *Keeper) Settled() map[int]uint64 {
	settled := make(map[int]uint64)
	for index, state := range k.slots {
		if state.member && state.settled {
			settled[index] = state.slot.Version
		}
	}
	return settled
}
