package placement

import (
	"math"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	// evictionHorizon is the time within which a model's probability of waking counts
	// towards its eviction cost.
	evictionHorizon = 10 * time.Minute
	// preloadFactor is the retention value required to preload a model, where 1 suffices
	// to keep a loaded one: a preload costs a load, and the margin prevents repeated
	// loading and unloading.
	preloadFactor = 1.5
	// extraKeepAlive is the idle time after which replicas beyond the first and
	// beyond standing capacity are unloaded.
	extraKeepAlive = time.Minute
	// secondValueBase determines the value of a second of cold start in GiB hours: it
	// is the value at a cold-start weight of 1, and its reciprocal that at 0.
	secondValueBase = 20.0
	// tailThresholdSeconds is the cold-start duration that counts unchanged; longer
	// ones count more and shorter ones less, since the longest make up the tail.
	tailThresholdSeconds = 5.0
)

// unloadIdle unloads replicas that have been idle for too long, replicas beyond a
// lowered limit, and all replicas of leaving engines: those serve no new requests
// but still count towards the limits.
func (c *Core) unloadIdle(now time.Time) {
	for _, name := range c.engineNames() {
		held := c.engines[name]
		for _, loaded := range held.state.Models {
			if loaded.State == fleet.LoadUnloading || c.orderInFlight(name, loaded.Model) || c.isAvoided(name, loaded.Model) {
				continue
			}
			if held.leaving || c.exceedsLimit(loaded.Model) || c.isIdleTooLong(now, loaded) {
				c.send(now, name, backend.Order{Action: backend.ActionUnload, Model: loaded.Model})
			}
		}
	}
}

// isAvoided reports whether the engine is not used for the model after a failed order.
func (c *Core) isAvoided(name fleet.BackendName, model fleet.ModelVersion) bool {
	_, isAvoided := c.avoidUntil[placementKey{name, model}]
	return isAvoided
}

// exceedsLimit reports whether the zone has more replicas of the model than its limit.
func (c *Core) exceedsLimit(model fleet.ModelVersion) bool {
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

func (c *Core) isIdleTooLong(now time.Time, loaded fleet.LoadedModel) bool {
	if loaded.State != fleet.LoadReady || !c.isEvictable(now, loaded) {
		return false
	}
	return c.policy.ShouldUnload(now, c.idleSince(loaded), loaded.Model)
}

// defaultPolicy decides by each model's history of idle times.
type defaultPolicy struct{ core *Core }

func (defaultPolicy) RequestsArrived(time.Time, fleet.ModelVersion) {}

func (p defaultPolicy) ShouldUnload(now, idleSince time.Time, model fleet.ModelVersion) bool {
	c := p.core
	idle := now.Sub(idleSince)
	if c.disabled.IdleTimes {
		return idle > c.settings.KeepAlive
	}
	if ready, _ := c.countReplicas(model); ready > max(1, c.standing[model]) && idle > extraKeepAlive {
		return true
	}
	return c.retentionValue(model, p.idle(now, idleSince, model)) < 1
}

// idle returns the time since the last request. A preload does not reset it, since
// the request for which the model was preloaded has not arrived yet.
func (p defaultPolicy) idle(now, idleSince time.Time, model fleet.ModelVersion) time.Duration {
	if last := p.core.historyOf(model).lastArrival; !last.IsZero() {
		return now.Sub(last)
	}
	return now.Sub(idleSince)
}

// EvictionCost returns the cost of loading the model again, times the probability
// that it wakes within evictionHorizon.
func (p defaultPolicy) EvictionCost(now, idleSince time.Time, model fleet.ModelVersion) float64 {
	if p.core.disabled.EvictionCost {
		return leastRecentlyUsedCost(now, idleSince)
	}
	probability := min(1, p.core.historyOf(model).wakeRate(p.idle(now, idleSince, model))*evictionHorizon.Hours())
	return probability * relativeSize(p.core.models[model]) * costDisk
}

// leastRecentlyUsedCost decreases from 1 towards 0 with the idle time.
func leastRecentlyUsedCost(now, idleSince time.Time) float64 {
	return 1 / (1 + now.Sub(idleSince).Minutes())
}

func (p defaultPolicy) LikelyToWake(now time.Time, model fleet.ModelVersion) bool {
	return !p.core.disabled.Preload && p.core.likelyToWake(now, model)
}

// idleSince returns the time of the last arrival, or when the model became ready if that is later.
func (c *Core) idleSince(loaded fleet.LoadedModel) time.Time {
	last := c.historyOf(loaded.Model).lastArrival
	if loaded.ReadySince.After(last) {
		return loaded.ReadySince
	}
	return last
}

// retentionValue returns the ratio of the cold-start time that keeping the model
// loaded saves to the cost of its memory. A model is kept while it is at least 1.
func (c *Core) retentionValue(model fleet.ModelVersion, idle time.Duration) float64 {
	info := c.models[model]
	seconds := c.reloadSeconds(info)
	seconds *= math.Sqrt(seconds / tailThresholdSeconds)
	wakesPerHour := c.historyOf(model).wakeRate(idle)
	return c.coldStartSecondValue() * seconds * wakesPerHour / (float64(info.MemoryBytes) / gibibyte)
}

const gibibyte = 1 << 30

// coldStartSecondValue returns the value of a second of cold start in GiB hours.
func (c *Core) coldStartSecondValue() float64 {
	return math.Pow(secondValueBase, 2*c.coldStartWeight-1)
}

// reloadSeconds estimates the duration of a load from the fastest tier in the zone that holds
// the checkpoint.
func (c *Core) reloadSeconds(info catalog.ModelInfo) float64 {
	best := costRemote
	for _, held := range c.engines {
		if held.serving() {
			best = min(best, tierCost(held.tier(info.Model)))
		}
	}
	return best * relativeSize(info) * referenceLoad.Seconds()
}

// referenceLoad is the approximate time to load a checkpoint of referenceBytes
// from the weight store.
const (
	referenceLoad  = 20 * time.Second
	referenceBytes = 14 << 30
)

// relativeSize returns the size of the checkpoint relative to referenceBytes.
func relativeSize(info catalog.ModelInfo) float64 {
	return float64(info.CheckpointBytes) / referenceBytes
}

// likelyToWake reports whether a model that is not loaded is worth preloading before
// its next request. The zone must have served it last, and no other zone may hold it.
func (c *Core) likelyToWake(now time.Time, model fleet.ModelVersion) bool {
	history := c.history[model]
	if history == nil || !history.servedHere || c.replicasElsewhere[model] || c.disabled.IdleTimes {
		return false
	}
	info := c.models[model]
	lead := time.Duration(c.reloadSeconds(info) * float64(time.Second))
	return c.retentionValue(model, now.Sub(history.lastArrival)+lead) >= preloadFactor
}
