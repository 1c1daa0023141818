package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// demand is the need for a further replica of one model, merged from the wants of all nodes.
type demand struct {
	model    fleet.ModelVersion
	waiting  int
	priority int
	deadline time.Time
	// standing is set where the replica is needed for standing capacity.
	standing bool
	// preload is set where no requests wait yet.
	preload bool
	// additional is set where the model already has a replica, ready or loading, in
	// this or another zone.
	additional bool
	adapters   []fleet.AdapterName
}

func (c *Core) updateWants(now time.Time, wants []fleet.Want) {
	for _, want := range wants {
		if want.Arrivals > 0 || want.Waiting > 0 {
			c.historyOf(want.Model).recordArrival(now)
			c.historyOf(want.Model).servedHere = want.Waiting > 0 || c.countUpperBound(want.Model) > 0
			c.policy.RequestsArrived(now, want.Model)
		}
		key := wantKey{want.Node, want.Adapter, want.Regions}
		if want.Waiting == 0 {
			delete(c.wants[want.Model], key)
			continue
		}
		if c.wants[want.Model] == nil {
			c.dirty = true
			c.wants[want.Model] = make(map[wantKey]expiringWant)
			c.timings.startWait(now, want.Model)
		}
		c.wants[want.Model][key] = expiringWant{Want: want, expiresAt: now.Add(c.settings.WantLifetime)}
		if refusal, refused := c.refusals[want.Model]; refused && !c.dirty {
			c.emit(refusal)
		}
	}
}

func (c *Core) historyOf(model fleet.ModelVersion) *history {
	known := c.history[model]
	if known == nil {
		known = &history{}
		c.history[model] = known
	}
	return known
}

func (c *Core) expireWants(now time.Time) {
	for model, wants := range c.wants {
		for key, want := range wants {
			if now.After(want.expiresAt) {
				delete(wants, key)
			}
		}
		if len(wants) == 0 {
			delete(c.wants, model)
			delete(c.timings.waits, model)
		}
	}
	for key, until := range c.avoidUntil {
		if now.After(until) {
			delete(c.avoidUntil, key)
		}
	}
}

// demandFor merges the wants of all nodes for the model into one demand.
func (c *Core) demandFor(model fleet.ModelVersion) (demand, bool) {
	wants := c.wants[model]
	if len(wants) == 0 {
		return demand{}, false
	}
	merged := demand{model: model, priority: c.models[model].Priority}
	for _, want := range wants {
		merged.waiting += want.Waiting
		merged.priority = max(merged.priority, want.Priority)
		if merged.deadline.IsZero() || want.Deadline.Before(merged.deadline) {
			merged.deadline = want.Deadline
		}
		if want.Adapter != "" && !slices.Contains(merged.adapters, want.Adapter) {
			merged.adapters = append(merged.adapters, want.Adapter)
		}
	}
	slices.Sort(merged.adapters)
	return merged, true
}

// compareDemand orders demands: standing capacity first, then waiting requests, then
// preloads. Within these, models without a replica come before additional replicas,
// then priority, deadline and number of waiting requests decide.
func compareDemand(a, b demand) int {
	return cmp.Or(
		-compareBool(a.standing, b.standing),
		compareBool(a.preload, b.preload),
		compareBool(a.additional, b.additional),
		-cmp.Compare(a.priority, b.priority),
		a.deadline.Compare(b.deadline),
		-cmp.Compare(a.waiting, b.waiting),
		a.model.Compare(b.model),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Busy reports whether any load, unload, order or want is pending.
func (c *Core) Busy() bool {
	if len(c.orders) > 0 || len(c.wants) > 0 {
		return true
	}
	for _, held := range c.engines {
		for _, loaded := range held.state.Models {
			if loaded.State != fleet.LoadReady {
				return true
			}
		}
	}
	return false
}
