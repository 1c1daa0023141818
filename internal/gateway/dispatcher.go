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

// dispatcher is the actor that owns a queue core and a routing core. Model
// requests and service calls have one each, so that a service call never waits
// behind model requests or reports about them.
type dispatcher struct {
	system *actor.ActorSystem
	pid    *actor.PID
	// stopped is closed once the actor takes no more messages.
	stopped chan struct{}
}

// Messages to the dispatcher.
type (
	// submitModel asks for a back end for a model request. The result is sent to
	// reply, which must have buffer space for it.
	submitModel struct {
		ticket uint64
		route  catalog.ModelRoute
		// model is set on a retry, which keeps its model version.
		model    fleet.ModelVersion
		prefix   []uint64
		deadline time.Time
		arrived  time.Time
		bytes    int64
		retry    bool
		// budgetExempt retries do not count against the retry budget.
		budgetExempt bool
		exclude      []fleet.BackendName
		// colocationKey is set for requests suspected of crashing servers; equal keys go to the same back end.
		colocationKey uint64
		reply         chan dispatchReply
	}
	// submitCall asks for a back end of a service.
	submitCall struct {
		ticket       uint64
		route        catalog.ServiceRoute
		retry        bool
		budgetExempt bool
		exclude      []fleet.BackendName
		// colocationKey is as in submitModel.
		colocationKey uint64
		reply         chan dispatchReply
	}
	// abandon withdraws a submitted request; its reply may already have been sent.
	abandon            struct{ ticket uint64 }
	firstTokenReceived struct {
		ticket  uint64
		latency time.Duration
	}
	// hintReceived is what a back end reported about its own draining, backoff or rate limit.
	hintReceived struct {
		ticket uint64
		hint   inventory.Hint
	}
	attemptEnded struct {
		ticket uint64
		result routing.Result
	}
	tablesChanged struct{ tables views.RouteTables }
	// configurationChanged carries the evacuated zones and the regions.
	configurationChanged struct {
		evacuations evacuation.Snapshot
		topology    locality.Map
	}
	nodesChanged struct{ nodes int }
	// routeDone reports the end of a request that counts against its route's limits.
	routeDone      struct{ route string }
	leavingChanged struct{ backends []fleet.BackendName }
	loadRefused    struct{ refusals []fleet.LoadRefusal }
	// queuesRequested asks for the state of the queues; reply must have buffer space.
	queuesRequested struct{ reply chan []QueueInfo }
	wake            struct{}
)

// dispatchReply is the result of a submission: a back end, or the final refusal.
type dispatchReply struct {
	backend fleet.Backend
	model   fleet.ModelVersion
	cold    bool
	waited  time.Duration
	refusal *failure
	// limit is the rate limit that this incarnation of the back end reported.
	limit       inventory.RateLimit
	incarnation uint64
}

// pendingRequest is a submitted request that has no back end yet.
type pendingRequest struct {
	submit submitModel
	model  fleet.ModelVersion
	// regions are the regions that the request is queued for.
	regions fleet.Regions
	cold    bool
	waited  time.Duration
	// failedPicks counts releases for which routing had no back end.
	failedPicks int
}

// maxFailedPicks bounds how often a released request is requeued.
const maxFailedPicks = 5

// assignedRequest is a request that has a back end.
type assignedRequest struct {
	model      fleet.ModelVersion
	regions    fleet.Regions
	assignedAt time.Time
}

// dispatcherState is the state that the actor owns.
type dispatcherState struct {
	gateway      *Gateway
	self         *dispatcher
	queue        *queue.Core
	routing      *routing.Core
	budget       *attempt.Budget
	routeLimiter *routeLimiter
	pending      map[uint64]*pendingRequest
	hedges       map[uint64]submitHedge
	calls        map[uint64]chan dispatchReply
	assigned     map[uint64]assignedRequest
	suspension   routing.Suspension
	timer        *time.Timer
	timerAt      time.Time
	// regionsByModel holds the sets of regions that requests for a model were bound to.
	regionsByModel map[fleet.ModelVersion]map[locality.Regions]bool
	// allEvacuated is set while the queue is closed because all zones are evacuated.
	allEvacuated bool
	// gaugedWaiting is the number of waiting requests that the gauge shows.
	gaugedWaiting int
}

