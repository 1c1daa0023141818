package gateway

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/routing"
	"github.com/spanlanding/spanlanding/internal/views"
)

// dispatcher is the actor that owns a queue core and a routing core. Models
// and services have one each, so that a command never waits behind a report.
type dispatcher struct {
	system *actor.ActorSystem
	pid    *actor.PID
	// gone is closed once the actor takes no more messages.
	gone chan struct{}
}

// Messages to the dispatcher.
type (
	// submit asks for a back end. The answer is sent to reply, which must
	// have room for it.
	submit struct {
		ticket uint64
		route  catalog.ModelRoute
		// model is set on a retry, which stays at its version.
		model    fleet.ModelVersion
		prefix   []uint64
		deadline time.Time
		arrived  time.Time
		bytes    int64
		retry    bool
		// unspent retries do not count against the budget.
		unspent bool
		exclude []fleet.BackendName
		// together is set for suspects, which go to one back end.
		together uint64
		reply    chan reply
	}
	// submitCall asks for a back end of a service.
	submitCall struct {
		ticket  uint64
		route   catalog.ServiceRoute
		retry   bool
		unspent bool
		exclude []fleet.BackendName
		// together is as in submit.
		together uint64
		reply    chan reply
	}
	// abandon takes a submitted request out; its reply may already be there.
	abandon      struct{ ticket uint64 }
	attemptBegan struct {
		ticket uint64
		after  time.Duration
	}
	// hintReceived is what an attempt's back end told of its own future.
	hintReceived struct {
		ticket uint64
		hint   inventory.Hint
	}
	attemptEnded struct {
		ticket uint64
		result routing.Result
	}
	tablesChanged struct{ tables views.RouteTables }
	// configurationChanged brings the zones that are out of service, and the regions.
	configurationChanged struct {
		evacuations evacuation.Snapshot
		places      locality.Map
	}
	nodesChanged struct{ nodes int }
	// routeDone tells that a request that took a share of its route is over.
	routeDone      struct{ route string }
	leavingChanged struct{ backends []fleet.BackendName }
	loadRefused    struct{ refusals []fleet.LoadRefusal }
	// linesAsked asks for the lines of the queue; reply must have room.
	linesAsked struct{ reply chan []QueueInfo }
	wake       struct{}
)

// reply answers a submit: a back end, or the final refusal.
type reply struct {
	backend fleet.Backend
	model   fleet.ModelVersion
	cold    bool
	waited  time.Duration
	refusal *failure
	// limit is the rate limit that the back end names in its incarnation.
	limit       inventory.RateLimit
	incarnation uint64
}

// pending is a submitted request that has no back end yet.
type pending struct {
	submit submit
	model  fleet.ModelVersion
	// regions are those by which it waits.
	regions fleet.Regions
	cold    bool
	waited  time.Duration
	// misses counts releases for which routing had no back end.
	misses int
}

// maxMisses bounds how often a released request is put back.
const maxMisses = 5

// assigned is a request that has a back end.
type assigned struct {
	model   fleet.ModelVersion
	regions fleet.Regions
	since   time.Time
}

// dispatcherState is what the actor owns.
type dispatcherState struct {
	gateway  *Gateway
	self     *dispatcher
	queue    *queue.Core
	routing  *routing.Core
	budget   *attempt.Budget
	shares   *shares
	pending  map[uint64]*pending
	hedges   map[uint64]submitHedge
	calls    map[uint64]chan reply
	assigned map[uint64]assigned
	timer    *time.Timer
	timerAt  time.Time
	// bounds are the regions that requests for a model were bound to.
	bounds map[fleet.ModelVersion]map[locality.Regions]bool
	// evacuated is set while the queue is closed since no zone is left.
	evacuated bool
	// waiting is the number of requests that the gauge shows.
	waiting int
}

func startDispatcher(gateway *Gateway) *dispatcher {
	created := &dispatcher{system: gateway.system, gone: make(chan struct{})}
	state := &dispatcherState{
		gateway:  gateway,
		self:     created,
		queue:    queue.New(gateway.options.Queue),
		routing:  routing.New(gateway.options.Routing),
		budget:   attempt.NewBudget(gateway.limits.RetryShare, gateway.limits.RetryBurst),
		shares:   newShares(),
		pending:  make(map[uint64]*pending),
		hedges:   make(map[uint64]submitHedge),
		calls:    make(map[uint64]chan reply),
		assigned: make(map[uint64]assigned),
		bounds:   make(map[fleet.ModelVersion]map[locality.Regions]bool),
	}
	created.spawn(actor.PropsFromFunc(state.receive))
	return created
}

// spawn stores the actor's identity before its first message, which may set
// timers that send to it.
func (d *dispatcher) spawn(props *actor.Props) {
	name := d.system.ProcessRegistry.NextId()
	d.pid = d.system.NewLocalPID(name)
	if _, err := d.system.Root.SpawnNamed(props, name); err != nil {
		// The registry never gives a name twice.
		panic(err)
	}
}

func (d *dispatcher) send(message any) {
	d.system.Root.Send(d.pid, message)
}

func (d *dispatcher) stop() {
	_ = d.system.Root.StopFuture(d.pid).Wait()
	close(d.gone)
}

func (s *dispatcherState) receive(context actor.Context) {
	now := s.gateway.now()
	switch message := context.Message().(type) {
	case submit:
		s.submit(now, message)
	case submitHedge:
		s.submitHedge(now, message)
	case submitCall:
		s.submitCall(now, message)
	case abandon:
		s.abandon(now, message.ticket)
	case attemptBegan:
		s.began(now, message)
	case hintReceived:
		s.stepRouting(now, routing.HintReceived{Ticket: routing.Ticket(message.ticket), Hint: message.hint})
	case attemptEnded:
		s.ended(now, message)
	case tablesChanged:
		s.takeTables(now, message.tables)
	case configurationChanged:
		s.takeConfiguration(now, message)
	case nodesChanged:
		s.shares.setNodes(message.nodes)
	case leavingChanged:
		s.stepRouting(now, routing.Leaving{Backends: message.backends})
	case routeDone:
		s.shares.done(message.route)
	case loadRefused:
		s.stepQueue(now, queue.LoadRefused{Refusals: message.refusals})
	case wake:
		s.wake(now)
	case linesAsked:
		message.reply <- s.lines(now)
		return
	case *actor.Stopping:
		s.stopping(now)
		return
	default:
		return
	}
	s.gauge()
	s.arm(now)
}

// wake does what is due.
func (s *dispatcherState) wake(now time.Time) {
	s.timerAt = time.Time{}
	s.stepRouting(now, routing.Tick{})
	s.stepQueue(now, queue.Tick{})
	// Reports grow stale and ejections end without a message of their own.
	for _, line := range s.queue.Queues() {
		s.offerLine(now, line.Model, line.Regions.Set())
	}
}

// gauge shows the queue; only the models' dispatcher has one in use.
func (s *dispatcherState) gauge() {
	if items, bytes := s.queue.Waiting(); items != s.waiting {
		s.waiting = items
		s.gateway.metrics.waiting.Set(float64(items))
		s.gateway.metrics.waitingBytes.Set(float64(bytes))
	}
}

// arm sets the timer to the earliest wake of the cores.
func (s *dispatcherState) arm(now time.Time) {
	at := earliest(s.queue.NextWake(), s.routing.NextWake())
	if at.IsZero() || at.Equal(s.timerAt) {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timerAt = at
	s.timer = time.AfterFunc(max(0, at.Sub(now)), func() { s.self.send(wake{}) })
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
