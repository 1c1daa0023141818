package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/placement"
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

const engineCallTimeout = 900 * time.Millisecond

// callEngine calls an engine's control API. done receives the engine's effect
// that answers the call, or nil if no answer arrived.
func (p *controlPart) callEngine(address, kind string, message func(engine.CallID) engine.Message, done func(engine.Effect)) {
	target := p.node.world.engineAt(address)
	if target == nil {
		p.node.post(func() { done(nil) })
		return
	}
	p.node.world.network.Call(sim.Call{
		From: p.node.process, To: target.process, Kind: kind, Timeout: engineCallTimeout, Resent: true,
		Serve: func(reply func(any)) { target.call(message, reply) },
		Done: func(answer any, outcome sim.CallOutcome) {
			if outcome != sim.Answered {
				done(nil)
				return
			}
			done(answer.(engine.Effect))
		},
	})
}

func (p *controlPart) readEngine(effect control.ReadEngine) {
	message := func(call engine.CallID) engine.Message { return engine.ReadState{Call: call} }
	p.callEngine(effect.Address, "engine/state", message, func(answer engine.Effect) {
		read, answered := answer.(engine.StateRead)
		p.step(control.StateRead{StateRead: leadership.StateRead{
			ID: effect.ID, Engine: effect.Engine, State: read.State, Failed: !answered,
		}})
	})
}

func (p *controlPart) sendClaim(effect control.SendClaim) {
	claim := backend.Claim{Fence: effect.Fence, Incarnation: effect.Incarnation, Holder: p.node.name}
	message := func(call engine.CallID) engine.Message { return engine.TakeClaim{Call: call, Claim: claim} }
	p.callEngine(effect.Address, "engine/claim", message, func(answer engine.Effect) {
		answered := leadership.ClaimAnswered{ID: effect.ID, Engine: effect.Engine}
		switch answer := answer.(type) {
		case engine.StateRead:
			answered.Result = leadership.ClaimGranted
			answered.State = answer.State
		case engine.FenceRefused:
			answered.Result = leadership.ClaimRefused
			answered.Fence = answer.Refusal.Fence
		}
		p.step(control.ClaimAnswered{ClaimAnswered: answered})
	})
}

func (p *controlPart) sendOrder(effect control.SendOrder) {
	p.node.world.trace.Note("order %s to %s %s %s fence=%s", p.node.name, effect.Engine, effect.Order.Action,
		effect.Order.Model, effect.Order.Fence)
	p.node.world.pauseBeforeOrder(p.node)
	p.node.process.Do(p.node.process.Boot(), func() { p.callOrder(effect) })
}

func (p *controlPart) callOrder(effect control.SendOrder) {
	message := func(call engine.CallID) engine.Message { return engine.TakeOrder{Call: call, Order: effect.Order} }
	if effect.Order.Action == backend.ActionLoad {
		p.node.world.repeatOrder(effect.Address, message)
	}
	p.callEngine(effect.Address, "engine/order", message, func(answer engine.Effect) {
		answered := control.OrderAnswered{Engine: effect.Engine, OrderID: effect.Order.ID}
		switch answer := answer.(type) {
		case engine.StateRead:
			answered.Result = placement.OrderAccepted
		case engine.FenceRefused:
			answered.FenceStale = true
			answered.Fence = answer.Refusal.Fence
		case engine.OrderRefused:
			answered.Result = placement.OrderRefused
			answered.Reason = answer.Reason
		}
		p.step(answered)
	})
}

// engineAt returns the engine that listens on an address, or nil.
func (w *World) engineAt(address string) *engineProcess {
	for _, candidate := range w.engines {
		if candidate.backend.Address == address {
			return candidate
		}
	}
	return nil
}

// enginesOf returns the engines of a zone, or of the fleet if the zone is empty.
func (w *World) enginesOf(zone fleet.Zone) []*engineProcess {
	var engines []*engineProcess
	for _, candidate := range w.engines {
		if zone == "" || candidate.backend.Zone == zone {
			engines = append(engines, candidate)
		}
	}
	return engines
}
