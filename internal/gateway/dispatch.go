package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/routing"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/views"
)

func (s *dispatcherState) submit(now time.Time, submit submit) {
	refusal := s.admit(now, submit.retry, submit.unspent, submit.route.Selector, submit.route.Limits)
	regions := s.gateway.modelRegions(submit.route)
	if refusal == nil {
		refusal = s.refuseRegions(regions)
	}
	if refusal != nil {
		submit.reply <- reply{refusal: refusal}
		return
	}
	model := submit.model
	if model.IsZero() {
		model = s.routing.ChooseVersion(weighted(submit.route.Versions))
	}
	if until, backsOff := s.routing.BackoffEnds(now, model, regions); backsOff && !until.Before(submit.deadline) {
		refused := refuse(http.StatusServiceUnavailable, codeNoBackend, "all replicas of the model want nothing for now").after(until.Sub(now))
		submit.reply <- reply{refusal: &refused}
		return
	}
	s.follow(model, regions)
	s.pending[submit.ticket] = &pending{submit: submit, model: model, regions: fleet.RegionsOf(regions)}
	s.offer(now, model)
	s.stepQueue(now, queue.Arrive{Item: queue.Item{
		Ticket:    queue.Ticket(submit.ticket),
		Model:     model,
		Regions:   fleet.RegionsOf(regions),
		Adapter:   submit.route.Adapter,
		Priority:  submit.route.Priority,
		Deadline:  submit.deadline,
		ArrivedAt: submit.arrived,
		Bytes:     submit.bytes,
		Requeued:  submit.retry,
	}})
}

// admit counts a first attempt against the route's limits, and a retry against
// the budget of the node.
func (s *dispatcherState) admit(now time.Time, retry, unspent bool, route string, limits spec.Limits) *failure {
	if !retry {
		s.budget.Earn()
		return s.shares.take(now, route, limits)
	}
	if !unspent && !s.budget.Spend() {
		refused := refuse(http.StatusServiceUnavailable, codeRetryBudget, "too many requests are being retried").after(time.Second)
		return &refused
	}
	s.gateway.metrics.retries.Inc()
	return nil
}

func weighted(versions []catalog.WeightedModel) []routing.WeightedVersion {
	weighted := make([]routing.WeightedVersion, 0, len(versions))
	for _, version := range versions {
		weighted = append(weighted, routing.WeightedVersion{Model: version.Model, Weight: version.Weight})
	}
	return weighted
}

// noHedge is told to no caller.
var noHedge = failure{code: codeNoBackend}

// submitHedge finds a second back end for a request that waits for its first
// token, unless others wait for the room or the retry budget is spent.
func (s *dispatcherState) submitHedge(now time.Time, hedge submitHedge) {
	waiting := slices.ContainsFunc(s.queue.Queues(), func(line queue.QueueInfo) bool { return line.Model == hedge.model })
	regions := s.gateway.modelRegions(hedge.route)
	free := slices.ContainsFunc(s.routing.CapacityIn(now, hedge.model, regions).Replicas, func(room routing.ReplicaCapacity) bool {
		return room.FreeSlots > 0 && !slices.Contains(hedge.exclude, room.Name)
	})
	if waiting || !free || !s.budget.Spend() {
		hedge.reply <- reply{refusal: &noHedge}
		return
	}
	s.gateway.metrics.retries.Inc()
	s.hedges[hedge.ticket] = hedge
	s.stepRouting(now, routing.Pick{Ticket: routing.Ticket(hedge.ticket), Model: hedge.model, Adapter: hedge.route.Adapter,
		Prefix: hedge.prefix, Exclude: hedge.exclude, Regions: regions})
}

func (s *dispatcherState) submitCall(now time.Time, submit submitCall) {
	refusal := s.admit(now, submit.retry, submit.unspent, submit.route.Service, submit.route.Limits)
	if refusal != nil {
		submit.reply <- reply{refusal: refusal}
		return
	}
	regions := s.gateway.serviceRegions(submit.route)
	if refusal := s.refuseRegions(regions); refusal != nil {
		submit.reply <- reply{refusal: refusal}
		return
	}
	s.calls[submit.ticket] = submit.reply
	s.assigned[submit.ticket] = assigned{since: now}
	s.stepRouting(now, routing.PickService{Ticket: routing.Ticket(submit.ticket), Service: submit.route.Service,
		Exclude: submit.exclude, Regions: regions, ColocationKey: submit.together})
}

// offer tells the queue the present room for a model, in whichever regions.
func (s *dispatcherState) offer(now time.Time, model fleet.ModelVersion) {
	s.offerLine(now, model, locality.Regions{})
	for regions := range s.bounds[model] {
		s.offerLine(now, model, regions)
	}
}

func (s *dispatcherState) offerLine(now time.Time, model fleet.ModelVersion, regions locality.Regions) {
	rooms := s.routing.CapacityIn(now, model, regions)
	replicas := make([]queue.Replica, 0, len(rooms.Replicas))
	for _, room := range rooms.Replicas {
		replicas = append(replicas, queue.Replica{Name: room.Name, FreeSlots: room.FreeSlots, Adapters: room.Adapters})
	}
	s.stepQueue(now, queue.CapacityChanged{Model: model, Regions: fleet.RegionsOf(regions), Ready: rooms.Ready, Replicas: replicas, Slots: rooms.Slots})
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
		case routing.CapacityChanged:
			s.offer(now, effect.Model)
		}
	}
}

