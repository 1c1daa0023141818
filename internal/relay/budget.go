package relay

import (
	"math"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
)

// MinRetriesRemaining is the smallest number of retries left to any service.
func (h *Handler) MinRetriesRemaining() float64 {
	table := h.table.Load()
	if table == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	lowest := math.Inf(1)
	for service := range table.Services {
		lowest = min(lowest, h.budget.Remaining(clock.Since(h.started), service))
	}
	return lowest
}

// SetNodes sets how many nodes share the retry budget, and whether the number includes nodes that this one
// cannot hear from.
func (h *Handler) SetNodes(nodes int, isConfirmed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.SetNodes(nodes, isConfirmed)
}

// SetBudget changes the limits of the retry budget; requests and retries counted so far stay counted.
func (h *Handler) SetBudget(options retrybudget.Options) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.SetOptions(options)
}

// countRequest counts a first send, which adds to the retry budget.
func (h *Handler) countRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.CountRequest(service)
}

// countRequest counts the request, unless the peer that forwards it has.
func (x *exchange) countRequest() {
	if x.isCounted = true; x.forwarded == nil || !x.forwarded.IsCounted {
		x.handler.countRequest(x.service)
	}
}

// takeRetry takes a retry from the service's budget, if there is one.
func (h *Handler) takeRetry(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget.Take(clock.Since(h.started), service)
}

// returnRetry gives back a retry of the service.
func (h *Handler) returnRetry(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Return(service)
}

// takeRetry takes a retry from the budget that all nodes share, right before it is sent.
func (x *exchange) takeRetry() bool {
	x.holdsRetry = x.handler.takeRetry(x.service)
	return x.holdsRetry
}

// returnRetry gives back a retry that was taken and not sent.
func (x *exchange) returnRetry() {
	if !x.holdsRetry {
		return
	}
	x.holdsRetry = false
	x.handler.returnRetry(x.service)
}

// refuseWithoutRetry ends a request that the budget does not let be sent again.
func (x *exchange) refuseWithoutRetry() {
	x.handler.Metrics.BudgetEmpty.Add(1)
	x.giveUp("no_budget")
}

// hasRetryLeft reports whether the retry budget has a retry left for the service.
func (x *exchange) hasRetryLeft() bool {
	x.handler.mu.Lock()
	defer x.handler.mu.Unlock()
	return x.handler.budget.Remaining(clock.Since(x.handler.started), x.service) >= 1
}

// LogRetryBudget logs the retry budget of each service that a retry was taken from, or denied by, since the
// service's last line, unless that is more recent than minInterval. Counts are those since this process
// started.
func (h *Handler) LogRetryBudget(now time.Time, minInterval time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, usage := range h.budget.Usage(now.Sub(h.started)) {
		logged := h.budgetLogged[usage.Service]
		isChanged := usage.Retries != logged.totals.Retries || usage.Denied != logged.totals.Denied
		if !isChanged || now.Sub(logged.at) < minInterval {
			continue
		}
		h.budgetLogged[usage.Service] = loggedBudget{at: now, totals: usage.Totals}
		h.options.Logger.Info().Str("service", usage.Service).
			Int64("requests", usage.Requests).Int64("repeats", usage.Retries).Int64("denied", usage.Denied).
			Float64("left", usage.Remaining).Int("nodes", usage.Nodes).
			Int64("run_ms", now.Sub(h.started).Milliseconds()).Msg("retry_budget")
	}
}

// loggedBudget is the last log line on a service's retry budget.
type loggedBudget struct {
	at     time.Time
	totals retrybudget.Totals
}
