// Package weights simulates the platform's weight store, from which engines read
// model checkpoints. It limits the rate at which reads start and the number of
// reads that run at full speed; beyond that number, all reads share the total
// speed.
//
// Core is a deterministic state machine: it does no I/O, starts no goroutine and
// reads no clock. The HTTP driver (standin/httpdriver) and the simulator drive it.
package weights

import (
	"slices"
	"time"
)

// Options configures a Core.
type Options struct {
	// ReadsPerSecond limits the rate at which reads start; 0 is unlimited.
	ReadsPerSecond float64
	// Concurrency is the number of reads that run at full speed; 0 is unlimited.
	Concurrency int
}

// Message is an input of Core.Step.
type Message interface{ message() }

// Tick makes the core process what is due.
type Tick struct{}

// Read requests a checkpoint; answered by Done.
type Read struct {
	ID string
	// FullSpeed is the duration of the read at full speed.
	FullSpeed time.Duration
}

// Cancel cancels a Read.
type Cancel struct{ ID string }

// Slow divides the store's speed by a factor; 1 and less is full speed.
type Slow struct{ Factor float64 }

func (Tick) message()   {}
func (Read) message()   {}
func (Cancel) message() {}
func (Slow) message()   {}

// Done reports that a read has completed.
type Done struct{ ID string }

// Stats counts reads by state.
type Stats struct {
	Started   int `json:"started"`
	Done      int `json:"done"`
	Cancelled int `json:"cancelled"`
	Active    int `json:"active"`
	Waiting   int `json:"waiting"`
	// PeakActive is the highest number of concurrent reads so far.
	PeakActive int `json:"peakActive"`
}

// Core is the state machine of the weight store.
type Core struct {
	options    Options
	slowFactor float64
	waiting    []Read
	active     []*activeRead // in the order of their start
	// nextStart is the earliest time at which the next read may start.
	nextStart time.Time
	// asOf is the time up to which the progress of active reads is computed.
	asOf  time.Time
	stats Stats
}

type activeRead struct {
	id string
	// remaining is the time that the read still needs at full speed.
	remaining time.Duration
}

// New returns a store without reads.
func New(options Options) *Core {
	return &Core{options: options, slowFactor: 1}
}

// Step processes everything due by now, then the message, and returns the reads
// that have completed.
func (c *Core) Step(now time.Time, message Message) []Done {
	done := c.catchUp(now)
	switch m := message.(type) {
	case Tick:
	case Read:
		c.waiting = append(c.waiting, m)
	case Cancel:
		c.cancel(m.ID)
	case Slow:
		c.slowFactor = max(m.Factor, 1)
	}
	return append(done, c.catchUp(now)...)
}

// NextWake returns the earliest time at which a Tick is needed, or zero if none
// is.
func (c *Core) NextWake() time.Time {
	var wake time.Time
	if len(c.waiting) > 0 {
		wake = later(c.nextStart, c.asOf)
	}
	if len(c.active) > 0 {
		shortest := c.active[0].remaining
		for _, read := range c.active {
			shortest = min(shortest, read.remaining)
		}
		end := c.asOf.Add(time.Duration(float64(shortest)/c.speed()) + 1)
		if wake.IsZero() || end.Before(wake) {
			wake = end
		}
	}
	return wake
}

// Stats returns the current counts.
func (c *Core) Stats() Stats {
	stats := c.stats
	stats.Active, stats.Waiting = len(c.active), len(c.waiting)
	return stats
}

func (c *Core) speed() float64 {
	speed := 1 / c.slowFactor
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
			c.advance(now)
			return done
		}
		c.advance(wake)
		done = append(done, c.takeFinished()...)
		c.startReads(wake)
	}
}

// advance accounts for the progress of the active reads up to a time.
func (c *Core) advance(to time.Time) {
	if !to.After(c.asOf) {
		return
	}
	gained := time.Duration(float64(to.Sub(c.asOf)) * c.speed())
	for _, read := range c.active {
		read.remaining -= gained
	}
	c.asOf = to
}

// takeFinished removes the reads that have completed and returns them.
func (c *Core) takeFinished() []Done {
	var done []Done
	c.active = slices.DeleteFunc(c.active, func(read *activeRead) bool {
		if read.remaining > 0 {
			return false
		}
		done = append(done, Done{ID: read.id})
		return true
	})
	c.stats.Done += len(done)
	return done
}

func (c *Core) startReads(now time.Time) {
	for len(c.waiting) > 0 && !c.nextStart.After(now) {
		next := c.waiting[0]
		c.waiting = slices.Delete(c.waiting, 0, 1)
		c.active = append(c.active, &activeRead{id: next.ID, remaining: next.FullSpeed})
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
