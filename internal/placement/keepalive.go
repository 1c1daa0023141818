package placement

import (
	"math"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	// evictSpan is how far ahead the chance of waking counts for an eviction.
	evictSpan = 10 * time.Minute
	// preloadFactor is by how much more a load ahead must be worth than keeping
	// what is loaded: it costs a load, and the model must not come and go.
	preloadFactor = 1.5
	// extraKeepAlive is for replicas beyond the first and beyond standing
	// capacity.
	extraKeepAlive = time.Minute
	// worthBase is the worth of a second of cold start at the preferences 1 and
	// 0, in GiB hours and in parts of one.
	worthBase = 20.0
	// tailSeconds is the cold start that counts as it is; longer ones count more
	// and shorter ones less, since the tail is made of the longest.
	tailSeconds = 5.0
)

// unloadIdle unloads what has been idle beyond its keep-alive, what the zone
// holds beyond a lowered limit, and what a leaving engine holds: it gets no new
// work, and its replicas stand in the way of others.
func (c *Core) unloadIdle(now time.Time) {
	for _, name := range c.engineNames() {
		held := c.engines[name]
		for _, loaded := range held.state.Models {
			if loaded.State == fleet.LoadUnloading || c.orderInFlight(name, loaded.Model) || c.avoided(name, loaded.Model) {
				continue
			}
			if held.leaving || c.beyondLimit(loaded.Model) || c.idleTooLong(now, loaded) {
				c.send(now, name, backend.Order{Action: backend.ActionUnload, Model: loaded.Model})
			}
		}
	}
}

func (c *Core) avoided(name fleet.BackendName, model fleet.ModelVersion) bool {
	_, avoided := c.avoid[placementKey{name, model}]
	return avoided
}

// beyondLimit reports whether a replica must go so that the limit is kept.
func (c *Core) beyondLimit(model fleet.ModelVersion) bool {
	remaining := 0
	for name, held := range c.engines {
		loaded := held.state.Find(model)
		if loaded == nil && c.loadInFlight(name, model) {
			remaining++
		}
		if loaded != nil && loaded.State != fleet.LoadUnloading && !c.unloadInFlight(name, model) {
			remaining++
		}
	}
	return remaining > c.limits[model]
}

func (c *Core) unloadInFlight(name fleet.BackendName, model fleet.ModelVersion) bool {
	for _, order := range c.orders {
		if order.engine == name && order.Model == model && order.Action == backend.ActionUnload {
			return true
		}
	}
	return false
}

func (c *Core) idleTooLong(now time.Time, loaded fleet.LoadedModel) bool {
	if loaded.State != fleet.LoadReady || !c.mayEvict(now, loaded) {
		return false
	}
	return c.policy.ShouldUnload(now, c.idleSince(loaded), loaded.Model)
}

// ownPolicy goes by each model's own idle times.
type ownPolicy struct{ core *Core }

func (ownPolicy) RequestsArrived(time.Time, fleet.ModelVersion) {}

func (p ownPolicy) ShouldUnload(now, idleSince time.Time, model fleet.ModelVersion) bool {
	c := p.core
	idle := now.Sub(idleSince)
	if c.without.IdleTimes {
		return idle > c.settings.KeepAlive
	}
	if ready, _ := c.replicas(model); ready > max(1, c.standing[model]) && idle > extraKeepAlive {
		return true
	}
	return c.worthKeeping(model, p.idle(now, idleSince, model)) < 1
}

// idle is the time since the last request, also for a model that was loaded
// ahead since then: what it was loaded for is still due.
func (p ownPolicy) idle(now, idleSince time.Time, model fleet.ModelVersion) time.Duration {
	if last := p.core.historyOf(model).lastArrival; !last.IsZero() {
		return now.Sub(last)
	}
	return now.Sub(idleSince)
}

// EvictionCost is the cost of loading again, times the chance that the model
// wakes soon.
func (p ownPolicy) EvictionCost(now, idleSince time.Time, model fleet.ModelVersion) float64 {
	if p.core.without.EvictionCost {
		return leastRecentlyUsedCost(now, idleSince)
	}
	chance := min(1, p.core.historyOf(model).wakeIndex(p.idle(now, idleSince, model))*evictSpan.Hours())
	return chance * sizeCost(p.core.models[model]) * costDisk
}

// leastRecentlyUsedCost falls from 1 with the time of idleness.
func leastRecentlyUsedCost(now, idleSince time.Time) float64 {
	return 1 / (1 + now.Sub(idleSince).Minutes())
}

func (p ownPolicy) LikelyToWake(now time.Time, model fleet.ModelVersion) bool {
	return !p.core.without.Preload && p.core.likelyToWake(now, model)
}

// idleSince is the last arrival, or when the model became ready.
func (c *Core) idleSince(loaded fleet.LoadedModel) time.Time {
	last := c.historyOf(loaded.Model).lastArrival
	if loaded.ReadySince.After(last) {
		return loaded.ReadySince
	}
	return last
}

// worthKeeping is what keeping the model loaded saves in cold starts over what
// the memory costs meanwhile; it is kept while that is at least 1.
func (c *Core) worthKeeping(model fleet.ModelVersion, idle time.Duration) float64 {
	facts := c.models[model]
	seconds := c.reloadSeconds(facts)
	seconds *= math.Sqrt(seconds / tailSeconds)
	perHour := c.historyOf(model).wakeIndex(idle)
	return c.worthOfSecond() * seconds * perHour / (float64(facts.MemoryBytes) / gibibyte)
}

const gibibyte = 1 << 30

// worthOfSecond is what a second of cold start is worth, in GiB hours.
func (c *Core) worthOfSecond() float64 {
	return math.Pow(worthBase, 2*c.coldStartWeight-1)
}

// reloadSeconds is how long a load takes from the nearest tier of the zone.
func (c *Core) reloadSeconds(facts catalog.ModelInfo) float64 {
	best := costRemote
	for _, held := range c.engines {
		if held.serving() {
			best = min(best, tierCost(held.tier(facts.Model)))
		}
	}
	return best * sizeCost(facts) * referenceLoad.Seconds()
}

// referenceLoad is about what a checkpoint of referenceBytes takes from the
// weight store.
const (
	referenceLoad  = 20 * time.Second
	referenceBytes = 14 << 30
)

// sizeCost is the size of a checkpoint against that of the reference.
func sizeCost(facts catalog.ModelInfo) float64 {
	return float64(facts.CheckpointBytes) / referenceBytes
}

// likelyToWake reports whether a model that is not loaded is worth loading
// ahead of its next request.
func (c *Core) likelyToWake(now time.Time, model fleet.ModelVersion) bool {
	history := c.history[model]
	if history == nil || !history.here || c.elsewhere[model] || c.without.IdleTimes {
		return false
	}
	facts := c.models[model]
	lead := time.Duration(c.reloadSeconds(facts) * float64(time.Second))
	return c.worthKeeping(model, now.Sub(history.lastArrival)+lead) >= preloadFactor
}
