package control

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// deciderState is what the node knows of its writes of the record.
type deciderState struct {
	// writing is the ID of the write whose answer is awaited.
	writing uint64
	// reading is the ID of a question put beside a round.
	reading uint64
	sentAt  time.Time
	next    time.Time
	// spreading is the ID of the question whether a majority of the zone holds
	// the generation asked for, spread the generation that one does.
	spreading uint64
	asked     uint64
	spread    uint64
	// vouched is set once this process has learned the record from the store
	// or a majority: from then on it counts in a majority itself.
	vouched bool
	// storeBehind is set while the store holds an older record than this node.
	storeBehind bool
	// storeKnown is set once the store itself has answered.
	storeKnown bool
}

const roleNode = "node"

// writePause goes at least between two writes; up to as much again is drawn, so
// that writers whose writes met do not meet again.
const writePause = 100 * time.Millisecond

// vouchSpread is the time over which the nodes that hear a record read it anew.
const vouchSpread = 200 * time.Millisecond

// spreadRetry is when it is asked again whether a majority holds a generation.
const spreadRetry = 200 * time.Millisecond

// learnRecord asks for the record as it is after this moment.
func (c *Core) learnRecord(id uint64) LearnRecord {
	members := c.peersOfZone(c.options.Zone)
	return LearnRecord{ID: id, Members: members, Majority: c.zoneSize()/2 + 1}
}

// zoneSize counts the nodes of the zone by the machine list and the members,
// whichever shows more: a cut-off part must not take itself for a majority.
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

// adoptRecord takes a record that is newer than the one held.
func (c *Core) adoptRecord(heard VersionedRecord) {
	if heard.Record.Generation == c.record.Record.Generation {
		c.record.StoreVersion = max(c.record.StoreVersion, heard.StoreVersion)
		return
	}
	if heard.Record.Generation < c.record.Record.Generation {
		return
	}
	c.record = heard
	c.vouchSoon()
	c.updateLimits()
	c.stepLeader(leadership.RecordReceived{Record: heard.Record})
}

// vouchSoon lets a node that does not vouch yet learn the record soon after it
// heard of one: engines are admitted, and lowerings confirmed, only once a
// majority vouches.
func (c *Core) vouchSoon() {
	if c.decider.vouched {
		return
	}
	if soon := c.now.Add(time.Duration(c.random.Int64N(int64(vouchSpread)))); soon.Before(c.decider.next) {
		c.decider.next = soon
	}
}

func (c *Core) recordLearned(learned RecordLearned) {
	if learned.ID == c.decider.spreading && learned.ID != 0 {
		c.recordSpread(learned)
		return
	}
	if !learned.Failed {
		c.decider.vouched = c.decider.vouched || learned.Record.Generation > 0
		c.decider.storeKnown = c.decider.storeKnown || learned.FromStore
		c.adoptRecord(learned.VersionedRecord)
		c.noteStore(learned)
	}
	if learned.ID == c.decider.reading {
		c.decider.reading = 0
		return
	}
	c.stepLeader(leadership.RecordLearned{
		ID:        learned.ID,
		Record:    learned.Record,
		Failed:    learned.Failed,
		FromStore: learned.FromStore,
	})
}

// noteStore compares what the store holds with the record held here. A store
// that was set back, or lost the record, is given the newer one again: records
// only grow, and engines refuse fences of the older one.
func (c *Core) noteStore(learned RecordLearned) {
	if !learned.FromStore {
		return
	}
	c.decider.storeBehind = learned.Record.Generation < c.record.Record.Generation
	if c.decider.storeBehind {
		c.record.StoreVersion = learned.StoreVersion
	}
}

// write sends the record where no other write is under way.
func (c *Core) write(record allotment.Record) {
	c.decider.writing = c.leader.NextRequestID()
	c.decider.sentAt = c.now
	c.emit(WriteRecord{ID: c.decider.writing, Record: record, Expected: c.record.StoreVersion})
}

// recordWritten takes the record that stands. Where the answer was lost, the
// record is read back before anything else is written.
func (c *Core) recordWritten(written RecordWritten) {
	if written.ID == c.decider.writing {
		c.decider.writing = 0
	}
	if written.Result == WriteUnanswered {
		c.readBack()
		return
	}
	c.decider.storeBehind = false
	c.decider.next = c.now.Add(writePause + time.Duration(c.random.Int64N(int64(writePause))))
	c.adoptRecord(written.Current)
	c.noteStore(RecordLearned{VersionedRecord: written.Current, FromStore: true})
}

func (c *Core) readBack() {
	c.decider.reading = c.leader.NextRequestID()
	c.decider.sentAt = c.now
	c.emit(c.learnRecord(c.decider.reading))
}

// askSpread asks whether a majority of the zone holds the record: a limit may be
// confirmed as lowered only then, so that a later leader that cannot reach the
// store still learns of it.
func (c *Core) askSpread() {
	if c.decider.spreading != 0 && c.now.Sub(c.decider.sentAt) < answerPatience {
		return
	}
	c.decider.spreading = c.leader.NextRequestID()
	c.decider.asked = c.record.Record.Generation
	c.decider.sentAt = c.now
	question := c.learnRecord(c.decider.spreading)
	question.MembersOnly, question.MinGeneration = true, c.decider.asked
	c.emit(question)
}

func (c *Core) recordSpread(learned RecordLearned) {
	c.decider.spreading = 0
	c.decider.next = c.now.Add(spreadRetry)
	if !learned.Failed {
		c.decider.spread = max(c.decider.spread, c.decider.asked)
		c.decider.next = c.now
	}
}

// AuthoritativeRecord is the record, or false where this process has it from hearsay only
// and so must not count in a majority.
func (c *Core) AuthoritativeRecord() (VersionedRecord, bool) {
	return c.record, c.decider.vouched
}