func startDispatcher(gateway *Gateway) *dispatcher {
	created := &dispatcher{system: gateway.system, stopped: make(chan struct{})}
	state := &dispatcherState{
		gateway:        gateway,
		self:           created,
		queue:          queue.New(gateway.options.Queue),
		routing:        routing.New(gateway.options.Routing),
		budget:         attempt.NewBudget(gateway.limits.RetryShare, gateway.limits.RetryBurst),
		routeLimiter:   newRouteLimiter(),
		pending:        make(map[uint64]*pendingRequest),
		hedges:         make(map[uint64]submitHedge),
		calls:          make(map[uint64]chan dispatchReply),
		assigned:       make(map[uint64]assignedRequest),
		regionsByModel: make(map[fleet.ModelVersion]map[locality.Regions]bool),
	}
	created.spawn(actor.PropsFromFunc(state.receive))
	return created
}

// spawn stores the actor's PID before its first message, which may set timers
// that send to it.
func (d *dispatcher) spawn(props *actor.Props) {
	name := d.system.ProcessRegistry.NextId()
	d.pid = d.system.NewLocalPID(name)
	if _, err := d.system.Root.SpawnNamed(props, name); err != nil {
		// The registry never returns the same name twice.
		panic(err)
	}
}

func (d *dispatcher) send(message any) {
	d.system.Root.Send(d.pid, message)
}

func (d *dispatcher) stop() {
	_ = d.system.Root.StopFuture(d.pid).Wait()
	close(d.stopped)
}

func (s *dispatcherState) receive(context actor.Context) {
	now := s.gateway.now()
	if s.suspension.Observe(now) {
		s.stepRouting(now, routing.Resumed{})
	}
	switch message := context.Message().(type) {
	case submitModel:
		s.handleSubmit(now, message)
	case submitHedge:
		s.handleSubmitHedge(now, message)
	case submitCall:
		s.handleSubmitCall(now, message)
	case abandon:
		s.handleAbandon(now, message.ticket)
	case firstTokenReceived:
		s.handleFirstToken(now, message)
	case hintReceived:
		s.stepRouting(now, routing.HintReceived{Ticket: routing.Ticket(message.ticket), Hint: message.hint})
	case attemptEnded:
		s.handleAttemptEnded(now, message)
	case tablesChanged:
		s.applyRouteTables(now, message.tables)
	case configurationChanged:
		s.applyConfiguration(now, message)
	case nodesChanged:
		s.routeLimiter.setNodes(message.nodes)
	case leavingChanged:
		s.stepRouting(now, routing.Leaving{Backends: message.backends})
	case routeDone:
		s.routeLimiter.release(message.route)
	case loadRefused:
		s.stepQueue(now, queue.LoadRefused{Refusals: message.refusals})
	case wake:
		s.handleWake(now)
	case queuesRequested:
		message.reply <- s.queueInfos(now)
		return
	case *actor.Stopping:
		s.handleStopping(now)
		return
	default:
		return
	}
	s.updateGauges()
	s.armTimer(now)
}

// handleWake runs the timers of both cores that are due.
func (s *dispatcherState) handleWake(now time.Time) {
	s.timerAt = time.Time{}
	s.stepRouting(now, routing.Tick{})
	s.stepQueue(now, queue.Tick{})
	// Reports expire and ejections end without a message of their own.
	for _, info := range s.queue.Queues() {
		s.updateQueueCapacity(now, info.Model, info.Regions.Set())
	}
}

// updateGauges updates the queue gauges; only the dispatcher of model requests uses its queue.
func (s *dispatcherState) updateGauges() {
	if items, bytes := s.queue.Waiting(); items != s.gaugedWaiting {
		s.gaugedWaiting = items
		s.gateway.metrics.waiting.Set(float64(items))
		s.gateway.metrics.waitingBytes.Set(float64(bytes))
	}
}

// armTimer sets the timer to the earliest wake time of the cores.
func (s *dispatcherState) armTimer(now time.Time) {
	at := earliest(earliest(s.queue.NextWake(), s.routing.NextWake()), s.suspension.NextBeat())
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
