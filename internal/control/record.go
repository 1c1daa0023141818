package control

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// recordSyncState tracks this node's reads and writes of the allotment record.
type recordSyncState struct {
	// pendingWriteID is the ID of the write whose answer is awaited.
	pendingWriteID uint64
	// pendingReadID is the ID of a read made outside of a round.
	pendingReadID uint64
	sentAt        time.Time
	nextAttempt   time.Time
	// replicationCheckID is the ID of the check whether a majority of the zone
	// holds checkedGeneration; replicatedGeneration is the newest generation
	// known to be held by a majority.
	replicationCheckID   uint64
	checkedGeneration    uint64
	replicatedGeneration uint64
	// authoritative is set once this process has read the record from the store
	// or from a majority. Only then does its own copy count towards a majority.
	authoritative bool
	// storeOutdated is set while the store holds an older record than this node.
	storeOutdated bool
	// storeAnswered is set once the store itself has answered.
	storeAnswered bool
}

const roleNode = "node"

// minWriteInterval is the minimum time between two writes. A random delay of up
// to the same length is added so that writers whose writes conflicted do not
// conflict again.
const minWriteInterval = 100 * time.Millisecond

// authorityReadJitter is the time over which the reads of nodes that receive a
// record are spread.
const authorityReadJitter = 200 * time.Millisecond

// replicationRetryInterval is the time until a failed replication check is
// repeated.
const replicationRetryInterval = 200 * time.Millisecond

// newLearnRecord returns the effect that reads the current record.
func (c *Core) newLearnRecord(id uint64) LearnRecord {
	members := c.peersInZone(c.options.Zone)
	return LearnRecord{ID: id, Members: members, Majority: c.zoneSize()/2 + 1}
}

// zoneSize returns the number of nodes of the zone by the machine list and the
// members together: the nodes on the smaller side of a network partition must
// not take themselves for a majority.
func (c *Core) zoneSize() int {
	names := map[fleet.NodeName]bool{c.options.Self: true}
	for _, machine := range c.machines.Machines {
		if machine.Role == roleNode && machine.Zone == c.options.Zone && machine.State != objectstore.MachineGone {
			names[fleet.NodeName(machine.Name)] = true
		}
	}
	for _, member := range c.members {
		if member.Zone == c.options.Zone && member.State != fleet.MemberLeft && member.State != fleet.MemberDead {
			names[member.Name] = true
		}
	}
	return len(names)
}

// adoptRecord replaces the held record by a newer one.
func (c *Core) adoptRecord(received VersionedRecord) {
	if received.Record.Generation == c.record.Record.Generation {
		c.record.StoreVersion = max(c.record.StoreVersion, received.StoreVersion)
		return
	}
	if received.Record.Generation < c.record.Record.Generation {
		return
	}
	before := c.record.Record.Zones[c.options.Zone]
	c.record = received
	c.noteReadmitted(before, received.Record.Zones[c.options.Zone])
	c.scheduleAuthorityRead()
	c.updateLimits()
	c.stepLeader(leadership.RecordReceived{Record: received.Record})
}

// scheduleAuthorityRead makes a node whose record is not yet authoritative read
// it soon after it received one: engines are admitted and lowered limits
// confirmed only once a majority of the zone holds the record authoritatively.
func (c *Core) scheduleAuthorityRead() {
	if c.recordSync.authoritative {
		return
	}
	if attempt := c.now.Add(time.Duration(c.random.Int64N(int64(authorityReadJitter)))); attempt.Before(c.recordSync.nextAttempt) {
		c.recordSync.nextAttempt = attempt
	}
}

func (c *Core) recordLearned(learned RecordLearned) {
	if learned.ID == c.recordSync.replicationCheckID && learned.ID != 0 {
		c.replicationChecked(learned)
		return
	}
	if !learned.Failed {
		c.recordSync.authoritative = c.recordSync.authoritative || learned.Record.Generation > 0
		c.recordSync.storeAnswered = c.recordSync.storeAnswered || learned.FromStore
		c.adoptRecord(learned.VersionedRecord)
		c.compareWithStore(learned)
	}
	if learned.ID == c.recordSync.pendingReadID {
		c.recordSync.pendingReadID = 0
		return
	}
	c.stepLeader(leadership.RecordLearned{
		ID:        learned.ID,
		Record:    learned.Record,
		Failed:    learned.Failed,
		FromStore: learned.FromStore,
	})
}

// compareWithStore compares the store's record with the one held here. A store
// that was rolled back or lost the record gets the newer one written again:
// generations only grow, and engines refuse the fences of an older generation.
func (c *Core) compareWithStore(learned RecordLearned) {
	if !learned.FromStore {
		return
	}
	c.recordSync.storeOutdated = learned.Record.Generation < c.record.Record.Generation
	if c.recordSync.storeOutdated {
		c.record.StoreVersion = learned.StoreVersion
	}
}

// writeRecord starts a write of the record; no other write may be in progress.
func (c *Core) writeRecord(record allotment.Record) {
	c.recordSync.pendingWriteID = c.leader.NextRequestID()
	c.recordSync.sentAt = c.now
	c.emit(WriteRecord{ID: c.recordSync.pendingWriteID, Record: record, Expected: c.record.StoreVersion})
}

// recordWritten handles the outcome of a write. If the answer was lost, the
// record is read again before anything else is written.
func (c *Core) recordWritten(written RecordWritten) {
	if written.ID == c.recordSync.pendingWriteID {
		c.recordSync.pendingWriteID = 0
	}
	if written.Result == WriteUnanswered {
		c.readRecord()
		return
	}
	c.recordSync.storeOutdated = false
	c.recordSync.nextAttempt = c.now.Add(minWriteInterval + time.Duration(c.random.Int64N(int64(minWriteInterval))))
	c.adoptRecord(written.Current)
	c.compareWithStore(RecordLearned{VersionedRecord: written.Current, FromStore: true})
}

func (c *Core) readRecord() {
	c.recordSync.pendingReadID = c.leader.NextRequestID()
	c.recordSync.sentAt = c.now
	c.emit(c.newLearnRecord(c.recordSync.pendingReadID))
}

// checkReplication asks whether a majority of the zone holds the record. A
// lowered limit may be confirmed only then, so that a later leader that cannot
// reach the store still learns of it.
func (c *Core) checkReplication() {
	if c.recordSync.replicationCheckID != 0 && c.now.Sub(c.recordSync.sentAt) < recordAnswerTimeout {
		return
	}
	c.recordSync.replicationCheckID = c.leader.NextRequestID()
	c.recordSync.checkedGeneration = c.record.Record.Generation
	c.recordSync.sentAt = c.now
	request := c.newLearnRecord(c.recordSync.replicationCheckID)
	request.MembersOnly, request.MinGeneration = true, c.recordSync.checkedGeneration
	c.emit(request)
}

func (c *Core) replicationChecked(learned RecordLearned) {
	c.recordSync.replicationCheckID = 0
	c.recordSync.nextAttempt = c.now.Add(replicationRetryInterval)
	if !learned.Failed {
		c.recordSync.replicatedGeneration = max(c.recordSync.replicatedGeneration, c.recordSync.checkedGeneration)
		c.recordSync.nextAttempt = c.now
	}
}

// AuthoritativeRecord returns the record, and false if this process did not
// read it from the store or a majority, so that it must not count towards a
// majority.
func (c *Core) AuthoritativeRecord() (VersionedRecord, bool) {
	return c.record, c.recordSync.authoritative
}
