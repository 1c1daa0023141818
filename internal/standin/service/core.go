// Package service simulates a command server: a back end that executes any call
// in a fixed time and records it.
//
// Core is a deterministic state machine: it does no I/O, starts no goroutine and
// reads no clock. The HTTP driver (standin/httpdriver) and the simulator drive it.
//
// It may import fleet and standin/books.
package service

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// Options configures a Core.
type Options struct {
	Backend fleet.Backend
	// ServiceTime is the duration of a call.
	ServiceTime time.Duration
	// Incarnation must differ for each start of the server.
	Incarnation uint64
}

// CallID identifies a call from the driver, so that effects can be routed back
// to the caller.
type CallID uint64

// Message is an input of Core.Step.
type Message interface{ message() }

// Tick makes the core process what is due.
type Tick struct{}

// Run executes a call; answered by Answered or Refused.
type Run struct {
	Call      CallID
	RequestID fleet.RequestID
	Attempt   int
	Key       string
	Method    string
	Path      string
}

// Leave makes the server announce its shutdown and refuse new calls; running
// calls continue.
type Leave struct{}

func (Tick) message()  {}
func (Run) message()   {}
func (Leave) message() {}

// Effect is an output of Core.Step.
type Effect interface{ effect() }

// Answered reports that a call was executed.
type Answered struct {
	Call   CallID
	Answer Answer
}

// Refused reports that the server is shutting down and has not run the call.
type Refused struct{ Call CallID }

func (Answered) effect() {}
func (Refused) effect()  {}

// Answer is the JSON body of a command server's response.
type Answer struct {
	Service   string          `json:"service"`
	Method    string          `json:"method"`
	Path      string          `json:"path"`
	RequestID fleet.RequestID `json:"requestId"`
	// Executed is the number of calls that this server had started when it
	// started this one, including it.
	Executed int `json:"executed"`
}

// Core is the state machine of one command server.
type Core struct {
	options Options
	book    books.Book
	running []*execution // sorted by end time
	leaving bool
}

type execution struct {
	run   Run
	index int
	endAt time.Time
}

// New returns a server without running calls.
func New(options Options) *Core {
	options.Backend.Kind = fleet.KindService
	return &Core{options: options, book: books.Book{Backend: options.Backend, Incarnation: options.Incarnation}}
}

// Step processes everything due by now, then the message, and returns the effects
// of both.
func (c *Core) Step(now time.Time, message Message) []Effect {
	effects := c.finishDue(now)
	switch m := message.(type) {
	case Tick:
	case Run:
		if c.leaving {
			c.book.TurnedAway = append(c.book.TurnedAway, books.TurnedAway{RequestID: m.RequestID, At: now})
			return append(effects, Refused{Call: m.Call})
		}
		c.startExecution(now, m)
	case Leave:
		c.leaving = true
		if c.book.LeavingSince.IsZero() {
			c.book.LeavingSince = now
		}
	}
	return append(effects, c.finishDue(now)...)
}

func (c *Core) startExecution(now time.Time, run Run) {
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

func (c *Core) finishDue(now time.Time) []Effect {
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

// NextWake returns the earliest time at which a Tick is needed, or zero if none
// is.
func (c *Core) NextWake() time.Time {
	if len(c.running) == 0 {
		return time.Time{}
	}
	return c.running[0].endAt
}

// Idle reports whether no call is running.
func (c *Core) Idle() bool {
	return len(c.running) == 0
}

// Leaving reports whether the server has announced that it is shutting down.
func (c *Core) Leaving() bool {
	return c.leaving
}

// Book returns a copy of the server's records.
func (c *Core) Book() books.Book {
	book := c.book
	book.Executions = slices.Clone(c.book.Executions)
	return book
}
