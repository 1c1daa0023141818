package placement

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	// wakeSpan is how far ahead the chance of waking is judged.
	wakeSpan = 10 * time.Minute
	// Limits of the quantile of idle times that a model is kept for.
	leastKeepQuantile = 0.3
	mostKeepQuantile  = 0.95
	shortestKeepAlive = 10 * time.Second
	longestKeepAlive  = 4 * time.Hour
	preloadChance     = 0.5
	preloadSpan       = time.Minute
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
	return c.policy.Expired(now, c.idleSince(loaded), loaded.Model)
}

// ownPolicy goes by each model's own idle times.
type ownPolicy struct{ core *Core }

func (ownPolicy) Arrived(time.Time, fleet.ModelVersion) {}

func (p ownPolicy) Expired(now, idleSince time.Time, model fleet.ModelVersion) bool {
	return now.Sub(idleSince) > p.core.keepAlive(model)
}

// EvictionCost is the cost of loading again, times the chance that the model
// wakes soon.
func (p ownPolicy) EvictionCost(now, idleSince time.Time, model fleet.ModelVersion) float64 {
	if p.core.without.EvictionCost {
		return leastRecentlyUsedCost(now, idleSince)
	}
	return costRemote * p.core.chanceOfWaking(now, model)
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

// keepAlive is a quantile of the model's own idle times: the more the tail of
// cold starts counts, the higher.
func (c *Core) keepAlive(model fleet.ModelVersion) time.Duration {
	history := c.historyOf(model)
	if !history.known() || c.without.IdleTimes {
		return c.settings.KeepAlive
	}
	quantile := leastKeepQuantile + (mostKeepQuantile-leastKeepQuantile)*c.coldStartWeight
	return min(max(history.quantile(quantile), shortestKeepAlive), longestKeepAlive)
}

func (c *Core) chanceOfWaking(now time.Time, model fleet.ModelVersion) float64 {
	history := c.historyOf(model)
	if !history.known() {
		return keepAliveQuantile
	}
	return history.chance(now.Sub(history.lastArrival), wakeSpan)
}

// likelyToWake reports whether a model that is not loaded is worth loading
// ahead of its next request.
func (c *Core) likelyToWake(now time.Time, model fleet.ModelVersion) bool {
	history := c.history[model]
	if history == nil || !history.known() {
		return false
	}
	chance := history.chance(now.Sub(history.lastArrival), preloadSpan)
	return chance*c.coldStartWeight > preloadChance*(1-c.coldStartWeight)
}
