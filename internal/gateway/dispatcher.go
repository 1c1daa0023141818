package gateway

import (
	"io"
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/routing"
	"github.com/spanlanding/spanlanding/internal/views"
)

// dispatcher is the actor that owns a queue core and a routing core. Models
// and services have one each, so that a command never waits behind a report.
type dispatcher struct {
	system *actor.ActorSystem
	pid    *actor.PID
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
		reply   chan reply
	}
	// submitCall asks for a back end of a service.
	submitCall struct {
		ticket  uint64
		route   catalog.ServiceRoute
		retry   bool
		unspent bool
		exclude []fleet.BackendName
		reply   chan reply
	}
	// abandon takes a submitted request out; its reply may already be there.
	abandon      struct{ ticket uint64 }
	attemptBegan struct {
		ticket uint64
		after  time.Duration
	}
	attemptEnded struct {
		ticket uint64
		result routing.Result
	}
	tablesChanged struct{ tables views.Tables }
	nodesChanged  struct{ nodes int }
	// routeDone tells that a request that took a share of its route is over.
	routeDone      struct{ route string }
	leavingChanged struct{ backends []fleet.BackendName }
	loadRefused    struct{ refusals []fleet.LoadRefusal }
	wake           struct{}
)

// reply answers a submit: a back end, or the final refusal.
type reply struct {
	backend fleet.Backend
	model   fleet.ModelVersion
	cold    bool
	waited  time.Duration
	refusal *failure
}

// pending is a submitted request that has no back end yet.
type pending struct {
	submit submit
	model  fleet.ModelVersion
	cold   bool
	waited time.Duration
	// misses counts releases for which routing had no back end.
	misses int
}

// maxMisses bounds how often a released request is put back.
const maxMisses = 5

// assigned is a request that has a back end.
type assigned struct {
	model fleet.ModelVersion
	since time.Time
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
	calls    map[uint64]chan reply
	assigned map[uint64]assigned
	timer    *time.Timer
	timerAt  time.Time
	// waiting is the number of requests that the gauge shows.
	waiting int
}

func startDispatcher(gateway *Gateway) *dispatcher {
	quiet := func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
	system := actor.NewActorSystem(actor.WithLoggerFactory(quiet))
	created := &dispatcher{system: system}
	state := &dispatcherState{
		gateway:  gateway,
		self:     created,
		queue:    queue.New(gateway.options.Queue),
		routing:  routing.New(gateway.options.Routing),
		budget:   attempt.NewBudget(gateway.limits.RetryShare, gateway.limits.RetryBurst),
		shares:   newShares(),
		pending:  make(map[uint64]*pending),
		calls:    make(map[uint64]chan reply),
		assigned: make(map[uint64]assigned),
	}
	created.pid = system.Root.Spawn(actor.PropsFromFunc(state.receive))
	return created
}

func (d *dispatcher) send(message any) {
	d.system.Root.Send(d.pid, message)
}

func (d *dispatcher) stop() {
	_ = d.system.Root.StopFuture(d.pid).Wait()
	d.system.Shutdown()
}

