package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Options are the bounds and constants of a queue. Zero values are replaced by
// the defaults.
type Options struct {
	Node fleet.NodeName
	Zone fleet.Zone
	// MaxItems and MaxBytes bound what waits at the node.
	MaxItems int
	MaxBytes int64
	// AgingStep is the wait that is worth one step of priority.
	AgingStep time.Duration
	// WantInterval is how often wants are repeated while requests wait.
	WantInterval time.Duration
	Defects      Defects
}

// Defects are faults to plant. Only tests and the simulator set them.
type Defects struct {
	// ForgetDeadlines leaves requests waiting beyond their deadline.
	ForgetDeadlines bool
	// DropShed sheds without a word.
	DropShed bool
	// NoAging orders by priority alone.
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

// waiting is an item with what the queue notes of it.
type waiting struct {
	Item
	// rank is the epoch of arrival less the priority, an epoch being one
	// AgingStep long: a request gains one priority over newer ones for each
	// epoch that it waits. All items age alike, so the rank stays as it is.
	rank int64
	cold bool
	// place is the index in the heap of deadlines.
	place int
}

// line is what waits for one model version in the same regions.
type line struct {
	key      Key
	items    []*waiting
	replicas []Replica
	ready    int
	slots    int
	// service is the time from release to end, pace the time between two
	// releases while requests wait, firstToken from release to first token,
	// load from the first waiting request to a ready replica.
	service, pace, firstToken, load estimate

	inflow      inflow
	lastRelease time.Time
	// paced counts the releases since paceFrom while requests waited.
	paceFrom time.Time
	paced    int
	coldFrom time.Time
	refusals refusals
	// arrivals and missed count since the last report: all that came, and
	// those refused because a load would take too long.
	arrivals, missed int
	missedPriority   int
	missedDeadline   time.Time
}

// Core is the queue of one node.
type Core struct {
	options   Options
	lines     map[Key]*line
	order     []Key
	byTicket  map[Ticket]*waiting
	deadlines deadlines
	bytes     int64
	// arrived is set while some arrival is not reported yet.
	arrived  bool
	nextWant time.Time
	// closed is what all are refused with; nil while the queue is open.
	closed  *Close
	effects []Effect
}

// New returns an empty queue.
func New(options Options) *Core {
	return &Core{
		options:  options.withDefaults(),
		lines:    make(map[Key]*line),
		byTicket: make(map[Ticket]*waiting),
	}
}

// Step takes one message. The effects are valid until the next Step.
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
		c.offer(now, message)
	case FirstTokenReceived:
		c.line(Key{message.Model, message.Regions}).firstToken.add(message.Latency)
	case Completed:
		c.line(Key{message.Model, message.Regions}).service.add(message.ServiceTime)
	case LoadRefused:
		c.loadRefused(now, message.Refusals)
	case Close:
		c.close(message)
	case Open:
		c.closed = nil
	case Tick:
	}
	c.reportWants(now)
	return c.effects
}

// NextWake is the earliest deadline, or the time of the next report of wants.
func (c *Core) NextWake() time.Time {
	wake := c.nextWant
	if len(c.deadlines) > 0 && (wake.IsZero() || c.deadlines[0].Deadline.Before(wake)) {
		wake = c.deadlines[0].Deadline
	}
	return wake
}

// Waiting returns the number and the bytes of the waiting requests.
func (c *Core) Waiting() (items int, bytes int64) {
	return len(c.byTicket), c.bytes
}

// QueueInfo describes what waits in one line.
type QueueInfo struct {
	Key
	Waiting  int
	Replicas int
	// Oldest is when the oldest of the waiting requests came.
	Oldest time.Time
}

// Queues describes the lines in which something waits, in order.
func (c *Core) Queues() []QueueInfo {
	var infos []QueueInfo
	for _, key := range c.order {
		if line := c.lines[key]; len(line.items) > 0 {
			infos = append(infos, QueueInfo{Key: key, Waiting: len(line.items), Replicas: line.ready, Oldest: line.oldest()})
		}
	}
	return infos
}

func (l *line) oldest() time.Time {
	oldest := l.items[0].ArrivedAt
	for _, item := range l.items[1:] {
		if item.ArrivedAt.Before(oldest) {
			oldest = item.ArrivedAt
		}
	}
	return oldest
}

func (c *Core) line(key Key) *line {
	if known, found := c.lines[key]; found {
		return known
	}
	created := &line{key: key}
	c.lines[key] = created
	at, _ := slices.BinarySearchFunc(c.order, key, compareLines)
	c.order = slices.Insert(c.order, at, key)
	return created
}

// line is the one that the item waits in.
func (i Item) line() Key { return Key{Model: i.Model, Regions: i.Regions} }

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}

func (c *Core) refuse(item Item, reason Reason, retryAfter time.Duration) {
	c.emit(Refuse{Item: item, Reason: reason, RetryAfter: max(retryAfter, minRetryAfter)})
}

// insert puts an entry at its place.
func (c *Core) insert(line *line, entry *waiting) {
	at, _ := slices.BinarySearchFunc(line.items, entry, compareWaiting)
	line.items = slices.Insert(line.items, at, entry)
	c.byTicket[entry.Ticket] = entry
	c.bytes += entry.Bytes
	heap.Push(&c.deadlines, entry)
}

func (c *Core) remove(ticket Ticket) {
	entry, found := c.byTicket[ticket]
	if !found {
		return
	}
	delete(c.byTicket, ticket)
	c.bytes -= entry.Bytes
	heap.Remove(&c.deadlines, entry.place)
	line := c.lines[entry.line()]
	if at, found := slices.BinarySearchFunc(line.items, entry, compareWaiting); found {
		line.items = slices.Delete(line.items, at, at+1)
	}
}

// compareWaiting orders by rank, then deadline, then arrival.
func compareWaiting(a, b *waiting) int {
	return cmp.Or(
		cmp.Compare(a.rank, b.rank),
		a.Deadline.Compare(b.Deadline),
		cmp.Compare(a.Ticket, b.Ticket),
	)
}
