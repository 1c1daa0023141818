package configsync

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// spread is what is due to be sent of the objects.
type spread struct {
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
func (c *Core) take(now time.Time, changes Changes, push bool) bool {
	before := c.objects.contentVersion
	changed, gap := c.objects.apply(changes)
	c.taken(now, before, changed, push)
	return gap
}

func (c *Core) takeAll(now time.Time, all Changes, push bool) {
	before := c.objects.contentVersion
	// A node that had nothing has no news: the others ask it when they need.
	push = push && c.objects.loaded
	changed := c.objects.applyAll(all)
	c.taken(now, before, changed, push)
}

func (c *Core) taken(now time.Time, before uint64, changed []objectstore.Object, push bool) {
	if push && len(changed) > 0 && c.spread.pushAt.IsZero() {
		c.spread.pushAt = now.Add(c.options.PushDelay)
		c.spread.pushSince = before
	}
	c.changed(changed)
}

// pushDue pushes all that changed since the version before the first gathered
// change, from whichever source: so a receiver that holds that version holds
// the pushed one afterwards.
func (c *Core) pushDue(now time.Time) {
	if !due(c.spread.pushAt, now) {
		return
	}
	c.spread.pushAt = time.Time{}
	changes := Changes{
		Since:            c.spread.pushSince,
		Version:          c.objects.version,
		Objects:          c.objects.since(c.spread.pushSince),
		TombstoneHorizon: c.objects.horizon,
	}
	if c.objects.dropped > changes.Since {
		// Tombstones are gone already: the receivers must see a gap and ask.
		changes.Since = changes.Version
	}
	c.pushToZone(Push{Space: SpaceObjects, Changes: changes})
}

func (c *Core) pushToZone(push Push) {
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
	if gap := c.take(now, message.Push.Changes, false); gap {
		if from, found := c.peerNamed(message.From); found {
			c.sendDigest(from, false)
		}
	}
	c.emit(AnswerPush{Call: message.Call, Version: c.objects.version})
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
func (c *Core) digestDue(now time.Time) {
	if !c.spread.digestAt.IsZero() && now.Before(c.spread.digestAt) {
		return
	}
	c.spread.digestAt = now.Add(c.objectDigestInterval())
	if member, found := c.drawPeer(c.objects.loaded); found {
		c.sendDigest(member, false)
		c.awaitFirst(now, c.objects.loaded, &c.spread.digestAt)
	}
}

// firstDigestPatience is how many retries an unanswered first digest takes the
// place of. Its answer holds everything, and asking on meanwhile would bring
// everything again and again.
const firstDigestPatience = 8

// awaitFirst leaves time for the answer to a first digest.
func (c *Core) awaitFirst(now time.Time, loaded bool, digestAt *time.Time) {
	if !loaded {
		*digestAt = now.Add(c.jitter(firstDigestPatience * c.options.FirstDigestRetry))
	}
}

// retryFirst asks another peer soon, where the first digest brought nothing.
func (c *Core) retryFirst(now time.Time, loaded bool, digestAt *time.Time) {
	if soon := now.Add(c.jitter(c.options.FirstDigestRetry)); !loaded && digestAt.After(soon) {
		*digestAt = soon
	}
}

// objectDigestInterval is short at a reader without the store: its zone may
// hear of changes from other zones alone.
func (c *Core) objectDigestInterval() time.Duration {
	if c.withoutStore() && c.objects.loaded {
		return c.jitter(c.options.DigestInterval / cutOffDigestFactor)
	}
	return c.digestInterval(c.objects.loaded)
}

func (c *Core) digestInterval(loaded bool) time.Duration {
	if !loaded {
		return c.jitter(c.options.FirstDigestRetry)
	}
	return c.jitter(c.options.DigestInterval)
}

// drawPeer draws mostly from the own zone, and from others now and then; a
// reader that is cut off from the store does so every other time, since its
// zone hears of changes through it. A node without anything in force asks its zone's readers every
// other time.
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
	share := foreignDigestShare
	if loaded && c.withoutStore() {
		share = cutOffForeignShare
	}
	from := own
	if len(foreign) > 0 && (len(own) == 0 || c.random.IntN(share) == 0) {
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

func (c *Core) sendDigest(to fleet.Member, wantAll bool) {
	c.emit(SendDigest{To: to, Digest: Digest{
		Space:   SpaceObjects,
		Version: c.objects.version,
		Hash:    c.objects.comparableHash(),
		WantAll: wantAll,
	}})
}

func (c *Core) answerDigest(digest Digest) DigestAnswer {
	held := c.objects
	answer := DigestAnswer{
		Space:   SpaceObjects,
		Changes: Changes{Since: digest.Version, Version: held.version, TombstoneHorizon: held.horizon},
		Hash:    held.comparableHash(),
		Loaded:  held.loaded,
	}
	comparable := digest.Hash != 0 && answer.Hash != 0
	equal := comparable && digest.Hash == answer.Hash
	differs := comparable && !equal && digest.Version == held.version
	switch {
	case !held.loaded:
	case equal && digest.Version < held.horizon:
		answer.InSync = true
	case differs || digest.WantAll || digest.Version < held.horizon:
		answer.Full = true
		answer.Changes.Since = 0
		answer.Changes.Objects = held.allInForce()
	default:
		answer.Changes.Objects = held.since(digest.Version)
	}
	return answer
}

func (c *Core) digestAnswered(now time.Time, message DigestAnswered) {
	if !message.Answer.Loaded {
		c.retryFirst(now, c.objects.loaded, &c.spread.digestAt)
		return
	}
	from, found := c.peerNamed(message.From)
	push := found && c.isForeign(from)
	switch {
	case message.Answer.InSync:
		c.objects.applySame(message.Answer.Changes.Version, message.Answer.Hash)
		c.changed(nil)
	case message.Answer.Full:
		c.takeAll(now, message.Answer.Changes, push)
	default:
		c.take(now, message.Answer.Changes, push)
	}
	c.compareHashes(now, from, found, message.Answer)
}

// isForeign tells members whose news this zone may not have.
func (c *Core) isForeign(member fleet.Member) bool {
	return member.Zone != c.options.Self.Zone
}

// compareHashes merges everything with a peer that holds other objects at the
// same version. That happens only where the store's history was replaced.
func (c *Core) compareHashes(now time.Time, from fleet.Member, found bool, answer DigestAnswer) {
	own := c.objects.comparableHash()
	if own == 0 || answer.Hash == 0 || own == answer.Hash || c.objects.version != answer.Changes.Version {
		return
	}
	if now.Before(c.spread.fullMergeAt) {
		return
	}
	c.spread.fullMergeAt = now.Add(c.options.FullMergeInterval)
	c.emit(PeerDiverged{Peer: from.Name, Version: c.objects.version})
	if found && !answer.Full {
		c.sendDigest(from, true)
	}
}

// digestFailed draws another peer soon while nothing is in force.
func (c *Core) digestFailed(now time.Time, message DigestFailed) {
	if message.Space == SpaceObjects {
		c.retryFirst(now, c.objects.loaded, &c.spread.digestAt)
	} else {
		c.retryFirst(now, c.machines.loaded, &c.machines.digestAt)
	}
}
