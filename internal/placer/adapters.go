package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

const (
	// adapterRate is the requests in a second that call for one more copy of
	// an adapter.
	adapterRate = 3.0
	// adapterInterest is how long an adapter that was asked for is wanted.
	adapterInterest = 3 * time.Second
	// adapterYoung is how long an adapter that was asked for is kept.
	adapterYoung = time.Second
	// pendingAdapters is the number of adapters on their way to a server.
	maxPendingAdapters = 4
)

type adapterWant struct {
	wanted  dispatch.Wanted
	waiting int
	rate    float64
	copies  int
}

// planAdapters brings adapters that are asked for to servers that hold their
// models.
func (c *Core) planAdapters(now time.Time, service string, engine *routetable.Engine, servers []*server) {
	for _, wanted := range c.adapterWants(now, service, servers) {
		c.bringAdapter(now, engine, servers, wanted)
	}
}

func (c *Core) adapterWants(now time.Time, service string, servers []*server) []adapterWant {
	var wants []adapterWant
	for wanted, known := range c.interests {
		if wanted.Service != service || wanted.Adapter == "" || now.Sub(known.lastAsk) > adapterInterest {
			continue
		}
		known.fade(now)
		copies := adapterCopies(servers, wanted)
		needed := 1 + int(known.fast.requests/adapterRate)
		if known.isStuck(now) && copies < needed+maxBeyond {
			needed = copies + 1
		}
		if copies < needed {
			wants = append(wants, adapterWant{wanted: wanted, waiting: known.waits(now), rate: known.fast.requests, copies: copies})
		}
	}
	slices.SortFunc(wants, func(a, b adapterWant) int {
		return cmp.Or(
			cmp.Compare(min(a.copies, 1), min(b.copies, 1)),
			-cmp.Compare(a.waiting, b.waiting),
			-cmp.Compare(a.rate, b.rate),
			strings.Compare(a.wanted.Model, b.wanted.Model),
			strings.Compare(a.wanted.Adapter, b.wanted.Adapter),
		)
	})
	return wants
}

func adapterCopies(servers []*server, wanted dispatch.Wanted) int {
	count := 0
	for _, s := range servers {
		if model, ok := s.held[wanted.Model]; ok && !s.info.Draining && model.adapters[wanted.Adapter] != nil {
			count++
		}
	}
	return count
}

func (c *Core) bringAdapter(now time.Time, engine *routetable.Engine, servers []*server, wanted adapterWant) {
	var best *server
	for _, s := range servers {
		model, ok := s.held[wanted.wanted.Model]
		if !ok || !s.canTake(now) || model.adapters[wanted.wanted.Adapter] != nil || s.pendingAdapters(now) >= maxPendingAdapters {
			continue
		}
		if best == nil || s.adapterCount() < best.adapterCount() {
			best = s
		}
	}
	if best == nil {
		return
	}
	if best.adapterCount() >= engine.AdapterSlots {
		c.dropAdapter(now, best, wanted)
		return
	}
	best.held[wanted.wanted.Model].adapters[wanted.wanted.Adapter] = &adapter{ready: now.Add(adapterTime), lastUse: now}
	c.give(best, Order{Operation: Load, Model: wanted.wanted.Model, Adapter: wanted.wanted.Adapter, Reason: "wanted"})
}

// dropAdapter makes room by the adapter that was asked for longest ago.
func (c *Core) dropAdapter(now time.Time, s *server, wanted adapterWant) {
	var oldest dispatch.Wanted
	var oldestAsk time.Time
	for modelName, model := range s.held {
		for name, known := range model.adapters {
			candidate := dispatch.Wanted{Service: s.info.Service, Model: modelName, Adapter: name}
			asked := known.lastUse
			if interest, ok := c.interests[candidate]; ok && interest.lastAsk.After(asked) {
				asked = interest.lastAsk
			}
			if now.Before(known.ready) || now.Sub(asked) < adapterYoung {
				continue
			}
			isOlder := oldest.Adapter == "" || asked.Before(oldestAsk)
			isFirst := asked.Equal(oldestAsk) && modelName+"/"+name < oldest.Model+"/"+oldest.Adapter
			if isOlder || isFirst {
				oldest, oldestAsk = candidate, asked
			}
		}
	}
	if oldest.Adapter == "" {
		return
	}
	c.give(s, Order{Operation: Unload, Model: oldest.Model, Adapter: oldest.Adapter, Reason: "room_for_" + wanted.wanted.Adapter})
}
