package queue

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	overloadSlots    = 16
	overloadDeadline = 4 * time.Second
	overloadRun      = 200 * time.Second
	// overloadFirst is the time from release to first token.
	overloadFirst = 200 * time.Millisecond
)

// overload drives a queue, or a plain first-in-first-out line, with random
// arrivals at a share of the capacity of a back end of equal slots.
type overload struct {
	core   *Core
	random *rand.Rand
	now    time.Time
	// ends are the times at which the busy slots are free again.
	ends    []time.Time
	fifo    []Item
	met     int
	asked   int
	late    int
	useFIFO bool
}

func (o *overload) start(item Item) {
	service := 500*time.Millisecond + time.Duration(o.random.Int64N(int64(time.Second)))
	o.ends = append(o.ends, o.now.Add(service))
	if !o.now.Add(overloadFirst).After(item.Deadline) {
		o.met++
	}
}

func (o *overload) take(effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Release:
			o.start(effect.Item)
			o.core.Step(o.now, FirstTokenReceived{Model: notes, Latency: overloadFirst})
		case Refuse:
			if o.now.After(effect.Item.Deadline) {
				o.late++
			}
		}
	}
}

func (o *overload) offer() {
	if o.useFIFO {
		for len(o.fifo) > 0 && len(o.ends) < overloadSlots {
			o.start(o.fifo[0])
			o.fifo = o.fifo[1:]
		}
		return
	}
	offer := CapacityChanged{Model: notes, Ready: 1, Slots: overloadSlots,
		Replicas: []Replica{{Name: "e1", FreeSlots: overloadSlots - len(o.ends)}}}
	o.take(slices.Clone(o.core.Step(o.now, offer)))
}

func (o *overload) arrive() {
	o.asked++
	item := Item{Ticket: Ticket(o.asked), Model: notes, Priority: o.random.IntN(3), Deadline: o.now.Add(overloadDeadline)}
	if o.useFIFO {
		o.fifo = append(o.fifo, item)
	} else {
		o.take(slices.Clone(o.core.Step(o.now, Arrive{item})))
	}
	o.offer()
}

// goodput is the number of deadlines met a second at a load.
func goodput(t *testing.T, load float64, useFIFO bool) float64 {
	o := &overload{core: New(Options{}), random: rand.New(rand.NewPCG(1, 2)), now: epoch, useFIFO: useFIFO}
	rate := load * overloadSlots // the mean service is one second
	next := epoch
	for o.now.Before(epoch.Add(overloadRun)) {
		slices.SortFunc(o.ends, time.Time.Compare)
		wake := o.core.NextWake()
		switch {
		case len(o.ends) > 0 && !o.ends[0].After(next) && (wake.IsZero() || !o.ends[0].After(wake)):
			o.now = o.ends[0]
			o.ends = o.ends[1:]
			if !o.useFIFO {
				o.take(slices.Clone(o.core.Step(o.now, Completed{Model: notes, ServiceTime: time.Second})))
			}
			o.offer()
		case !wake.IsZero() && !wake.After(next):
			o.now = wake
			o.take(slices.Clone(o.core.Step(o.now, Tick{})))
		default:
			o.now = next
			o.arrive()
			next = next.Add(time.Duration(o.random.ExpFloat64() / rate * float64(time.Second)))
		}
	}
	if o.late > 0 {
		t.Errorf("load %v: %d refusals after their deadline", load, o.late)
	}
	return float64(o.met) / overloadRun.Seconds()
}

func TestGoodputHoldsUnderOverload(t *testing.T) {
	loads := []float64{0.5, 0.9, 1, 1.2, 2}
	ours := map[float64]float64{}
	for _, load := range loads {
		ours[load] = goodput(t, load, false)
		fifo := goodput(t, load, true)
		t.Logf("load %.1f: deadlines met a second %.2f, first in first out %.2f", load, ours[load], fifo)
	}
	if ours[2] < 0.95*ours[1] {
		t.Errorf("%.2f a second at twice the capacity, %.2f at once", ours[2], ours[1])
	}
	if fifo := goodput(t, 2, true); fifo > 0.5*ours[2] {
		t.Errorf("a plain line keeps %.2f a second at twice the capacity: the check cannot fail", fifo)
	}
}
