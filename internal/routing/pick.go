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
	candidates = avoidExcluded(candidates, pick.Exclude)
	scorer := scorer{core: c, now: now, pick: pick, meanLoad: c.meanFreshLoad(now, candidates)}
	var chosen *target
	if pick.ColocationKey != 0 {
		chosen = rendezvousTarget(pick.ColocationKey, candidates)
	} else {
		chosen = lowestScore(c.drawCandidates(candidates, scorer), scorer.score)
	}
	if chosen != nil {
		chosen.prefixes.add(pick.Prefix)
	}
	c.finishPick(now, pick.Ticket, pick.Model, chosen, known)
}

func (c *Core) pickService(now time.Time, pick PickService) {
	candidates, known := c.filter(now, fleet.ModelVersion{}, pick.Regions, c.byService[pick.Service])
	candidates = avoidExcluded(candidates, pick.Exclude)
	var chosen *target
	if pick.ColocationKey != 0 {
		chosen = rendezvousTarget(pick.ColocationKey, candidates)
	} else {
		if own, _ := c.splitByZone(candidates); len(own) > 0 {
			candidates = own
		}
		chosen = lowestScore(c.drawTwo(candidates), func(t *target) time.Duration { return time.Duration(len(t.starts)) })
	}
	c.finishPick(now, pick.Ticket, fleet.ModelVersion{}, chosen, known)
}

// filter returns the targets to which attempts may be sent now, and whether any target is known at
// which attempts may start.
func (c *Core) filter(now time.Time, model fleet.ModelVersion, regions locality.Regions, targets []*target) (candidates []*target, known bool) {
	for _, target := range targets {
		if c.isClosed(target, regions) {
			continue
		}
		known = true
		if now.Before(c.refreshUntil) {
			continue
		}
		if allowed, _ := target.circuit.allows(now); allowed && !target.isRefusing(now, model) && target.admissionState.CheckInternalCall(now).Admits() {
			candidates = append(candidates, target)
		}
	}
	return c.withoutOutliers(now, candidates), known
}

// avoidExcluded removes the excluded targets, unless there are no others.
func avoidExcluded(candidates []*target, exclude []fleet.BackendName) []*target {
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

// isClosed reports whether no attempt within the regions may start at the target, regardless of its
// health.
func (c *Core) isClosed(target *target, regions locality.Regions) bool {
	return c.isLeaving(target) || !c.isInService(target.backend.Zone, regions)
}

func (c *Core) isLeaving(target *target) bool {
	if c.options.Defects.IgnoreLeaving {
		return false
	}
	return target.backend.Leaving || target.admissionState.IsDraining() || c.leaving[target.backend.Name]
}

// finishPick registers the attempt at the chosen target and emits the answer to a pick.
func (c *Core) finishPick(now time.Time, ticket Ticket, model fleet.ModelVersion, chosen *target, known bool) {
	if chosen == nil {
		c.emit(NonePicked{Ticket: ticket, Known: known})
		return
	}
	_, probe := chosen.circuit.allows(now)
	chosen.circuit.probing = probe
	chosen.started(now)
	c.attempts[ticket] = &attempt{target: chosen, model: model, started: now, incarnation: chosen.engine.Incarnation}
	c.emit(Picked{Ticket: ticket, Backend: chosen.backend, Probe: probe,
		Limit: chosen.admissionState.Limit().Latest().Limit, Incarnation: chosen.engine.Incarnation})
}

func (c *Core) splitByZone(candidates []*target) (own, others []*target) {
	for _, candidate := range candidates {
		if candidate.backend.Zone == c.options.Zone {
			own = append(own, candidate)
		} else {
			others = append(others, candidate)
		}
	}
	return own, others
}

// drawCandidates draws two candidates of the own zone and one of the others, and adds the one that
// likely has most of the prompt cached. The random choice keeps nodes with the same stale reports
// from all choosing the same back end.
func (c *Core) drawCandidates(candidates []*target, scorer scorer) []*target {
	if c.options.Defects.FirstBest {
		return candidates
	}
	own, others := c.splitByZone(candidates)
	var drawn []*target
	switch {
	case len(own) == 0:
		drawn = c.drawTwo(others)
	case len(others) == 0:
		drawn = c.drawTwo(own)
	default:
		drawn = append(c.drawTwo(own), others[c.random.IntN(len(others))])
	}
	if holder := scorer.longestMatch(candidates); holder != nil {
		drawn = append(drawn, holder)
	}
	return drawn
}

// rendezvousTarget returns the candidate that every node selects for the key by rendezvous hashing;
// nil if there are no candidates.
func rendezvousTarget(key uint64, candidates []*target) *target {
	var chosen *target
	var highest uint64
	for _, candidate := range candidates {
		weight := xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(candidate.backend.Name), key))
		if chosen == nil || weight > highest {
			chosen, highest = candidate, weight
		}
	}
	return chosen
}

// drawTwo draws two different targets, or returns all if there are fewer than three.
func (c *Core) drawTwo(candidates []*target) []*target {
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

// lowestScore returns the target with the lowest score, the first of them on a tie.
func lowestScore(candidates []*target, score func(*target) time.Duration) *target {
	var chosen *target
	var lowest time.Duration
	for _, candidate := range candidates {
		if candidateScore := score(candidate); chosen == nil || candidateScore < lowest {
			chosen, lowest = candidate, candidateScore
		}
	}
	return chosen
}
