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

// Fault is one fault of a plan: when it begins, how long it lasts and what it
// affects. The kind determines how Target, Other and Amount are used.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// At is the start, as time since Epoch; For is the duration.
	At  time.Duration `json:"at"`
	For time.Duration `json:"for"`
	// Target and Other are names of processes or zones.
	Target string `json:"target,omitempty"`
	Other  string `json:"other,omitempty"`
	// Amount is a probability, a factor or a count.
	Amount float64 `json:"amount,omitempty"`
}

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s at %s for %s target=%s other=%s amount=%g", f.Kind, f.At, f.For, f.Target, f.Other, f.Amount)
}

// Plan holds the faults of one run, ordered by start time.
type Plan []Fault

// End returns the time at which the last fault ends.
func (p Plan) End() time.Duration {
	var end time.Duration
	for _, fault := range p {
		end = max(end, fault.At+fault.For)
	}
	return end
}

// Counts returns the number of faults of each kind.
func (p Plan) Counts() map[FaultKind]int {
	counts := make(map[FaultKind]int)
	for _, fault := range p {
		counts[fault.Kind]++
	}
	return counts
}

// FaultSpec describes how faults of one kind are drawn.
type FaultSpec struct {
	Kind FaultKind
	// Most is the maximum number of faults of the kind in one run; the number
	// is drawn uniformly from 0 to Most.
	Most int
	// Least and Longest bound the duration of each fault.
	Least, Longest time.Duration
	// Aim draws the target and amount of the fault; nil leaves them unset.
	Aim func(stream *rand.Rand, fault *Fault)
}

// DrawPlan draws the faults of a run; they begin and end between from and to.
// Each kind uses a random stream of its own, so that a change to the spec of
// one kind does not change the faults of the others.
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

// Injector applies faults to a simulation.
type Injector interface {
	// Begin starts a fault and returns the function that ends it, or nil if
	// nothing has to be undone.
	Begin(fault Fault) (end func())
}

// Inject schedules the faults of the plan. counts receives the number of
// faults begun, by kind.
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
