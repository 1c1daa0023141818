package placer

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

const (
	// requestsPerAdapterCopy is the request rate, per second, for each of which an adapter gets
	// one more copy.
	requestsPerAdapterCopy = 3.0
	// adapterDemandTTL is how long an adapter counts as in demand after its last request.
	adapterDemandTTL = 3 * time.Second
	// minAdapterRetention is how long an adapter is protected from eviction after its last
	// request.
	minAdapterRetention = time.Second
	// maxPendingAdapters limits the adapter loads in progress on one server.
	maxPendingAdapters = 4
)

// adapterShortage is an adapter with fewer copies than its demand calls for.
type adapterShortage struct {
	requirements dispatch.Requirements
	waiting      int
	rate         float64
	copies       int
}

// planAdapters orders loads of adapters in short supply, on servers that already hold their
// models.
func (r *planRound) planAdapters() {
	for _, shortage := range r.adapterShortages() {
		r.loadAdapter(shortage)
	}
}

// adapterShortages lists the adapters that need one more copy: first those without any, then by
// the number of waiting requests, then by request rate.
func (r *planRound) adapterShortages() []adapterShortage {
	var shortages []adapterShortage
	for requirements, record := range r.core.demand.records {
		if requirements.Service != r.service || requirements.Adapter == "" || r.now.Sub(record.lastRequest) > adapterDemandTTL {
			continue
		}
		record.decay(r.now)
		copies := r.adapterCopies(requirements)
		needed := 1 + int(record.fastRate.requests/requestsPerAdapterCopy)
		if record.isStuck(r.now) && copies < needed+maxExtraCopies {
			needed = copies + 1
		}
		if copies < needed {
			shortages = append(shortages, adapterShortage{requirements: requirements, waiting: record.waitingRequests(r.now), rate: record.fastRate.requests, copies: copies})
		}
	}
	slices.SortFunc(shortages, func(a, b adapterShortage) int {
		return cmp.Or(
			cmp.Compare(min(a.copies, 1), min(b.copies, 1)),
			-cmp.Compare(a.waiting, b.waiting),
			-cmp.Compare(a.rate, b.rate),
			strings.Compare(a.requirements.Model, b.requirements.Model),
			strings.Compare(a.requirements.Adapter, b.requirements.Adapter),
		)
	})
	return shortages
}

// adapterCopies counts the copies of an adapter in the allowed regions, including those ordered
// but not yet confirmed.
func (r *planRound) adapterCopies(requirements dispatch.Requirements) int {
	count := 0
	for _, s := range r.servers {
		if !s.isSchedulable() || !r.meets(s, constraintOf(requirements)) {
			continue
		}
		if model, ok := s.models[requirements.Model]; ok && (model.adapters[requirements.Adapter] != nil || s.isAdapterLoadPending(requirements)) {
			count++
		}
	}
	return count
}

// isAdapterLoadPending reports whether an order to load the adapter is waiting for its answer.
// Such an adapter is not published in views, because the order may be lost.
func (s *server) isAdapterLoadPending(requirements dispatch.Requirements) bool {
	order := s.pendingOrder
	return order != nil && order.Operation == Load && order.Model == requirements.Model && order.Adapter == requirements.Adapter
}

// loadAdapter orders the adapter on the eligible server that holds the fewest adapters. If that
// server has no free adapter slot, it evicts an adapter there instead.
func (r *planRound) loadAdapter(shortage adapterShortage) {
	var best *server
	for _, s := range r.servers {
		model, ok := s.models[shortage.requirements.Model]
		if !ok || !s.canAcceptOrder(r.now) || !r.meets(s, constraintOf(shortage.requirements)) || model.adapters[shortage.requirements.Adapter] != nil || s.pendingAdapters(r.now) >= maxPendingAdapters {
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
		r.evictAdapter(best, shortage)
		return
	}
	r.core.issueOrder(best, Order{Operation: Load, Model: shortage.requirements.Model, Adapter: shortage.requirements.Adapter, Reason: "wanted"})
}

// evictAdapter frees an adapter slot by unloading the adapter that was requested least recently.
func (r *planRound) evictAdapter(s *server, shortage adapterShortage) {
	var oldest dispatch.Requirements
	var oldestRequest time.Time
	for modelName, model := range s.models {
		for name, adapter := range model.adapters {
			candidate := dispatch.Requirements{Service: s.info.Service, Model: modelName, Adapter: name}
			lastRequest := adapter.lastUsed
			if last := r.lastAdapterRequest(candidate); last.After(lastRequest) {
				lastRequest = last
			}
			if r.now.Before(adapter.readyAt) || r.now.Sub(lastRequest) < minAdapterRetention {
				continue
			}
			isOlder := oldest.Adapter == "" || lastRequest.Before(oldestRequest)
			isFirst := lastRequest.Equal(oldestRequest) && modelName+"/"+name < oldest.Model+"/"+oldest.Adapter
			if isOlder || isFirst {
				oldest, oldestRequest = candidate, lastRequest
			}
		}
	}
	if oldest.Adapter == "" {
		return
	}
	r.core.issueOrder(s, Order{Operation: Unload, Model: oldest.Model, Adapter: oldest.Adapter, Reason: "room_for_" + shortage.requirements.Adapter})
}
