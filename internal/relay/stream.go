package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
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
	if errors.Is(err, io.EOF) && x.isStreamBelieved(choice, response) {
		return x.finishStream(choice, response)
	}
	x.countTooLong(choice.ServerID, err, tooLongEvent)
	return x.handleBrokenStream(choice)
}

// copyEvents passes on the events of a response, each whole and as soon as it is complete, and reports
// the bytes of each read to onRead. The error is io.EOF if the response ended after a whole event, and
// bounded.ErrTooLong if an event is longer than is read.
func (x *exchange) copyEvents(response *backendconn.Response, onRead func(count int)) error {
	x.isAtJoint = x.isGoingOn()
	pooled := streamBuffers.Get().(*[]byte)
	buffer := (*pooled)[:0]
	defer func() {
		if cap(buffer) <= 4*streamBufferBytes {
			*pooled = buffer[:0]
			streamBuffers.Put(pooled)
		}
	}()
	controller := http.NewResponseController(x.writer)
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
		if end := endOfLastEvent(buffer); end > 0 {
			x.writeEvents(response, buffer[:end])
			_ = controller.Flush()
			buffer = append(buffer[:0], buffer[end:]...)
		}
		if len(buffer) > x.handler.maxEventBytes() {
			return bounded.ErrTooLong.New("an event has more than %d bytes", x.handler.maxEventBytes())
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && len(buffer) > 0 {
			return io.ErrUnexpectedEOF
		}
		return err
	}
}

// eventTerminator separates events.
var eventTerminator = []byte("\n\n")

// endOfLastEvent is the length of the whole events in the buffer; 0 if there is none.
func endOfLastEvent(buffer []byte) int {
	end := bytes.LastIndex(buffer, eventTerminator)
	if end < 0 {
		return 0
	}
	return end + len(eventTerminator)
}

// writeEvents writes whole events to the caller.
func (x *exchange) writeEvents(response *backendconn.Response, events []byte) {
	if !x.headSent {
		x.writeResponseHead(response, false, 0)
	}
	x.timing.record(clock.Since(x.arrived))
	isFirst := x.eventCount == 0
	if x.isAtJoint {
		x.isAtJoint = false
		x.recordJoint(eventID(events))
	}
	x.recordProgress(bytes.Count(events, eventTerminator))
	for len(events) > 0 {
		end := bytes.Index(events, eventTerminator) + len(eventTerminator)
		if id := eventID(events[:end]); id != "" {
			x.lastEventID = id
		}
		x.eventCount++
		_, _ = x.writer.Write(events[:end])
		events = events[end:]
	}
	if isFirst && x.onFirstEvent != nil {
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

// eventID is the value of the event's id field; empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return strings.TrimSpace(string(value))
		}
	}
	return ""
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
	if x.route.RetryPolicy != routetable.RetryResume {
		x.giveUp("broken_stream")
		return attemptDone
	}
	x.handler.Metrics.Resumed.Add(1)
	return x.retryOrGiveUp("broken_stream")
}
