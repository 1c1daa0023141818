package policy

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// clairvoyant is a policy that knows the future requests of the trace: it loads
// just in time, unloads at once if the next request is far away, and evicts the
// model whose next request is the latest.
type clairvoyant struct {
	simulation *simulation
	zone       *zone
	preloads   bool
}

const (
	// preloadMargin covers the interval between two plans and the latency of the
	// order.
	preloadMargin = idlePlanInterval + time.Second
	// keepFactor is how many load times an idle model is kept for.
	keepFactor = 2
)

func (clairvoyant) RequestsArrived(time.Time, fleet.ModelVersion) {}

// untilNext returns the time until the model's next request.
func (c clairvoyant) untilNext(model int) time.Duration {
	times := c.simulation.trace.arrivals[model]
	index, _ := slices.BinarySearch(times, c.simulation.now)
	if index == len(times) {
		return never
	}
	return times[index] - c.simulation.now
}

// ShouldUnload keeps an idle model only if its reload would have to begin soon.
func (c clairvoyant) ShouldUnload(_, _ time.Time, model fleet.ModelVersion) bool {
	index := c.simulation.modelIndex[model]
	for _, engine := range c.zone.engines {
		// An unloading replica can't be loaded again before its running requests
		// end.
		if held := engine.findReplica(index); held != nil && held.running > 0 {
			return false
		}
	}
	reload := loadTime(c.simulation.trace.models[index].bytes, fleet.TierMemory)
	return c.untilNext(index) > keepFactor*reload+preloadMargin
}

func (c clairvoyant) EvictionCost(_, _ time.Time, model fleet.ModelVersion) float64 {
	return 1 / (1 + c.untilNext(c.simulation.modelIndex[model]).Minutes())
}

func (c clairvoyant) LikelyToWake(_ time.Time, model fleet.ModelVersion) bool {
	if !c.preloads {
		return false
	}
	index := c.simulation.modelIndex[model]
	best := c.bestEngine(index)
	if best == nil || best.zone != c.zone {
		return false
	}
	duration := loadTime(c.simulation.trace.models[index].bytes, best.cache.tier(index))
	return c.untilNext(index) <= duration+preloadMargin
}

// bestEngine returns the engine that would load the model fastest, or nil if some
// engine has it already or none may load it.
func (c clairvoyant) bestEngine(model int) *engine {
	var best *engine
	bytes := c.simulation.trace.models[model].bytes
	var bestTime time.Duration
	for _, candidate := range c.simulation.engines {
		if !candidate.up || c.simulation.record.Limit(c.simulation.models[model].Model, candidate.zone.name) == 0 {
			continue
		}
		if candidate.findReplica(model) != nil {
			return nil
		}
		duration := loadTime(bytes, candidate.cache.tier(model))
		if !candidate.fits(bytes) {
			duration += time.Minute
		}
		if best == nil || duration < bestTime {
			best, bestTime = candidate, duration
		}
	}
	return best
}
