package routing

import (
	"time"
)

// fullEngineCost is the additional time to the first token at an engine without free slots.
const fullEngineCost = 200 * time.Millisecond

// scorer estimates the time to the first token of one request.
type scorer struct {
	core     *Core
	now      time.Time
	pick     Pick
	meanLoad float64
}

// score sums up the load, the zone cost, the slow start and the time saved by the prefix cache. The
// load of an engine with a stale report is taken to be at least the mean of the others.
func (s scorer) score(target *target) time.Duration {
	options := s.core.options
	load := float64(target.load(options)) / float64(max(1, target.slots))
	if s.core.isStale(s.now, target) {
		load = max(load, s.meanLoad)
	}
	load /= target.slowStartShare(s.now, s.pick.Model, options.SlowStart)
	score := time.Duration(load * float64(fullEngineCost))
	if target.backend.Zone != options.Zone {
		score += options.OtherZoneCost
	}
	return score - time.Duration(target.prefixes.match(s.pick.Prefix))*options.PrefillSaved
}

// longestMatch returns the target that likely has most of the prompt cached, or nil.
func (s scorer) longestMatch(candidates []*target) *target {
	var holder *target
	longest := 0
	for _, candidate := range candidates {
		if match := candidate.prefixes.match(s.pick.Prefix); match > longest {
			holder, longest = candidate, match
		}
	}
	return holder
}

func (c *Core) isStale(now time.Time, target *target) bool {
	return now.Sub(target.reportedAt) > c.options.StaleAfter
}

// meanFreshLoad returns the mean share of slots in use at targets with a fresh report.
func (c *Core) meanFreshLoad(now time.Time, candidates []*target) float64 {
	sum, count := 0.0, 0
	for _, candidate := range candidates {
		if !c.isStale(now, candidate) {
			sum += float64(candidate.load(c.options)) / float64(max(1, candidate.slots))
			count++
		}
	}
	return sum / float64(max(1, count))
}
