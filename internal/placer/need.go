package placer

import (
	"math"

	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// need is why a model should have one more copy, the weakest first. It bounds
// what may be dropped for it.
type need int

const (
	// needSpare is for a copy beside those that the traffic needs.
	needSpare need = iota
	// needReturn is for a model that was asked for lately, stands nowhere, and
	// that nobody waits for now. Without a bound, models that are more than the
	// places would take turns for ever.
	needReturn
	// needThroughput is for a model whose copies cannot bear its traffic.
	needThroughput
	// needDisplaced is for a model that stands in evacuated zones alone, and that
	// requests will wait for before it is loaded elsewhere.
	needDisplaced
	// needWaiting is for a model that requests wait for.
	needWaiting
)

// String names the need in logs.
func (n need) String() string {
	return [...]string{"spare", "return", "throughput", "displaced", "waiting"}[n]
}

// maxPenalty bounds what is dropped for a copy.
func (n need) maxPenalty() float64 {
	switch n {
	case needWaiting:
		return math.MaxFloat64
	case needThroughput, needDisplaced:
		return maxThroughputPenalty
	default:
		return maxSparePenalty
	}
}

const (
	// maxSparePenalty leaves the last copy of what was asked for lately alone.
	maxSparePenalty = 0.25
	// maxThroughputPenalty allows to drop the last copy of a model that is idle
	// and whose callers bear a load.
	maxThroughputPenalty = 0.6
)

// want is one model that has fewer copies than wanted.
type want struct {
	model   routetable.Model
	copies  int
	waiting int
	rate    float64
	need    need
	// regions are those in which the copy must stand.
	regions locality.Regions
	// stood are the copies there as the wants were listed.
	stood int
}

// needOf is why the model should have one more copy.
func (r *round) needOf(wanted want, known *interest) need {
	switch {
	case wanted.copies == 0 && wanted.waiting > 0:
		return needWaiting
	case wanted.copies == 0 && r.isDisplaced(wanted):
		return needDisplaced
	case wanted.copies == 0:
		return needReturn
	case known != nil && wanted.copies < copiesForTokens(known.fast), wanted.copies < max(r.copiesForAdapters(wanted.model.Name), r.copiesForSlots(wanted.model.Name)):
		return needThroughput
	default:
		return needSpare
	}
}
