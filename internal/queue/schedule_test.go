package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/fleet"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// checker drives a Core and checks its invariants: each request leaves exactly once,
// by release, refusal or cancelation, and at or before its deadline.
type checker struct {
	core      *Core
	now       time.Time
	waiting   map[Ticket]Item
	violation string
}

func (c *checker) step(message Message) {
	for _, effect := range c.core.Step(c.now, message) {
		switch effect := effect.(type) {
		case Release:
			c.recordExit(effect.Item)
		case Refuse:
			c.recordExit(effect.Item)
		}
	}
	for _, ticket := range sortedTickets(c.waiting) {
		if item := c.waiting[ticket]; !item.Deadline.After(c.now) {
			c.report("request %d still waits after its deadline", ticket)
		}
	}
	if items, bytes := c.core.Waiting(); items != len(c.waiting) {
		c.report("%d requests should be waiting, the queue has %d (%d bytes)", len(c.waiting), items, bytes)
	}
}

func (c *checker) recordExit(item Item) {
	if _, found := c.waiting[item.Ticket]; !found {
		c.report("request %d left twice", item.Ticket)
	}
	if c.now.After(item.Deadline) {
		c.report("request %d left after its deadline", item.Ticket)
	}
	delete(c.waiting, item.Ticket)
}

func (c *checker) report(format string, values ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, values...)
	}
}

// advance moves the clock and sends a Tick at each wake time, like the caller of a
// Core does.
func (c *checker) advance(target time.Time) {
	for wake := c.core.NextWake(); !wake.IsZero() && !wake.After(target); wake = c.core.NextWake() {
		if wake.After(c.now) {
			c.now = wake
		}
		c.step(Tick{})
		if next := c.core.NextWake(); !next.IsZero() && !next.After(c.now) {
			c.report("NextWake is still %v after a Tick at that time", next)
			break
		}
	}
	c.now = target
}

func sortedTickets(items map[Ticket]Item) []Ticket {
	var tickets []Ticket
	for ticket := Ticket(1); len(tickets) < len(items); ticket++ {
		if _, found := items[ticket]; found {
			tickets = append(tickets, ticket)
		}
	}
	return tickets
}

// runSchedule draws and runs a schedule, lets all deadlines pass at its end, and
// returns the first violation.
func runSchedule(t *rapid.T, defects Defects) string {
	c := &checker{now: epoch, waiting: map[Ticket]Item{}, core: New(Options{MaxItems: 6, MaxBytes: 100, Defects: defects})}
	models := []fleet.ModelVersion{{Model: "a"}, {Model: "b"}}
	var next Ticket
	steps := rapid.IntRange(1, 60).Draw(t, "steps")
	for range steps {
		model := models[rapid.IntRange(0, 1).Draw(t, "model")]
		switch rapid.SampledFrom([]string{"arrive", "arrive", "capacity", "cancel", "refuse load", "complete", "wait"}).Draw(t, "step") {
		case "arrive":
			next++
			item := Item{Ticket: next, Model: model, Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
				Deadline: c.now.Add(time.Duration(rapid.IntRange(-1, 40).Draw(t, "deadline")) * time.Second / 4),
				Bytes:    int64(rapid.IntRange(1, 40).Draw(t, "bytes"))}
			if !item.Deadline.After(c.now) {
				item.Deadline = c.now
			}
			c.waiting[next] = item
			c.step(Arrive{item})
		case "capacity":
			ready := rapid.IntRange(0, 2).Draw(t, "ready")
			change := CapacityChanged{Model: model, Ready: ready, Slots: ready}
			for index := range ready {
				change.Replicas = append(change.Replicas, Replica{Name: fleet.BackendName(fmt.Sprint(index)), FreeSlots: rapid.IntRange(0, 2).Draw(t, "free")})
			}
			c.step(change)
		case "cancel":
			if tickets := sortedTickets(c.waiting); len(tickets) > 0 {
				ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
				delete(c.waiting, ticket)
				c.step(Cancel{ticket})
			}
		case "refuse load":
			c.step(LoadRefused{[]fleet.LoadRefusal{{Model: model}}})
		case "complete":
			c.step(Completed{Model: model, ServiceTime: time.Duration(rapid.IntRange(0, 3).Draw(t, "service")) * time.Second})
			c.step(FirstTokenReceived{Model: model, Latency: time.Duration(rapid.IntRange(0, 3).Draw(t, "latency")) * time.Second})
		case "wait":
			c.advance(c.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "wait")) * 200 * time.Millisecond))
		}
	}
	c.advance(c.now.Add(time.Minute))
	if len(c.waiting) > 0 {
		c.report("%d requests never left", len(c.waiting))
	}
	return c.violation
}

func TestEveryRequestLeavesOnceAndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if violation := runSchedule(t, Defects{}); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestCheckerSeesPlantedDefects shows that the checker detects injected defects.
func TestCheckerSeesPlantedDefects(t *testing.T) {
	for name, defects := range map[string]Defects{
		"deadlines forgotten":  {ForgetDeadlines: true},
		"shed without refusal": {DropShed: true},
	} {
		t.Run(name, func(t *testing.T) {
			found := false
			for seed := range 200 {
				rapid.Custom(func(t *rapid.T) bool {
					found = found || runSchedule(t, defects) != ""
					return true
				}).Example(seed)
				if found {
					return
				}
			}
			t.Error("no schedule revealed the defect")
		})
	}
}

// TestLowPriorityIsNeverStarved: under a steady stream of urgent requests, a request
// of low priority is served within the bound given by aging, and is not served
// without aging.
func TestLowPriorityIsNeverStarved(t *testing.T) {
	const urgent = 3
	servedAfter := func(defects Defects) time.Duration {
		core := New(Options{AgingStep: time.Second, MaxItems: 100, Defects: defects})
		core.Step(epoch, Arrive{Item{Ticket: 1, Model: notes, Deadline: epoch.Add(time.Hour)}})
		for step := range 100 {
			now := epoch.Add(time.Duration(step) * 200 * time.Millisecond)
			core.Step(now, Arrive{Item{Ticket: Ticket(step + 2), Model: notes, Priority: urgent, Deadline: now.Add(time.Hour)}})
			for _, effect := range core.Step(now, capacity(1)) {
				if release, isRelease := effect.(Release); isRelease && release.Item.Ticket == 1 {
					return now.Sub(epoch)
				}
			}
		}
		return -1
	}
	if got := servedAfter(Defects{}); got < 0 || got > (urgent+1)*time.Second {
		t.Errorf("served after %v with aging, want a time within the bound", got)
	}
	if got := servedAfter(Defects{NoAging: true}); got >= 0 {
		t.Errorf("served after %v without aging: the check above cannot fail", got)
	}
}

func BenchmarkArriveAndRelease(b *testing.B) {
	b.ReportAllocs()
	core := New(Options{})
	for ticket := range 1000 {
		core.Step(epoch, Arrive{Item{Ticket: Ticket(ticket), Model: notes, Deadline: epoch.Add(time.Hour)}})
	}
	oneSlot := capacity(1)
	next := Ticket(1000)
	for b.Loop() {
		next++
		core.Step(epoch, Arrive{Item{Ticket: next, Model: notes, Priority: int(next % 7), Deadline: epoch.Add(time.Hour)}})
		core.Step(epoch, oneSlot)
	}
}
