package placer

import (
	"math"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// Demand thresholds.
const (
	// tokensPerCopy is the prompt token rate, per second, for each of which a model gets one more
	// copy.
	tokensPerCopy = 12000.0
	// replicationRate is the request rate, per second, above which a model gets a second copy, so
	// that it survives the loss of one.
	replicationRate = 0.5
	// modelDemandTTL is how long a model counts as in demand after its last request.
	modelDemandTTL = 20 * time.Second
)

// neededCopies returns the number of copies that the current demand for a model calls for.
func (r *planRound) neededCopies(model string) int {
	demand := r.demandFor(model)
	if demand == nil || r.now.Sub(demand.lastRequest) > modelDemandTTL {
		return 0
	}
	demand.decay(r.now)
	return max(r.copiesFor(demand.fastRate), r.copiesForAdapters(model), r.copiesForSlots(model))
}

// retainedCopies returns the number of copies of a model that are protected from eviction. It
// also considers the slowly decaying rate, so it falls more slowly than it rises.
func (r *planRound) retainedCopies(model string) int {
	demand := r.demandFor(model)
	if demand == nil {
		return 0
	}
	demand.decay(r.now)
	return max(r.copiesFor(demand.fastRate), r.copiesFor(demand.slowRate), r.copiesForAdapters(model), r.copiesForSlots(model))
}

// adapterSlotFactor is the number of adapter slots provided for each adapter in demand. It
// exceeds 1 because copies of a model partly hold the same adapters.
const adapterSlotFactor = 1.5

// copiesForAdapters returns the number of copies whose adapter slots hold all adapters in demand.
func (r *planRound) copiesForAdapters(model string) int {
	activeAdapters := r.core.demand.activeAdapters[dispatch.Requirements{Service: r.service, Model: model}]
	if activeAdapters == 0 || r.engine.AdapterSlots == 0 {
		return 0
	}
	count := int(math.Ceil(float64(activeAdapters) * adapterSlotFactor / float64(r.engine.AdapterSlots)))
	return r.atMostHalf(count)
}

// maxSlotUtilization is the share of a server's request slots in use above which its models get
// further copies: beyond it, a burst of requests would queue.
const maxSlotUtilization = 0.7

// copiesForSlots returns the number of copies that keeps every server below maxSlotUtilization.
func (r *planRound) copiesForSlots(model string) int {
	count := int(math.Ceil(r.placementOf(model).slotsUsed / maxSlotUtilization))
	return r.atMostHalf(count)
}

// copiesForTokens returns the number of copies that can process the prompt tokens.
func copiesForTokens(rate demandRate) int { return 1 + int(rate.tokens/tokensPerCopy) }

// copiesFor returns the number of copies for a request rate: enough to process the prompts, and
// at least two above replicationRate.
func (r *planRound) copiesFor(rate demandRate) int {
	count := copiesForTokens(rate)
	if rate.requests > replicationRate {
		count = max(count, 2)
	}
	return r.atMostHalf(count)
}

// atMostHalf limits the copies of one model to half of the servers.
func (r *planRound) atMostHalf(count int) int { return min(count, max(1, len(r.servers)/2)) }
