package world

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/configsync"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/sim"
)

const (
	pushTimeout   = 2 * time.Second
	digestTimeout = 5 * time.Second
)

// configPart runs a node's configuration core.
type configPart struct {
	node  *node
	core  *configsync.Core
	waker *sim.Waker
	watch *watch

	lastCall uint64
	replies  map[uint64]func(any)
}

func newConfigPart(node *node, self fleet.Member, seed uint64) *configPart {
	part := &configPart{node: node, replies: make(map[uint64]func(any))}
	part.core = configsync.New(configsync.Options{
		Self:    self,
		Seed:    seed,
		Defects: node.world.config.Defects.Config,
	})
	part.waker = sim.NewWaker(node.process, func() { part.step(configsync.Tick{}) })
	return part
}

func (p *configPart) start() {
	p.step(configsync.Tick{})
}

func (p *configPart) membersChanged(members []fleet.Member) {
	p.step(configsync.MembersChanged{Members: members})
}

func (p *configPart) step(message configsync.Message) {
	for _, effect := range p.core.Step(p.node.process.Now(), message) {
		p.perform(effect)
	}
	p.waker.Set(p.core.NextWake())
}

func (p *configPart) perform(effect configsync.Effect) {
	switch effect := effect.(type) {
	case configsync.ListStore:
		p.stopReading()
		p.list(effect)
	case configsync.WatchStore:
		p.stopReading()
		p.startWatch(effect)
	case configsync.StopReading:
		p.stopReading()
	case configsync.ListMachines:
		p.listMachines()
	case configsync.SendPush:
		p.push(effect)
	case configsync.SendDigest:
		p.digest(effect)
	case configsync.AnswerPush:
		p.reply(effect.Call, effect.Version)
	case configsync.AnswerDigest:
		p.reply(effect.Call, effect.Answer)
	case configsync.ObjectsUpdated:
		p.node.configChanged(effect.Version, effect.Changed)
	case configsync.MachinesUpdated:
		p.node.machinesChanged(effect.List)
	case configsync.StoreBehind:
		p.node.world.count("store-behind")
	case configsync.PeerDiverged:
		p.node.world.count("config-diverged")
	case configsync.ReaderChanged:
		p.node.world.count("reader-changed")
	}
}

func (p *configPart) stopReading() {
	if p.watch != nil {
		p.watch.abandon()
		p.watch = nil
	}
}

func (p *configPart) list(effect configsync.ListStore) {
	p.node.world.store.list(p.node.process, func(answer storeAnswer, outcome sim.CallOutcome) {
		if outcome != sim.Answered {
			p.step(configsync.ListFailed(effect))
			return
		}
		p.step(configsync.StoreListed{Generation: effect.Generation, List: answer.list})
	})
}

func (p *configPart) startWatch(effect configsync.WatchStore) {
	take := func(version uint64, objects []objectstore.Object) {
		p.step(configsync.EventsReceived{Generation: effect.Generation, Version: version, Objects: objects})
	}
	ended := func(compacted bool) {
		p.step(configsync.WatchEnded{Generation: effect.Generation, Compacted: compacted})
	}
	p.watch = p.node.world.store.watch(p.node.process, effect.Since, take, ended)
}

func (p *configPart) listMachines() {
	p.node.world.machines.list(p.node.process, func(list objectstore.MachineList, outcome sim.CallOutcome) {
		if outcome != sim.Answered {
			p.step(configsync.ListMachinesFailed{})
			return
		}
		p.step(configsync.MachinesListed{List: list})
	})
}

func (p *configPart) push(effect configsync.SendPush) {
	target, found := p.node.world.byName[effect.To.Name]
	if !found {
		return
	}
	p.node.world.network.Call(sim.Call{
		From: p.node.process, To: target.process, Kind: "config/push",
		Size: uint64(len(effect.Push.Changes.Objects)), Timeout: pushTimeout, Resent: true,
		Serve: func(reply func(any)) {
			call := target.config.registerReply(reply)
			target.config.step(configsync.PushReceived{Call: call, From: p.node.name, Push: effect.Push})
		},
		Done: func(any, sim.CallOutcome) {},
	})
}

func (p *configPart) digest(effect configsync.SendDigest) {
	target, found := p.node.world.byName[effect.To.Name]
	if !found {
		return
	}
	p.node.world.network.Call(sim.Call{
		From: p.node.process, To: target.process, Kind: "config/digest", Timeout: digestTimeout, Resent: true,
		Serve: func(reply func(any)) {
			call := target.config.registerReply(reply)
			target.config.step(configsync.DigestReceived{Call: call, From: p.node.name, Digest: effect.Digest})
		},
		Done: func(answer any, outcome sim.CallOutcome) {
			if outcome != sim.Answered {
				p.step(configsync.DigestFailed{To: effect.To.Name, Space: effect.Digest.Space})
				return
			}
			p.step(configsync.DigestAnswered{From: effect.To.Name, Answer: answer.(configsync.DigestAnswer)})
		},
	})
}

// registerReply stores the reply function of a peer's call and returns the call
// ID.
func (p *configPart) registerReply(reply func(any)) uint64 {
	p.lastCall++
	p.replies[p.lastCall] = reply
	return p.lastCall
}

func (p *configPart) reply(call uint64, answer any) {
	reply, found := p.replies[call]
	if found {
		delete(p.replies, call)
		reply(answer)
	}
}