func (s *dispatcherState) receive(context actor.Context) {
	now := s.gateway.now()
	switch message := context.Message().(type) {
	case submit:
		s.submit(now, message)
	case submitCall:
		s.submitCall(now, message)
	case abandon:
		s.abandon(now, message.ticket)
	case attemptBegan:
		if known, found := s.assigned[message.ticket]; found {
			s.stepQueue(now, queue.Began{Model: known.model, After: message.after})
		}
		s.stepRouting(now, routing.FirstToken{Ticket: routing.Ticket(message.ticket), After: message.after})
	case attemptEnded:
		s.ended(now, message)
	case tablesChanged:
		s.takeTables(now, message.tables)
	case nodesChanged:
		s.shares.setNodes(message.nodes)
	case leavingChanged:
		s.stepRouting(now, routing.Leaving{Backends: message.backends})
	case routeDone:
		s.shares.done(message.route)
	case loadRefused:
		s.stepQueue(now, queue.LoadRefused{Refusals: message.refusals})
	case wake:
		s.timerAt = time.Time{}
		s.stepRouting(now, routing.Tick{})
		s.stepQueue(now, queue.Tick{})
		// Reports grow stale and ejections end without a message of their own.
		for _, line := range s.queue.Lines() {
			s.offer(now, line.Model)
		}
	case *actor.Stopping:
		s.stopping(now)
		return
	default:
		return
	}
	s.gauge()
	s.arm(now)
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

func (s *dispatcherState) submit(now time.Time, submit submit) {
	if submit.retry {
		if !submit.unspent && !s.budget.Spend() {
			submit.reply <- reply{refusal: &failure{code: codeRetryBudget, detail: "too many requests are being retried",
				outcome: attempt.OutcomeNotRun, retryAfter: time.Second}}
			return
		}
		s.gateway.metrics.retries.Inc()
	} else {
		s.budget.Earn()
		if refusal := s.shares.take(now, submit.route.Selector, submit.route.Limits); refusal != nil {
			submit.reply <- reply{refusal: refusal}
			return
		}
	}
	model := submit.model
	if model.IsZero() {
		model = s.routing.ChooseVersion(weighted(submit.route.Versions))
	}
	s.pending[submit.ticket] = &pending{submit: submit, model: model}
	s.offer(now, model)
	s.stepQueue(now, queue.Arrive{Item: queue.Item{
		Ticket:   queue.Ticket(submit.ticket),
		Model:    model,
		Adapter:  submit.route.Adapter,
		Priority: submit.route.Priority,
		Deadline: submit.deadline,
		Since:    submit.arrived,
		Bytes:    submit.bytes,
		Again:    submit.retry,
	}})
}

func weighted(versions []catalog.WeightedModel) []routing.Weighted {
	weighted := make([]routing.Weighted, 0, len(versions))
	for _, version := range versions {
		weighted = append(weighted, routing.Weighted{Model: version.Model, Weight: version.Weight})
	}
	return weighted
}

func (s *dispatcherState) submitCall(now time.Time, submit submitCall) {
	if submit.retry {
		if !submit.unspent && !s.budget.Spend() {
			submit.reply <- reply{refusal: &failure{code: codeRetryBudget, detail: "too many calls are being retried",
				outcome: attempt.OutcomeNotRun, retryAfter: time.Second}}
			return
		}
	} else {
		s.budget.Earn()
		if refusal := s.shares.take(now, submit.route.Service, submit.route.Limits); refusal != nil {
			submit.reply <- reply{refusal: refusal}
			return
		}
	}
	s.calls[submit.ticket] = submit.reply
	s.assigned[submit.ticket] = assigned{since: now}
	s.stepRouting(now, routing.PickService{Ticket: routing.Ticket(submit.ticket), Service: submit.route.Service,
		Exclude: submit.exclude})
}

// offer tells the queue the present room for a model.
func (s *dispatcherState) offer(now time.Time, model fleet.ModelVersion) {
	rooms := s.routing.Rooms(now, model)
	replicas := make([]queue.Replica, 0, len(rooms.Rooms))
	for _, room := range rooms.Rooms {
		replicas = append(replicas, queue.Replica{Name: room.Name, Free: room.Free, Adapters: room.Adapters})
	}
	s.stepQueue(now, queue.Offer{Model: model, Ready: rooms.Ready, Replicas: replicas, Slots: rooms.Slots})
}

func (s *dispatcherState) stepQueue(now time.Time, message queue.Message) {
	// The effects are valid until the next step, which carrying them out may
	// bring about.
	effects := append([]queue.Effect(nil), s.queue.Step(now, message)...)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case queue.Release:
			s.release(now, effect)
		case queue.Refuse:
			s.refuse(effect)
		case queue.ReportWants:
			if s.gateway.options.Demand != nil {
				s.gateway.options.Demand.Report(effect.Wants)
			}
		}
	}
}

func (s *dispatcherState) stepRouting(now time.Time, message routing.Message) {
	effects := append([]routing.Effect(nil), s.routing.Step(now, message)...)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case routing.Picked:
			s.picked(now, effect)
		case routing.NonePicked:
			s.nonePicked(now, effect)
		case routing.RoomChanged:
			s.offer(now, effect.Model)
		}
	}
}

func (s *dispatcherState) release(now time.Time, release queue.Release) {
	waiting, found := s.pending[uint64(release.Item.Ticket)]
	if !found {
		return
	}
	waiting.cold, waiting.waited = release.Cold, release.Waited
	s.stepRouting(now, routing.Pick{
		Ticket:  routing.Ticket(release.Item.Ticket),
		Model:   waiting.model,
		Adapter: release.Item.Adapter,
		Prefix:  waiting.submit.prefix,
		Exclude: waiting.submit.exclude,
	})
}

