package world

import (
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/sim"
)

// The kinds of faults.
const (
	faultNodeKill    sim.FaultKind = "node-kill"
	faultNodePause   sim.FaultKind = "node-pause"
	faultLeaderPause sim.FaultKind = "leader-pause"
	faultLeaderCut   sim.FaultKind = "leader-cut"
	// faultLeaderCutEngines combines two faults: a leader is cut from its
	// peers, and all engines of its zone restart before the cut is healed.
	faultLeaderCutEngines sim.FaultKind = "leader-cut-engines-restart"
	faultEnginesSlow      sim.FaultKind = "zone-engines-slow"
	faultEnginesKill      sim.FaultKind = "zone-engines-kill"
	faultZoneRestart      sim.FaultKind = "zone-restart"
	faultFleetRestart     sim.FaultKind = "fleet-restart"
	faultLinkCut          sim.FaultKind = "link-cut"
	faultZoneCut          sim.FaultKind = "zone-cut"
	faultZoneCutOff       sim.FaultKind = "zone-cut-off"
	faultDisturbance      sim.FaultKind = "network-disturbed"
	faultStoreDown        sim.FaultKind = "store-down"
	faultStoreSlow        sim.FaultKind = "store-slow"
	faultStoreStale       sim.FaultKind = "store-stale"
	faultAnswersLost      sim.FaultKind = "store-answers-lost"
	faultMachinesDown     sim.FaultKind = "machine-list-down"
	faultMachinesLag      sim.FaultKind = "machine-list-stale"
	faultEngineKill       sim.FaultKind = "engine-kill"
	faultServiceKill      sim.FaultKind = "service-kill"
	faultEnginePause      sim.FaultKind = "engine-pause"
	faultWeightsSlow      sim.FaultKind = "weight-store-slow"
)

// faultSpecs returns how many faults of each kind a run draws and how long they
// last.
func (w *World) faultSpecs() []sim.FaultSpec {
	second := time.Second
	return []sim.FaultSpec{
		{Kind: faultNodeKill, Most: 6, Least: second / 2, Longest: 30 * second, Aim: w.aimNode},
		{Kind: faultNodePause, Most: 4, Least: second / 2, Longest: 60 * second, Aim: w.aimNode},
		{Kind: faultLeaderPause, Most: 5, Least: second / 2, Longest: 20 * second, Aim: w.aimZone},
		{Kind: faultLeaderCut, Most: 5, Least: second, Longest: 30 * second, Aim: w.aimLeader},
		{Kind: faultLeaderCutEngines, Most: 3, Least: 10 * second, Longest: 40 * second, Aim: w.aimZone},
		{Kind: faultPauseInOrder, Most: 8, Least: second / 2, Longest: 15 * second, Aim: w.aimZone},
		{Kind: faultOrderTwice, Most: 10, Least: second, Longest: 15 * second, Aim: w.aimZone},
		{Kind: faultDieAtGrant, Most: 8, Aim: w.aimZone},
		{Kind: faultDieInLoad, Most: 6, Least: 10 * time.Millisecond, Longest: 3 * second, Aim: w.aimZone},
		{Kind: faultEnginesSlow, Most: 3, Least: 5 * second, Longest: 40 * second, Aim: w.aimZone},
		{Kind: faultEnginesKill, Most: 2, Least: second / 10, Longest: 5 * second, Aim: w.aimZone},
		{Kind: faultZoneRestart, Most: 1, Least: second, Longest: 20 * second, Aim: w.aimZone},
		{Kind: faultFleetRestart, Most: 1, Least: second, Longest: 10 * second},
		{Kind: faultLinkCut, Most: 6, Least: second, Longest: 60 * second, Aim: w.aimLink},
		{Kind: faultZoneCut, Most: 3, Least: second, Longest: 90 * second, Aim: w.aimZones},
		{Kind: faultZoneCutOff, Most: 2, Least: second, Longest: 90 * second, Aim: w.aimZone},
		{Kind: faultDisturbance, Most: 3, Least: 5 * second, Longest: 40 * second, Aim: aimDisturbance},
		{Kind: faultStoreDown, Most: 2, Least: second, Longest: 90 * second},
		{Kind: faultStoreSlow, Most: 2, Least: 5 * second, Longest: 60 * second},
		{Kind: faultStoreStale, Most: 2, Least: 5 * second, Longest: 60 * second},
		{Kind: faultAnswersLost, Most: 2, Least: 5 * second, Longest: 60 * second},
		{Kind: faultMachinesDown, Most: 1, Least: 5 * second, Longest: 60 * second},
		{Kind: faultMachinesLag, Most: 1, Least: 5 * second, Longest: 60 * second},
		{Kind: faultEngineKill, Most: 10, Least: second / 2, Longest: 20 * second, Aim: w.aimEngine},
		{Kind: faultEnginePause, Most: 3, Least: second / 2, Longest: 30 * second, Aim: w.aimEngine},
		{Kind: faultStreamsBreak, Most: 3, Least: 5 * second, Longest: 40 * second, Aim: w.aimEngine},
		{Kind: faultStreamsCut, Most: 3, Least: 5 * second, Longest: 40 * second, Aim: w.aimEngine},
		{Kind: faultChunksDoubled, Most: 3, Least: 5 * second, Longest: 40 * second, Aim: w.aimEngine},
		{Kind: faultChunksCrossed, Most: 3, Least: 5 * second, Longest: 40 * second, Aim: w.aimEngine},
		{Kind: faultChunksLate, Most: 3, Least: 5 * second, Longest: 40 * second, Aim: w.aimEngine},
		{Kind: faultEngineSlow, Most: 3, Least: 5 * second, Longest: 40 * second, Aim: w.aimEngine},
		{Kind: faultReportsFrozen, Most: 2, Least: 5 * second, Longest: 40 * second, Aim: w.aimEngine},
		{Kind: faultEngineLoadHang, Most: 1, Least: 5 * second, Longest: 40 * second, Aim: w.aimEngine},
		{Kind: faultServiceKill, Most: 20, Least: second / 10, Longest: 10 * second, Aim: w.aimService},
		{Kind: faultWeightsSlow, Most: 1, Least: 5 * second, Longest: 60 * second},
	}
}

