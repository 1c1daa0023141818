package world

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
)

const peerCallTimeout = time.Second

var recordKey = objectstore.Key{Kind: objectstore.KindAllotments, Name: allotment.ObjectName}

func decodeRecord(object objectstore.Object) (control.VersionedRecord, bool) {
	var record allotment.Record
	if object.Deleted || json.Unmarshal(object.Spec, &record) != nil {
		return control.VersionedRecord{}, false
	}
	return control.VersionedRecord{Record: record, StoreVersion: object.Version}, true
}

// learnRecord reads the record from the store, and from the members if the store
// does not answer.
func (p *controlPart) learnRecord(effect control.LearnRecord) {
	p.node.world.store.get(p.node.process, recordKey, func(answer storeAnswer, outcome sim.CallOutcome) {
		if outcome != sim.Answered {
			p.askMajority(effect)
			return
		}
		record, _ := decodeRecord(answer.object)
		p.step(control.RecordLearned{ID: effect.ID, VersionedRecord: record, FromStore: true})
	})
}

// askMajority asks the zone's members, this node included, for the record. It
// takes the newest one and fails unless a majority has a confirmed record.
func (p *controlPart) askMajority(effect control.LearnRecord) {
	awaited := len(effect.Members) + 1
	confirmations := 0
	var newest control.VersionedRecord
	collect := func(answer control.VersionedRecord) {
		awaited--
		if answer.Record.Generation > 0 {
			confirmations++
		}
		if answer.Record.Generation > newest.Record.Generation {
			newest = answer
		}
		if awaited == 0 {
			p.step(control.RecordLearned{ID: effect.ID, VersionedRecord: newest, Failed: confirmations < effect.Majority})
		}
	}
	for _, member := range effect.Members {
		p.askRecord(member, collect)
	}
	p.node.post(func() { collect(p.confirmedRecord()) })
}

func (p *controlPart) askRecord(member fleet.Member, collect func(control.VersionedRecord)) {
	p.callPeer(member, "control/allotments", func(peer *controlPart, reply func(any)) {
		reply(peer.confirmedRecord())
	}, func(answer any, outcome sim.CallOutcome) {
		record, _ := answer.(control.VersionedRecord)
		collect(record)
	})
}

// confirmedRecord returns the record, or none if this boot has neither read it
// from the store nor learned it from a majority.
func (p *controlPart) confirmedRecord() control.VersionedRecord {
	if !p.confirmed {
		return control.VersionedRecord{}
	}
	return p.core.Record()
}

// writeRecord writes the record by compare-and-set. A conflict with the write's
// own change ID means that the write has succeeded.
func (p *controlPart) writeRecord(effect control.WriteRecord) {
	body, err := json.Marshal(effect.Record)
	if err != nil {
		panic(fmt.Sprintf("world: encoding the allotment record: %v", err))
	}
	request := objectstore.WriteRequest{ExpectedVersion: effect.Expected, Object: objectstore.Object{
		Kind: recordKey.Kind, Name: recordKey.Name, Spec: body, ChangedBy: string(p.node.name),
		ChangeID: fmt.Sprintf("%s-%d-%d", p.node.name, p.node.process.Boot(), effect.ID),
	}}
	p.node.world.store.write(p.node.process, request, func(answer storeAnswer, outcome sim.CallOutcome) {
		p.step(recordWritten(effect.ID, request, answer, outcome))
	})
}

func recordWritten(id uint64, request objectstore.WriteRequest, answer storeAnswer, outcome sim.CallOutcome) control.RecordWritten {
	written := control.RecordWritten{ID: id}
	if outcome != sim.Answered {
		return written
	}
	current := answer.object
	written.Result = control.WriteDone
	if answer.conflict != nil {
		current = answer.conflict.Current
	}
	if answer.conflict != nil && current.ChangeID != request.Object.ChangeID {
		written.Result = control.WriteConflict
	}
	record, decoded := decodeRecord(current)
	if !decoded {
		return control.RecordWritten{ID: id}
	}
	written.Current = record
	return written
}
