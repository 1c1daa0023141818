package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// constraint limits the servers at which requests may run. Copies elsewhere are of no use to them.
type constraint struct {
	regions locality.Regions
	// softwareVersion is the version at which streams must go on; empty allows any.
	softwareVersion string
}

func constraintOf(requirements dispatch.Requirements) constraint {
	return constraint{regions: requirements.Regions, softwareVersion: requirements.SoftwareVersion}
}

// isBounded reports whether the constraint excludes any server.
func (c constraint) isBounded() bool { return c.regions.IsBounded() || c.softwareVersion != "" }

// String orders constraints.
func (c constraint) String() string { return c.regions.String() + "/" + c.softwareVersion }

// constrainedDemand is the demand for a model or adapter from callers whose requests may run at certain
// servers only.
type constrainedDemand struct {
	model      string
	adapter    string
	constraint constraint
	demand     *demandRecord
	// waiting is the number of requests waiting for the model there, including requests with
	// adapters.
	waiting int
}

// regionOf returns the region of the server.
func (r *planRound) regionOf(s *server) string { return r.core.options.Topology.Region(s.info.Zone) }

// meets reports whether the server meets the constraint.
func (r *planRound) meets(s *server, c constraint) bool {
	isInRegions := !c.regions.IsBounded() || c.regions.Allows(r.regionOf(s))
	return isInRegions && (c.softwareVersion == "" || s.info.SoftwareVersion == c.softwareVersion)
}

// copiesMeeting counts the copies of a model at servers that meet the constraint.
func (r *planRound) copiesMeeting(model string, c constraint) int {
	if !c.isBounded() {
		return r.copiesOf(model)
	}
	count := 0
	for _, s := range r.placementOf(model).servers {
		if r.meets(s, c) {
			count++
		}
	}
	return count
}

// constrainedDemandFor returns the constrained demand for a model, including for its adapters.
func (r *planRound) constrainedDemandFor(model string) []constrainedDemand {
	if r.constrainedDemands == nil {
		r.constrainedDemands = make(map[string][]constrainedDemand)
		for requirements, record := range r.core.demand.records {
			if requirements.Service != r.service || !constraintOf(requirements).isBounded() {
				continue
			}
			r.constrainedDemands[requirements.Model] = append(r.constrainedDemands[requirements.Model], constrainedDemand{
				model: requirements.Model, adapter: requirements.Adapter, constraint: constraintOf(requirements), demand: record, waiting: r.core.demand.waiting[ofModel(requirements)],
			})
		}
	}
	return r.constrainedDemands[model]
}

// constrainedShortages lists the models with too few copies at the servers that their callers need.
func (r *planRound) constrainedShortages() []modelShortage {
	var shortages []modelShortage
	for name, model := range r.engine.Models {
		for _, constrained := range r.constrainedDemandFor(name) {
			if constrained.adapter != "" {
				// Requests for an adapter also count as demand for its model.
				continue
			}
			needed, copies := r.neededConstrainedCopies(constrained), r.copiesMeeting(name, constrained.constraint)
			initialCopies := copies
			if constrained.demand.isStuck(r.now) && !r.isLoading(name) && copies < needed+maxExtraCopies {
				// The existing copies are unreachable.
				copies = 0
			}
			if copies >= needed {
				continue
			}
			shortage := modelShortage{
				model: model, copies: copies, initialCopies: initialCopies, waiting: constrained.waiting, rate: constrained.demand.fastRate.requests, constraint: constrained.constraint,
			}
			shortage.priority = r.constrainedPriority(shortage, constrained.demand)
			shortages = append(shortages, shortage)
		}
	}
	return shortages
}

// neededConstrainedCopies returns the number of copies that the current demand calls for at
// servers that meet the constraint, limited to half of them.
func (r *planRound) neededConstrainedCopies(constrained constrainedDemand) int {
	if r.now.Sub(constrained.demand.lastRequest) > modelDemandTTL {
		return 0
	}
	servers := 0
	for _, s := range r.servers {
		if r.meets(s, constrained.constraint) {
			servers++
		}
	}
	constrained.demand.decay(r.now)
	return min(r.copiesFor(constrained.demand.fastRate), max(1, servers/2))
}

// constrainedPriority returns the reason why the model should get one more copy at certain servers.
func (r *planRound) constrainedPriority(shortage modelShortage, demand *demandRecord) copyPriority {
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

// requestRate returns the requests per second for a model over all constraints; ok is
// false if it was never requested.
func (r *planRound) requestRate(model string) (rate float64, ok bool) {
	if demand := r.demandFor(model); demand != nil {
		rate, ok = demand.fastRate.requests, true
	}
	for _, constrained := range r.constrainedDemandFor(model) {
		if constrained.adapter == "" {
			rate, ok = rate+constrained.demand.fastRate.requests, true
		}
	}
	return rate, ok
}

// lastAdapterRequest returns when an adapter was last requested, over all constraints.
func (r *planRound) lastAdapterRequest(adapter dispatch.Requirements) time.Time {
	var last time.Time
	if record, ok := r.core.demand.records[adapter]; ok {
		last = record.lastRequest
	}
	for _, constrained := range r.constrainedDemandFor(adapter.Model) {
		if constrained.adapter == adapter.Adapter && constrained.demand.lastRequest.After(last) {
			last = constrained.demand.lastRequest
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
