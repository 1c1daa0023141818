package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/eventstream"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// streamBufferBytes is the initial size of a stream's buffer; it grows for larger events.
const streamBufferBytes = 2048

var streamBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, streamBufferBytes)
	return &buffer
}}

// relayStream passes on an event stream.
func (x *exchange) relayStream(choice dispatch.Choice, response *backendconn.Response) attemptResult {
	if !x.isGoingOn() {
		x.originServer, x.originSentAt = choice.Attempt.Start(), x.sentAt
		x.isOriginConfirmed.Store(x.isStartKnown(choice))
	}
	if !x.isStartConfirmed(choice) || !x.beginEvents(x.servedVersion(choice), originFromServer) {
		x.handleBrokenResponse(choice)
		return x.retryOrGiveUp(reasonOtherVersion)
	}
	x.onFirstEvent = func() { x.confirmOrigin(choice) }
	err := x.copyEvents(response, func(count int) {
		x.countBytes(choice, count)
		x.risk.recordHeard()
	})
	x.recordEnding(response, err)
	switch {
	case errors.Is(err, io.EOF) && x.isStreamBelieved(choice, response):
		return x.finishStream(choice, response)
	case isDisorder(err):
		return x.handleDisorder(choice)
	}
	x.countTooLong(choice.ServerID, err, tooLongEvent)
	return x.handleBrokenStream(choice)
}

// copyEvents passes on the events of a response, each whole and as soon as it is complete, and reports
// the bytes of each read to onRead. The error is io.EOF if the response ended after a whole event,
// bounded.ErrTooLong if an event is longer than is read, and one of isDisorder if an event may not follow
// what the caller has.
func (x *exchange) copyEvents(response *backendconn.Response, onRead func(count int)) error {
	run := x.beginRun()
	defer x.endRun(run)
	pooled := streamBuffers.Get().(*[]byte)
	buffer := (*pooled)[:0]
	defer func() {
		if cap(buffer) <= 4*streamBufferBytes {
			*pooled = buffer[:0]
			streamBuffers.Put(pooled)
		}
	}()
	for {
		if len(buffer) == cap(buffer) {
			if !x.reserveMemory(int64(cap(buffer))) {
				return bounded.ErrTooLong.New("there is no memory for an event of over %d bytes", len(buffer))
			}
			buffer = append(buffer, 0)[:len(buffer)]
		}
		count, err := response.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		onRead(count)
		passed, disorder := x.passEvents(response, run, buffer)
		buffer = append(buffer[:0], buffer[passed:]...)
		switch {
		case disorder != nil:
			return disorder
		case len(buffer) > x.handler.maxEventBytes():
			return bounded.ErrTooLong.New("an event has more than %d bytes", x.handler.maxEventBytes())
		case errors.Is(err, io.EOF):
			return x.endEvents(buffer)
		case err != nil:
			return err
		}
	}
}

// endEvents ends a response of which the rest was read. The error is io.EOF unless it ended within an event.
func (x *exchange) endEvents(rest []byte) error {
	if !eventstream.IsBlank(rest) || x.order.IsShort() {
		return io.ErrUnexpectedEOF
	}
	if x.headSent {
		_, _ = x.writer.Write(rest)
	}
	return io.EOF
}

// passEvents passes on the whole events at the beginning of the buffer, and returns their length. The error is
// one of isDisorder.
func (x *exchange) passEvents(response *backendconn.Response, run *eventRun, buffer []byte) (passed int, err error) {
	isWriting := false
	defer func() {
		if isWriting {
			_ = http.NewResponseController(x.writer).Flush()
		}
	}()
	for {
		length := run.splitter.Next(buffer[passed:])
		if length == 0 {
			return passed, nil
		}
		text := buffer[passed : passed+length]
		event := eventstream.Parse(text)
		passes, err := x.order.Next(event, text, run.steps)
		if err != nil {
			x.logDisorder(err, event)
			return passed, err
		}
		passed += length
		if !passes {
			continue
		}
		if !isWriting {
			isWriting = true
			x.beginWrite(response)
		}
		x.writeEvent(run, event, text)
	}
}

// beginWrite sends the head of the response before its first event, and records the time of a write.
func (x *exchange) beginWrite(response *backendconn.Response) {
	if !x.headSent {
		x.writeResponseHead(response, false, 0)
	}
	x.timing.record(clock.Since(x.arrived))
}

// writeEvent writes an event, or comments, to the caller.
func (x *exchange) writeEvent(run *eventRun, event eventstream.Event, text []byte) {
	_, _ = x.writer.Write(text)
	if !event.HasFields {
		return
	}
	if run.isAtJoint {
		run.isAtJoint = false
		x.recordJoint(event.ID)
	}
	if event.ID != "" {
		run.counted.Record(run.lastID, event.ID)
		run.lastID, x.lastEventID = event.ID, event.ID
	}
	x.recordProgress(1)
	x.eventCount++
	if x.eventCount == 1 && x.onFirstEvent != nil {
		x.onFirstEvent()
	}
}

// eventTiming records when the events of a response were passed on.
type eventTiming struct {
	// first and last are relative to the arrival of the request; 0 before any event.
	first time.Duration
	last  time.Duration
	// longestPause is the longest time between two writes.
	longestPause time.Duration
}

// record takes the time of a write.
func (t *eventTiming) record(at time.Duration) {
	if t.first == 0 {
		t.first = at
	} else {
		t.longestPause = max(t.longestPause, at-t.last)
	}
	t.last = at
}

// finishStream ends a request whose stream was relayed to its end.
func (x *exchange) finishStream(choice dispatch.Choice, response *backendconn.Response) attemptResult {
	if !x.headSent {
		x.writeResponseHead(response, true, 0)
	}
	x.releaseEnd()
	x.endAttempt(choice, dispatch.OutcomeServed)
	x.reportSuccess()
	x.finish(outcomeAnswered, response.Status, "")
	return attemptDone
}

// handleBrokenStream resumes the stream at another server where the route allows it.
func (x *exchange) handleBrokenStream(choice dispatch.Choice) attemptResult {
	version := x.servedVersion(choice)
	x.handleBrokenResponse(choice)
	if x.headSent && !x.reviewOrigin(version) {
		x.handler.Metrics.VersionUnknown.Add(1)
		x.giveUp(reasonVersionUnsettled)
		return attemptDone
	}
	return x.resumeOrGiveUp("broken_stream")
}

// resumeOrGiveUp has another server go on with the stream where that is allowed, and can be compared with what
// the caller has.
func (x *exchange) resumeOrGiveUp(reason string) attemptResult {
	if x.route.RetryPolicy != routetable.RetryResume || !x.order.CanResume() {
		x.giveUp(reason)
		return attemptDone
	}
	x.handler.Metrics.Resumed.Add(1)
	return x.retryOrGiveUp(reason)
}
