package configsync

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// objectSync schedules the pushes and digests of objects.
type objectSync struct {
	// pushAt is when the collected changes are pushed; zero if there are none.
	pushAt time.Time
	// pushSince is the version that the collected changes are based on.
	pushSince uint64
	// digestAt is when the next digest goes to a random peer.
	digestAt time.Time
	// nextFullMergeAt is the earliest time for the next merge of all objects.
	nextFullMergeAt time.Time
}

// applyChanges applies changes and, if push is set, passes them on to the zone. It reports whether
// a gap remains.
func (c *Core) applyChanges(now time.Time, changes Changes, push bool) bool {
	previousVersion := c.objects.contentVersion
	changed, gap := c.objects.apply(changes)
	c.objectsApplied(now, previousVersion, changed, push)
	return gap
}

func (c *Core) applyFullChanges(now time.Time, full Changes, push bool) {
	previousVersion := c.objects.contentVersion
	// A node that had no objects pushes nothing: the others send it digests when they need to.
	push = push && c.objects.loaded
	changed := c.objects.applyFull(full)
	c.objectsApplied(now, previousVersion, changed, push)
}

func (c *Core) objectsApplied(now time.Time, previousVersion uint64, changed []objectstore.Object, push bool) {
	if push && len(changed) > 0 && c.objectSync.pushAt.IsZero() {
		c.objectSync.pushAt = now.Add(c.options.PushDelay)
		c.objectSync.pushSince = previousVersion
	}
	c.reportChanges(changed)
}

// pushObjectsIfDue pushes everything that changed since the version before the first collected
// change, whatever its source, so that a receiver holding that version holds the pushed one
// afterwards.
func (c *Core) pushObjectsIfDue(now time.Time) {
	if !isDue(c.objectSync.pushAt, now) {
		return
	}
	c.objectSync.pushAt = time.Time{}
	changes := Changes{
		Since:            c.objectSync.pushSince,
		Version:          c.objects.version,
		Objects:          c.objects.changedSince(c.objectSync.pushSince),
		TombstoneHorizon: c.objects.tombstoneHorizon,
	}
	if c.objects.droppedVersion > changes.Since {
		// Tombstones were dropped already: the receivers must detect a gap and send a digest.
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
	if gap := c.applyChanges(now, message.Push.Changes, false); gap {
		if from, found := c.peerByName(message.From); found {
			c.sendDigest(from, false)
		}
	}
	c.emit(AnswerPush{Call: message.Call, Version: c.objects.version})
}

func (c *Core) peerByName(name fleet.NodeName) (fleet.Member, bool) {
	for _, member := range c.members {
		if member.Name == name && c.isPeer(member) {
			return member, true
		}
	}
	return fleet.Member{}, false
}

// sendObjectDigestIfDue sends a digest to a random peer.
func (c *Core) sendObjectDigestIfDue(now time.Time) {
	if !c.objectSync.digestAt.IsZero() && now.Before(c.objectSync.digestAt) {
		return
	}
	c.objectSync.digestAt = now.Add(c.objectDigestInterval())
	if member, found := c.randomPeer(c.objects.loaded); found {
		c.sendDigest(member, false)
		c.awaitFirstAnswer(now, c.objects.loaded, &c.objectSync.digestAt)
	}
}

// firstDigestTimeoutFactor is how many retry intervals to wait for the answer to a first digest.
// The answer contains everything, and further digests in the meantime would fetch everything again.
const firstDigestTimeoutFactor = 8

// awaitFirstAnswer postpones the next digest until the first one can be answered.
func (c *Core) awaitFirstAnswer(now time.Time, loaded bool, digestAt *time.Time) {
	if !loaded {
		*digestAt = now.Add(c.jitter(firstDigestTimeoutFactor * c.options.FirstDigestRetry))
	}
}

// retryFirstDigest sends a digest to another peer soon if the first one yielded nothing.
func (c *Core) retryFirstDigest(now time.Time, loaded bool, digestAt *time.Time) {
	if retryAt := now.Add(c.jitter(c.options.FirstDigestRetry)); !loaded && digestAt.After(retryAt) {
		*digestAt = retryAt
	}
}

// objectDigestInterval is short on a reader without the store: its zone may learn of changes only
// from other zones.
func (c *Core) objectDigestInterval() time.Duration {
	if c.isCutOffFromStore() && c.objects.loaded {
		return c.jitter(c.options.DigestInterval / cutOffDigestSpeedup)
	}
	return c.digestInterval(c.objects.loaded)
}

func (c *Core) digestInterval(loaded bool) time.Duration {
	if !loaded {
		return c.jitter(c.options.FirstDigestRetry)
	}
	return c.jitter(c.options.DigestInterval)
}

// randomPeer picks mostly from the node's own zone and sometimes from others. A reader that is cut
// off from the store picks from others every second time, since its zone learns of changes through
// it. A node without a version in force picks one of its zone's readers every second time.
func (c *Core) randomPeer(loaded bool) (fleet.Member, bool) {
	if !loaded && c.random.IntN(2) == 0 {
		if member, found := c.randomReader(); found {
			return member, true
		}
	}
	var sameZone, otherZones []fleet.Member
	for _, member := range c.members {
		switch {
		case !c.isPeer(member):
		case member.Zone == c.options.Self.Zone:
			sameZone = append(sameZone, member)
		default:
			otherZones = append(otherZones, member)
		}
	}
	digestsPerCrossZone := digestsPerCrossZoneDigest
	if loaded && c.isCutOffFromStore() {
		digestsPerCrossZone = cutOffDigestsPerCrossZoneDigest
	}
	pool := sameZone
	if len(otherZones) > 0 && (len(sameZone) == 0 || c.random.IntN(digestsPerCrossZone) == 0) {
		pool = otherZones
	}
	if len(pool) == 0 {
		return fleet.Member{}, false
	}
	return pool[c.random.IntN(len(pool))], true
}

func (c *Core) randomReader() (fleet.Member, bool) {
	readers := Readers(c.options.Self.Zone, c.members)
	if len(readers) == 0 {
		return fleet.Member{}, false
	}
	return c.peerByName(readers[c.random.IntN(len(readers))])
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
		Changes: Changes{Since: digest.Version, Version: held.version, TombstoneHorizon: held.tombstoneHorizon},
		Hash:    held.comparableHash(),
		Loaded:  held.loaded,
	}
	hashesComparable := digest.Hash != 0 && answer.Hash != 0
	hashesEqual := hashesComparable && digest.Hash == answer.Hash
	diverged := hashesComparable && !hashesEqual && digest.Version == held.version
	switch {
	case !held.loaded:
	case hashesEqual && digest.Version < held.tombstoneHorizon:
		answer.InSync = true
	case diverged || digest.WantAll || digest.Version < held.tombstoneHorizon:
		answer.Full = true
		answer.Changes.Since = 0
		answer.Changes.Objects = held.liveObjectsInForce()
	default:
		answer.Changes.Objects = held.changedSince(digest.Version)
	}
	return answer
}

