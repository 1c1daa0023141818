package world

import (
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/sim"
)

const (
	// bothWays is the fault amount of a zone cut in both directions.
	bothWays = 1
	// maxStoreDelay is the maximum additional time of a call to a slow store.
	maxStoreDelay = 3 * time.Second
	// lostAnswerShare is the probability that an answer of the store is lost.
	lostAnswerShare = 0.5
	// withPlatform is the fault amount of a leader cut that includes the
	// platform.
	withPlatform = 1
	// maxEngineDelay is the maximum additional delay of messages to an engine.
	maxEngineDelay = 800 * time.Millisecond
	// maxDisturbedDelay is the maximum additional delay in a disturbed network.
	maxDisturbedDelay = 300 * time.Millisecond
	// lateMessageShare is the share of messages in a disturbed network that are
	// delayed by up to maxLateDelay, well beyond the timeouts.
	lateMessageShare = 0.05
	maxLateDelay     = 8 * time.Second
)

// Begin implements sim.Injector.
func (w *World) Begin(fault sim.Fault) (end func()) {
	switch fault.Kind {
	case faultNodeKill, faultEngineKill, faultServiceKill:
		return kill(w.processNamed(fault.Target))
	case faultNodePause, faultEnginePause:
		return pause(w.processNamed(fault.Target))
	case faultLeaderPause:
		return w.withLeader(fault.Target, func(leader *node) func() { return pause(leader.process) })
	case faultLeaderCut:
		return w.withLeader(fault.Target, func(leader *node) func() {
			return w.cutFromPeers(leader, fault.Amount == withPlatform)
		})
	case faultEnginesSlow:
		return w.slowEngines(fault.Target)
	case faultLeaderCutEngines:
		return w.cutLeaderAndEngines(fault)
	case faultPauseInOrder, faultOrderTwice, faultDieAtGrant, faultDieInLoad:
		w.arm(fault)
		return nil
	case faultEnginesKill:
		return w.killEngines(fault.Target)
	case faultZoneRestart:
		return w.restartNodes(fault.Target)
	case faultFleetRestart:
		return w.restartNodes("")
	case faultLinkCut:
		w.network.Cut(fault.Target, fault.Other)
		return func() { w.network.Heal(fault.Target, fault.Other) }
	case faultZoneCut:
		return w.cutZones(fault)
	case faultZoneCutOff:
		return w.cutOff(fault.Target)
	case faultStreamsBreak, faultStreamsCut, faultChunksDoubled, faultChunksCrossed, faultChunksLate,
		faultEngineSlow, faultReportsFrozen, faultEngineLoadHang:
		return w.streamFault(fault)
	case faultDisturbance:
		return w.disturb(fault.Amount)
	default:
		return w.beginPlatform(fault)
	}
}

func (w *World) beginPlatform(fault sim.Fault) (end func()) {
	switch fault.Kind {
	case faultStoreDown:
		w.store.down++
		w.store.breakWatches()
		return func() { w.store.down-- }
	case faultStoreSlow:
		w.store.slow = maxStoreDelay
		return func() { w.store.slow = 0 }
	case faultStoreStale:
		w.store.objects.Freeze(true)
		return func() { w.store.objects.Freeze(false) }
	case faultAnswersLost:
		w.store.answersLost = lostAnswerShare
		return func() { w.store.answersLost = 0 }
	case faultMachinesDown:
		w.machines.down++
		return func() { w.machines.down-- }
	case faultMachinesLag:
		return w.machines.freeze()
	case faultWeightsSlow:
		return w.weights.slow()
	default:
		panic(fmt.Sprintf("world: unknown fault kind %q", fault.Kind))
	}
}

func (w *World) processNamed(name string) *sim.Process {
	for _, node := range w.nodes {
		if string(node.name) == name {
			return node.process
		}
	}
	for _, engine := range w.engines {
		if string(engine.backend.Name) == name {
			return engine.process
		}
	}
	if service := w.serviceNamed(fleet.BackendName(name)); service != nil {
		return service.process
	}
	panic(fmt.Sprintf("world: no process %q", name))
}

func kill(process *sim.Process) func() {
	process.Die()
	return process.Start
}

func pause(process *sim.Process) func() {
	if process.State() != sim.ProcessRunning {
		return nil
	}
	boot := process.Boot()
	process.Pause()
	return func() {
		if process.Boot() == boot {
			process.Resume()
		}
	}
}