func (s *dispatcherState) release(now time.Time, release queue.Release) {
	waiting, found := s.pending[uint64(release.Item.Ticket)]
	if !found {
		return
	}
	waiting.cold, waiting.waited = release.ColdStart, release.Waited
	s.stepRouting(now, routing.Pick{
		Ticket:  routing.Ticket(release.Item.Ticket),
		Model:   waiting.model,
		Adapter: release.Item.Adapter,
		Prefix:  waiting.submit.prefix,
		Exclude: waiting.submit.exclude,

		Regions:       s.gateway.modelRegions(waiting.submit.route),
		ColocationKey: waiting.submit.together,
	})
}

func (s *dispatcherState) picked(now time.Time, picked routing.Picked) {
	ticket := uint64(picked.Ticket)
	answer := reply{backend: picked.Backend, limit: picked.Limit, incarnation: picked.Incarnation}
	if hedge, found := s.hedges[ticket]; found {
		delete(s.hedges, ticket)
		s.assigned[ticket] = assigned{model: hedge.model, regions: fleet.RegionsOf(s.gateway.modelRegions(hedge.route)), since: now}
		answer.model = hedge.model
		hedge.reply <- answer
		return
	}
	if waiting, found := s.pending[ticket]; found {
		delete(s.pending, ticket)
		s.assigned[ticket] = assigned{model: waiting.model, regions: waiting.regions, since: now}
		answer.model, answer.cold, answer.waited = waiting.model, waiting.cold, waiting.waited
		waiting.submit.reply <- answer
		return
	}
	if call, found := s.calls[ticket]; found {
		delete(s.calls, ticket)
		call <- answer
	}
}

// nonePicked puts a model request back into the queue; a call is refused.
func (s *dispatcherState) nonePicked(now time.Time, none routing.NonePicked) {
	ticket := uint64(none.Ticket)
	if hedge, found := s.hedges[ticket]; found {
		delete(s.hedges, ticket)
		hedge.reply <- reply{refusal: &noHedge}
		return
	}
	if waiting, found := s.pending[ticket]; found {
		waiting.misses++
		if waiting.misses > maxMisses {
			delete(s.pending, ticket)
			waiting.submit.reply <- reply{refusal: &failure{code: codeNoBackend, detail: "no replica of the model can be reached now",
				outcome: attempt.OutcomeNotRun, retryAfter: time.Second}}
			return
		}
		s.waitAgain(now, ticket, waiting)
		return
	}
	if answer, found := s.calls[ticket]; found {
		delete(s.calls, ticket)
		delete(s.assigned, ticket)
		answer <- reply{refusal: s.noService()}
	}
}

// waitAgain puts a request back at its place. Its regions may have changed meanwhile.
func (s *dispatcherState) waitAgain(now time.Time, ticket uint64, waiting *pending) {
	submit := waiting.submit
	regions := s.gateway.modelRegions(submit.route)
	if refusal := s.refuseRegions(regions); refusal != nil {
		delete(s.pending, ticket)
		submit.reply <- reply{refusal: refusal}
		return
	}
	s.follow(waiting.model, regions)
	waiting.regions = fleet.RegionsOf(regions)
	s.offer(now, waiting.model)
	s.stepQueue(now, queue.Arrive{Item: queue.Item{
		Ticket: queue.Ticket(ticket), Model: waiting.model, Regions: waiting.regions, Adapter: submit.route.Adapter,
		Priority: submit.route.Priority, Deadline: submit.deadline,
		ArrivedAt: submit.arrived, Bytes: submit.bytes, Requeued: true,
	}})
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
	case queue.ReasonDeadlineUnreachable:
		return "the request cannot be served before its deadline"
	case queue.ReasonDeadlineExceeded:
		return "the deadline came while the request waited"
	case queue.ReasonCannotLoad:
		return "the model cannot be loaded now"
	case queue.ReasonShed:
		return "requests of a higher priority took the room"
	case queue.ReasonEvacuated:
		return detailEvacuated
	}
	return "the node is stopping"
}

func (s *dispatcherState) abandon(now time.Time, ticket uint64) {
	if _, found := s.pending[ticket]; found {
		delete(s.pending, ticket)
		s.stepQueue(now, queue.Cancel{Ticket: queue.Ticket(ticket)})
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
		s.stepQueue(now, queue.Completed{Model: known.model, Regions: known.regions, ServiceTime: now.Sub(known.since)})
	}
	s.stepRouting(now, routing.Ended{Ticket: routing.Ticket(ended.ticket), Result: ended.result})
}

// began tells of an attempt's first token.
func (s *dispatcherState) began(now time.Time, began attemptBegan) {
	if known, found := s.assigned[began.ticket]; found {
		s.stepQueue(now, queue.FirstTokenReceived{Model: known.model, Regions: known.regions, Latency: began.after})
	}
	s.stepRouting(now, routing.FirstToken{Ticket: routing.Ticket(began.ticket), After: began.after})
}

// takeConfiguration has what waits go by the zones and regions in force.
func (s *dispatcherState) takeConfiguration(now time.Time, changed configurationChanged) {
	s.stepRouting(now, routing.Topology{Map: changed.places})
	s.stepRouting(now, routing.Evacuations{Snapshot: changed.evacuations})
	s.followEvacuations(now)
	s.followRegions(now)
}

func (s *dispatcherState) takeTables(now time.Time, tables views.RouteTables) {
	list := make([]fleet.RouteTable, 0, len(tables))
	for _, table := range tables {
		list = append(list, table)
	}
	s.stepRouting(now, routing.Tables{Tables: list})
	s.followEvacuations(now)
}

// stopping refuses what still waits, so that no handler waits for ever.
func (s *dispatcherState) stopping(now time.Time) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.stepQueue(now, queue.Close{RetryAfter: s.gateway.limits.DrainRetryAfter})
}
