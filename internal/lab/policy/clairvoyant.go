package policy

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// clairvoyant knows the trace: it loads just in time, unloads at once where the
// next request is far, and evicts what is wanted last.
type clairvoyant struct {
	world    *world
	zone     *zone
	preloads bool
}

const (
	// preloadMargin covers the time between two plans and the order's way.
	preloadMargin = idleTick + time.Second
	// keepFactor is how many loads' time an idle model is kept for.
	keepFactor = 2
)

func (clairvoyant) RequestsArrived(time.Time, fleet.ModelVersion) {}

// untilNext is the time until the model's next request.
func (c clairvoyant) untilNext(model int) time.Duration {
	times := c.world.trace.arrivals[model]
	index, _ := slices.BinarySearch(times, c.world.now)
	if index == len(times) {
		return never
	}
	return times[index] - c.world.now
}

// ShouldUnload keeps a model only where a load would have to begin about at once.
func (c clairvoyant) ShouldUnload(_, _ time.Time, model fleet.ModelVersion) bool {
	index := c.world.modelIndex[model]
	for _, engine := range c.zone.engines {
		// One that unloads can't be loaded again before it has ended its work.
		if held := engine.find(index); held != nil && held.running > 0 {
			return false
		}
	}
	reload := loadTime(c.world.trace.models[index].bytes, fleet.TierMemory)
	return c.untilNext(index) > keepFactor*reload+preloadMargin
}

func (c clairvoyant) EvictionCost(_, _ time.Time, model fleet.ModelVersion) float64 {
	return 1 / (1 + c.untilNext(c.world.modelIndex[model]).Minutes())
}

func (c clairvoyant) LikelyToWake(_ time.Time, model fleet.ModelVersion) bool {
	if !c.preloads {
		return false
	}
	index := c.world.modelIndex[model]
	best := c.bestEngine(index)
	if best == nil || best.zone != c.zone {
		return false
	}
	takes := loadTime(c.world.trace.models[index].bytes, best.cache.tier(index))
	return c.untilNext(index) <= takes+preloadMargin
}

// bestEngine is where the model would be loaded fastest; nil where some engine
// has it already.
func (c clairvoyant) bestEngine(model int) *engine {
	var best *engine
	bytes := c.world.trace.models[model].bytes
	var bestTime time.Duration
	for _, candidate := range c.world.engines {
		if !candidate.up || c.world.record.Limit(c.world.facts[model].Model, candidate.zone.name) == 0 {
			continue
		}
		if candidate.find(model) != nil {
			return nil
		}
		takes := loadTime(bytes, candidate.cache.tier(model))
		if !candidate.fits(bytes) {
			takes += time.Minute
		}
		if best == nil || takes < bestTime {
			best, bestTime = candidate, takes
		}
	}
	return best
}
