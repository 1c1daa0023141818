package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Options configure a queue. Zero values are replaced by the defaults.
type Options struct {
	Node fleet.NodeName
	Zone fleet.Zone
	// MaxItems and MaxBytes bound the waiting requests of the node.
	MaxItems int
	MaxBytes int64
	// AgingStep is the waiting time that raises the effective priority by one.
	AgingStep time.Duration
	// WantInterval is the interval of ReportWants while requests wait.
	WantInterval time.Duration
	Defects      Defects
}

// Defects injects faults, to show that tests detect them. Only tests and the
// simulator set it.
type Defects struct {
	// ForgetDeadlines keeps requests waiting beyond their deadline.
	ForgetDeadlines bool
	// DropShed drops shed requests without a Refuse.
	DropShed bool
	// NoAging orders requests by priority alone.
	NoAging bool
}

// Defaults of Options.
const (
	DefaultMaxItems     = 4096
	DefaultMaxBytes     = 64 << 20
	DefaultAgingStep    = 5 * time.Second
	DefaultWantInterval = time.Second
)

func (o Options) withDefaults() Options {
	o.MaxItems = cmp.Or(o.MaxItems, DefaultMaxItems)
	o.MaxBytes = cmp.Or(o.MaxBytes, DefaultMaxBytes)
	o.AgingStep = cmp.Or(o.AgingStep, DefaultAgingStep)
	o.WantInterval = cmp.Or(o.WantInterval, DefaultWantInterval)
	return o
}

// queuedItem is a waiting item with the queue's state for it.
type queuedItem struct {
	Item
	// rank is the epoch of the arrival minus the priority, with epochs of one
	// AgingStep: a request gains one priority over newer ones for each epoch that
	// it waits. All items age at the same rate, so that the rank is constant.
	rank int64
	// coldStart is set if no replica was ready when the item was added.
	coldStart bool
	// heapIndex is the index in Core.deadlines.
	heapIndex int
}

// subqueue holds the requests that wait for one model version in the same regions.
type subqueue struct {
	key      Key
	items    []*queuedItem
	replicas []Replica
	ready    int
	slots    int
	// serviceTime is the time from release to end, releaseInterval the time between
	// two releases while requests wait, firstToken the time from release to first
	// token, and loadTime the time from the first waiting request to a ready replica.
	serviceTime, releaseInterval, firstToken, loadTime estimate

	arrivalRates arrivalRates
	lastRelease  time.Time
	// intervalReleases counts the releases since intervalSince while requests waited.
	intervalSince    time.Time
	intervalReleases int
	// coldSince is when requests began to wait without a ready replica; loadTime is
	// measured from it.
	coldSince time.Time
	refusals  refusals
	// arrivals counts the arrivals since the last report, and unreachable those
	// of them that were refused because a load would take too long.
	arrivals, unreachable int
	unreachablePriority   int
	unreachableDeadline   time.Time
}

// Core is the queue of one node.
type Core struct {
	options   Options
	subqueues map[Key]*subqueue
	order     []Key
	byTicket  map[Ticket]*queuedItem
	deadlines deadlineHeap
	bytes     int64
	// hasUnreportedArrivals is set if requests arrived since the last report.
	hasUnreportedArrivals bool
	// nextReport is when the next ReportWants is due, zero if none is.
	nextReport time.Time
	// closedWith is the message that closed the queue, nil while it is open.
	closedWith *Close
	effects    []Effect
}

// New returns an empty queue.
func New(options Options) *Core {
	return &Core{
		options:   options.withDefaults(),
		subqueues: make(map[Key]*subqueue),
		byTicket:  make(map[Ticket]*queuedItem),
	}
}

