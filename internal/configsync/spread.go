package configsync

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/platform"
)

// spaces in the order in which they are walked.
var spaces = []Space{SpaceObjects, SpaceMachines}

// spreadState is what is due to be sent of one space.
type spreadState struct {
	space  Space
	ledger *ledger
	// pushAt is when the gathered changes are pushed; zero for none.
	pushAt time.Time
	// pushSince is the version on which they build.
	pushSince uint64
	// digestAt is when the next digest goes to a drawn peer.
	digestAt time.Time
	// fullMergeAt is the earliest time for the next merge of all objects.
	fullMergeAt time.Time
}

// take applies changes and, where push is set, hands them on to the zone. It
// reports whether a gap was left.
func (c *Core) take(now time.Time, space Space, changes Changes, push bool) bool {
	state := c.spread[space]
	before := state.ledger.contentVersion
	changed, gap := state.ledger.apply(changes)
	c.taken(now, state, before, changed, push)
	return gap
}

func (c *Core) takeAll(now time.Time, space Space, all Changes, push bool) {
	state := c.spread[space]
	before := state.ledger.contentVersion
	// A node that had nothing has no news: the others ask it when they need.
	push = push && state.ledger.loaded
	changed := state.ledger.applyAll(all)
	c.taken(now, state, before, changed, push)
}

func (c *Core) taken(now time.Time, state *spreadState, before uint64, changed []platform.Object, push bool) {
	if push && len(changed) > 0 && state.pushAt.IsZero() {
		state.pushAt = now.Add(c.options.PushDelay)
		state.pushSince = before
	}
	c.changed(state.space, changed)
}

// pushDue pushes all that changed since the version before the first gathered
// change, from whichever source: so a receiver that holds that version holds
// the pushed one afterwards.
func (c *Core) pushDue(now time.Time, state *spreadState) {
	if !due(state.pushAt, now) {
		return
	}
	state.pushAt = time.Time{}
	changes := Changes{
		Since:   state.pushSince,
		Version: state.ledger.version,
		Objects: state.ledger.since(state.pushSince),
		Horizon: state.ledger.horizon,
	}
	if state.ledger.dropped > changes.Since {
		// Tombstones are gone already: the receivers must see a gap and ask.
		changes.Since = changes.Version
	}
	push := Push{Space: state.space, Changes: changes}
	for _, member := range c.members {
		if c.isPeer(member) && member.Zone == c.options.Self.Zone {
			c.emit(SendPush{To: member, Push: push})
		}
	}
}

// isPeer includes suspects: they may well be alive, and a push is cheap.
func (c *Core) isPeer(member fleet.Member) bool {
	return member.Name != c.options.Self.Name &&
		(member.State == fleet.MemberAlive || member.State == fleet.MemberSuspect)
}

func (c *Core) pushReceived(now time.Time, message PushReceived) {
	state, known := c.spread[message.Push.Space]
	if !known {
		return
	}
	gap := c.take(now, state.space, message.Push.Changes, false)
	if gap {
		from, found := c.peerNamed(message.From)
		c.sendDigest(from, found, state, false)
	}
	c.emit(AnswerPush{Call: message.Call, Version: state.ledger.version})
}

func (c *Core) peerNamed(name fleet.NodeName) (fleet.Member, bool) {
	for _, member := range c.members {
		if member.Name == name && c.isPeer(member) {
			return member, true
		}
	}
	return fleet.Member{}, false
}

// digestDue sends a digest to a drawn peer.
func (c *Core) digestDue(now time.Time, state *spreadState) {
	if !state.digestAt.IsZero() && now.Before(state.digestAt) {
		return
	}
	interval := c.options.DigestInterval
	if !state.ledger.loaded {
		interval = c.options.FirstDigestRetry
	}
	state.digestAt = now.Add(c.jitter(interval))
	member, found := c.drawPeer(state.ledger.loaded)
	c.sendDigest(member, found, state, false)
}