// restartNodes kills all nodes of a zone at once, or of the fleet if the zone is
// empty. The returned function starts them again.
func (w *World) restartNodes(zone string) func() {
	var killed []*sim.Process
	for _, node := range w.nodes {
		if (zone == "" || string(node.zone) == zone) && node.alive() {
			node.process.Die()
			killed = append(killed, node.process)
		}
	}
	return func() {
		for _, process := range killed {
			process.Start()
		}
	}
}

// withLeader applies a fault to the current leader of the zone, if there is one.
func (w *World) withLeader(zone string, begin func(*node) func()) func() {
	for _, candidate := range w.nodes {
		if string(candidate.zone) != zone || candidate.process.State() != sim.ProcessRunning {
			continue
		}
		if leading, _ := candidate.control.core.Leading(); leading {
			return begin(candidate)
		}
	}
	return nil
}

// cutFromPeers cuts a node from all other nodes in both directions, but not from
// the engines, so that it continues to lead while another node takes over. If
// the store remains reachable, the two leaders repeatedly claim the engines from
// each other.
func (w *World) cutFromPeers(isolated *node, platformToo bool) func() {
	var others []*sim.Process
	if platformToo {
		others = append(others, w.store.process, w.machines.process)
	}
	for _, other := range w.nodes {
		if other != isolated {
			others = append(others, other.process)
		}
	}
	for _, other := range others {
		w.network.Cut(string(isolated.name), other.Name())
		w.network.Cut(other.Name(), string(isolated.name))
	}
	return func() {
		for _, other := range others {
			w.network.Heal(string(isolated.name), other.Name())
			w.network.Heal(other.Name(), string(isolated.name))
		}
	}
}

// cutLeaderAndEngines cuts the leader of a zone from its peers and restarts all
// engines of the zone while another node leads. The engines lose the fence of
// the new leader, and calls to every model arrive at the isolated node.
func (w *World) cutLeaderAndEngines(fault sim.Fault) func() {
	return w.withLeader(fault.Target, func(leader *node) func() {
		boot := leader.process.Boot()
		w.scheduler.After(fault.For/2, func() {
			restart := w.killEngines(fault.Target)
			w.scheduler.After(engineDownTime, restart)
			leader.process.Do(boot, leader.requestAllModels)
		})
		return w.cutFromPeers(leader, true)
	})
}

// slowEngines delays messages to the engines of a zone by up to slightly less
// than the call timeout of nodes, so that claims and orders of several nodes
// interleave.
func (w *World) slowEngines(zone string) func() {
	engines := w.enginesOf(fleet.Zone(zone))
	for _, slow := range engines {
		w.network.SlowTo(string(slow.backend.Name), maxEngineDelay)
	}
	return func() {
		for _, slow := range engines {
			w.network.SlowTo(string(slow.backend.Name), 0)
		}
	}
}

// killEngines kills all engines of a zone at once; each loses its fence. The
// returned function starts them again.
func (w *World) killEngines(zone string) func() {
	engines := w.enginesOf(fleet.Zone(zone))
	for _, killed := range engines {
		killed.process.Die()
	}
	return func() {
		for _, killed := range engines {
			killed.process.Start()
		}
	}
}

func (w *World) cutZones(fault sim.Fault) func() {
	w.network.CutZones(fault.Target, fault.Other)
	if fault.Amount != bothWays {
		return func() { w.network.HealZones(fault.Target, fault.Other) }
	}
	w.network.CutZones(fault.Other, fault.Target)
	return func() {
		w.network.HealZones(fault.Target, fault.Other)
		w.network.HealZones(fault.Other, fault.Target)
	}
}

// cutOff cuts a zone from all other zones and from the platform, in both
// directions.
func (w *World) cutOff(zone string) func() {
	others := []string{platformZone}
	for _, other := range w.zones {
		if string(other) != zone {
			others = append(others, string(other))
		}
	}
	for _, other := range others {
		w.network.CutZones(zone, other)
		w.network.CutZones(other, zone)
	}
	return func() {
		for _, other := range others {
			w.network.HealZones(zone, other)
			w.network.HealZones(other, zone)
		}
	}
}

func (w *World) disturb(amount float64) func() {
	w.network.Disturb(sim.Disturbance{
		Loss: amount, Duplicate: amount, ExtraDelay: maxDisturbedDelay, Late: lateMessageShare, LateMost: maxLateDelay,
	})
	return func() { w.network.Disturb(sim.Disturbance{}) }
}
