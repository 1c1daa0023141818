package queue

import (
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
}

// Defaults of Options.
const (
	DefaultMaxItems     = 4096
	DefaultMaxBytes     = 64 << 20
	DefaultAgingStep    = 5 * time.Second
	DefaultWantInterval = time.Second
)

func (o Options) withDefaults() Options {
	if o.MaxItems <= 0 {
		o.MaxItems = DefaultMaxItems
	}
	if o.MaxBytes <= 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	if o.AgingStep <= 0 {
		o.AgingStep = DefaultAgingStep
	}
	if o.WantInterval <= 0 {
		o.WantInterval = DefaultWantInterval
	}
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
}

// line is what waits for one model version.
type line struct {
	model    fleet.ModelVersion
	items    []*waiting
	replicas []Replica
	slots    int
	service  estimate
	load     estimate
	coldFrom time.Time
	arrivals int
}

// Core is the queue of one node.
type Core struct {
	options  Options
	lines    map[fleet.ModelVersion]*line
	order    []fleet.ModelVersion
	byTicket map[Ticket]*waiting
	bytes    int64
	nextWant time.Time
	closed   bool
	closing  time.Duration
	effects  []Effect
}

// New returns an empty queue.
func New(options Options) *Core {
	return &Core{
		options:  options.withDefaults(),
		lines:    make(map[fleet.ModelVersion]*line),
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
	case Leave:
		c.remove(message.Ticket)
	case Offer:
		c.offer(now, message)
	case Served:
		c.line(message.Model).service.add(message.Service)
	case LoadRefused:
		c.loadRefused(message.Refusals)
	case Close:
		c.close(message.RetryAfter)
	case Tick:
	}
	c.reportWants(now)
	return c.effects
}

// NextWake is the earliest deadline, or the time of the next report of wants.
func (c *Core) NextWake() time.Time {
	var wake time.Time
	for _, item := range c.byTicket {
		if wake.IsZero() || item.Deadline.Before(wake) {
			wake = item.Deadline
		}
	}
	if !c.nextWant.IsZero() && (wake.IsZero() || c.nextWant.Before(wake)) {
		wake = c.nextWant
	}
	return wake
}

// Waiting returns the number and the bytes of the waiting requests.
func (c *Core) Waiting() (items int, bytes int64) {
	return len(c.byTicket), c.bytes
}

func (c *Core) line(model fleet.ModelVersion) *line {
	if known, found := c.lines[model]; found {
		return known
	}
	created := &line{model: model}
	c.lines[model] = created
	at, _ := slices.BinarySearchFunc(c.order, model, fleet.ModelVersion.Compare)
	c.order = slices.Insert(c.order, at, model)
	return created
}

func (c *Core) emit(effect Effect) {
	c.effects = append(c.effects, effect)
}