// drawPeer draws mostly from the own zone, and from others now and then, so
// that a zone that is cut off from the store hears of changes. A node without
// anything in force asks its zone's readers every other time.
func (c *Core) drawPeer(loaded bool) (fleet.Member, bool) {
	if !loaded && c.random.IntN(2) == 0 {
		if member, found := c.drawReader(); found {
			return member, true
		}
	}
	var own, foreign []fleet.Member
	for _, member := range c.members {
		switch {
		case !c.isPeer(member):
		case member.Zone == c.options.Self.Zone:
			own = append(own, member)
		default:
			foreign = append(foreign, member)
		}
	}
	from := own
	if len(foreign) > 0 && (len(own) == 0 || c.random.IntN(foreignDigestShare) == 0) {
		from = foreign
	}
	if len(from) == 0 {
		return fleet.Member{}, false
	}
	return from[c.random.IntN(len(from))], true
}

func (c *Core) drawReader() (fleet.Member, bool) {
	readers := Readers(c.options.Self.Zone, c.members)
	if len(readers) == 0 {
		return fleet.Member{}, false
	}
	return c.peerNamed(readers[c.random.IntN(len(readers))])
}

func (c *Core) sendDigest(to fleet.Member, found bool, state *spreadState, wantAll bool) {
	if !found {
		return
	}
	c.emit(SendDigest{To: to, Digest: Digest{
		Space:   state.space,
		Version: state.ledger.version,
		Hash:    comparableHash(state),
		WantAll: wantAll,
	}})
}

// comparableHash is 0 where the hash says nothing about the version in force.
func comparableHash(state *spreadState) uint64 {
	if state.ledger.ahead() {
		return 0
	}
	return state.ledger.hash
}

func (c *Core) digestReceived(message DigestReceived) {
	state, known := c.spread[message.Digest.Space]
	if !known {
		return
	}
	c.emit(AnswerDigest{Call: message.Call, Answer: answerDigest(state, message.Digest)})
}

func answerDigest(state *spreadState, digest Digest) DigestAnswer {
	held := state.ledger
	answer := DigestAnswer{
		Space:   state.space,
		Changes: Changes{Since: digest.Version, Version: held.version, Horizon: held.horizon},
		Hash:    comparableHash(state),
		Loaded:  held.loaded,
	}
	comparable := digest.Hash != 0 && answer.Hash != 0
	equal := comparable && digest.Hash == answer.Hash
	differs := comparable && !equal && digest.Version == held.version
	switch {
	case !held.loaded:
	case equal && digest.Version < held.horizon:
		answer.Same = true
	case differs || digest.WantAll || digest.Version < held.horizon:
		answer.Full = true
		answer.Changes.Since = 0
		answer.Changes.Objects = held.all()
	default:
		answer.Changes.Objects = held.since(digest.Version)
	}
	return answer
}

func (c *Core) digestAnswered(now time.Time, message DigestAnswered) {
	state, known := c.spread[message.Answer.Space]
	if !known || !message.Answer.Loaded {
		return
	}
	from, found := c.peerNamed(message.From)
	// What came from another zone is news to this one.
	push := found && from.Zone != c.options.Self.Zone
	switch {
	case message.Answer.Same:
		state.ledger.applySame(message.Answer.Changes.Version, message.Answer.Hash)
		c.changed(state.space, nil)
	case message.Answer.Full:
		c.takeAll(now, state.space, message.Answer.Changes, push)
	default:
		c.take(now, state.space, message.Answer.Changes, push)
	}
	c.compareHashes(now, state, from, found, message.Answer)
}

// compareHashes merges everything with a peer that holds other objects at the
// same version. That happens only where the store's history was replaced.
func (c *Core) compareHashes(now time.Time, state *spreadState, from fleet.Member, found bool, answer DigestAnswer) {
	own := comparableHash(state)
	if own == 0 || answer.Hash == 0 || own == answer.Hash || state.ledger.version != answer.Changes.Version {
		return
	}
	if now.Before(state.fullMergeAt) {
		return
	}
	state.fullMergeAt = now.Add(c.options.FullMergeInterval)
	c.emit(Diverged{Peer: from.Name, Version: state.ledger.version})
	if !answer.Full {
		c.sendDigest(from, found, state, true)
	}
}

// digestFailed draws another peer at once while nothing is in force.
func (c *Core) digestFailed(now time.Time, message DigestFailed) {
	state, known := c.spread[message.Space]
	if known && !state.ledger.loaded && state.digestAt.After(now.Add(c.options.FirstDigestRetry)) {
		state.digestAt = now.Add(c.jitter(c.options.FirstDigestRetry))
	}
}
