package control

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// recordAnswerTimeout is when an unanswered read or write of the record is
// abandoned.
const recordAnswerTimeout = 5 * time.Second

// authorityReadInterval is the time between two attempts of a node that does
// not lead to read the record from the store or a majority.
const authorityReadInterval = 3 * time.Second

// updateRecord writes the changes to the record that are due: as the zone's
// leader its engines and confirmations, as the coordinator the allotments of
// the fleet.
func (c *Core) updateRecord() {
	if c.now.Before(c.recordSync.nextAttempt) || c.awaitingRecordAnswer() {
		return
	}
	c.recordSync.nextAttempt = c.now.Add(c.settings().DecideInterval)
	if !c.recordSync.authoritative && !c.shouldLead() {
		c.recordSync.nextAttempt = c.now.Add(authorityReadInterval)
		c.readRecord()
		return
	}
	if !c.shouldLead() {
		return
	}
	if !c.recordSync.storeAnswered {
		c.readRecord()
		return
	}
	if next, changed := c.nextRecord(); changed {
		c.writeRecord(next)
	}
}

func (c *Core) awaitingRecordAnswer() bool {
	waiting := c.recordSync.pendingWriteID != 0 || c.recordSync.pendingReadID != 0
	if waiting && c.now.Sub(c.recordSync.sentAt) >= recordAnswerTimeout {
		c.recordSync.pendingWriteID, c.recordSync.pendingReadID = 0, 0
		c.recordSync.storeAnswered = false
		return false
	}
	return waiting
}

// shouldLead reports whether this node should lead its zone, even if no round
// can be established yet.
func (c *Core) shouldLead() bool {
	return !c.candidacy.stopping && !c.candidacy.since.IsZero()
}

func (c *Core) nextRecord() (allotment.Record, bool) {
	record := c.record.Record
	if record.Generation == 0 && !c.isCoordinator() {
		return record, false
	}
	if c.recordSync.storeOutdated {
		return record.Restored(), true
	}
	present, gone := c.listedEngines(c.options.Zone)
	if next, changed := allotment.WithEngines(record, c.options.Zone, present, gone); changed {
		return next, true
	}
	if entry := record.Zones[c.options.Zone]; len(entry.Joining) > 0 && c.generationReplicated(entry.JoinedAt) {
		return allotment.AdmitEngines(record, c.options.Zone), true
	}
	if confirmed := c.confirmableModels(); len(confirmed) > 0 && c.loweringsReplicated(confirmed) {
		return allotment.Confirm(record, c.options.Zone, confirmed), true
	}
	if !c.isCoordinator() || len(c.models) == 0 {
		return record, false
	}
	return allotment.Decide(record, c.decisionInput())
}

// loweringsReplicated reports whether a majority of the zone holds the lowered
// limits of the models, and starts a check if that is not known.
func (c *Core) loweringsReplicated(models []fleet.ModelVersion) bool {
	for _, model := range models {
		if !c.generationReplicated(c.record.Record.Models[model].Zones[c.options.Zone].LoweredAt) {
			return false
		}
	}
	return true
}

// generationReplicated reports whether a majority of the zone holds the
// generation, and starts a check if that is not known.
func (c *Core) generationReplicated(generation uint64) bool {
	if generation <= c.recordSync.replicatedGeneration {
		return true
	}
	c.checkReplication()
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
			if c.gone.confirmed[name] {
				gone = append(gone, name)
			}
		case objectstore.MachineLeaving:
		}
	}
	return present, gone
}

// confirmableModels returns the models whose lowered limit this zone can
// confirm: the round was started with a record at least as new as the lowering,
// it has claimed every engine of the zone, and the zone is within the limit.
func (c *Core) confirmableModels() []fleet.ModelVersion {
	if !c.leader.Leading() {
		return nil
	}
	var models []fleet.ModelVersion
	roundGeneration := c.leader.RoundRecord().Generation
	for _, model := range c.record.Record.Unconfirmed(c.options.Zone) {
		share := c.record.Record.Models[model].Zones[c.options.Zone]
		if share.LoweredAt <= roundGeneration && c.placement.ReplicaUpperBound(model) <= share.Limit {
			models = append(models, model)
		}
	}
	return models
}

// isCoordinator reports whether this node decides allotments for the fleet: it
// should lead the first zone, by name, that has a usable node. Two coordinators
// at a time are safe; their conditional writes merely conflict.
func (c *Core) isCoordinator() bool {
	if !c.shouldLead() {
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