// Step processes one message. The returned effects are valid until the next Step.
func (c *Core) Step(now time.Time, message Message) []Effect {
	clear(c.effects)
	c.effects = c.effects[:0]
	c.expire(now)
	switch message := message.(type) {
	case Arrive:
		c.arrive(now, message.Item)
	case Cancel:
		c.remove(message.Ticket)
	case CapacityChanged:
		c.updateCapacity(now, message)
	case FirstTokenReceived:
		c.subqueueFor(Key{message.Model, message.Regions}).firstToken.add(message.Latency)
	case Completed:
		c.subqueueFor(Key{message.Model, message.Regions}).serviceTime.add(message.ServiceTime)
	case LoadRefused:
		c.loadRefused(now, message.Refusals)
	case Close:
		c.close(message)
	case Open:
		c.closedWith = nil
	case Tick:
	}
	c.reportWants(now)
	return c.effects
}

// NextWake returns the time at which a Tick is due: the earliest deadline or the
// next ReportWants. It is zero if none is due.
func (c *Core) NextWake() time.Time {
	wake := c.nextReport
	if len(c.deadlines) > 0 && (wake.IsZero() || c.deadlines[0].Deadline.Before(wake)) {
		wake = c.deadlines[0].Deadline
	}
	return wake
}

// Waiting returns the number and the bytes of the waiting requests.
func (c *Core) Waiting() (items int, bytes int64) {
	return len(c.byTicket), c.bytes
}

// QueueInfo describes one subqueue.
type QueueInfo struct {
	Key
	Waiting  int
	Replicas int
	// Oldest is the arrival time of the oldest waiting request.
	Oldest time.Time
}

// Queues describes the subqueues with waiting requests, ordered by key.
func (c *Core) Queues() []QueueInfo {
	var infos []QueueInfo
	for _, key := range c.order {
		if sub := c.subqueues[key]; len(sub.items) > 0 {
			infos = append(infos, QueueInfo{Key: key, Waiting: len(sub.items), Replicas: sub.ready, Oldest: sub.oldestArrival()})
		}
	}
	return infos
}

func (s *subqueue) oldestArrival() time.Time {
	earliest := s.items[0].ArrivedAt
	for _, item := range s.items[1:] {
		if item.ArrivedAt.Before(earliest) {
			earliest = item.ArrivedAt
		}
	}
	return earliest
}

func (c *Core) subqueueFor(key Key) *subqueue {
	if known, found := c.subqueues[key]; found {
		return known
	}
	created := &subqueue{key: key}
	c.subqueues[key] = created
	at, _ := slices.BinarySearchFunc(c.order, key, compareKeys)
	c.order = slices.Insert(c.order, at, key)
	return created
}

// key returns the key of the subqueue in which the item waits.
func (i Item) key() Key { return Key{Model: i.Model, Regions: i.Regions} }

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

func (c *Core) refuse(item Item, reason Reason, retryAfter time.Duration) {
	c.emit(Refuse{Item: item, Reason: reason, RetryAfter: max(retryAfter, minRetryAfter)})
}

// insert adds an item in the order of compareQueued.
func (c *Core) insert(sub *subqueue, queued *queuedItem) {
	at, _ := slices.BinarySearchFunc(sub.items, queued, compareQueued)
	sub.items = slices.Insert(sub.items, at, queued)
	c.byTicket[queued.Ticket] = queued
	c.bytes += queued.Bytes
	heap.Push(&c.deadlines, queued)
}

func (c *Core) remove(ticket Ticket) {
	queued, found := c.byTicket[ticket]
	if !found {
		return
	}
	delete(c.byTicket, ticket)
	c.bytes -= queued.Bytes
	heap.Remove(&c.deadlines, queued.heapIndex)
	sub := c.subqueues[queued.key()]
	if at, found := slices.BinarySearchFunc(sub.items, queued, compareQueued); found {
		sub.items = slices.Delete(sub.items, at, at+1)
	}
}

// compareQueued orders items by rank, then deadline, then ticket.
func compareQueued(a, b *queuedItem) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.Ticket, b.Ticket),
	)
}
