package sim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// FaultKind names a kind of fault.
type FaultKind string

// Fault is one fault: it begins at a time, lasts for a time and hits a target.
// What the fields mean is up to the kind.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// At is the time since the start, For how long it lasts.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
	// Target and Other name processes or zones.
	Target string `json:"target,omitempty"`
	Other  string `json:"other,omitempty"`
	// Amount is a probability, a factor or a count.
	Amount float64 `json:"amount,omitempty"`
}

// String shows the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s at %s for %s target=%s other=%s amount=%g", f.Kind, f.At, f.For, f.Target, f.Other, f.Amount)
}

// Plan is the faults of one run in the order of their time.
type Plan []Fault

// End is when the last fault is over.
func (p Plan) End() time.Duration {
	var end time.Duration
	for _, fault := range p {
		end = max(end, fault.At+fault.For)
	}
	return end
}

// Counts gives the number of faults of each kind.
func (p Plan) Counts() map[FaultKind]int {
	counts := make(map[FaultKind]int)
	for _, fault := range p {
		counts[fault.Kind]++
	}
	return counts
}

// FaultSpec says how faults of one kind are drawn.
type FaultSpec struct {
	Kind FaultKind
	// Most is the largest number of faults of the kind in one run; the number
	// is drawn from 0 to Most.
	Most int
	// Least and Longest bound how long each lasts.
	Least, Longest time.Duration
	// Aim draws what the fault hits; nil leaves it empty.
	Aim func(stream *rand.Rand, fault *Fault)
}

// DrawPlan draws the faults of a run between two times. Each kind draws from a
// stream of its own, so that a change to one does not shift the others.
func DrawPlan(streams *Streams, specs []FaultSpec, from, to time.Duration) Plan {
	var plan Plan
	for _, spec := range specs {
		stream := streams.Stream("faults/" + string(spec.Kind))
		for range stream.IntN(spec.Most + 1) {
			fault := Fault{Kind: spec.Kind, At: Between(stream, from, to), For: Between(stream, spec.Least, spec.Longest)}
			if spec.Aim != nil {
				spec.Aim(stream, &fault)
			}
			fault.For = max(0, min(fault.For, to-fault.At))
			plan = append(plan, fault)
		}
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// Injector begins and ends faults of some kinds.
type Injector interface {
	// Begin starts a fault and returns what ends it; nil where nothing has to
	// be ended.
	Begin(fault Fault) (end func())
}

// Inject schedules the plan. Each fault that begins is counted by its kind.
func Inject(scheduler *Scheduler, trace *Trace, plan Plan, injector Injector, counts map[FaultKind]int) {
	for _, fault := range plan {
		scheduler.At(fault.At, func() {
			counts[fault.Kind]++
			trace.Record("fault/"+string(fault.Kind), fault.Target, fault.Other, uint64(fault.For))
			end := injector.Begin(fault)
			if end == nil {
				return
			}
			scheduler.After(fault.For, func() {
				trace.Record("fault-over/"+string(fault.Kind), fault.Target, fault.Other, 0)
				end()
			})
		})
	}
}
