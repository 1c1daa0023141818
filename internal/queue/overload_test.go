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
	overloadDuration = 200 * time.Second
	// overloadFirstToken is the time from release to first token.
	overloadFirstToken = 200 * time.Millisecond
)

// overloadSim drives a Core, or a plain FIFO queue for comparison, with random
// arrivals at a multiple of the capacity of a back end with a number of equal slots.
type overloadSim struct {
	core   *Core
	random *rand.Rand
	now    time.Time
	// slotFreeAt are the times at which the busy slots become free.
	slotFreeAt   []time.Time
	fifo         []Item
	deadlinesMet int
	arrivals     int
	lateRefusals int
	useFIFO      bool
}

func (o *overloadSim) start(item Item) {
	service := 500*time.Millisecond + time.Duration(o.random.Int64N(int64(time.Second)))
	o.slotFreeAt = append(o.slotFreeAt, o.now.Add(service))
	if !o.now.Add(overloadFirstToken).After(item.Deadline) {
		o.deadlinesMet++
	}
}

func (o *overloadSim) handle(effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Release:
			o.start(effect.Item)
			o.core.Step(o.now, FirstTokenReceived{Model: notes, Latency: overloadFirstToken})
		case Refuse:
			if o.now.After(effect.Item.Deadline) {
				o.lateRefusals++
			}
		}
	}
}

func (o *overloadSim) fillSlots() {
	if o.useFIFO {
		for len(o.fifo) > 0 && len(o.slotFreeAt) < overloadSlots {
			o.start(o.fifo[0])
			o.fifo = o.fifo[1:]
		}
		return
	}
	capacity := CapacityChanged{Model: notes, Ready: 1, Slots: overloadSlots,
		Replicas: []Replica{{Name: "e1", FreeSlots: overloadSlots - len(o.slotFreeAt)}}}
	o.handle(slices.Clone(o.core.Step(o.now, capacity)))
}

func (o *overloadSim) arrive() {
	o.arrivals++
	item := Item{Ticket: Ticket(o.arrivals), Model: notes, Priority: o.random.IntN(3), Deadline: o.now.Add(overloadDeadline)}
	if o.useFIFO {
		o.fifo = append(o.fifo, item)
	} else {
		o.handle(slices.Clone(o.core.Step(o.now, Arrive{item})))
	}
	o.fillSlots()
}

// goodput returns the number of deadlines met per second at a load.
func goodput(t *testing.T, load float64, useFIFO bool) float64 {
	o := &overloadSim{core: New(Options{}), random: rand.New(rand.NewPCG(1, 2)), now: epoch, useFIFO: useFIFO}
	rate := load * overloadSlots // the mean service time is one second
	next := epoch
	for o.now.Before(epoch.Add(overloadDuration)) {
		slices.SortFunc(o.slotFreeAt, time.Time.Compare)
		wake := o.core.NextWake()
		switch {
		case len(o.slotFreeAt) > 0 && !o.slotFreeAt[0].After(next) && (wake.IsZero() || !o.slotFreeAt[0].After(wake)):
			o.now = o.slotFreeAt[0]
			o.slotFreeAt = o.slotFreeAt[1:]
			if !o.useFIFO {
				o.handle(slices.Clone(o.core.Step(o.now, Completed{Model: notes, ServiceTime: time.Second})))
			}
			o.fillSlots()
		case !wake.IsZero() && !wake.After(next):
			o.now = wake
			o.handle(slices.Clone(o.core.Step(o.now, Tick{})))
		default:
			o.now = next
			o.arrive()
			next = next.Add(time.Duration(o.random.ExpFloat64() / rate * float64(time.Second)))
		}
	}
	if o.lateRefusals > 0 {
		t.Errorf("load %v: %d refusals after the deadline", load, o.lateRefusals)
	}
	return float64(o.deadlinesMet) / overloadDuration.Seconds()
}

func TestGoodputHoldsUnderOverload(t *testing.T) {
	loads := []float64{0.5, 0.9, 1, 1.2, 2}
	queueGoodput := map[float64]float64{}
	for _, load := range loads {
		queueGoodput[load] = goodput(t, load, false)
		fifoGoodput := goodput(t, load, true)
		t.Logf("load %.1f: deadlines met per second %.2f, with a FIFO queue %.2f", load, queueGoodput[load], fifoGoodput)
	}
	if queueGoodput[2] < 0.95*queueGoodput[1] {
		t.Errorf("goodput %.2f per second at twice the capacity, %.2f at the capacity", queueGoodput[2], queueGoodput[1])
	}
	if fifoGoodput := goodput(t, 2, true); fifoGoodput > 0.5*queueGoodput[2] {
		t.Errorf("a FIFO queue has goodput %.2f per second at twice the capacity: the check above cannot fail", fifoGoodput)
	}
}
