package relay

import (
	"errors"
	"io"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/backendconn"
)

// bodyEnding says how the body of a response ended.
type bodyEnding string

const (
	// endedWhole: as its framing says it.
	endedWhole bodyEnding = "whole"
	// endedEarly: the connection was closed before that.
	endedEarly bodyEnding = "early"
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

// logEnding adds how the last response was framed and ended, and where streams were joined.
func (x *exchange) logEnding(entry *log.Entry) {
	if x.framing != "" {
		entry.Str("framing", string(x.framing)).Str("ending", string(x.ending))
	}
	if x.lastEventID != "" {
		entry.Str("last_event", x.lastEventID)
	}
	if x.joint.count > 0 {
		entry.Int("joints", x.joint.count).Str("joined_behind", x.joint.behind).Str("joined_with", x.joint.first)
	}
	if !x.request.ProtoAtLeast(1, 1) {
		entry.Str("protocol", x.request.Proto)
	}
}
