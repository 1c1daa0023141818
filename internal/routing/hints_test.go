package routing

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// TestHintsBindOneIncarnation: a backoff binds until it ends, and draining whatever newer tables
// say. A response from the previous incarnation changes nothing.
func TestHintsBindOneIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		hint  inventory.Hint
		after time.Duration
		want  string
	}{
		"during the backoff": {inventory.Hint{Backoff: 3 * time.Second}, 2999 * time.Millisecond, ""},
		"after the backoff":  {inventory.Hint{Backoff: 3 * time.Second}, 3 * time.Second, "e1"},
		"draining":           {inventory.Hint{Draining: true}, time.Hour, ""},
	} {
		d := newDriver(Options{}, epoch, engine("e1", "a", 0))
		ticket, _ := d.pick(epoch, nil)
		late, _ := d.pick(epoch, nil)
		d.core.Step(epoch, HintReceived{Ticket: ticket, Hint: c.hint})
		d.core.Step(epoch, Ended{Ticket: ticket, Result: ResultOK})
		now := epoch.Add(c.after)
		d.core.Step(now, tables(engine("e1", "a", 1)))
		if _, got := d.pick(now, nil); got != c.want {
			t.Errorf("%s: picked %q, want %q", name, got, c.want)
		}
		again := engine("e1", "a", 0)
		again.Incarnation++
		d.core.Step(now, tables(again))
		d.core.Step(now, HintReceived{Ticket: late, Hint: inventory.Hint{Draining: true}})
		if _, got := d.pick(now, nil); got != "e1" {
			t.Errorf("%s: the next incarnation is not picked", name)
		}
	}
}

// Guards against requests that wait for a new incarnation because of what the one before refused or failed.
func TestNewIncarnationIsPickedAtOnce(t *testing.T) {
	const attempts = 20
	for name, c := range map[string]struct {
		result      Result
		isEndedLate bool
	}{
		"refused":                        {ResultRefused, false},
		"refused, known after the start": {ResultRefused, true},
		"failed":                         {ResultFailed, false},
		"failed, known after the start":  {ResultFailed, true},
		"unreachable, known late":        {ResultUnreachable, true},
	} {
		d := newDriver(Options{}, epoch, engine("e1", "a", 0))
		var tickets []Ticket
		for range attempts {
			ticket, _ := d.pick(epoch, nil)
			tickets = append(tickets, ticket)
		}
		end := func() {
			for _, ticket := range tickets {
				d.core.Step(epoch, Ended{Ticket: ticket, Result: c.result})
			}
		}
		again := engine("e1", "a", 0)
		again.Incarnation++
		if !c.isEndedLate {
			end()
		}
		d.core.Step(epoch, tables(again))
		if c.isEndedLate {
			end()
		}
		if _, got := d.pick(epoch, nil); got != "e1" {
			t.Errorf("%s: the next incarnation is not picked", name)
		}
	}
}

// TestRestIsAnnouncedAtItsEnd: waiting requests try again when a backoff ends, even if refusals
// followed it.
func TestRestIsAnnouncedAtItsEnd(t *testing.T) {
	d := newDriver(Options{}, epoch, engine("e1", "a", 0))
	ticket, _ := d.pick(epoch, nil)
	other, _ := d.pick(epoch, nil)
	d.core.Step(epoch, HintReceived{Ticket: ticket, Hint: inventory.Hint{Backoff: 3 * time.Second}})
	d.core.Step(epoch, Ended{Ticket: other, Result: ResultRefused})
	for _, at := range []time.Duration{refusalPause, 3 * time.Second} {
		if wake := d.core.NextWake(); !wake.Equal(epoch.Add(at)) {
			t.Errorf("next wake at %v, want %v", wake.Sub(epoch), at)
		}
		if effects := d.core.Step(epoch.Add(at), Tick{}); len(effects) != 1 || effects[0] != (CapacityChanged{Model: notes}) {
			t.Errorf("at %v: %v", at, effects)
		}
	}
}

// TestRestOfAService: a service, which takes commands, can back off as well.
func TestRestOfAService(t *testing.T) {
	core := New(Options{Zone: "a"})
	table := fleet.RouteTable{Zone: "a", Services: []fleet.Backend{{Name: "s1", Kind: fleet.KindService, Zone: "a", Service: "turbines"}}}
	core.Step(epoch, Tables{Tables: []fleet.RouteTable{table}})
	core.Step(epoch, PickService{Ticket: 1, Service: "turbines"})
	core.Step(epoch, HintReceived{Ticket: 1, Hint: inventory.Hint{Backoff: time.Second}})
	for after, want := range map[time.Duration]bool{999 * time.Millisecond: false, time.Second: true} {
		effects := core.Step(epoch.Add(after), PickService{Ticket: 2, Service: "turbines"})
		if _, picked := effects[0].(Picked); picked != want {
			t.Errorf("after %v: %v", after, effects)
		}
	}
}
