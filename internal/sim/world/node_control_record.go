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

// learnRecord asks the store, then the members.
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

// askMajority takes the newest record that a majority of the zone's members
// vouches for, this node included.
func (p *controlPart) askMajority(effect control.LearnRecord) {
	awaited := len(effect.Members) + 1
	vouched := 0
	var newest control.VersionedRecord
	take := func(answer control.VersionedRecord) {
		awaited--
		if answer.Record.Generation > 0 {
			vouched++
		}
		if answer.Record.Generation > newest.Record.Generation {
			newest = answer
		}
		if awaited == 0 {
			p.step(control.RecordLearned{ID: effect.ID, VersionedRecord: newest, Failed: vouched < effect.Majority})
		}
	}
	for _, member := range effect.Members {
		p.askRecord(member, take)
	}
	p.node.post(func() { take(p.vouchedRecord()) })
}

func (p *controlPart) askRecord(member fleet.Member, take func(control.VersionedRecord)) {
	p.callPeer(member, "control/allotments", func(peer *controlPart, reply func(any)) {
		reply(peer.vouchedRecord())
	}, func(answer any, outcome sim.CallOutcome) {
		record, _ := answer.(control.VersionedRecord)
		take(record)
	})
}

// vouchedRecord is the record, or none where this boot has it from hearsay
// only.
func (p *controlPart) vouchedRecord() control.VersionedRecord {
	if !p.vouched {
		return control.VersionedRecord{}
	}
	return p.core.Record()
}

// writeRecord writes by compare-and-set. A conflict that names the write's own
// change id is its success.
func (p *controlPart) writeRecord(effect control.WriteRecord) {
	body, err := json.Marshal(effect.Record)
	if err != nil {
		panic(fmt.Sprintf("world: record: %v", err))
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
	standing := answer.object
	written.Result = control.WriteDone
	if answer.conflict != nil {
		standing = answer.conflict.Current
	}
	if answer.conflict != nil && standing.ChangeID != request.Object.ChangeID {
		written.Result = control.WriteConflict
	}
	record, decoded := decodeRecord(standing)
	if !decoded {
		return control.RecordWritten{ID: id}
	}
	written.Current = record
	return written
}
