// Package machines simulates the platform's machine list, which shows machines
// with a delay.
//
// Machines register by heartbeats. A machine without a recent heartbeat is probed
// and listed as gone once nothing listens at its address.
//
// Core is a deterministic state machine: it does no I/O, starts no goroutine and
// reads no clock. The HTTP driver (standin/httpdriver) and the simulator drive it.
//
// It may import the wire types of objectstore.
package machines

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

const (
	// DefaultLag is the default age of the listed state.
	DefaultLag = time.Second
	// DefaultSilence is the default time without a heartbeat after which a
	// machine is probed.
	DefaultSilence = 2 * time.Second
	// DefaultKeepGone is the default time since the last heartbeat after which a
	// machine that is gone is removed from the list.
	DefaultKeepGone = 10 * time.Minute

	probeInterval = 500 * time.Millisecond
)

// Options configures a Core; zero values take the defaults.
type Options struct {
	Lag      time.Duration
	Silence  time.Duration
	KeepGone time.Duration
}

// Message is an input of Core.Step.
type Message interface{ message() }

// Tick makes the core process what is due.
type Tick struct{}

// Report is a heartbeat of machines; the first one registers a machine.
type Report struct{ Machines []objectstore.Machine }

// ProbeDone answers Probe.
type ProbeDone struct {
	Name string
	// Refused means that nothing listens at the address any more.
	Refused bool
}

func (Tick) message()      {}
func (Report) message()    {}
func (ProbeDone) message() {}

// Probe asks the driver whether anything still listens at the address of a
// machine without heartbeats. A paused process still listens, so it is not
// listed as gone.
type Probe struct {
	Name    string
	Address string
}

// Core is the state machine of the machine list.
type Core struct {
	options Options
	entries map[string]*entry
}

type entry struct {
	machine       objectstore.Machine
	lastHeartbeat time.Time
	probeAt       time.Time
	// changes holds the change that is currently listed, followed by those that
	// the lag still hides.
	changes []change
}

type change struct {
	at      time.Time
	machine objectstore.Machine
}

// New returns an empty machine list.
func New(options Options) *Core {
	options.Lag = cmp.Or(options.Lag, DefaultLag)
	options.Silence = cmp.Or(options.Silence, DefaultSilence)
	options.KeepGone = cmp.Or(options.KeepGone, DefaultKeepGone)
	return &Core{options: options, entries: map[string]*entry{}}
}

// Step processes a message and returns the probes to send.
func (c *Core) Step(now time.Time, message Message) []Probe {
	switch m := message.(type) {
	case Tick:
	case Report:
		for _, machine := range m.Machines {
			c.recordHeartbeat(now, machine)
		}
	case ProbeDone:
		if entry := c.entries[m.Name]; entry != nil && m.Refused && c.isSilent(now, entry) {
			gone := entry.machine
			gone.State = objectstore.MachineGone
			entry.setMachine(now, gone)
		}
	}
	return c.probes(now)
}

func (c *Core) recordHeartbeat(now time.Time, machine objectstore.Machine) {
	known := c.entries[machine.Name]
	if known == nil {
		known = &entry{}
		c.entries[machine.Name] = known
	}
	known.lastHeartbeat = now
	known.probeAt = now.Add(c.options.Silence)
	known.setMachine(now, machine)
}

func (e *entry) setMachine(now time.Time, machine objectstore.Machine) {
	if len(e.changes) > 0 && sameMachine(e.machine, machine) {
		return
	}
	e.machine = machine
	e.changes = append(e.changes, change{at: now, machine: machine})
}

func sameMachine(one, other objectstore.Machine) bool {
	return one.Role == other.Role && one.Zone == other.Zone && one.Rack == other.Rack &&
		one.State == other.State && one.Service == other.Service && one.Address == other.Address &&
		one.Node == other.Node && maps.Equal(one.Extra, other.Extra)
}

func (c *Core) isSilent(now time.Time, entry *entry) bool {
	return now.Sub(entry.lastHeartbeat) >= c.options.Silence
}

// probes returns the probes that are due, and removes machines that have been gone
// for long enough.
func (c *Core) probes(now time.Time) []Probe {
	var probes []Probe
	for _, name := range c.sortedNames() {
		entry := c.entries[name]
		if entry.machine.State == objectstore.MachineGone {
			c.removeExpired(now, name, entry)
			continue
		}
		if !entry.probeAt.After(now) {
			entry.probeAt = now.Add(probeInterval)
			probes = append(probes, Probe{Name: name, Address: probeAddress(entry.machine)})
		}
	}
	return probes
}

func (c *Core) removeExpired(now time.Time, name string, entry *entry) {
	if now.Sub(entry.lastHeartbeat) > c.options.KeepGone {
		delete(c.entries, name)
	}
}

func probeAddress(machine objectstore.Machine) string {
	return cmp.Or(machine.Address, machine.Node.Caller, machine.Node.Peer)
}

func (c *Core) sortedNames() []string {
	return slices.Sorted(maps.Keys(c.entries))
}

// NextWake returns the earliest time at which a Tick is needed, or zero if none
// is.
func (c *Core) NextWake() time.Time {
	var wake time.Time
	for _, entry := range c.entries {
		if entry.machine.State != objectstore.MachineGone && (wake.IsZero() || entry.probeAt.Before(wake)) {
			wake = entry.probeAt
		}
	}
	return wake
}

// List returns the machines as they were one lag ago, sorted by name.
func (c *Core) List(now time.Time) objectstore.MachineList {
	asOf := now.Add(-c.options.Lag)
	list := objectstore.MachineList{AsOfUnixMilli: asOf.UnixMilli(), Machines: []objectstore.Machine{}}
	for _, name := range c.sortedNames() {
		entry := c.entries[name]
		entry.prune(asOf)
		if !entry.changes[0].at.After(asOf) {
			list.Machines = append(list.Machines, entry.changes[0].machine)
		}
	}
	return list
}

// prune drops the changes that a later visible change has replaced.
func (e *entry) prune(asOf time.Time) {
	for len(e.changes) > 1 && !e.changes[1].at.After(asOf) {
		e.changes = e.changes[1:]
	}
}
