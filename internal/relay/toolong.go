package relay

import (
	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/bounded"
)

// tooLongPart names what a server or peer sent more of than is read, in logs.
type tooLongPart string

const (
	tooLongHead  tooLongPart = "head"
	tooLongEvent tooLongPart = "event"
)

// countTooLong records that the response of a server or peer was broken off because the part was too long, if
// that is what the error says.
func (x *exchange) countTooLong(sender string, err error, part tooLongPart) {
	if !errorx.IsOfType(err, backendconn.ErrTooLong) && !errorx.IsOfType(err, bounded.ErrTooLong) {
		return
	}
	if part == tooLongHead {
		x.handler.Metrics.HeadsTooLong.Add(1)
	} else {
		x.handler.Metrics.EventsTooLong.Add(1)
	}
	x.handler.options.Logger.Warn().Str("request", x.head.RequestID).Str("from", sender).Str("part", string(part)).Msg("response_too_long")
}
