package placer

import (
	"math"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// Thresholds of demand.
const (
	// copyTokens is the prompt tokens in a second that call for one more copy.
	copyTokens = 12000.0
	// spareRate is the requests in a second from which a model has two copies,
	// so that the loss of one leaves another.
	spareRate = 0.5
	// interestAge is how long a model that was asked for is kept wanted.
	interestAge = 20 * time.Second
)

// needed is the number of copies that a model should have by the demand of now.
func (r *round) needed(model string) int {
	known := r.interest(model)
	if known == nil || r.now.Sub(known.lastAsk) > interestAge {
		return 0
	}
	known.fade(r.now)
	return max(r.copiesFor(known.fast), r.copiesForAdapters(model), r.copiesForSlots(model))
}

// kept is the number of copies that are kept by the demand of some time, which
// falls more slowly than it rises.
func (r *round) kept(model string) int {
	known := r.interest(model)
	if known == nil {
		return 0
	}
	known.fade(r.now)
	return max(r.copiesFor(known.fast), r.copiesFor(known.slow), r.copiesForAdapters(model), r.copiesForSlots(model))
}

// adapterSpread is the places for adapters that are wanted for each adapter that
// is asked for: copies do not hold quite different ones.
const adapterSpread = 1.5

// copiesForAdapters is the number of copies that have places for the adapters
// that are asked for.
func (r *round) copiesForAdapters(model string) int {
	variety := r.core.demand.variety[dispatch.Requirements{Service: r.service, Model: model}]
	if variety == 0 || r.engine.AdapterSlots == 0 {
		return 0
	}
	count := int(math.Ceil(float64(variety) * adapterSpread / float64(r.engine.AdapterSlots)))
	return r.atMostHalf(count)
}

// fullShare is the share of a server's slots from which on a burst would queue
// there, so that its models get further copies.
const fullShare = 0.7

// copiesForSlots is the number of copies at which none is full.
func (r *round) copiesForSlots(model string) int {
	count := int(math.Ceil(r.placementOf(model).slotsUsed / fullShare))
	return r.atMostHalf(count)
}

// copiesForTokens is the number of copies that can read the prompts.
func copiesForTokens(flow flow) int { return 1 + int(flow.tokens/copyTokens) }

// copiesFor is the number of copies for a flow of requests: enough to read the
// prompts, and two where the loss of one would be felt.
func (r *round) copiesFor(flow flow) int {
	count := copiesForTokens(flow)
	if flow.requests > spareRate {
		count = max(count, 2)
	}
	return r.atMostHalf(count)
}

// atMostHalf bounds the copies of one model by half of the servers.
func (r *round) atMostHalf(count int) int { return min(count, max(1, len(r.servers)/2)) }
