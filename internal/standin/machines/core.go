// Package machines is the model of the platform's list of machines, which
// lags.
//
// Core is a deterministic state machine without I/O, goroutine or clock. It
// may import objectstore's wire types.
package machines

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

const (
	// DefaultLag is the age of what the list shows.
	DefaultLag = time.Second
	// DefaultSilence is how long a machine may be silent before it is probed.
	DefaultSilence = 2 * time.Second
	// DefaultKeepGone is how long a machine that is gone stays on the list.
	DefaultKeepGone = 10 * time.Minute

	probeInterval = 500 * time.Millisecond
)

// Options set up a Core; zero values take the defaults.
type Options struct {
	Lag      time.Duration
	Silence  time.Duration
	KeepGone time.Duration
}

// Message is an input of Core.Step.
type Message interface{ message() }

// Tick lets the core do what is due.
type Tick struct{}

// Report is the heartbeat of machines; it registers them.
type Report struct{ Machines []objectstore.Machine }

// ProbeDone answers Probe.
type ProbeDone struct {
	Name string
	// Refused says that nothing listens at the address any more.
	Refused bool
}

func (Tick) message()      {}
func (Report) message()    {}
func (ProbeDone) message() {}

// Probe asks whether anything still listens at a silent machine's address. A
// process that is only paused does, so it is not listed as gone.
type Probe struct {
	Name    string
	Address string
}

// Core holds the machines.
type Core struct {
	options Options
	entries map[string]*entry
}

type entry struct {
	machine objectstore.Machine
	heard   time.Time
	probeAt time.Time
	// shown holds the changes that the lag still hides, and the one before.
	shown []change
}

type change struct {
	at      time.Time
	machine objectstore.Machine
}

// New returns an empty list.
func New(options Options) *Core {
	options.Lag = cmp.Or(options.Lag, DefaultLag)
	options.Silence = cmp.Or(options.Silence, DefaultSilence)
	options.KeepGone = cmp.Or(options.KeepGone, DefaultKeepGone)
	return &Core{options: options, entries: map[string]*entry{}}
}

// Step takes a message and returns the probes that are wanted.
func (c *Core) Step(now time.Time, message Message) []Probe {
	switch m := message.(type) {
	case Tick:
	case Report:
		for _, machine := range m.Machines {
			c.heard(now, machine)
		}
	case ProbeDone:
		if entry := c.entries[m.Name]; entry != nil && m.Refused && c.silent(now, entry) {
			gone := entry.machine
			gone.State = objectstore.MachineGone
			entry.set(now, gone)
		}
	}
	return c.probes(now)
}

func (c *Core) heard(now time.Time, machine objectstore.Machine) {
	known := c.entries[machine.Name]
	if known == nil {
		known = &entry{}
		c.entries[machine.Name] = known
	}
	known.heard = now
	known.probeAt = now.Add(c.options.Silence)
	known.set(now, machine)
}

func (e *entry) set(now time.Time, machine objectstore.Machine) {
	if len(e.shown) > 0 && same(e.machine, machine) {
		return
	}
	e.machine = machine
	e.shown = append(e.shown, change{at: now, machine: machine})
}

func same(one, other objectstore.Machine) bool {
	return one.Role == other.Role && one.Zone == other.Zone && one.Rack == other.Rack &&
		one.State == other.State && one.Service == other.Service && one.Address == other.Address &&
		one.Node == other.Node && maps.Equal(one.Extra, other.Extra)
}

func (c *Core) silent(now time.Time, entry *entry) bool {
	return now.Sub(entry.heard) >= c.options.Silence
}

func (c *Core) probes(now time.Time) []Probe {
	var probes []Probe
	for _, name := range c.names() {
		entry := c.entries[name]
		if entry.machine.State == objectstore.MachineGone {
			c.dropOld(now, name, entry)
			continue
		}
		if !entry.probeAt.After(now) {
			entry.probeAt = now.Add(probeInterval)
			probes = append(probes, Probe{Name: name, Address: probeAddress(entry.machine)})
		}
	}
	return probes
}

func (c *Core) dropOld(now time.Time, name string, entry *entry) {
	if now.Sub(entry.heard) > c.options.KeepGone {
		delete(c.entries, name)
	}
}

func probeAddress(machine objectstore.Machine) string {
	return cmp.Or(machine.Address, machine.Node.Caller, machine.Node.Peer)
}

func (c *Core) names() []string {
	return slices.Sorted(maps.Keys(c.entries))
}

// NextWake is the earliest time at which a Tick is wanted; zero for none.
func (c *Core) NextWake() time.Time {
	var wake time.Time
	for _, entry := range c.entries {
		if entry.machine.State != objectstore.MachineGone && (wake.IsZero() || entry.probeAt.Before(wake)) {
			wake = entry.probeAt
		}
	}
	return wake
}

// List shows the machines as they were a lag ago, by name.
func (c *Core) List(now time.Time) objectstore.MachineList {
	asOf := now.Add(-c.options.Lag)
	list := objectstore.MachineList{AsOfUnixMilli: asOf.UnixMilli(), Machines: []objectstore.Machine{}}
	for _, name := range c.names() {
		entry := c.entries[name]
		entry.prune(asOf)
		if !entry.shown[0].at.After(asOf) {
			list.Machines = append(list.Machines, entry.shown[0].machine)
		}
	}
	return list
}

// prune drops the changes that a later one, visible too, has replaced.
func (e *entry) prune(asOf time.Time) {
	for len(e.shown) > 1 && !e.shown[1].at.After(asOf) {
		e.shown = e.shown[1:]
	}
}
