// Package service is the model of a plain command server.
//
// Core is a deterministic state machine without I/O, goroutine or clock. It
// may import fleet and standin/books.
package service

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// Options set up a Core.
type Options struct {
	Backend fleet.Backend
	// ServiceTime is how long a call runs.
	ServiceTime time.Duration
	// Incarnation differs for each start.
	Incarnation uint64
}

// CallID names one call that a driver made, so that effects find its caller.
type CallID uint64

// Message is an input of Core.Step.
type Message interface{ message() }

// Tick lets the core do what is due.
type Tick struct{}

// Run asks for a call to be executed; answered by Answered or Refused.
type Run struct {
	Call      CallID
	RequestID fleet.RequestID
	Attempt   int
	Key       string
	Method    string
	Path      string
}

// Leave makes the server say that it goes away; what runs goes on.
type Leave struct{}

func (Tick) message()  {}
func (Run) message()   {}
func (Leave) message() {}

// Effect is an output of Core.Step.
type Effect interface{ effect() }

// Answered says that the call was executed.
type Answered struct {
	Call   CallID
	Answer Answer
}

// Refused says that the server leaves and nothing ran.
type Refused struct{ Call CallID }

func (Answered) effect() {}
func (Refused) effect()  {}

// Answer is the JSON that a command server gives.
type Answer struct {
	Service   string          `json:"service"`
	Method    string          `json:"method"`
	Path      string          `json:"path"`
	RequestID fleet.RequestID `json:"requestId"`
	// Executed counts the calls that this server has begun, this one included.
	Executed int `json:"executed"`
}

// Core is the state machine of one command server.
type Core struct {
	options Options
	book    books.Book
	running []*execution // by end
	leaving bool
}

type execution struct {
	run   Run
	index int
	endAt time.Time
}

// New returns an idle server.
func New(options Options) *Core {
	options.Backend.Kind = fleet.KindService
	return &Core{options: options, book: books.Book{Backend: options.Backend, Incarnation: options.Incarnation}}
}

// Step does what is due until now, then takes the message.
func (c *Core) Step(now time.Time, message Message) []Effect {
	effects := c.end(now)
	switch m := message.(type) {
	case Tick:
	case Run:
		if c.leaving {
			c.book.TurnedAway = append(c.book.TurnedAway, books.TurnedAway{RequestID: m.RequestID, At: now})
			return append(effects, Refused{Call: m.Call})
		}
		c.begin(now, m)
	case Leave:
		c.leaving = true
		if c.book.LeavingSince.IsZero() {
			c.book.LeavingSince = now
		}
	}
	return append(effects, c.end(now)...)
}

func (c *Core) begin(now time.Time, run Run) {
	c.book.Executions = append(c.book.Executions, books.Execution{
		RequestID: run.RequestID,
		Attempt:   run.Attempt,
		Key:       run.Key,
		Method:    run.Method,
		Path:      run.Path,
		Started:   now,
	})
	c.running = append(c.running, &execution{
		run:   run,
		index: len(c.book.Executions) - 1,
		endAt: now.Add(c.options.ServiceTime),
	})
}

func (c *Core) end(now time.Time) []Effect {
	var effects []Effect
	for len(c.running) > 0 && !c.running[0].endAt.After(now) {
		ended := c.running[0]
		c.running = slices.Delete(c.running, 0, 1)
		c.book.Executions[ended.index].Ended = ended.endAt
		effects = append(effects, Answered{Call: ended.run.Call, Answer: Answer{
			Service:   c.options.Backend.Service,
			Method:    ended.run.Method,
			Path:      ended.run.Path,
			RequestID: ended.run.RequestID,
			Executed:  ended.index + 1,
		}})
	}
	return effects
}

// NextWake is the earliest time at which a Tick is wanted; zero for none.
func (c *Core) NextWake() time.Time {
	if len(c.running) == 0 {
		return time.Time{}
	}
	return c.running[0].endAt
}

// Idle reports whether nothing runs.
func (c *Core) Idle() bool {
	return len(c.running) == 0
}

// Leaving reports whether the server has said that it leaves.
func (c *Core) Leaving() bool {
	return c.leaving
}

// Book returns a copy of what the server recorded.
func (c *Core) Book() books.Book {
	book := c.book
	book.Executions = slices.Clone(c.book.Executions)
	return book
}
