package control

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// answerPatience is when a write or read-back without answer is given up.
const answerPatience = 5 * time.Second

// vouchInterval is the time between two tries to learn the record of a node
// that does not lead.
const vouchInterval = 3 * time.Second

// decide writes what this node has to write: as leader the engines and the
// confirmations of its zone, as decider the decision for the fleet.
func (c *Core) decide() {
	if c.now.Before(c.decider.next) || c.awaitingStore() {
		return
	}
	c.decider.next = c.now.Add(c.settings().DecideInterval)
	if !c.decider.vouched && !c.leadsByView() {
		c.decider.next = c.now.Add(vouchInterval)
		c.readBack()
		return
	}
	if !c.leadsByView() {
		return
	}
	if !c.decider.storeKnown {
		c.readBack()
		return
	}
	if next, changed := c.nextRecord(); changed {
		c.write(next)
	}
}

func (c *Core) awaitingStore() bool {
	waiting := c.decider.writing != 0 || c.decider.reading != 0
	if waiting && c.now.Sub(c.decider.sentAt) >= answerPatience {
		c.decider.writing, c.decider.reading = 0, 0
		c.decider.storeKnown = false
		return false
	}
	return waiting
}

// leadsByView reports whether this node should lead its zone, also while no
// round can be established yet.
func (c *Core) leadsByView() bool {
	return !c.standing.stopping && !c.standing.since.IsZero()
}

func (c *Core) nextRecord() (allotment.Record, bool) {
	record := c.record.Record
	if record.Generation == 0 && !c.isDecider() {
		return record, false
	}
	if c.decider.storeBehind {
		return record.Restored(), true
	}
	present, gone := c.listedEngines(c.options.Zone)
	if next, changed := allotment.WithEngines(record, c.options.Zone, present, gone); changed {
		return next, true
	}
	if entry := record.Zones[c.options.Zone]; len(entry.Joining) > 0 && c.spreadReached(entry.JoinedAt) {
		return allotment.AdmitEngines(record, c.options.Zone), true
	}
	if confirmed := c.confirmable(); len(confirmed) > 0 && c.spreadKnown(confirmed) {
		return allotment.Confirm(record, c.options.Zone, confirmed), true
	}
	if !c.isDecider() || len(c.models) == 0 {
		return record, false
	}
	return allotment.Decide(record, c.decisionInput())
}

// spreadKnown reports whether a majority of the zone holds the lowerings, and
// asks where that is not known.
func (c *Core) spreadKnown(models []fleet.ModelVersion) bool {
	for _, model := range models {
		if !c.spreadReached(c.record.Record.Models[model].Zones[c.options.Zone].LoweredAt) {
			return false
		}
	}
	return true
}

// spreadReached reports whether a majority of the zone holds the generation, and
// asks where that is not known.
func (c *Core) spreadReached(generation uint64) bool {
	if generation <= c.decider.spread {
		return true
	}
	c.askSpread()
	return false
}

func (c *Core) listedEngines(zone fleet.Zone) (present, gone []fleet.BackendName) {
	for _, machine := range c.machines.Machines {
		if machine.Role != roleEngine || machine.Zone != zone {
			continue
		}
		name := fleet.BackendName(machine.Name)
		switch machine.State {
		case objectstore.MachineLive:
			present = append(present, name)
		case objectstore.MachineGone:
			if c.gone.effective[name] {
				gone = append(gone, name)
			}
		case objectstore.MachineLeaving:
		}
	}
	return present, gone
}

// confirmable are the lowered limits that the round holds: it carries a record
// at least as new as the lowering, it holds every engine of the zone, and the
// zone is within the limit.
func (c *Core) confirmable() []fleet.ModelVersion {
	if !c.leader.Leading() {
		return nil
	}
	var models []fleet.ModelVersion
	carried := c.leader.RoundRecord().Generation
	for _, model := range c.record.Record.Unconfirmed(c.options.Zone) {
		share := c.record.Record.Models[model].Zones[c.options.Zone]
		if share.LoweredAt <= carried && c.placement.ReplicaUpperBound(model) <= share.Limit {
			models = append(models, model)
		}
	}
	return models
}

// isDecider reports whether this node decides for the fleet: it is to lead the
// first zone that has a usable node. Two of them only make writes conflict.
func (c *Core) isDecider() bool {
	if !c.leadsByView() {
		return false
	}
	for _, member := range c.members {
		if member.Usable() && member.Zone < c.options.Zone {
			return false
		}
	}
	return true
}

func (c *Core) decisionInput() allotment.Input {
	input := allotment.Input{
		Models:       c.models,
		Engines:      make(map[fleet.Zone]int),
		Demand:       c.wants.unserved(c.now),
		IdleReplicas: make(map[fleet.ModelVersion]map[fleet.Zone]int),

		Evacuated: c.evacuatedZones(),

		RaiseUnconfirmed: c.options.Defects.NoConfirmBeforeRaise,
	}
	for _, machine := range c.machines.Machines {
		if machine.Role == roleEngine && machine.State == objectstore.MachineLive {
			input.Engines[machine.Zone]++
		}
	}
	for model, decision := range c.record.Record.Models {
		idle := make(map[fleet.Zone]int)
		for zone, share := range decision.Zones {
			idle[zone] = share.Limit - c.loadedIn(zone, model)
		}
		input.IdleReplicas[model] = idle
	}
	return input
}

func (c *Core) loadedIn(zone fleet.Zone, model fleet.ModelVersion) int {
	table := c.tables.zones[zone]
	if table == nil {
		return 0
	}
	count := 0
	for _, state := range table.engines {
		if slices.ContainsFunc(state.Models, func(loaded fleet.LoadedModel) bool { return loaded.Model == model }) {
			count++
		}
	}
	return count
}
