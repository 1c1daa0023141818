package retrybudget

import (
	"time"
)

// Options set up a Budget.
type Options struct {
	// Ratio is the number of repeats that each request allows.
	Ratio float64
	// Extra is the number that all nodes together may send beyond, in a window.
	Extra float64
	// Window is the length of any span over which repeats are counted.
	Window time.Duration
}

// restartShare is the part of the extra repeats that one life of a process
// takes, so that a process that starts anew within a window keeps the bound.
const restartShare = 0.5

// buckets is the number of parts of a window.
const buckets = 10

// Budget counts the requests and repeats of one node. It is not safe for
// concurrent use.
type Budget struct {
	options  Options
	nodes    int
	services map[string]*counts
}

type counts struct {
	slots [buckets + 2]slot
}

type slot struct {
	number   int64
	requests float64
	repeats  float64
}

// New returns a budget that nothing was drawn from.
func New(options Options) *Budget {
	return &Budget{options: options, nodes: 1, services: make(map[string]*counts)}
}

// SetOptions changes the bound. Counts of windows of another length are not
// comparable and are taken as they are.
func (b *Budget) SetOptions(options Options) {
	if options.Window > 0 {
		b.options = options
	}
}

// SetNodes tells how many nodes share the extra repeats, at the most.
func (b *Budget) SetNodes(nodes int) {
	b.nodes = max(1, nodes)
}

// CountRequest counts a caller's request for the service.
func (b *Budget) CountRequest(now time.Duration, service string) {
	b.slotOf(now, service).requests++
}

// Take draws one repeat, and reports whether there was one.
func (b *Budget) Take(now time.Duration, service string) bool {
	if b.Remaining(now, service) < 1 {
		return false
	}
	b.slotOf(now, service).repeats++
	return true
}

// Remaining is the number of repeats that may be sent now.
func (b *Budget) Remaining(now time.Duration, service string) float64 {
	requests, repeats := b.sums(now, service)
	share := b.options.Extra * restartShare / float64(b.nodes)
	return b.options.Ratio*requests + share - repeats
}

// sums counts the requests of the last window, and the repeats of one bucket
// more, so that every window that ends now is covered.
func (b *Budget) sums(now time.Duration, service string) (requests, repeats float64) {
	known, ok := b.services[service]
	if !ok {
		return 0, 0
	}
	number := b.number(now)
	for _, slot := range known.slots {
		age := number - slot.number
		if age < 0 || age > buckets {
			continue
		}
		repeats += slot.repeats
		if age < buckets {
			requests += slot.requests
		}
	}
	return requests, repeats
}

func (b *Budget) slotOf(now time.Duration, service string) *slot {
	known, ok := b.services[service]
	if !ok {
		known = &counts{}
		for i := range known.slots {
			known.slots[i].number = -1
		}
		b.services[service] = known
	}
	number := b.number(now)
	place := &known.slots[number%int64(len(known.slots))]
	if place.number != number {
		*place = slot{number: number}
	}
	return place
}

func (b *Budget) number(now time.Duration) int64 {
	return int64(now / (b.options.Window / buckets))
}
