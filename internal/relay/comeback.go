package relay

import (
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// requirementKey identifies what the request needs; callers that are told to retry are spread per key.
func (x *exchange) requirementKey() string {
	return x.service + "/" + x.head.Model + "/" + x.head.Adapter
}

// retryDelay is when the caller should retry, if capacity is expected in readyIn.
func (x *exchange) retryDelay(readyIn time.Duration) time.Duration {
	x.handler.mu.Lock()
	defer x.handler.mu.Unlock()
	return x.handler.retrySchedule.RetryAfter(clock.Now(), x.requirementKey(), x.priority(), readyIn)
}

// defaultRetryDelay is when the caller should retry if no better estimate is known.
func (x *exchange) defaultRetryDelay() time.Duration {
	x.handler.mu.Lock()
	defer x.handler.mu.Unlock()
	return x.handler.retrySchedule.DefaultRetryAfter(clock.Now(), x.requirementKey(), x.priority(), clock.Until(x.deadline))
}

// retryDelayAfterBackoff is defaultRetryDelay, unless all servers that have what the request needs
// asked this node to back off: then it is not before the first backoff ends.
func (x *exchange) retryDelayAfterBackoff() time.Duration {
	if x.route == nil {
		return x.defaultRetryDelay()
	}
	readyIn, ok := x.handler.backoffEndsIn(x.dispatchRequest(), x.requirements())
	if !ok {
		return x.defaultRetryDelay()
	}
	return x.retryDelay(readyIn)
}

// backoffEndsIn is when the first server that has what is required may be sent to again; ok is false
// where one is available now, or none is backing off.
func (h *Handler) backoffEndsIn(request dispatch.Request, required dispatch.Requirements) (readyIn time.Duration, ok bool) {
	request.Exclude, request.AllowedServers = nil, nil
	h.options.Dispatch.Do(func(core *dispatch.Core) {
		if !core.CanPick(clock.Now(), request) {
			readyIn, _, ok = core.BackoffEndsIn(clock.Now(), required)
		}
	})
	return readyIn, ok
}

// formatRetryAfter formats a delay for the Retry-After header, in seconds.
func formatRetryAfter(delay time.Duration) string {
	return strconv.FormatFloat(delay.Seconds(), 'f', 3, 64)
}
