package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/placement"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

func (c *cluster) perform(name fleet.NodeName, boot uint64, effect Effect) {
	reply := func(message Message) {
		c.after(c.latency(), func() { c.step(name, boot, message) })
	}
	switch effect := effect.(type) {
	case ReadEngine:
		answer := leadership.StateRead{ID: effect.ID, Engine: effect.Engine, Failed: true}
		c.call(name, effect.Engine, 0, engine.ReadState{}, func(got engine.Effect) {
			if read, found := got.(engine.StateRead); found {
				answer.State, answer.Failed = read.State, false
			}
			reply(StateRead{answer})
		})
	case SendClaim:
		answer := leadership.ClaimAnswered{ID: effect.ID, Engine: effect.Engine}
		claim := backend.Claim{Fence: effect.Fence, Incarnation: effect.Incarnation, Holder: name}
		c.call(name, effect.Engine, c.claimDelayOf(name, effect.Engine), engine.TakeClaim{Claim: claim}, func(got engine.Effect) {
			switch got := got.(type) {
			case engine.StateRead:
				answer.Result, answer.State = leadership.ClaimGranted, got.State
			case engine.FenceRefused:
				answer.Result, answer.Fence = leadership.ClaimRefused, got.Refusal.Fence
			}
			reply(ClaimAnswered{answer})
		})
	case SendOrder:
		answer := OrderAnswered{Engine: effect.Engine, OrderID: effect.Order.ID}
		c.call(name, effect.Engine, 0, engine.TakeOrder{Order: effect.Order}, func(got engine.Effect) {
			switch got := got.(type) {
			case engine.StateRead:
				answer.Result = placement.OrderAccepted
				if effect.Order.Action == backend.ActionLoad {
					c.loads++
					c.noteOrdered(effect.Order.Model)
				}
			case engine.FenceRefused:
				answer.FenceStale, answer.Fence = true, got.Refusal.Fence
			case engine.OrderRefused:
				answer.Result, answer.Reason = placement.OrderRefused, got.Reason
			}
			reply(answer)
		})
	case LearnRecord:
		c.learn(name, effect, reply)
	case WriteRecord:
		c.write(effect, reply)
	case PublishTable:
		for _, member := range effect.To {
			c.sendLossy(member.Name, TableReceived{From: name, Update: effect.Update})
		}
	case PullTables:
		source := c.nodes[effect.From.Name]
		if !source.down && c.now.After(source.pausedUntil) {
			tables := source.core.TablesNewerThan(effect.Held)
			reply(TablesPulled{From: effect.From.Name, Tables: slices.Collect(maps.Values(tables))})
		}
	case ForwardWants:
		c.sendLossy(effect.To.Name, WantsReported{From: name, Wants: effect.Wants, Forwarded: effect.Forwarded})
	case BroadcastLeaving:
		for _, member := range effect.To {
			c.sendLossy(member.Name, LeavingNoticeReceived{From: name, Backends: effect.Backends})
		}
	case HandOver:
		c.sendLossy(effect.To.Name, HandOverRequested{From: name, Fence: effect.Fence})
	case TablesChanged:
		c.nodes[name].tables = effect.Tables
		c.noteReady(name)
	case RefuseWants:
		c.refusals++
		c.nodes[name].refused = append(c.nodes[name].refused, effect.Refusals...)
	case LeadershipChanged:
	}
}

func (c *cluster) sendLossy(name fleet.NodeName, message Message) {
	if c.random.Float64() >= c.lossRate {
		c.send(name, message)
	}
}

// call sends one call to an engine. A lost call may still arrive, even much
// later.
func (c *cluster) call(from fleet.NodeName, name fleet.BackendName, extraDelay time.Duration, message engine.Message, answered func(engine.Effect)) {
	if c.nodes[from].reachesNoEngine {
		c.after(900*time.Millisecond, func() { answered(nil) })
		return
	}
	lost := c.random.Float64() < c.lossRate
	if lost {
		c.after(900*time.Millisecond, func() { answered(nil) })
		if c.random.IntN(2) == 0 {
			return
		}
	}
	delay := c.latency() + extraDelay
	if lost && c.random.IntN(2) == 0 {
		delay += time.Duration(c.random.IntN(5000)) * time.Millisecond
	}
	c.after(delay, func() {
		got := c.stepEngine(name, message)
		if !lost {
			answered(got)
		}
	})
}

