package routing

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

func (c *Core) pick(now time.Time, pick Pick) {
	candidates, known := c.filter(now, c.byModel[pick.Model])
	candidates = slices.DeleteFunc(candidates, func(t *target) bool { return !t.hasAdapter(pick.Model, pick.Adapter) })
	candidates = avoid(candidates, pick.Exclude)
	chosen := c.bestOfTwo(candidates, func(t *target) time.Duration { return c.score(now, t, pick) })
	c.take(now, pick.Ticket, pick.Model, chosen, known)
}

func (c *Core) pickService(now time.Time, pick PickService) {
	candidates, known := c.filter(now, c.byService[pick.Service])
	candidates = avoid(candidates, pick.Exclude)
	own := slices.DeleteFunc(slices.Clone(candidates), func(t *target) bool { return t.backend.Zone != c.options.Zone })
	if len(own) > 0 {
		candidates = own
	}
	chosen := c.bestOfTwo(candidates, func(t *target) time.Duration { return time.Duration(t.flying) })
	c.take(now, pick.Ticket, fleet.ModelVersion{}, chosen, known)
}

// filter returns the targets that may be sent to, and whether any was known.
func (c *Core) filter(now time.Time, targets []*target) (candidates []*target, known bool) {
	for _, target := range targets {
		if c.isLeaving(target) {
			continue
		}
		known = true
		if allowed, _ := target.circuit.allows(now); allowed {
			candidates = append(candidates, target)
		}
	}
	return candidates, known
}

// avoid takes out the excluded targets, unless no other is left.
func avoid(candidates []*target, exclude []fleet.BackendName) []*target {
	if len(exclude) == 0 {
		return candidates
	}
	others := slices.DeleteFunc(slices.Clone(candidates), func(t *target) bool {
		return slices.Contains(exclude, t.backend.Name)
	})
	if len(others) == 0 {
		return candidates
	}
	return others
}

func (c *Core) isLeaving(target *target) bool {
	return target.backend.Leaving || c.leaving[target.backend.Name]
}

func (c *Core) take(now time.Time, ticket Ticket, model fleet.ModelVersion, chosen *target, known bool) {
	if chosen == nil {
		c.emit(NonePicked{Ticket: ticket, Known: known})
		return
	}
	_, probe := chosen.circuit.allows(now)
	chosen.circuit.probing = probe
	chosen.started(now)
	c.flights[ticket] = &flight{target: chosen, model: model, started: now, probe: probe}
	c.emit(Picked{Ticket: ticket, Backend: chosen.backend, Probe: probe})
}

// bestOfTwo draws two targets and takes the one with the lower score, so that
// nodes with the same stale reports do not all choose the same back end.
func (c *Core) bestOfTwo(candidates []*target, score func(*target) time.Duration) *target {
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return candidates[0]
	}
	first := c.random.IntN(len(candidates))
	second := c.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	if score(candidates[second]) < score(candidates[first]) {
		return candidates[second]
	}
	return candidates[first]
}

// score estimates the time until the first token.
func (c *Core) score(now time.Time, target *target, pick Pick) time.Duration {
	load := float64(target.load(c.options.ReportLag))
	slots := float64(c.slots(now, target))
	score := time.Duration(load / slots * float64(fullEngineCost))
	if target.backend.Zone != c.options.Zone {
		score += c.options.OtherZoneCost
	}
	return score
}

// fullEngineCost is the added time to the first token at an engine whose slots
// are all taken.
const fullEngineCost = 200 * time.Millisecond

func (c *Core) slots(now time.Time, target *target) int {
	return c.options.EngineSlots
}

// Room is what one ready replica can take.
type Room struct {
	Name     fleet.BackendName
	Free     int
	Adapters []fleet.AdapterName
}

// Rooms is what the replicas of one model can take.
type Rooms struct {
	// Ready counts the replicas that do not leave, Slots what those that may
	// be sent to now run at a time.
	Ready int
	Slots int
	Rooms []Room
}

// Rooms returns the room at each replica of the model.
func (c *Core) Rooms(now time.Time, model fleet.ModelVersion) Rooms {
	var rooms Rooms
	for _, target := range c.byModel[model] {
		if !c.isLeaving(target) {
			rooms.Ready++
		}
	}
	candidates, _ := c.filter(now, c.byModel[model])
	for _, target := range candidates {
		capacity := c.slots(now, target)
		rooms.Slots += capacity
		free := capacity - target.load(c.options.ReportLag)
		if _, probe := target.circuit.allows(now); probe {
			free = min(free, 1)
		}
		rooms.Rooms = append(rooms.Rooms, Room{Name: target.backend.Name, Free: max(0, free),
			Adapters: target.engine.Find(model).Adapters})
	}
	return rooms
}

// Weighted is one choice with its share.
type Weighted struct {
	Model  fleet.ModelVersion
	Weight int
}

// ChooseVersion draws one of the versions by weight.
func (c *Core) ChooseVersion(versions []Weighted) fleet.ModelVersion {
	total := 0
	for _, version := range versions {
		total += max(0, version.Weight)
	}
	if total == 0 {
		if len(versions) == 0 {
			return fleet.ModelVersion{}
		}
		return versions[0].Model
	}
	drawn := c.random.IntN(total)
	for _, version := range versions {
		drawn -= max(0, version.Weight)
		if drawn < 0 {
			return version.Model
		}
	}
	return versions[len(versions)-1].Model
}
