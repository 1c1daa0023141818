package relay

import (
	"errors"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/eventstream"
)

// reasonDisorder is the reason of streams that end since no server goes on with them in order.
const reasonDisorder = "events_out_of_order"

// eventWriter is what writes events alike: one software version of a service.
type eventWriter struct{ service, softwareVersion string }

// maxEventWriters bounds the writers whose IDs are known.
const maxEventWriters = 256

// eventRun is one response's part of a stream.
type eventRun struct {
	splitter eventstream.Splitter
	// isAtJoint is set until the first event that goes on with what an earlier response has brought.
	isAtJoint bool
	// steps is what is known of the writer's IDs, counted what this run adds to that, and lastID its last ID.
	writer  eventWriter
	steps   eventstream.Steps
	counted eventstream.StepCounter
	lastID  string
}

// beginRun begins to compare a response's events with those that the caller has.
func (x *exchange) beginRun() *eventRun {
	run := &eventRun{isAtJoint: x.isGoingOn(), writer: eventWriter{x.service, x.softwareVersion}}
	run.steps = x.handler.stepsOf(run.writer)
	if run.isAtJoint {
		x.order.Resume(x.lastEventID)
	} else {
		x.order = eventstream.Order{}
	}
	return run
}

// endRun keeps what the response told of its writer's IDs.
func (x *exchange) endRun(run *eventRun) { x.handler.countSteps(run.writer, run.counted) }

// stepsOf is what is known of the IDs of the writer's events.
func (h *Handler) stepsOf(writer eventWriter) eventstream.Steps {
	h.mu.Lock()
	defer h.mu.Unlock()
	counter := h.steps[writer]
	return counter.Steps()
}

func (h *Handler) countSteps(writer eventWriter, counted eventstream.StepCounter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	counter, isKnown := h.steps[writer]
	if !isKnown && len(h.steps) >= maxEventWriters {
		clear(h.steps)
	}
	counter.Add(counted)
	h.steps[writer] = counter
}

// isDisorder reports whether an event came that may not follow what the caller has.
func isDisorder(err error) bool {
	return errors.Is(err, eventstream.ErrNotRising) || errors.Is(err, eventstream.ErrGap) || errors.Is(err, eventstream.ErrOtherEvents)
}

// handleDisorder ends an attempt whose server wrote an event that may not be passed on.
func (x *exchange) handleDisorder(choice dispatch.Choice) attemptResult {
	x.endAttempt(choice, dispatch.OutcomeFailed)
	x.failedServers = append(x.failedServers, choice.ServerID)
	return x.resumeOrGiveUp(reasonDisorder)
}

// logDisorder counts and logs an event that may not be passed on.
func (x *exchange) logDisorder(err error, event eventstream.Event) {
	x.handler.Metrics.EventsOutOfOrder.Add(1)
	x.handler.options.Logger.Warn().Str("request", x.head.RequestID).Str("service", x.service).Str("server", x.serverID).
		Str("last_event", loggedID(x.order.LastID())).Str("event_id", loggedID(event.ID)).Int("events", x.eventCount).Err(err).Msg("event_out_of_order")
}