func (c *cluster) claimDelayOf(from fleet.NodeName, target fleet.BackendName) time.Duration {
	if c.claimDelay == nil {
		return 0
	}
	return c.claimDelay(from, target)
}

// stepEngine passes a message to an engine and returns its answer, nil if the
// engine is down.
func (c *cluster) stepEngine(name fleet.BackendName, message engine.Message) engine.Effect {
	target := c.engines[name]
	if target.down {
		return nil
	}
	c.needsCheck = true
	var answer engine.Effect
	for _, effect := range target.core.Step(c.now, message) {
		switch effect := effect.(type) {
		case engine.FetchWeights:
			c.readWeights(fmt.Sprintf("%s-%v-%d", name, effect.Load, c.now.UnixNano()), effect.FullSpeed, func() {
				c.stepEngine(name, engine.WeightsDone{Load: effect.Load})
			})
		case engine.StateRead, engine.FenceRefused, engine.OrderRefused:
			answer = effect
		}
	}
	if wake := target.core.NextWake(); !wake.IsZero() {
		c.after(max(0, wake.Sub(c.now)), func() { c.stepEngine(name, engine.Tick{}) })
	}
	return answer
}

func recordKey() objectstore.Key {
	return objectstore.Key{Kind: objectstore.KindAllotments, Name: allotment.ObjectName}
}

// stored returns the record in the store.
func (c *cluster) stored() VersionedRecord {
	object, found := c.store.Get(recordKey())
	if !found {
		return VersionedRecord{}
	}
	return decodeObject(object)
}

func decodeObject(object objectstore.Object) VersionedRecord {
	var record allotment.Record
	if err := json.Unmarshal(object.Spec, &record); err != nil {
		panic(err)
	}
	return VersionedRecord{Record: record, StoreVersion: object.Version}
}

func (c *cluster) learn(name fleet.NodeName, effect LearnRecord, reply func(Message)) {
	lost := c.random.Float64() < c.lossRate
	c.after(c.latency(), func() {
		if !c.storeDown && !lost && !effect.MembersOnly {
			reply(RecordLearned{ID: effect.ID, VersionedRecord: c.stored(), FromStore: true})
			return
		}
		answer := RecordLearned{ID: effect.ID, Failed: true}
		answered := 0
		for _, member := range append([]fleet.Member{{Name: name}}, effect.Members...) {
			node := c.nodes[member.Name]
			held, authoritative := node.core.AuthoritativeRecord()
			if node.down || !authoritative || c.now.Before(node.pausedUntil) || held.Record.Generation < effect.MinGeneration {
				continue
			}
			answered++
			if held.Record.Generation > answer.Record.Generation {
				answer.VersionedRecord = held
			}
		}
		answer.Failed = answered < effect.Majority
		reply(answer)
	})
}

func (c *cluster) write(effect WriteRecord, reply func(Message)) {
	lost := c.random.Float64() < c.lossRate
	c.after(c.latency(), func() {
		if c.storeDown {
			reply(RecordWritten{ID: effect.ID})
			return
		}
		body, err := json.Marshal(effect.Record)
		if err != nil {
			panic(err)
		}
		object := objectstore.Object{Kind: objectstore.KindAllotments, Name: allotment.ObjectName, Spec: body}
		c.needsCheck = true
		before := c.stored().Record
		written, conflict := c.store.Write(objectstore.WriteRequest{Object: object, ExpectedVersion: effect.Expected})
		answer := RecordWritten{ID: effect.ID, Result: WriteDone}
		if conflict != nil {
			written, answer.Result = conflict.Current, WriteConflict
		} else {
			c.checkWrittenRecord(before, c.stored().Record)
			c.distributeRecord()
		}
		if lost {
			reply(RecordWritten{ID: effect.ID})
			return
		}
		answer.Current = decodeObject(written)
		reply(answer)
	})
}

// distributeRecord sends the stored record to all nodes as the configuration
// distribution does: with a delay and with losses.
func (c *cluster) distributeRecord() {
	stored := c.stored()
	for _, name := range c.nodeNames() {
		if !c.nodes[name].missesRecords {
			c.sendLossy(name, AllotmentsChanged{stored})
		}
	}
}
