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

// stepLeader passes a message to the leadership core and handles its effects.
func (c *Core) stepLeader(message leadership.Message) {
	for _, effect := range c.leader.Step(c.now, message) {
		switch effect := effect.(type) {
		case leadership.ReadEngine:
			c.noteEngineRequest(effect.Engine)
			c.emit(ReadEngine{effect})
		case leadership.SendClaim:
			c.noteEngineRequest(effect.Engine)
			c.emit(SendClaim{effect})
		case leadership.LearnRecord:
			c.emit(c.newLearnRecord(effect.ID))
		case leadership.RoundEstablished:
			c.roundEstablished(effect)
		case leadership.RoundEnded:
			c.roundEnded(effect)
		}
	}
}

func (c *Core) roundEstablished(round leadership.RoundEstablished) {
	c.adoptRecord(VersionedRecord{Record: round.Record})
	c.beginTable(round)
	c.polls.begin(c.now)
	c.emit(LeadershipChanged{Leading: true, Fence: round.Fence})
	c.resendReport(c.options.Self)
	c.stepPlacement(placement.RoundBegan{Fence: round.Fence, Held: round.Held, AssumedFull: round.AssumedFull})
	for _, name := range slices.Sorted(maps.Keys(round.Held)) {
		c.announceIfLeaving(round.Held[name])
	}
}

func (c *Core) roundEnded(roundEnded leadership.RoundEnded) {
	c.emit(LeadershipChanged{Fence: c.leader.Fence(), Reason: roundEnded.Reason})
	if !c.options.Defects.NoFence {
		c.stepPlacement(placement.RoundEnded{})
	}
}

// stepPlacement passes a message to the placement core and handles its effects.
func (c *Core) stepPlacement(message placement.Message) {
	c.placementStepped = true
	for _, effect := range c.placement.Step(c.now, message) {
		switch effect := effect.(type) {
		case placement.SendOrder:
			c.sendOrder(effect)
		case placement.Refuse:
			c.handleRefusal(effect)
		case placement.LoadFinished:
			c.emit(LoadFinished{effect})
		case placement.RequestNewRound:
			c.stepLeader(leadership.RestartRound{})
		}
	}
}

func (c *Core) sendOrder(request placement.SendOrder) {
	c.polls.noteOrder(c.now, request.Engine, c.leader.NextRequestID())
	order := request.Order
	if c.options.Defects.NoFence {
		lastState := c.polls.lastStates[request.Engine]
		order.Fence, order.Incarnation = lastState.Fence, lastState.Incarnation
	}
	c.emit(SendOrder{Engine: request.Engine, Address: c.engineAddress(request.Engine), Order: order})
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

// stateRead handles an engine's state, whichever core requested it.
func (c *Core) stateRead(answer leadership.StateRead) {
	if unresponsive, changed := c.polls.noteAnswer(c.now, answer); changed {
		c.stepPlacement(placement.EngineUnresponsive{Engine: answer.Engine, Unresponsive: unresponsive})
	}
	if !answer.Failed {
		c.noteEngineAnswer(answer.Engine)
	}
	c.stepLeader(answer)
	if answer.Failed {
		return
	}
	if c.options.Defects.NoFence {
		c.polls.lastStates[answer.Engine] = answer.State
		answer.State.Fence = c.leader.Fence()
	} else if !c.leader.Leading() {
		return
	}
	if !c.polls.predatesOrder(answer) {
		c.stepPlacement(placement.EngineStateReceived{QuerySequence: answer.ID, State: answer.State})
	}
	c.announceIfLeaving(answer.State)
	c.updateEngine(answer.State)
}

// updateLimits passes the zone's part of the record to placement.
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
