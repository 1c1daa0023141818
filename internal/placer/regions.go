package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// boundedInterest is what callers want of a model, or of an adapter, whose requests may
// run in the regions only. A copy elsewhere does nothing for them.
type boundedInterest struct {
	model   string
	adapter string
	regions locality.Regions
	known   *interest
	// waits are the requests that wait for the model there, with adapters or without.
	waits int
}

// regionOf is the region that the server stands in.
func (r *round) regionOf(s *server) string { return r.core.options.Topology.Region(s.info.Zone) }

// isIn reports whether the server stands in one of the regions.
func (r *round) isIn(s *server, regions locality.Regions) bool {
	return !regions.IsBounded() || regions.Allows(r.regionOf(s))
}

// copiesIn counts the copies of a model in the regions.
func (r *round) copiesIn(model string, regions locality.Regions) int {
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

// boundedOf are the bounded interests in a model, those in its adapters included.
func (r *round) boundedOf(model string) []boundedInterest {
	if r.bounded == nil {
		r.bounded = make(map[string][]boundedInterest)
		for wanted, known := range r.core.demand.interests {
			if wanted.Service != r.service || !wanted.Regions.IsBounded() {
				continue
			}
			ofModel := dispatch.Requirements{Service: r.service, Model: wanted.Model, Regions: wanted.Regions}
			r.bounded[wanted.Model] = append(r.bounded[wanted.Model], boundedInterest{
				model: wanted.Model, adapter: wanted.Adapter, regions: wanted.Regions, known: known, waits: r.core.demand.waits[ofModel],
			})
		}
	}
	return r.bounded[model]
}

// boundedWants lists the models that lack copies in regions in which they are asked for.
func (r *round) boundedWants() []want {
	var wants []want
	for name, model := range r.engine.Models {
		for _, bounded := range r.boundedOf(name) {
			if bounded.adapter != "" {
				// Its model is asked for with it.
				continue
			}
			needed, copies := r.neededIn(bounded), r.copiesIn(name, bounded.regions)
			stood := copies
			if bounded.known.isStuck(r.now) && !r.isLoading(name) && copies < needed+maxBeyond {
				// The copies that there are cannot be reached.
				copies = 0
			}
			if copies >= needed {
				continue
			}
			wanted := want{
				model: model, copies: copies, stood: stood, waiting: bounded.waits, rate: bounded.known.fast.requests, regions: bounded.regions,
			}
			wanted.need = r.needIn(wanted, bounded.known)
			wants = append(wants, wanted)
		}
	}
	return wants
}

// neededIn is the number of copies that a model should have in the regions by the demand
// of now: as elsewhere, of the servers there.
func (r *round) neededIn(bounded boundedInterest) int {
	if r.now.Sub(bounded.known.lastAsk) > interestAge {
		return 0
	}
	servers := 0
	for _, s := range r.servers {
		if r.isIn(s, bounded.regions) {
			servers++
		}
	}
	bounded.known.fade(r.now)
	return min(r.copiesFor(bounded.known.fast), max(1, servers/2))
}

// needIn is why the model should have one more copy in some regions.
func (r *round) needIn(wanted want, known *interest) need {
	switch {
	case wanted.copies == 0 && wanted.waiting > 0:
		return needWaiting
	case wanted.copies == 0:
		return needReturn
	case wanted.copies < copiesForTokens(known.fast):
		return needThroughput
	default:
		return needSpare
	}
}

// rateOf is the requests in a second for a model, wherever they may run; ok is false
// where nobody ever asked.
func (r *round) rateOf(model string) (rate float64, ok bool) {
	if known := r.interest(model); known != nil {
		rate, ok = known.fast.requests, true
	}
	for _, bounded := range r.boundedOf(model) {
		if bounded.adapter == "" {
			rate, ok = rate+bounded.known.fast.requests, true
		}
	}
	return rate, ok
}

// lastAsk is when an adapter was last asked for, wherever it may run.
func (r *round) lastAsk(adapter dispatch.Requirements) time.Time {
	var last time.Time
	if known, ok := r.core.demand.interests[adapter]; ok {
		last = known.lastAsk
	}
	for _, bounded := range r.boundedOf(adapter.Model) {
		if bounded.adapter == adapter.Adapter && bounded.known.lastAsk.After(last) {
			last = bounded.known.lastAsk
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
