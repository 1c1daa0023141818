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

// claimBounds bounds the model to a finite number of states.
type claimBounds struct {
	// secondSeats lists the seats of the table's second version by index; it is nil if
	// the table does not change.
	secondSeats []int
	// ends is the number of keepers that may end for good.
	ends int
	// timeouts is how often each asker may time out.
	timeouts int
	// duplicates is the number of grant requests that may be delivered twice.
	duplicates int
	// allowFailures lets a granted call be reported as not run.
	allowFailures bool
	// delayReplies sends the keepers' replies over the network; otherwise they arrive immediately.
	delayReplies bool
	defects      claim.Defects
}

func (b claimBounds) slot(version int) claim.Slot {
	first := claim.Slot{Version: 1, Seats: keeperSeats[:3]}
	if version == 1 {
		return first
	}
	second := claim.Slot{Version: 2, Previous: [][]claim.Seat{first.Seats}}
	for _, index := range b.secondSeats {
		second.Seats = append(second.Seats, keeperSeats[index])
	}
	return second
}

// askerState is one attempt to get a grant for the key.
type askerState struct {
	core       *claim.Asker
	started    bool
	now        time.Time
	timeouts   int
	askedSeats []claim.Seat
	slot       claim.Slot
	granted    bool
	completed  bool
	// encoded is the encoding of the core in the state key, updated with each step.
	encoded string
}

// claimMessage is a message in flight; exactly one of its pointer fields is set.
type claimMessage struct {
	// to is the index of a keeper, or of an asker for votes.
	to           int
	asker        int
	grant        *claim.Grant
	vote         *claim.VoteReceived
	complete     *claim.Complete
	seal         *claim.Seal
	from         int
	sealAnswer   *claim.SealAnswered
	slotUpdate   *claim.SlotUpdate
	processEnded *claim.ProcessEnded
	encoded      string
}

// claimModel is a state of the model: two attempts for one key, and its keepers.
type claimModel struct {
	bounds  *claimBounds
	askers  [askers]askerState
	keepers [maxKeepers]*claim.Keeper
	// encoded holds the encodings of the keepers in the state key.
	encoded    [maxKeepers]string
	ended      [maxKeepers]bool
	network    []claimMessage
	version    int
	ends       int
	duplicates int
	// sent counts the calls that were sent and not reported as not run.
	sent int
}

func newClaimModel(bounds *claimBounds) *claimModel {
	model := &claimModel{bounds: bounds, version: 1}
	for index, seat := range keeperSeats {
		model.keepers[index] = claim.NewKeeper(claim.KeeperOptions{Self: seat, Defects: bounds.defects})
	}
	for index := range model.askers {
		model.askers[index] = askerState{now: startTime, core: claim.NewAsker(claim.AskerOptions{
			Request:  claim.Request{Key: callKey, Fingerprint: []byte("body"), Window: keyWindow},
			Attempt:  fmt.Sprintf("attempt-%d", index),
			Node:     fleet.NodeName(fmt.Sprintf("n%d", index)),
			Deadline: startTime.Add(time.Hour),
			Defects:  bounds.defects,
		})}
	}
	return model
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
			w.sendComplete(effect.To, effect.Complete)
		case claim.Finish:
			asker.askedSeats, asker.slot = effect.Asked, effect.Slot
			if effect.Decision.Verdict == claim.Granted {
				asker.granted = true
				w.sent++
			}
		}
	}
}

func (w *claimModel) sendComplete(to []claim.Seat, complete claim.Complete) {
	for _, seat := range to {
		w.send(claimMessage{to: keeperIndex(seat), complete: &complete})
	}
}

func (w *claimModel) send(sent claimMessage) {
	sent.encoded = encode(&sent)
	w.network = append(w.network, sent)
}

func encode[T any](value *T) string {
	return string(appendValue(nil, reflect.ValueOf(value), ignoredFields))
}

func keeperIndex(seat claim.Seat) int { return slices.IndexFunc(keeperSeats[:], seat.SameProcess) }

// stepKeeper passes an input to a keeper and sends its reply to the asker or keeper
// that asked. Keepers' clocks stand still, so no record expires.
func (w *claimModel) stepKeeper(index int, input claim.KeeperMessage, cause claimMessage) {
	defer func() { w.encoded[index] = encode(w.keepers[index]) }()
	for _, effect := range w.keepers[index].Step(startTime, input) {
		switch effect := effect.(type) {
		case claim.GrantReply:
			w.reply(claimMessage{to: cause.asker, vote: &claim.VoteReceived{
				From: keeperSeats[index], Version: cause.grant.Slot.Version, Reply: effect,
			}})
		case claim.RequestSeal:
			w.send(claimMessage{to: keeperIndex(effect.To), from: index, seal: &claim.Seal{Slot: effect.Slot}})
		case claim.SealReply:
			w.reply(claimMessage{to: cause.from, sealAnswer: &claim.SealAnswered{
				Index: cause.seal.Slot.Index, Version: cause.seal.Slot.Version, From: keeperSeats[index], Reply: effect,
			}})
		}
	}
}

// reply sends a keeper's reply. clone copies only the receiver of the delivered message,
// so the receiver of a reply that arrives immediately must be copied here.
func (w *claimModel) reply(sent claimMessage) {
	switch {
	case w.bounds.delayReplies:
		w.send(sent)
		return
	case sent.vote != nil:
		w.askers[sent.to].core = deepCopy(w.askers[sent.to].core)
	default:
		w.keepers[sent.to] = deepCopy(w.keepers[sent.to])
	}
	w.deliver(sent)
}

// deliver delivers a message; one to a keeper that has ended is lost.
func (w *claimModel) deliver(sent claimMessage) {
	if sent.vote != nil {
		w.stepAsker(sent.to, *sent.vote)
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
	case sent.sealAnswer != nil:
		w.stepKeeper(sent.to, *sent.sealAnswer, sent)
	case sent.slotUpdate != nil:
		w.stepKeeper(sent.to, *sent.slotUpdate, sent)
	case sent.processEnded != nil:
		w.stepKeeper(sent.to, *sent.processEnded, sent)
	}
}

func (w *claimModel) violation() string {
	if w.sent > 1 {
		return fmt.Sprintf("%d calls were sent with one key", w.sent)
	}
	return ""
}

// ignoredFields lists the fields that the state key leaves out: constants, and values
// that matter during one step only.
var ignoredFields = map[string]bool{"options": true, "random": true, "effects": true, "now": true, "nextSweep": true,
	"RetryAfter": true, "KnownFor": true, "ExpiresIn": true, "AttemptEndsIn": true}

func (w *claimModel) key() uint64 {
	w.dropStale()
	var key []byte
	for index := range w.askers {
		asker := &w.askers[index]
		key = append(key, byte(asker.timeouts))
		for _, flag := range []bool{asker.started, asker.granted, asker.completed} {
			key = appendBool(key, flag)
		}
		key = append(key, asker.encoded...)
	}
	for index := range w.keepers {
		key = append(appendBool(key, w.ended[index]), w.encoded[index]...)
	}
	key = append(key, byte(w.version), byte(w.ends), byte(w.duplicates), byte(w.sent))
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

// dropStale removes the messages from the network that no longer have any effect.
func (w *claimModel) dropStale() {
	w.network = slices.DeleteFunc(w.network, func(sent claimMessage) bool {
		if sent.vote != nil {
			return w.askers[sent.to].askedSeats != nil
		}
		return w.ended[sent.to]
	})
}
