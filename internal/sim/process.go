package sim

import "time"

// ProcessState is the state of a simulated process.
type ProcessState int

// The states of a process.
const (
	ProcessDead ProcessState = iota
	ProcessRunning
	// ProcessPaused is frozen: timers and messages are deferred until it
	// resumes, while its clock keeps running.
	ProcessPaused
)

// Process is one simulated process. All its actions run through Do, which
// defers them during a pause and drops them after the process has died.
type Process struct {
	scheduler *Scheduler
	trace     *Trace
	name      string
	zone      string
	clock     Clock

	state    ProcessState
	boot     uint64
	pauses   uint64
	deferred []func()
	onStart  func(boot uint64)
	// onDeath are called once, when the current boot dies.
	onDeath []func()
}

// ProcessOptions describe a process.
type ProcessOptions struct {
	Name string
	// Zone is the failure domain, for the network.
	Zone  string
	Clock Clock
	// Start builds the initial state of the process; boot counts its starts
	// from 1.
	Start func(boot uint64)
}

// NewProcess returns a process that has not been started.
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

// Name returns the name of the process.
func (p *Process) Name() string { return p.name }

// Zone returns the zone of the process.
func (p *Process) Zone() string { return p.zone }

// State returns the current state.
func (p *Process) State() ProcessState { return p.state }

// Boot returns the number of starts of the process.
func (p *Process) Boot() uint64 { return p.boot }

// Pauses returns the number of pauses of the process.
func (p *Process) Pauses() uint64 { return p.pauses }

// Now returns the time by the process's local clock.
func (p *Process) Now() time.Time {
	return p.clock.Local(p.scheduler.Elapsed())
}

// SetClock replaces the local clock.
func (p *Process) SetClock(clock Clock) {
	p.clock = clock
}

// Clock returns the local clock.
func (p *Process) Clock() Clock { return p.clock }

// Start starts a dead process. Nothing of its earlier state is kept.
func (p *Process) Start() {
	if p.state != ProcessDead {
		return
	}
	p.boot++
	p.state = ProcessRunning
	p.trace.Record("start", p.name, p.zone, p.boot)
	p.onStart(p.boot)
}

// Die ends the process immediately; its timers and deferred actions are lost.
func (p *Process) Die() {
	if p.state == ProcessDead {
		return
	}
	p.state = ProcessDead
	p.deferred = nil
	p.trace.Record("die", p.name, p.zone, p.boot)
	callbacks := p.onDeath
	p.onDeath = nil
	for _, callback := range callbacks {
		callback()
	}
}

// OnDeath registers a function that is called when the current boot dies.
func (p *Process) OnDeath(callback func()) {
	p.onDeath = append(p.onDeath, callback)
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

// Resume continues a paused process and then runs the deferred actions in
// order.
func (p *Process) Resume() {
	if p.state != ProcessPaused {
		return
	}
	p.state = ProcessRunning
	p.trace.Record("resume", p.name, p.zone, p.boot)
	p.scheduler.After(0, p.runDeferred)
}

func (p *Process) runDeferred() {
	for p.state == ProcessRunning && len(p.deferred) > 0 {
		action := p.deferred[0]
		p.deferred = p.deferred[1:]
		action()
	}
}

// Do runs the action if the process is running, defers it while the process is
// paused, and drops it if the given boot has died.
func (p *Process) Do(boot uint64, action func()) {
	if boot != p.boot {
		return
	}
	if p.state == ProcessDead {
		return
	}
	if p.state == ProcessPaused || len(p.deferred) > 0 {
		p.deferred = append(p.deferred, action)
		return
	}
	action()
}

// Timer schedules an action of the current boot for a time by the local clock.
func (p *Process) Timer(local time.Time, action func()) {
	boot := p.boot
	p.scheduler.At(p.clock.Elapsed(local), func() { p.Do(boot, action) })
}
