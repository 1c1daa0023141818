package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

const (
	// adapterRate is the requests in a second that call for one more copy of
	// an adapter.
	adapterRate = 3.0
	// adapterInterest is how long an adapter that was asked for is wanted.
	adapterInterest = 3 * time.Second
	// adapterYoung is how long an adapter that was asked for is kept.
	adapterYoung = time.Second
	// maxPendingAdapters is the number of adapters on their way to a server.
	maxPendingAdapters = 4
)

type adapterWant struct {
	wanted  dispatch.Requirements
	waiting int
	rate    float64
	copies  int
}

// planAdapters brings adapters that are asked for to servers that hold their
// models.
func (r *round) planAdapters() {
	for _, wanted := range r.adapterWants() {
		r.bringAdapter(wanted)
	}
}

func (r *round) adapterWants() []adapterWant {
	var wants []adapterWant
	for wanted, known := range r.core.demand.interests {
		if wanted.Service != r.service || wanted.Adapter == "" || r.now.Sub(known.lastAsk) > adapterInterest {
			continue
		}
		known.fade(r.now)
		copies := r.adapterCopies(wanted)
		needed := 1 + int(known.fast.requests/adapterRate)
		if known.isStuck(r.now) && copies < needed+maxBeyond {
			needed = copies + 1
		}
		if copies < needed {
			wants = append(wants, adapterWant{wanted: wanted, waiting: known.waits(r.now), rate: known.fast.requests, copies: copies})
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

func (r *round) adapterCopies(wanted dispatch.Requirements) int {
	count := 0
	for _, s := range r.servers {
		if !s.takesOrders() || !r.isIn(s, wanted.Regions) {
			continue
		}
		if model, ok := s.held[wanted.Model]; ok && (model.adapters[wanted.Adapter] != nil || s.isBringing(wanted)) {
			count++
		}
	}
	return count
}

// isBringing reports whether an order for the adapter has no answer yet. Nobody
// is told of it before: the order may be lost.
func (s *server) isBringing(wanted dispatch.Requirements) bool {
	order := s.ordering
	return order != nil && order.Operation == Load && order.Model == wanted.Model && order.Adapter == wanted.Adapter
}

func (r *round) bringAdapter(wanted adapterWant) {
	var best *server
	for _, s := range r.servers {
		model, ok := s.held[wanted.wanted.Model]
		if !ok || !s.canTake(r.now) || !r.isIn(s, wanted.wanted.Regions) || model.adapters[wanted.wanted.Adapter] != nil || s.pendingAdapters(r.now) >= maxPendingAdapters {
			continue
		}
		if best == nil || s.adapterCount() < best.adapterCount() {
			best = s
		}
	}
	if best == nil {
		return
	}
	if best.adapterCount() >= r.engine.AdapterSlots {
		r.dropAdapter(best, wanted)
		return
	}
	r.core.give(best, Order{Operation: Load, Model: wanted.wanted.Model, Adapter: wanted.wanted.Adapter, Reason: "wanted"})
}

// dropAdapter makes room by the adapter that was asked for longest ago.
func (r *round) dropAdapter(s *server, wanted adapterWant) {
	var oldest dispatch.Requirements
	var oldestAsk time.Time
	for modelName, model := range s.held {
		for name, known := range model.adapters {
			candidate := dispatch.Requirements{Service: s.info.Service, Model: modelName, Adapter: name}
			asked := known.lastUse
			if last := r.lastAsk(candidate); last.After(asked) {
				asked = last
			}
			if r.now.Before(known.ready) || r.now.Sub(asked) < adapterYoung {
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
	r.core.give(s, Order{Operation: Unload, Model: oldest.Model, Adapter: oldest.Adapter, Reason: "room_for_" + wanted.wanted.Adapter})
}
