package verify

import (
	"fmt"
	"reflect"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	askers     = 2
	keyWindow  = 10 * time.Minute
	callKey    = "stop-17"
	maxKeepers = 4
)

var keeperSeats = [maxKeepers]claim.Seat{
	{Name: "a", Boot: 1, Address: "a"}, {Name: "b", Boot: 1, Address: "b"},
	{Name: "c", Boot: 1, Address: "c"}, {Name: "d", Boot: 1, Address: "d"},
}

// claimBounds keep the model finite.
type claimBounds struct {
	// changed is the second version's seats, by index; none where the table
	// does not change.
	changed []int
	// ends is how many keepers may end for good.
	ends int
	// timeouts is how often each asker's time may run out.
	timeouts int
	// repeats is how many questions may come twice.
	repeats int
	// fails lets a call that was granted be proved not to have run.
	fails bool
	// slow lets answers of keepers take time; else they arrive at once.
	slow    bool
	defects claim.Defects
}

func (b claimBounds) slot(version int) claim.Slot {
	first := claim.Slot{Version: 1, Seats: keeperSeats[:3]}
	if version == 1 {
		return first
	}
	second := claim.Slot{Version: 2, Previous: [][]claim.Seat{first.Seats}}
	for _, index := range b.changed {
		second.Seats = append(second.Seats, keeperSeats[index])
	}
	return second
}

// askerState is one attempt for the key.
type askerState struct {
	core     *claim.Asker
	begun    bool
	now      time.Time
	timeouts int
	asked    []claim.Seat
	slot     claim.Slot
	granted  bool
	told     bool
	// encoded is the core's part of the key, made anew with each step.
	encoded string
}

// claimMessage is one on its way; exactly one of the fields is set.
type claimMessage struct {
	// to is a keeper, or an asker for votes.
	to       int
	asker    int
	grant    *claim.Grant
	voted    *claim.VoteReceived
	complete *claim.Complete
	seal     *claim.Seal
	from     int
	handed   *claim.SealAnswered
	learn    *claim.SlotUpdate
	gone     *claim.ProcessEnded
	encoded  string
}

// claimModel is the whole state: two attempts for one key, and its keepers.
type claimModel struct {
	bounds  *claimBounds
	askers  [askers]askerState
	keepers [maxKeepers]*claim.Keeper
	// encoded are the keepers' parts of the key.
	encoded [maxKeepers]string
	ended   [maxKeepers]bool
	network []claimMessage
	version int
	ends    int
	repeats int
	// sent counts the calls that were sent and not proved not to have run.
	sent int
}

func newClaims(bounds *claimBounds) *claimModel {
	world := &claimModel{bounds: bounds, version: 1}
	for index, seat := range keeperSeats {
		world.keepers[index] = claim.NewKeeper(claim.KeeperOptions{Self: seat, Defects: bounds.defects})
	}
	for index := range world.askers {
		world.askers[index] = askerState{now: beginning, core: claim.NewAsker(claim.AskerOptions{
			Request:  claim.Request{Key: callKey, Fingerprint: []byte("body"), Window: keyWindow},
			Attempt:  fmt.Sprintf("attempt-%d", index),
			Node:     fleet.NodeName(fmt.Sprintf("n%d", index)),
			Deadline: beginning.Add(time.Hour),
			Defects:  bounds.defects,
		})}
	}
	return world
}

func (w *claimModel) clone(asker, keeper int) *claimModel {
	copied := *w
	copied.network = slices.Clone(w.network)
	if asker >= 0 {
		copied.askers[asker].core = deepCopy(w.askers[asker].core)
	}
	if keeper >= 0 {
		copied.keepers[keeper] = deepCopy(w.keepers[keeper])
	}
	return &copied
}

func (w *claimModel) stepAsker(index int, input claim.AskerMessage) {
	asker := &w.askers[index]
	defer func() { asker.encoded = encode(asker.core) }()
	for _, effect := range asker.core.Step(asker.now, input) {
		switch effect := effect.(type) {
		case claim.RequestGrant:
			grant := effect.Grant
			w.send(claimMessage{to: keeperIndex(effect.To), asker: index, grant: &grant})
		case claim.Release:
			w.tell(effect.To, effect.Complete)
		case claim.Finish:
			asker.asked, asker.slot = effect.Asked, effect.Slot
			if effect.Decision.Verdict == claim.Granted {
				asker.granted = true
				w.sent++
			}
		}
	}
}

func (w *claimModel) tell(to []claim.Seat, complete claim.Complete) {
	for _, seat := range to {
		w.send(claimMessage{to: keeperIndex(seat), complete: &complete})
	}
}

