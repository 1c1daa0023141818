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
	var splitter eventstream.Splitter
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
		if passed := x.passEvents(response, &splitter, buffer); passed > 0 {
			_ = controller.Flush()
			buffer = append(buffer[:0], buffer[passed:]...)
		}
		if len(buffer) > x.handler.maxEventBytes() {
			return bounded.ErrTooLong.New("an event has more than %d bytes", x.handler.maxEventBytes())
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) {
			return err
		}
		if !eventstream.IsBlank(buffer) {
			return io.ErrUnexpectedEOF
		}
		if x.headSent {
			_, _ = x.writer.Write(buffer)
		}
		return err
	}
}

// passEvents passes on the whole events at the beginning of the buffer, and returns their length.
func (x *exchange) passEvents(response *backendconn.Response, splitter *eventstream.Splitter, buffer []byte) (passed int) {
	for {
		length := splitter.Next(buffer[passed:])
		if length == 0 {
			return passed
		}
		if passed == 0 {
			x.beginWrite(response)
		}
		x.writeEvent(buffer[passed : passed+length])
		passed += length
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
func (x *exchange) writeEvent(text []byte) {
	event := eventstream.Parse(text)
	_, _ = x.writer.Write(text)
	if !event.HasFields {
		return
	}
	if x.isAtJoint {
		x.isAtJoint = false
		x.recordJoint(event.ID)
	}
	if event.ID != "" {
		x.lastEventID = event.ID
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
	if x.route.RetryPolicy != routetable.RetryResume {
		x.giveUp("broken_stream")
		return attemptDone
	}
	x.handler.Metrics.Resumed.Add(1)
	return x.retryOrGiveUp("broken_stream")
}
