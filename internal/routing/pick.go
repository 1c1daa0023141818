package routing

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
)

func (c *Core) pick(now time.Time, pick Pick) {
	candidates, known := c.filter(now, pick.Model, pick.Regions, c.byModel[pick.Model])
	candidates = slices.DeleteFunc(candidates, func(t *target) bool { return !t.hasAdapter(pick.Model, pick.Adapter) })
	candidates = avoid(candidates, pick.Exclude)
	scorer := scorer{core: c, now: now, pick: pick, meanLoad: c.meanFreshLoad(now, candidates)}
	var chosen *target
	if pick.ColocationKey != 0 {
		chosen = drawnBy(pick.ColocationKey, candidates)
	} else {
		chosen = best(c.draw(candidates, scorer), scorer.score)
	}
	if chosen != nil {
		chosen.prefixes.add(pick.Prefix)
	}
	c.take(now, pick.Ticket, pick.Model, chosen, known)
}

func (c *Core) pickService(now time.Time, pick PickService) {
	candidates, known := c.filter(now, fleet.ModelVersion{}, pick.Regions, c.byService[pick.Service])
	candidates = avoid(candidates, pick.Exclude)
	var chosen *target
	if pick.ColocationKey != 0 {
		chosen = drawnBy(pick.ColocationKey, candidates)
	} else {
		if own, _ := c.byZone(candidates); len(own) > 0 {
			candidates = own
		}
		chosen = best(c.two(candidates), func(t *target) time.Duration { return time.Duration(len(t.starts)) })
	}
	c.take(now, pick.Ticket, fleet.ModelVersion{}, chosen, known)
}

// filter returns the targets that may be sent to, and whether any was known.
func (c *Core) filter(now time.Time, model fleet.ModelVersion, regions locality.Regions, targets []*target) (candidates []*target, known bool) {
	for _, target := range targets {
		if c.isClosed(target, regions) {
			continue
		}
		known = true
		if allowed, _ := target.circuit.allows(now); allowed && !target.isRefusing(now, model) && target.bounds.CheckInternalCall(now).Admits() {
			candidates = append(candidates, target)
		}
	}
	return c.withoutOutliers(now, candidates), known
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

// isClosed reports whether no attempt that may run in the regions may begin at the
// target, however it does.
func (c *Core) isClosed(target *target, regions locality.Regions) bool {
	return c.isLeaving(target) || !c.isInService(target.backend.Zone, regions)
}

func (c *Core) isLeaving(target *target) bool {
	if c.options.Defects.IgnoreLeaving {
		return false
	}
	return target.backend.Leaving || target.bounds.IsDraining() || c.leaving[target.backend.Name]
}

func (c *Core) take(now time.Time, ticket Ticket, model fleet.ModelVersion, chosen *target, known bool) {
	if chosen == nil {
		c.emit(NonePicked{Ticket: ticket, Known: known})
		return
	}
	_, probe := chosen.circuit.allows(now)
	chosen.circuit.probing = probe
	chosen.started(now)
	c.flights[ticket] = &flight{target: chosen, model: model, started: now, incarnation: chosen.engine.Incarnation}
	c.emit(Picked{Ticket: ticket, Backend: chosen.backend, Probe: probe,
		Limit: chosen.bounds.Limit().Latest().Limit, Incarnation: chosen.engine.Incarnation})
}

func (c *Core) byZone(candidates []*target) (own, others []*target) {
	for _, candidate := range candidates {
		if candidate.backend.Zone == c.options.Zone {
			own = append(own, candidate)
		} else {
			others = append(others, candidate)
		}
	}
	return own, others
}

// draw takes two candidates of the own zone, one of the others, and the one
// that likely holds most of the prompt. Drawing keeps nodes with the same
// stale reports from all choosing the same back end.
func (c *Core) draw(candidates []*target, scorer scorer) []*target {
	if c.options.Defects.FirstBest {
		return candidates
	}
	own, others := c.byZone(candidates)
	var drawn []*target
	switch {
	case len(own) == 0:
		drawn = c.two(others)
	case len(others) == 0:
		drawn = c.two(own)
	default:
		drawn = append(c.two(own), others[c.random.IntN(len(others))])
	}
	if holder := scorer.longestMatch(candidates); holder != nil {
		drawn = append(drawn, holder)
	}
	return drawn
}

// drawnBy is the target that the number draws by rendezvous hashing, at whatever node; nil
// for none.
func drawnBy(number uint64, candidates []*target) *target {
	var drawn *target
	var highest uint64
	for _, candidate := range candidates {
		weight := xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(candidate.backend.Name), number))
		if drawn == nil || weight > highest {
			drawn, highest = candidate, weight
		}
	}
	return drawn
}

// two draws two different targets, or takes all that there are.
func (c *Core) two(candidates []*target) []*target {
	if len(candidates) <= 2 {
		return slices.Clone(candidates)
	}
	first := c.random.IntN(len(candidates))
	second := c.random.IntN(len(candidates) - 1)
	if second >= first {
		second++
	}
	return []*target{candidates[first], candidates[second]}
}

// best returns the target with the lowest score, among equals the first.
func best(drawn []*target, score func(*target) time.Duration) *target {
	var chosen *target
	var lowest time.Duration
	for _, candidate := range drawn {
		if its := score(candidate); chosen == nil || its < lowest {
			chosen, lowest = candidate, its
		}
	}
	return chosen
}
