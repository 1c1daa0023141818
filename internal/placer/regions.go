package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// regionalDemand is the demand for a model or adapter from callers whose requests may run in
// certain regions only. Copies elsewhere are of no use to them.
type regionalDemand struct {
	model   string
	adapter string
	regions locality.Regions
	demand  *demandRecord
	// waiting is the number of requests waiting for the model there, including requests with
	// adapters.
	waiting int
}

// regionOf returns the region of the server.
func (r *planRound) regionOf(s *server) string { return r.core.options.Topology.Region(s.info.Zone) }

// isInRegions reports whether the server is in one of the regions.
func (r *planRound) isInRegions(s *server, regions locality.Regions) bool {
	return !regions.IsBounded() || regions.Allows(r.regionOf(s))
}

// copiesIn counts the copies of a model in the regions.
func (r *planRound) copiesIn(model string, regions locality.Regions) int {
	if !regions.IsBounded() {
		return r.copiesOf(model)
	}
	count := 0
	for region, copies := range r.placementOf(model).regions {
		if regions.Allows(region) {
			count += copies
		}
	}
	return count
}

// regionalDemandFor returns the region-restricted demand for a model, including for its adapters.
func (r *planRound) regionalDemandFor(model string) []regionalDemand {
	if r.regionalDemands == nil {
		r.regionalDemands = make(map[string][]regionalDemand)
		for requirements, record := range r.core.demand.records {
			if requirements.Service != r.service || !requirements.Regions.IsBounded() {
				continue
			}
			ofModel := dispatch.Requirements{Service: r.service, Model: requirements.Model, Regions: requirements.Regions}
			r.regionalDemands[requirements.Model] = append(r.regionalDemands[requirements.Model], regionalDemand{
				model: requirements.Model, adapter: requirements.Adapter, regions: requirements.Regions, demand: record, waiting: r.core.demand.waiting[ofModel],
			})
		}
	}
	return r.regionalDemands[model]
}

// regionalShortages lists the models with too few copies in the regions they are restricted to.
func (r *planRound) regionalShortages() []modelShortage {
	var shortages []modelShortage
	for name, model := range r.engine.Models {
		for _, regional := range r.regionalDemandFor(name) {
			if regional.adapter != "" {
				// Requests for an adapter also count as demand for its model.
				continue
			}
			needed, copies := r.neededRegionalCopies(regional), r.copiesIn(name, regional.regions)
			initialCopies := copies
			if regional.demand.isStuck(r.now) && !r.isLoading(name) && copies < needed+maxExtraCopies {
				// The existing copies are unreachable.
				copies = 0
			}
			if copies >= needed {
				continue
			}
			shortage := modelShortage{
				model: model, copies: copies, initialCopies: initialCopies, waiting: regional.waiting, rate: regional.demand.fastRate.requests, regions: regional.regions,
			}
			shortage.priority = r.regionalPriority(shortage, regional.demand)
			shortages = append(shortages, shortage)
		}
	}
	return shortages
}

// neededRegionalCopies returns the number of copies that the current demand calls for in the
// regions, limited to half of the servers there.
func (r *planRound) neededRegionalCopies(regional regionalDemand) int {
	if r.now.Sub(regional.demand.lastRequest) > modelDemandTTL {
		return 0
	}
	servers := 0
	for _, s := range r.servers {
		if r.isInRegions(s, regional.regions) {
			servers++
		}
	}
	regional.demand.decay(r.now)
	return min(r.copiesFor(regional.demand.fastRate), max(1, servers/2))
}

// regionalPriority returns the reason why the model should get one more copy in certain regions.
func (r *planRound) regionalPriority(shortage modelShortage, demand *demandRecord) copyPriority {
	switch {
	case shortage.copies == 0 && shortage.waiting > 0:
		return priorityWaiting
	case shortage.copies == 0:
		return priorityReturn
	case shortage.copies < copiesForTokens(demand.fastRate):
		return priorityThroughput
	default:
		return prioritySpare
	}
}

// requestRate returns the requests per second for a model over all region restrictions; ok is
// false if it was never requested.
func (r *planRound) requestRate(model string) (rate float64, ok bool) {
	if demand := r.demandFor(model); demand != nil {
		rate, ok = demand.fastRate.requests, true
	}
	for _, regional := range r.regionalDemandFor(model) {
		if regional.adapter == "" {
			rate, ok = rate+regional.demand.fastRate.requests, true
		}
	}
	return rate, ok
}

// lastAdapterRequest returns when an adapter was last requested, over all region restrictions.
func (r *planRound) lastAdapterRequest(adapter dispatch.Requirements) time.Time {
	var last time.Time
	if record, ok := r.core.demand.records[adapter]; ok {
		last = record.lastRequest
	}
	for _, regional := range r.regionalDemandFor(adapter.Model) {
		if regional.adapter == adapter.Adapter && regional.demand.lastRequest.After(last) {
			last = regional.demand.lastRequest
		}
	}
	return last
}

// compareBool orders false before true.
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
