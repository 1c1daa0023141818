package placer

import (
	"math"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// copyPriority is the reason why a model should get one more copy, in ascending order of urgency.
// It limits what may be evicted for the copy.
type copyPriority int

const (
	// prioritySpare is for a copy beyond those that the traffic needs.
	prioritySpare copyPriority = iota
	// priorityReturn is for a recently requested model that has no copy and no waiting requests.
	// Its limit on evictions keeps models that do not fit all at once from replacing each other
	// endlessly.
	priorityReturn
	// priorityThroughput is for a model whose copies cannot handle its traffic.
	priorityThroughput
	// priorityDisplaced is for a model whose only copies are on unavailable servers, and for
	// which requests are likely to wait before it is loaded elsewhere.
	priorityDisplaced
	// priorityWaiting is for a model without a copy that requests are waiting for.
	priorityWaiting
)

// String returns the name of the priority as it appears in the reason of an order.
func (p copyPriority) String() string {
	return [...]string{"spare", "return", "throughput", "displaced", "waiting"}[p]
}

// maxPenalty returns the highest total penalty of the evictions that a copy may cause.
func (p copyPriority) maxPenalty() float64 {
	switch p {
	case priorityWaiting:
		return math.MaxFloat64
	case priorityThroughput, priorityDisplaced:
		return maxThroughputPenalty
	default:
		return maxSparePenalty
	}
}

const (
	// maxSparePenalty excludes the last copy of a recently requested model.
	maxSparePenalty = 0.25
	// maxThroughputPenalty permits evicting the last copy of an idle model whose callers tolerate
	// the time of a load.
	maxThroughputPenalty = 0.6
)

// modelShortage is a model with fewer copies than needed.
type modelShortage struct {
	model    routetable.Model
	copies   int
	waiting  int
	rate     float64
	priority copyPriority
	// constraint limits the servers that the copy may be at.
	constraint constraint
	// initialCopies is the number of copies there when the shortages were listed.
	initialCopies int
}

// priorityOf returns the reason why the model should get one more copy.
func (r *planRound) priorityOf(shortage modelShortage, demand *demandRecord) copyPriority {
	switch {
	case shortage.copies == 0 && shortage.waiting > 0:
		return priorityWaiting
	case shortage.copies == 0 && r.isDisplaced(shortage):
		return priorityDisplaced
	case shortage.copies == 0:
		return priorityReturn
	case demand != nil && shortage.copies < copiesForTokens(demand.fastRate), shortage.copies < max(r.copiesForAdapters(shortage.model.Name), r.copiesForSlots(shortage.model.Name)):
		return priorityThroughput
	default:
		return prioritySpare
	}
}
