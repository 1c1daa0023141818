package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// demand is all that waits for one model, from however many nodes.
type demand struct {
	model    fleet.ModelVersion
	waiting  int
	priority int
	deadline time.Time
	// standing is set where the replica is wanted by standing capacity.
	standing bool
	// preload is set where nothing waits yet.
	preload bool
	// further is set where the model has a replica, or gets one, here or in
	// another zone.
	further  bool
	adapters []fleet.AdapterName
}

func (c *Core) takeWants(now time.Time, wants []fleet.Want) {
	for _, want := range wants {
		if want.Arrivals > 0 || want.Waiting > 0 {
			c.historyOf(want.Model).arrive(now)
			c.historyOf(want.Model).here = want.Waiting > 0 || c.count(want.Model) > 0
			c.policy.RequestsArrived(now, want.Model)
		}
		key := wantKey{want.Node, want.Adapter, want.Regions}
		if want.Waiting == 0 {
			delete(c.wants[want.Model], key)
			continue
		}
		if c.wants[want.Model] == nil {
			c.dirty = true
			c.wants[want.Model] = make(map[wantKey]timedWant)
			c.timings.waiting(now, want.Model)
		}
		c.wants[want.Model][key] = timedWant{Want: want, until: now.Add(c.settings.WantLifetime)}
		if refusal, found := c.refused[want.Model]; found && !c.dirty {
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
			if now.After(want.until) {
				delete(wants, key)
			}
		}
		if len(wants) == 0 {
			delete(c.wants, model)
			delete(c.timings.waits, model)
		}
	}
	for key, until := range c.avoid {
		if now.After(until) {
			delete(c.avoid, key)
		}
	}
}

// demandFor merges the wants of all nodes into one.
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

// compareDemand orders loads: standing capacity first, then what waits: models
// that nobody serves before further replicas, by priority, deadline and number
// waiting.
func compareDemand(a, b demand) int {
	return cmp.Or(
		-compareBool(a.standing, b.standing),
		compareBool(a.preload, b.preload),
		compareBool(a.further, b.further),
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

// Busy reports whether something loads, waits or is ordered.
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
