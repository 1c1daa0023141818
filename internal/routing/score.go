package routing

import (
	"time"
)

// fullEngineCost is the added time to the first token at an engine whose slots
// are all taken.
const fullEngineCost = 200 * time.Millisecond

// scorer estimates the time until the first token of one request.
type scorer struct {
	core     *Core
	now      time.Time
	pick     Pick
	meanLoad float64
}

// score adds up load, zone, slow start and what the prefix cache saves. An
// engine whose report is old is taken to be loaded at least as the others are.
func (s scorer) score(target *target) time.Duration {
	options := s.core.options
	load := float64(target.load(options)) / float64(max(1, target.slots))
	if s.core.isStale(s.now, target) {
		load = max(load, s.meanLoad)
	}
	load /= target.ramp(s.now, s.pick.Model, options.SlowStart)
	score := time.Duration(load * float64(fullEngineCost))
	if target.backend.Zone != options.Zone {
		score += options.OtherZoneCost
	}
	return score - time.Duration(target.prefixes.match(s.pick.Prefix))*options.PrefillSaved
}

// longestMatch returns the target that likely holds most of the prompt, or nil.
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
	return now.Sub(target.reported) > c.options.StaleAfter
}

// meanFreshLoad is the mean share of slots taken at targets with a fresh report.
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