func (w *World) aimNode(random *rand.Rand, fault *sim.Fault) {
	fault.Target = string(w.nodes[random.IntN(len(w.nodes))].name)
}

func (w *World) aimEngine(random *rand.Rand, fault *sim.Fault) {
	fault.Target = string(w.engines[random.IntN(len(w.engines))].backend.Name)
}

func (w *World) aimZone(random *rand.Rand, fault *sim.Fault) {
	fault.Target = string(w.zones[random.IntN(len(w.zones))])
}

func (w *World) aimService(random *rand.Rand, fault *sim.Fault) {
	fault.Target = string(w.services[random.IntN(len(w.services))].backend.Name)
}

// aimLeader draws the zone whose leader is cut off, and whether it is cut off
// from the platform as well.
func (w *World) aimLeader(random *rand.Rand, fault *sim.Fault) {
	w.aimZone(random, fault)
	fault.Amount = float64(random.IntN(2))
}

// aimZones draws a cut between two zones or between a zone and the platform, in
// one or both directions.
func (w *World) aimZones(random *rand.Rand, fault *sim.Fault) {
	places := []string{platformZone}
	for _, zone := range w.zones {
		places = append(places, string(zone))
	}
	from := random.IntN(len(places))
	to := (from + 1 + random.IntN(len(places)-1)) % len(places)
	fault.Target, fault.Other = places[from], places[to]
	fault.Amount = float64(random.IntN(2))
}

// aimLink draws a one-way cut between a node and another process.
func (w *World) aimLink(random *rand.Rand, fault *sim.Fault) {
	w.aimNode(random, fault)
	fault.Other = w.drawProcess(random).Name()
	if random.IntN(2) == 0 {
		fault.Target, fault.Other = fault.Other, fault.Target
	}
}

func (w *World) drawProcess(random *rand.Rand) *sim.Process {
	all := []*sim.Process{w.store.process, w.machines.process}
	for _, node := range w.nodes {
		all = append(all, node.process)
	}
	for _, engine := range w.engines {
		all = append(all, engine.process)
	}
	return all[random.IntN(len(all))]
}

func aimDisturbance(random *rand.Rand, fault *sim.Fault) {
	fault.Amount = 0.02 + 0.2*random.Float64()
}
