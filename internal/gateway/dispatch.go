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

func (s *dispatcherState) handleSubmit(now time.Time, submit submitModel) {
	refusal := s.admit(now, submit.retry, submit.budgetExempt, submit.route.Selector, submit.route.Limits)
	regions := s.gateway.modelRegions(submit.route)
	if refusal == nil {
		refusal = s.checkRegions(regions)
	}
	if refusal != nil {
		submit.reply <- dispatchReply{refusal: refusal}
		return
	}
	model := submit.model
	if model.IsZero() {
		model = s.routing.ChooseVersion(weightedVersions(submit.route.Versions))
	}
	if until, backsOff := s.routing.BackoffEnds(now, model, regions); backsOff && !until.Before(submit.deadline) {
		refused := newRefusal(http.StatusServiceUnavailable, codeNoBackend, "all replicas of the model want nothing for now").withRetryAfter(until.Sub(now))
		submit.reply <- dispatchReply{refusal: &refused}
		return
	}
	s.trackRegions(model, regions)
	s.pending[submit.ticket] = &pendingRequest{submit: submit, model: model, regions: fleet.RegionsOf(regions)}
	s.updateCapacity(now, model)
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
// the retry budget of the node.
func (s *dispatcherState) admit(now time.Time, retry, budgetExempt bool, route string, limits spec.Limits) *failure {
	if !retry {
		s.budget.Earn()
		return s.routeLimiter.admit(now, route, limits)
	}
	if !budgetExempt && !s.budget.Spend() {
		refused := newRefusal(http.StatusServiceUnavailable, codeRetryBudget, "too many requests are being retried").withRetryAfter(time.Second)
		return &refused
	}
	s.gateway.metrics.retries.Inc()
	return nil
}

func weightedVersions(versions []catalog.WeightedModel) []routing.WeightedVersion {
	weighted := make([]routing.WeightedVersion, 0, len(versions))
	for _, version := range versions {
		weighted = append(weighted, routing.WeightedVersion{Model: version.Model, Weight: version.Weight})
	}
	return weighted
}

// hedgeUnavailable is never shown to a caller.
var hedgeUnavailable = failure{code: codeNoBackend}

// handleSubmitHedge picks a second back end for a request that waits for its first
// token, unless other requests wait for the capacity or the retry budget is spent.
func (s *dispatcherState) handleSubmitHedge(now time.Time, hedge submitHedge) {
	othersWaiting := slices.ContainsFunc(s.queue.Queues(), func(info queue.QueueInfo) bool { return info.Model == hedge.model })
	regions := s.gateway.modelRegions(hedge.route)
	hasFreeReplica := slices.ContainsFunc(s.routing.CapacityIn(now, hedge.model, regions).Replicas, func(replica routing.ReplicaCapacity) bool {
		return replica.FreeSlots > 0 && !slices.Contains(hedge.exclude, replica.Name)
	})
	if othersWaiting || !hasFreeReplica || !s.budget.Spend() {
		hedge.reply <- dispatchReply{refusal: &hedgeUnavailable}
		return
	}
	s.gateway.metrics.retries.Inc()
	s.hedges[hedge.ticket] = hedge
	s.stepRouting(now, routing.Pick{Ticket: routing.Ticket(hedge.ticket), Model: hedge.model, Adapter: hedge.route.Adapter,
		Prefix: hedge.prefix, Exclude: hedge.exclude, Regions: regions})
}

func (s *dispatcherState) handleSubmitCall(now time.Time, submit submitCall) {
	refusal := s.admit(now, submit.retry, submit.budgetExempt, submit.route.Service, submit.route.Limits)
	if refusal != nil {
		submit.reply <- dispatchReply{refusal: refusal}
		return
	}
	regions := s.gateway.serviceRegions(submit.route)
	if refusal := s.checkRegions(regions); refusal != nil {
		submit.reply <- dispatchReply{refusal: refusal}
		return
	}
	s.calls[submit.ticket] = submit.reply
	s.assigned[submit.ticket] = assignedRequest{assignedAt: now}
	s.stepRouting(now, routing.PickService{Ticket: routing.Ticket(submit.ticket), Service: submit.route.Service,
		Exclude: submit.exclude, Regions: regions, ColocationKey: submit.colocationKey})
}

// updateCapacity passes the current capacity for a model to the queue, for each set of regions in use.
func (s *dispatcherState) updateCapacity(now time.Time, model fleet.ModelVersion) {
	s.updateQueueCapacity(now, model, locality.Regions{})
	for regions := range s.regionsByModel[model] {
		s.updateQueueCapacity(now, model, regions)
	}
}

func (s *dispatcherState) updateQueueCapacity(now time.Time, model fleet.ModelVersion, regions locality.Regions) {
	capacity := s.routing.CapacityIn(now, model, regions)
	replicas := make([]queue.Replica, 0, len(capacity.Replicas))
	for _, replica := range capacity.Replicas {
		replicas = append(replicas, queue.Replica{Name: replica.Name, FreeSlots: replica.FreeSlots, Adapters: replica.Adapters})
	}
	s.stepQueue(now, queue.CapacityChanged{Model: model, Regions: fleet.RegionsOf(regions), Ready: capacity.Ready, Replicas: replicas, Slots: capacity.Slots})
}

func (s *dispatcherState) stepQueue(now time.Time, message queue.Message) {
	// The effects are valid only until the next step, which carrying them out may
	// cause.
	effects := append([]queue.Effect(nil), s.queue.Step(now, message)...)
	for _, effect := range effects {
		switch effect := effect.(type) {
		case queue.Release:
			s.handleRelease(now, effect)
		case queue.Refuse:
			s.handleRefuse(effect)
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
			s.handlePicked(now, effect)
		case routing.NonePicked:
			s.handleNonePicked(now, effect)
		case routing.CapacityChanged:
			s.updateCapacity(now, effect.Model)
		}
	}
}

func (s *dispatcherState) handleRelease(now time.Time, release queue.Release) {
	request, found := s.pending[uint64(release.Item.Ticket)]
	if !found {
		return
	}
	request.cold, request.waited = release.ColdStart, release.Waited
	s.stepRouting(now, routing.Pick{
		Ticket:  routing.Ticket(release.Item.Ticket),
		Model:   request.model,
		Adapter: release.Item.Adapter,
		Prefix:  request.submit.prefix,
		Exclude: request.submit.exclude,

		Regions:       s.gateway.modelRegions(request.submit.route),
		ColocationKey: request.submit.colocationKey,
	})
}

func (s *dispatcherState) handlePicked(now time.Time, picked routing.Picked) {
	ticket := uint64(picked.Ticket)
	answer := dispatchReply{backend: picked.Backend, limit: picked.Limit, incarnation: picked.Incarnation}
	if hedge, found := s.hedges[ticket]; found {
		delete(s.hedges, ticket)
		s.assigned[ticket] = assignedRequest{model: hedge.model, regions: fleet.RegionsOf(s.gateway.modelRegions(hedge.route)), assignedAt: now}
		answer.model = hedge.model
		hedge.reply <- answer
		return
	}
	if request, found := s.pending[ticket]; found {
		delete(s.pending, ticket)
		s.assigned[ticket] = assignedRequest{model: request.model, regions: request.regions, assignedAt: now}
		answer.model, answer.cold, answer.waited = request.model, request.cold, request.waited
		request.submit.reply <- answer
		return
	}
	if call, found := s.calls[ticket]; found {
		delete(s.calls, ticket)
		call <- answer
	}
}

// handleNonePicked requeues a model request; a service call is refused.
func (s *dispatcherState) handleNonePicked(now time.Time, none routing.NonePicked) {
	ticket := uint64(none.Ticket)
	if hedge, found := s.hedges[ticket]; found {
		delete(s.hedges, ticket)
		hedge.reply <- dispatchReply{refusal: &hedgeUnavailable}
		return
	}
	if request, found := s.pending[ticket]; found {
		request.failedPicks++
		if request.failedPicks > maxFailedPicks {
			delete(s.pending, ticket)
			request.submit.reply <- dispatchReply{refusal: &failure{code: codeNoBackend, detail: "no replica of the model can be reached now",
				outcome: attempt.OutcomeNotRun, retryAfter: time.Second}}
			return
		}
		s.requeue(now, ticket, request)
		return
	}
	if answer, found := s.calls[ticket]; found {
		delete(s.calls, ticket)
		delete(s.assigned, ticket)
		answer <- dispatchReply{refusal: s.noServiceBackend()}
	}
}

// requeue puts a request back at its place in the queue. Its regions may have changed meanwhile.
func (s *dispatcherState) requeue(now time.Time, ticket uint64, request *pendingRequest) {
	submit := request.submit
	regions := s.gateway.modelRegions(submit.route)
	if refusal := s.checkRegions(regions); refusal != nil {
		delete(s.pending, ticket)
		submit.reply <- dispatchReply{refusal: refusal}
		return
	}
	s.trackRegions(request.model, regions)
	request.regions = fleet.RegionsOf(regions)
	s.updateCapacity(now, request.model)
	s.stepQueue(now, queue.Arrive{Item: queue.Item{
		Ticket: queue.Ticket(ticket), Model: request.model, Regions: request.regions, Adapter: submit.route.Adapter,
		Priority: submit.route.Priority, Deadline: submit.deadline,
		ArrivedAt: submit.arrived, Bytes: submit.bytes, Requeued: true,
	}})
}

func (s *dispatcherState) handleRefuse(refuse queue.Refuse) {
	request, found := s.pending[uint64(refuse.Item.Ticket)]
	if !found {
		return
	}
	delete(s.pending, uint64(refuse.Item.Ticket))
	detail := refuse.Detail
	if detail == "" {
		detail = refusalDetail(refuse.Reason)
	}
	request.submit.reply <- dispatchReply{refusal: &failure{code: string(refuse.Reason), detail: detail,
		outcome: attempt.OutcomeNotRun, retryAfter: refuse.RetryAfter}}
}

func refusalDetail(reason queue.Reason) string {
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

func (s *dispatcherState) handleAbandon(now time.Time, ticket uint64) {
	if _, found := s.pending[ticket]; found {
		delete(s.pending, ticket)
		s.stepQueue(now, queue.Cancel{Ticket: queue.Ticket(ticket)})
		return
	}
	s.handleAttemptEnded(now, attemptEnded{ticket: ticket, result: routing.ResultAbandoned})
}

func (s *dispatcherState) handleAttemptEnded(now time.Time, ended attemptEnded) {
	request, found := s.assigned[ended.ticket]
	if !found {
		return
	}
	delete(s.assigned, ended.ticket)
	if !request.model.IsZero() && ended.result == routing.ResultOK {
		s.stepQueue(now, queue.Completed{Model: request.model, Regions: request.regions, ServiceTime: now.Sub(request.assignedAt)})
	}
	s.stepRouting(now, routing.Ended{Ticket: routing.Ticket(ended.ticket), Result: ended.result})
}

// handleFirstToken records an attempt's time to first token.
func (s *dispatcherState) handleFirstToken(now time.Time, first firstTokenReceived) {
	if request, found := s.assigned[first.ticket]; found {
		s.stepQueue(now, queue.FirstTokenReceived{Model: request.model, Regions: request.regions, Latency: first.latency})
	}
	s.stepRouting(now, routing.FirstToken{Ticket: routing.Ticket(first.ticket), After: first.latency})
}

// applyConfiguration applies the evacuated zones and regions in force, also to requests that wait.
func (s *dispatcherState) applyConfiguration(now time.Time, changed configurationChanged) {
	s.stepRouting(now, routing.Topology{Map: changed.topology})
	s.stepRouting(now, routing.Evacuations{Snapshot: changed.evacuations})
	s.applyEvacuations(now)
	s.requeueChangedRegions(now)
}

func (s *dispatcherState) applyRouteTables(now time.Time, tables views.RouteTables) {
	list := make([]fleet.RouteTable, 0, len(tables))
	for _, table := range tables {
		list = append(list, table)
	}
	s.stepRouting(now, routing.Tables{Tables: list})
	s.applyEvacuations(now)
}

// handleStopping refuses the requests that still wait, so that no handler waits forever.
func (s *dispatcherState) handleStopping(now time.Time) {
	if s.timer != nil {
		s.timer.Stop()
	}
	s.stepQueue(now, queue.Close{RetryAfter: s.gateway.limits.DrainRetryAfter})
}
