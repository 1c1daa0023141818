package control

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/placement"
)

const roleEngine = "engine"

// stepLeader feeds the leadership core and carries its effects on.
func (c *Core) stepLeader(message leadership.Message) {
	for _, effect := range c.leader.Step(c.now, message) {
		switch effect := effect.(type) {
		case leadership.ReadEngine:
			c.engineAsked(effect.Engine)
			c.emit(ReadEngine{effect})
		case leadership.SendClaim:
			c.engineAsked(effect.Engine)
			c.emit(SendClaim{effect})
		case leadership.LearnRecord:
			c.emit(c.learnRecord(effect.ID))
		case leadership.RoundEstablished:
			c.established(effect)
		case leadership.RoundEnded:
			c.ended(effect)
		}
	}
}

func (c *Core) established(round leadership.RoundEstablished) {
	c.adoptRecord(VersionedRecord{Record: round.Record})
	c.beginTable(round)
	c.polls.clear()
	c.standing.excluded = ""
	c.emit(LeadershipChanged{Leading: true, Fence: round.Fence})
	c.reportAgain(c.options.Self)
	c.stepPlacement(placement.RoundBegan{Fence: round.Fence, Held: round.Held, AssumedFull: round.AssumedFull})
	for _, name := range slices.Sorted(maps.Keys(round.Held)) {
		c.noticeLeaving(round.Held[name])
	}
}

func (c *Core) ended(ended leadership.RoundEnded) {
	c.emit(LeadershipChanged{Fence: c.leader.Fence(), Reason: ended.Reason})
	if !c.options.Defects.NoFence {
		c.stepPlacement(placement.RoundEnded{})
	}
}

// stepPlacement feeds the placement core and carries its effects on.
func (c *Core) stepPlacement(message placement.Message) {
	c.placed = true
	for _, effect := range c.placement.Step(c.now, message) {
		switch effect := effect.(type) {
		case placement.SendOrder:
			c.sendOrder(effect)
		case placement.Refuse:
			c.refused(effect)
		case placement.LoadFinished:
			c.emit(LoadFinished{effect})
		case placement.RequestNewRound:
			c.stepLeader(leadership.RestartRound{})
		}
	}
}

func (c *Core) sendOrder(sent placement.SendOrder) {
	c.polls.ordered(c.now, sent.Engine, c.leader.NextRequestID())
	order := sent.Order
	if c.options.Defects.NoFence {
		shown := c.polls.shown[sent.Engine]
		order.Fence, order.Incarnation = shown.Fence, shown.Incarnation
	}
	c.emit(SendOrder{Engine: sent.Engine, Address: c.engineAddress(sent.Engine), Order: order})
}

func (c *Core) orderAnswered(answer OrderAnswered) {
	if answer.FenceStale {
		c.stepPlacement(placement.OrderAnswered{ID: answer.OrderID, Result: placement.OrderRefused})
		if c.leader.Leading() && c.polls.sentInRound(answer.OrderID, c.leader.Fence()) {
			c.stepLeader(leadership.OrderRefused{Engine: answer.Engine, Fence: answer.Fence})
		}
		return
	}
	c.stepPlacement(placement.OrderAnswered{
		ID:            answer.OrderID,
		Result:        answer.Result,
		Reason:        answer.Reason,
		QuerySequence: c.leader.LastRequestID(),
	})
}

// stateRead takes an engine's state, whoever asked for it.
func (c *Core) stateRead(read leadership.StateRead) {
	if isSilent, news := c.polls.answered(read); news {
		c.stepPlacement(placement.EngineUnresponsive{Engine: read.Engine, Unresponsive: isSilent})
	}
	if !read.Failed {
		c.engineAnswered(read.Engine)
	}
	c.stepLeader(read)
	if read.Failed {
		return
	}
	if c.options.Defects.NoFence {
		c.polls.shown[read.Engine] = read.State
		read.State.Fence = c.leader.Fence()
	} else if !c.leader.Leading() {
		return
	}
	if !c.polls.beforeOrder(read) {
		c.stepPlacement(placement.EngineStateReceived{QuerySequence: read.ID, State: read.State})
	}
	c.noticeLeaving(read.State)
	c.showEngine(read.State)
}

// updateLimits hands the zone's part of the record to placement.
func (c *Core) updateLimits() {
	changed := placement.LimitsChanged{
		Limits:   make(map[fleet.ModelVersion]int),
		Standing: make(map[fleet.ModelVersion]int),
	}
	for model, decision := range c.record.Record.Models {
		changed.Limits[model] = decision.Zones[c.options.Zone].Limit
	}
	for _, facts := range c.models {
		keep := max(facts.MinReplicas, facts.StandingReplicas)
		changed.Standing[facts.Model] = allotment.StandingShare(c.record.Record, facts.Model, c.options.Zone, keep)
	}
	zones := slices.Sorted(maps.Keys(c.record.Record.Zones))
	changed.Zones = len(zones)
	changed.ZoneIndex = max(0, slices.Index(zones, c.options.Zone))
	c.stepPlacement(changed)
}
