// Package weights is the model of the platform's weight store: so many reads
// begin a second, and so many run at full speed; more share that speed.
//
// Core is a deterministic state machine without I/O, goroutine or clock.
package weights

import (
	"slices"
	"time"
)

// Options set up a Core.
type Options struct {
	// ReadsPerSecond bounds how often a read begins; 0 is without bound.
	ReadsPerSecond float64
	// Concurrency is how many reads run at full speed; 0 is without bound.
	Concurrency int
}

// Message is an input of Core.Step.
type Message interface{ message() }

// Tick lets the core do what is due.
type Tick struct{}

// Read asks for a checkpoint; answered by Done.
type Read struct {
	ID string
	// FullSpeed is how long the read takes at full speed.
	FullSpeed time.Duration
}

// Cancel takes a Read back.
type Cancel struct{ ID string }

// Slow divides the store's speed by a factor; 1 is full speed.
type Slow struct{ Factor float64 }

func (Tick) message()   {}
func (Read) message()   {}
func (Cancel) message() {}
func (Slow) message()   {}

// Done says that a read has ended.
type Done struct{ ID string }

// Stats counts what the store did.
type Stats struct {
	Started   int `json:"started"`
	Done      int `json:"done"`
	Cancelled int `json:"cancelled"`
	Active    int `json:"active"`
	Waiting   int `json:"waiting"`
	// PeakActive is the most reads that ran at once.
	PeakActive int `json:"peakActive"`
}

// Core holds the reads.
type Core struct {
	options Options
	slow    float64
	waiting []Read
	active  []*activeRead // in the order of their begin
	// nextStart is the earliest time at which a further read may begin.
	nextStart time.Time
	// asOf is the time until which the active reads' progress is counted.
	asOf  time.Time
	stats Stats
}

type activeRead struct {
	id string
	// left is the time still needed at full speed.
	left time.Duration
}

// New returns an idle store.
func New(options Options) *Core {
	return &Core{options: options, slow: 1}
}

// Step does what is due until now, then takes the message.
func (c *Core) Step(now time.Time, message Message) []Done {
	done := c.catchUp(now)
	switch m := message.(type) {
	case Tick:
	case Read:
		c.waiting = append(c.waiting, m)
	case Cancel:
		c.cancel(m.ID)
	case Slow:
		c.slow = max(m.Factor, 1)
	}
	return append(done, c.catchUp(now)...)
}

// NextWake is the earliest time at which a Tick is wanted; zero for none.
func (c *Core) NextWake() time.Time {
	var wake time.Time
	if len(c.waiting) > 0 {
		wake = later(c.nextStart, c.asOf)
	}
	if len(c.active) > 0 {
		least := c.active[0].left
		for _, read := range c.active {
			least = min(least, read.left)
		}
		end := c.asOf.Add(time.Duration(float64(least)/c.speed()) + 1)
		if wake.IsZero() || end.Before(wake) {
			wake = end
		}
	}
	return wake
}

// Stats returns the counts.
func (c *Core) Stats() Stats {
	stats := c.stats
	stats.Active, stats.Waiting = len(c.active), len(c.waiting)
	return stats
}

func (c *Core) speed() float64 {
	speed := 1 / c.slow
	if limit := c.options.Concurrency; limit > 0 && len(c.active) > limit {
		speed *= float64(limit) / float64(len(c.active))
	}
	return speed
}

func (c *Core) catchUp(now time.Time) []Done {
	var done []Done
	for {
		wake := c.NextWake()
		if wake.IsZero() || wake.After(now) {
			c.progress(now)
			return done
		}
		c.progress(wake)
		done = append(done, c.collect()...)
		c.start(wake)
	}
}

func (c *Core) progress(to time.Time) {
	if !to.After(c.asOf) {
		return
	}
	gained := time.Duration(float64(to.Sub(c.asOf)) * c.speed())
	for _, read := range c.active {
		read.left -= gained
	}
	c.asOf = to
}

func (c *Core) collect() []Done {
	var done []Done
	c.active = slices.DeleteFunc(c.active, func(read *activeRead) bool {
		if read.left > 0 {
			return false
		}
		done = append(done, Done{ID: read.id})
		return true
	})
	c.stats.Done += len(done)
	return done
}

func (c *Core) start(now time.Time) {
	for len(c.waiting) > 0 && !c.nextStart.After(now) {
		next := c.waiting[0]
		c.waiting = slices.Delete(c.waiting, 0, 1)
		c.active = append(c.active, &activeRead{id: next.ID, left: next.FullSpeed})
		c.stats.Started++
		c.stats.PeakActive = max(c.stats.PeakActive, len(c.active))
		if c.options.ReadsPerSecond > 0 {
			c.nextStart = now.Add(time.Duration(float64(time.Second) / c.options.ReadsPerSecond))
		}
	}
}

func (c *Core) cancel(id string) {
	before := len(c.waiting) + len(c.active)
	c.waiting = slices.DeleteFunc(c.waiting, func(read Read) bool { return read.ID == id })
	c.active = slices.DeleteFunc(c.active, func(read *activeRead) bool { return read.id == id })
	c.stats.Cancelled += before - len(c.waiting) - len(c.active)
}

func later(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}
