package world

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
)

// callPeer calls another node's control core.
func (p *controlPart) callPeer(member fleet.Member, kind string, serve func(*controlPart, func(any)), done func(any, sim.CallOutcome)) {
	target, found := p.node.world.byName[member.Name]
	if !found {
		p.node.post(func() { done(nil, sim.Refused) })
		return
	}
	p.node.world.network.Call(sim.Call{
		From: p.node.process, To: target.process, Kind: kind, Timeout: peerCallTimeout, Resent: true,
		Serve: func(reply func(any)) { serve(target.control, reply) },
		Done:  done,
	})
}

// notifyPeer sends a message to a peer and ignores the answer.
func (p *controlPart) notifyPeer(member fleet.Member, kind string, message control.Message) {
	p.callPeer(member, kind, func(peer *controlPart, reply func(any)) {
		peer.step(message)
		reply(nil)
	}, func(any, sim.CallOutcome) {})
}

func (p *controlPart) publishTable(effect control.PublishTable) {
	for _, member := range effect.To {
		p.notifyPeer(member, "control/publish", control.TableReceived{From: p.node.name, Update: effect.Update})
	}
}

func (p *controlPart) broadcastLeaving(effect control.BroadcastLeaving) {
	for _, member := range effect.To {
		p.notifyPeer(member, "control/leaving", control.LeavingNoticeReceived{From: p.node.name, Backends: effect.Backends})
	}
}

func (p *controlPart) handOver(effect control.HandOver) {
	p.notifyPeer(effect.To, "control/hand-over", control.HandOverRequested{From: p.node.name, Fence: effect.Fence})
}

func (p *controlPart) pullTables(effect control.PullTables) {
	p.callPeer(effect.From, "control/tables", func(peer *controlPart, reply func(any)) {
		reply(peer.core.Tables())
	}, func(answer any, outcome sim.CallOutcome) {
		if outcome != sim.Answered {
			return
		}
		tables := answer.(map[fleet.Zone]fleet.RouteTable)
		pulled := control.TablesPulled{From: effect.From.Name}
		for _, zone := range slices.Sorted(maps.Keys(tables)) {
			pulled.Tables = append(pulled.Tables, tables[zone])
		}
		p.step(pulled)
	})
}

func (p *controlPart) forwardWants(effect control.ForwardWants) {
	reported := control.WantsReported{From: p.node.name, Wants: effect.Wants, Forwarded: effect.Forwarded}
	p.callPeer(effect.To, "control/report", func(peer *controlPart, reply func(any)) {
		refusals := peer.step(reported)
		var answer []fleet.LoadRefusal
		for _, want := range effect.Wants {
			for _, refusal := range refusals[want.Node] {
				if refusal.Model == want.Model {
					answer = append(answer, refusal)
				}
			}
		}
		reply(answer)
	}, func(answer any, outcome sim.CallOutcome) {
		refusals, _ := answer.([]fleet.LoadRefusal)
		p.step(control.ForwardAnswered{
			To: effect.To.Name, Wants: effect.Wants, Refusals: refusals, Failed: outcome != sim.Answered,
		})
	})
}
