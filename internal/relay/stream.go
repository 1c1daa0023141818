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
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// streamBufferBytes is the size of a stream's buffer; it grows for larger
// events.
const streamBufferBytes = 2048

var streamBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, 0, streamBufferBytes)
	return &buffer
}}

// stream passes an event stream on, each event whole and as it comes.
func (x *exchange) stream(choice dispatch.Choice, answer *backendconn.Response) verdict {
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
			buffer = append(buffer, 0)[:len(buffer)]
		}
		count, err := answer.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		x.countBytes(choice, count)
		if end := lastEventEnd(buffer); end > 0 {
			x.passOn(answer, buffer[:end])
			_ = controller.Flush()
			buffer = append(buffer[:0], buffer[end:]...)
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && len(buffer) == 0 {
			return x.streamEnded(choice, answer)
		}
		return x.streamBroke(choice)
	}
}

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// lastEventEnd is where the last whole event in the buffer ends; 0 is nowhere.
func lastEventEnd(buffer []byte) int {
	end := bytes.LastIndex(buffer, eventEnd)
	if end < 0 {
		return 0
	}
	return end + len(eventEnd)
}

// passOn writes whole events to the caller.
func (x *exchange) passOn(answer *backendconn.Response, events []byte) {
	if !x.headSent {
		x.writeHead(answer, false, 0)
	}
	x.pace.passed(clock.Since(x.arrived))
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		if id := eventID(events[:end]); id != "" {
			x.lastEvent = id
		}
		x.events++
		_, _ = x.writer.Write(events[:end])
		events = events[end:]
	}
}

// pace is when the events of an answer went on to the caller.
type pace struct {
	// first and last are since the request arrived; 0 is before any event.
	first time.Duration
	last  time.Duration
	// longestPause is the longest time between two events.
	longestPause time.Duration
}

func (p *pace) passed(at time.Duration) {
	if p.first == 0 {
		p.first = at
	} else {
		p.longestPause = max(p.longestPause, at-p.last)
	}
	p.last = at
}

// eventID is the identity that an event gives.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return strings.TrimSpace(string(value))
		}
	}
	return ""
}

func (x *exchange) streamEnded(choice dispatch.Choice, answer *backendconn.Response) verdict {
	if !x.headSent {
		x.writeHead(answer, true, 0)
	}
	x.release(choice, dispatch.OutcomeServed)
	x.endedWell()
	x.finish(outcomeAnswered, answer.Status, "")
	return verdictDone
}

// streamBroke goes on at another server where the route allows it.
func (x *exchange) streamBroke(choice dispatch.Choice) verdict {
	x.brokeOff(choice)
	if x.route.RetryPolicy != routetable.RetryResume {
		x.giveUp("broken_stream")
		return verdictDone
	}
	x.handler.Metrics.Resumed.Add(1)
	return x.again("broken_stream")
}
