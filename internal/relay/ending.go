package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/callerconn"
	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// bodyEnding says how the body of a response ended.
type bodyEnding string

const (
	// endedWhole: as its framing says it.
	endedWhole bodyEnding = "whole"
	// endedEarly: the connection was closed before that.
	endedEarly bodyEnding = "early"
	// endedWithServer: as its framing says it, but its server has ended too.
	endedWithServer bodyEnding = "server_ended"
	// endedByReset: as its framing says it, but a reset followed.
	endedByReset bodyEnding = "reset"
	// endedByError: the connection was reset, or what it brought could not be read.
	endedByError bodyEnding = "error"
)

// endingOf is the ending that a read of the body reported with the error.
func endingOf(err error) bodyEnding {
	switch {
	case err == nil, errors.Is(err, io.EOF):
		return endedWhole
	case errors.Is(err, io.ErrUnexpectedEOF):
		return endedEarly
	default:
		return endedByError
	}
}

// joint is where a response goes on with a stream whose beginning came by an earlier one.
type joint struct {
	// count is the number of responses that did.
	count int
	// behind is the last event ID before the last joint, and first the first one behind it.
	behind, first string
}

// recordJoint records the first event ID of a response.
func (x *exchange) recordJoint(id string) {
	x.joint.count++
	x.joint.behind, x.joint.first = x.lastEventID, id
}

// recordEnding records how the body of a response ended.
func (x *exchange) recordEnding(response *backendconn.Response, err error) {
	x.framing, x.ending = response.Framing, endingOf(err)
	if x.framing == backendconn.FramedByClose && x.ending == endedWhole {
		x.handler.Metrics.UnframedEnds.Add(1)
	}
}

// isEndBelieved reports whether a body that ended as its framing says it is whole. One that ends with its
// connection is not if its server has ended as well: the kernel closes the connections of a process that
// was killed as if the process had done so. A server that has announced its end may end behind its answer.
func (x *exchange) isEndBelieved(choice dispatch.Choice, response *backendconn.Response) bool {
	if response.Framing != backendconn.FramedByClose {
		return true
	}
	ctx, cancel := context.WithTimeout(x.ctx, backendconn.AnswerProbeWait)
	defer cancel()
	liveness := x.handler.options.Pool.ProbeAfterClose(ctx, choice.Address)
	if !x.isEndConfirmed(response) {
		return false
	}
	if liveness != backendconn.LivenessEnded || !x.endedUnexpectedly(choice) {
		return true
	}
	x.recordServerEnd()
	return false
}

// isEndConfirmed reports whether the connection of a body that ended with it was not reset then.
func (x *exchange) isEndConfirmed(response *backendconn.Response) bool {
	if response.ConfirmEnd(x.ctx) {
		return true
	}
	x.ending = endedByReset
	x.handler.Metrics.EndedByReset.Add(1)
	return false
}

// isStreamBelieved is isEndBelieved for a stream, whose end may wait, and whose events tell nothing of how
// many are missing: a server that does not answer, or has announced its end, may have cut it. Streams have
// events, so that one without any may have been cut.
func (x *exchange) isStreamBelieved(choice dispatch.Choice, response *backendconn.Response) bool {
	if response.Framing != backendconn.FramedByClose {
		return true
	}
	isEmpty := x.eventCount == 0 && !x.isResumption
	isAlive := !isEmpty && x.livesAfterClose(choice)
	if !x.isEndConfirmed(response) {
		return false
	}
	if isAlive {
		return true
	}
	x.recordServerEnd()
	return false
}

// recordServerEnd records that a body which ended in order is not taken for whole.
func (x *exchange) recordServerEnd() {
	x.ending = endedWithServer
	x.handler.Metrics.EndedWithServer.Add(1)
}

// guardEnd makes sure that the caller can tell a response with this header from a part of it.
func (x *exchange) guardEnd(header http.Header) {
	x.isEndGuarded = x.request.Method != http.MethodHead && callerconn.GuardEnd(x.request, header)
}

// releaseEnd is called once the response was written to its end.
func (x *exchange) releaseEnd() {
	if x.isEndGuarded {
		callerconn.ReleaseEnd(x.writer, x.request)
	}
}

// logEnding adds how the last response was framed and ended, and where streams were joined.
func (x *exchange) logEnding(entry *log.Entry) {
	if x.framing != "" {
		entry.Str("framing", string(x.framing)).Str("ending", string(x.ending))
	}
	if x.lastEventID != "" {
		entry.Str("last_event", loggedID(x.lastEventID))
	}
	if x.joint.count > 0 {
		entry.Int("joints", x.joint.count).Str("joined_behind", loggedID(x.joint.behind)).Str("joined_with", loggedID(x.joint.first))
	}
	if !x.request.ProtoAtLeast(1, 1) {
		entry.Str("protocol", x.request.Proto)
	}
}

// maxLoggedIDBytes bounds the ID of an event in a line: it may be as long as an event.
const maxLoggedIDBytes = 64

// loggedID is the beginning of an event's ID.
func loggedID(id string) string { return id[:min(len(id), maxLoggedIDBytes)] }
