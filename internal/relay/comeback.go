package relay

import (
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// wantedName names what the request wants, for the lines of callers who come back.
func (x *exchange) wantedName() string { return x.service + "/" + x.head.Model + "/" + x.head.Adapter }

// comeBack is when the caller is to come back, where a place is expected in ready.
func (x *exchange) comeBack(ready time.Duration) time.Duration {
	x.handler.mu.Lock()
	defer x.handler.mu.Unlock()
	return x.handler.lines.RetryAfter(clock.Now(), x.wantedName(), x.priority(), ready)
}

// comeBackSoon is when the caller of a request is to come back that nothing better is
// known of.
func (x *exchange) comeBackSoon() time.Duration {
	x.handler.mu.Lock()
	defer x.handler.mu.Unlock()
	return x.handler.lines.DefaultRetryAfter(clock.Now(), x.wantedName(), x.priority(), clock.Until(x.deadline))
}

// comeBackRested is the same where all servers that have what is wanted may want nothing from
// this node: not before the first of them has rested.
func (x *exchange) comeBackRested() time.Duration {
	if x.route == nil {
		return x.comeBackSoon()
	}
	ready, ok := x.handler.restsFor(x.ask(), x.wanted())
	if !ok {
		return x.comeBackSoon()
	}
	return x.comeBack(ready)
}

// restsFor is when a server may be sent to again that has what is wanted; ok is false where one
// may be sent to now, or none rests.
func (h *Handler) restsFor(ask dispatch.Request, wanted dispatch.Requirements) (ready time.Duration, ok bool) {
	ask.Exclude, ask.AllowedServers = nil, nil
	h.options.Dispatch.Do(func(core *dispatch.Core) {
		if !core.CanPick(clock.Now(), ask) {
			ready, _, ok = core.BackoffEndsIn(clock.Now(), wanted)
		}
	})
	return ready, ok
}

// retryAfter is a time as the header says it, in seconds.
func retryAfter(back time.Duration) string { return strconv.FormatFloat(back.Seconds(), 'f', 3, 64) }