func (c *Core) digestAnswered(now time.Time, message DigestAnswered) {
	if !message.Answer.Loaded {
		c.retryFirstDigest(now, c.objects.loaded, &c.objectSync.digestAt)
		return
	}
	from, found := c.peerByName(message.From)
	push := found && c.isInOtherZone(from)
	switch {
	case message.Answer.InSync:
		c.objects.applyInSync(message.Answer.Changes.Version, message.Answer.Hash)
		c.reportChanges(nil)
	case message.Answer.Full:
		c.applyFullChanges(now, message.Answer.Changes, push)
	default:
		c.applyChanges(now, message.Answer.Changes, push)
	}
	c.compareHashes(now, from, found, message.Answer)
}

// isInOtherZone reports whether the member is of another zone, whose changes this zone may lack.
func (c *Core) isInOtherZone(member fleet.Member) bool {
	return member.Zone != c.options.Self.Zone
}

// compareHashes merges everything with a peer that holds different objects at the same version.
// This happens only if the store's history was replaced.
func (c *Core) compareHashes(now time.Time, from fleet.Member, found bool, answer DigestAnswer) {
	ownHash := c.objects.comparableHash()
	if ownHash == 0 || answer.Hash == 0 || ownHash == answer.Hash || c.objects.version != answer.Changes.Version {
		return
	}
	if now.Before(c.objectSync.nextFullMergeAt) {
		return
	}
	c.objectSync.nextFullMergeAt = now.Add(c.options.FullMergeInterval)
	c.emit(PeerDiverged{Peer: from.Name, Version: c.objects.version})
	if found && !answer.Full {
		c.sendDigest(from, true)
	}
}

// digestFailed sends a digest to another peer soon if no version is in force.
func (c *Core) digestFailed(now time.Time, message DigestFailed) {
	if message.Space == SpaceObjects {
		c.retryFirstDigest(now, c.objects.loaded, &c.objectSync.digestAt)
	} else {
		c.retryFirstDigest(now, c.machines.loaded, &c.machines.digestAt)
	}
}
