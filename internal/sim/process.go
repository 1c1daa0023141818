package sim

import "time"

// ProcessState is what a simulated process does.
type ProcessState int

// The states of a process.
const (
	ProcessDead ProcessState = iota
	ProcessRunning
	// ProcessPaused is frozen: timers and messages wait until it goes on, and
	// its clock has moved on by then.
	ProcessPaused
)

// Process is one simulated process. Whatever it does happens inside Do, so
// that a pause holds it back and a death drops it.
type Process struct {
	scheduler *Scheduler
	trace     *Trace
	name      string
	zone      string
	clock     Clock

	state   ProcessState
	boot    uint64
	pauses  uint64
	held    []func()
	onStart func(boot uint64)
	// onDeath is called once, at the death of the present boot.
	onDeath []func()
}

// ProcessOptions describe a process.
type ProcessOptions struct {
	Name string
	// Zone is the failure domain, for the network.
	Zone  string
	Clock Clock
	// Start builds the process's empty state; boot counts its starts from 1.
	Start func(boot uint64)
}

// NewProcess returns a process that is not started yet.
func NewProcess(scheduler *Scheduler, trace *Trace, options ProcessOptions) *Process {
	return &Process{
		scheduler: scheduler,
		trace:     trace,
		name:      options.Name,
		zone:      options.Zone,
		clock:     options.Clock,
		onStart:   options.Start,
	}
}

// Name is the process's name.
func (p *Process) Name() string { return p.name }

// Zone is the process's zone.
func (p *Process) Zone() string { return p.zone }

// State is what the process does now.
func (p *Process) State() ProcessState { return p.state }

// Boot counts the starts of the process.
func (p *Process) Boot() uint64 { return p.boot }

// Pauses counts the pauses of the process.
func (p *Process) Pauses() uint64 { return p.pauses }

// Now is the time that the process's own clock shows.
func (p *Process) Now() time.Time {
	return p.clock.Local(p.scheduler.Elapsed())
}

// SetClock replaces the process's clock.
func (p *Process) SetClock(clock Clock) {
	p.clock = clock
}

// Clock is the process's clock.
func (p *Process) Clock() Clock { return p.clock }

// Start starts a dead process with nothing of what it held before.
func (p *Process) Start() {
	if p.state != ProcessDead {
		return
	}
	p.boot++
	p.state = ProcessRunning
	p.trace.Record("start", p.name, p.zone, p.boot)
	p.onStart(p.boot)
}

// Die ends the process at once; what it was about to do is lost.
func (p *Process) Die() {
	if p.state == ProcessDead {
		return
	}
	p.state = ProcessDead
	p.held = nil
	p.trace.Record("die", p.name, p.zone, p.boot)
	watchers := p.onDeath
	p.onDeath = nil
	for _, watcher := range watchers {
		watcher()
	}
}

// OnDeath calls the function once the present boot has died.
func (p *Process) OnDeath(watcher func()) {
	p.onDeath = append(p.onDeath, watcher)
}

// Pause freezes a running process.
func (p *Process) Pause() {
	if p.state != ProcessRunning {
		return
	}
	p.state = ProcessPaused
	p.pauses++
	p.trace.Record("pause", p.name, p.zone, p.boot)
}

// Resume lets a paused process go on; what came meanwhile comes now, in order.
func (p *Process) Resume() {
	if p.state != ProcessPaused {
		return
	}
	p.state = ProcessRunning
	p.trace.Record("resume", p.name, p.zone, p.boot)
	p.scheduler.After(0, p.drain)
}

func (p *Process) drain() {
	for p.state == ProcessRunning && len(p.held) > 0 {
		action := p.held[0]
		p.held = p.held[1:]
		action()
	}
}

// Do runs the action if the process runs, holds it while it is paused, and
// drops it if the process has died since the given boot.
func (p *Process) Do(boot uint64, action func()) {
	if boot != p.boot {
		return
	}
	if p.state == ProcessDead {
		return
	}
	if p.state == ProcessPaused || len(p.held) > 0 {
		p.held = append(p.held, action)
		return
	}
	action()
}

// Timer schedules an action of this boot for a time by the process's own clock.
func (p *Process) Timer(local time.Time, action func()) {
	boot := p.boot
	p.scheduler.At(p.clock.Elapsed(local), func() { p.Do(boot, action) })
}