func (w *claimModel) send(sent claimMessage) {
	sent.encoded = encode(&sent)
	w.network = append(w.network, sent)
}

func encode[T any](value *T) string {
	return string(appendValue(nil, reflect.ValueOf(value), leftOut))
}

func keeperIndex(seat claim.Seat) int { return slices.IndexFunc(keeperSeats[:], seat.SameProcess) }

// stepKeeper feeds a keeper; its answer goes to the asker or to the keeper
// that asked. Clocks of keepers stand still: no record expires.
func (w *claimModel) stepKeeper(index int, input claim.KeeperMessage, cause claimMessage) {
	defer func() { w.encoded[index] = encode(w.keepers[index]) }()
	for _, effect := range w.keepers[index].Step(beginning, input) {
		switch effect := effect.(type) {
		case claim.GrantReply:
			w.answer(claimMessage{to: cause.asker, voted: &claim.VoteReceived{
				From: keeperSeats[index], Version: cause.grant.Slot.Version, Reply: effect,
			}})
		case claim.RequestSeal:
			w.send(claimMessage{to: keeperIndex(effect.To), from: index, seal: &claim.Seal{Slot: effect.Slot}})
		case claim.SealReply:
			w.answer(claimMessage{to: cause.from, handed: &claim.SealAnswered{
				Index: cause.seal.Slot.Index, Version: cause.seal.Slot.Version, From: keeperSeats[index], Reply: effect,
			}})
		}
	}
}

// answer sends a keeper's answer. What a step changes is copied only where its
// message goes, so one that arrives at once needs a copy of its receiver too.
func (w *claimModel) answer(sent claimMessage) {
	switch {
	case w.bounds.slow:
		w.send(sent)
		return
	case sent.voted != nil:
		w.askers[sent.to].core = deepCopy(w.askers[sent.to].core)
	default:
		w.keepers[sent.to] = deepCopy(w.keepers[sent.to])
	}
	w.deliver(sent)
}

// deliver lets a message arrive; one to a keeper that ended is lost.
func (w *claimModel) deliver(sent claimMessage) {
	if sent.voted != nil {
		w.stepAsker(sent.to, *sent.voted)
		return
	}
	if w.ended[sent.to] {
		return
	}
	switch {
	case sent.grant != nil:
		w.stepKeeper(sent.to, *sent.grant, sent)
	case sent.complete != nil:
		w.stepKeeper(sent.to, *sent.complete, sent)
	case sent.seal != nil:
		w.stepKeeper(sent.to, *sent.seal, sent)
	case sent.handed != nil:
		w.stepKeeper(sent.to, *sent.handed, sent)
	case sent.learn != nil:
		w.stepKeeper(sent.to, *sent.learn, sent)
	case sent.gone != nil:
		w.stepKeeper(sent.to, *sent.gone, sent)
	}
}

func (w *claimModel) broken() string {
	if w.sent > 1 {
		return fmt.Sprintf("%d calls were sent with one key", w.sent)
	}
	return ""
}

// leftOut are the fields that the key leaves out: constants, and what holds
// for one step only.
var leftOut = map[string]bool{"options": true, "random": true, "effects": true, "now": true, "nextSweep": true,
	"RetryAfter": true, "KnownFor": true, "ExpiresIn": true, "AttemptEndsIn": true}

func (w *claimModel) key() uint64 {
	w.dropStale()
	var key []byte
	for index := range w.askers {
		asker := &w.askers[index]
		key = append(key, byte(asker.timeouts))
		for _, flag := range []bool{asker.begun, asker.granted, asker.told} {
			key = appendBool(key, flag)
		}
		key = append(key, asker.encoded...)
	}
	for index := range w.keepers {
		key = append(appendBool(key, w.ended[index]), w.encoded[index]...)
	}
	key = append(key, byte(w.version), byte(w.ends), byte(w.repeats), byte(w.sent))
	encoded := make([]string, 0, len(w.network))
	for _, sent := range w.network {
		encoded = append(encoded, sent.encoded)
	}
	slices.Sort(encoded)
	for _, one := range encoded {
		key = append(key, one...)
	}
	return xxhash.Sum64(key)
}

// dropStale takes messages out of the network that change nothing any more.
func (w *claimModel) dropStale() {
	w.network = slices.DeleteFunc(w.network, func(sent claimMessage) bool {
		if sent.voted != nil {
			return w.askers[sent.to].asked != nil
		}
		return w.ended[sent.to]
	})
}