func (s *dispatcherState) picked(now time.Time, picked routing.Picked) {
	ticket := uint64(picked.Ticket)
	if waiting, found := s.pending[ticket]; found {
		delete(s.pending, ticket)
		s.assigned[ticket] = assigned{model: waiting.model, since: now}
		waiting.submit.reply <- reply{backend: picked.Backend, model: waiting.model, cold: waiting.cold, waited: waiting.waited}
		return
	}
	if answer, found := s.calls[ticket]; found {
		delete(s.calls, ticket)
		answer <- reply{backend: picked.Backend}
	}
}

// nonePicked puts a model request back into the queue; a call is refused.
func (s *dispatcherState) nonePicked(now time.Time, none routing.NonePicked) {
	ticket := uint64(none.Ticket)
	if waiting, found := s.pending[ticket]; found {
		waiting.misses++
		if waiting.misses > maxMisses {
			delete(s.pending, ticket)
			waiting.submit.reply <- reply{refusal: &failure{code: codeNoBackend, detail: "no replica of the model can be reached now",
				outcome: attempt.OutcomeNotRun, retryAfter: time.Second}}
			return
		}
		s.offer(now, waiting.model)
		s.stepQueue(now, queue.Arrive{Item: queue.Item{
			Ticket: queue.Ticket(ticket), Model: waiting.model, Adapter: waiting.submit.route.Adapter,
			Priority: waiting.submit.route.Priority, Deadline: waiting.submit.deadline,
			Since: waiting.submit.arrived, Bytes: waiting.submit.bytes, Again: true,
		}})
		return
	}
	if answer, found := s.calls[ticket]; found {
		delete(s.calls, ticket)
		delete(s.assigned, ticket)
		answer <- reply{refusal: &failure{code: codeNoBackend, detail: "no back end of the service can be reached now",
			outcome: attempt.OutcomeNotRun, retryAfter: time.Second}}
	}
}

func (s *dispatcherState) refuse(refuse queue.Refuse) {
	waiting, found := s.pending[uint64(refuse.Item.Ticket)]
	if !found {
		return
	}
	delete(s.pending, uint64(refuse.Item.Ticket))
	detail := refuse.Detail
	if detail == "" {
		detail = detailOf(refuse.Reason)
	}
	waiting.submit.reply <- reply{refusal: &failure{code: string(refuse.Reason), detail: detail,
		outcome: attempt.OutcomeNotRun, retryAfter: refuse.RetryAfter}}
}

func detailOf(reason queue.Reason) string {
	switch reason {
	case queue.ReasonFull:
		return "the queue is full"
	case queue.ReasonTooLate:
		return "the request cannot be served before its deadline"
	case queue.ReasonDeadline:
		return "the deadline came while the request waited"
	case queue.ReasonCannotLoad:
		return "the model cannot be loaded now"
	case queue.ReasonShed:
		return "requests of a higher priority took the room"
	}
	return "the node is stopping"
}

func (s *dispatcherState) abandon(now time.Time, ticket uint64) {
	if _, found := s.pending[ticket]; found {
		delete(s.pending, ticket)
		s.stepQueue(now, queue.Leave{Ticket: queue.Ticket(ticket)})
		return
	}
	s.ended(now, attemptEnded{ticket: ticket, result: routing.ResultAbandoned})
}

func (s *dispatcherState) ended(now time.Time, ended attemptEnded) {
	known, found := s.assigned[ended.ticket]
	if !found {
		return
	}
	delete(s.assigned, ended.ticket)
	if !known.model.IsZero() && ended.result == routing.ResultOK {
		s.stepQueue(now, queue.Served{Model: known.model, Service: now.Sub(known.since)})
	}
	s.stepRouting(now, routing.Ended{Ticket: routing.Ticket(ended.ticket), Result: ended.result})
}

func (s *dispatcherState) takeTables(now time.Time, tables views.Tables) {
	list := make([]fleet.RouteTable, 0, len(tables))
	for _, table := range tables {
		list = append(list, table)
	}
	s.stepRouting(now, routing.Tables{Tables: list})
}

// stopping refuses what still waits, so that no handler waits for ever.
func (s *dispatcherState) stopping(now time.Time) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.stepQueue(now, queue.Close{RetryAfter: s.gateway.limits.DrainRetryAfter})
}
