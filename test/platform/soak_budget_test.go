package platform

import (
	"slices"
	"time"
)

// The retry budget of the settings that the soak's nodes get: in any window, a service may get more arrivals
// beyond the first of each request than soakRetryRatio of the requests for it and soakExtraRetries.
const (
	soakRetryRatio   = 0.2
	soakExtraRetries = 54
	soakRetryWindow  = 10 * time.Second
)

// receipt is a request's arrival at a server.
type receipt struct {
	id string
	at time.Time
}

// checkRetryBudget holds the arrivals at all servers of each service to the budget, in every window.
func (s *soak) checkRetryBudget() {
	receipts := make(map[string][]receipt)
	for _, m := range s.servers {
		m.mu.Lock()
		receipts[m.service] = append(receipts[m.service], m.receipts...)
		m.mu.Unlock()
	}
	requests := make(map[string][]time.Time)
	for _, o := range s.outcomes {
		requests[serviceOf(o)] = append(requests[serviceOf(o)], o.sent)
	}
	for _, loud := range s.loudRequests {
		requests["commands"] = append(requests["commands"], loud.sent)
	}
	for service, received := range receipts {
		slices.SortFunc(requests[service], time.Time.Compare)
		s.checkRetriesOf(service, retryTimes(received), requests[service])
	}
}

// serviceOf returns the service that a request was sent to.
func serviceOf(o outcome) string {
	if o.route == "models" {
		return "models"
	}
	return "commands"
}

// retryTimes returns when requests arrived that had arrived before, sorted.
func retryTimes(received []receipt) []time.Time {
	slices.SortStableFunc(received, func(a, b receipt) int { return a.at.Compare(b.at) })
	seen := make(map[string]bool)
	var retries []time.Time
	for _, arrived := range received {
		if seen[arrived.id] {
			retries = append(retries, arrived.at)
		}
		seen[arrived.id] = true
	}
	return retries
}

// checkRetriesOf checks the windows that begin with a retry: no other holds more. Both series are sorted.
func (s *soak) checkRetriesOf(service string, retries, requests []time.Time) {
	for _, from := range retries {
		sent := countBetween(retries, from, from.Add(soakRetryWindow))
		allowed := 0
		for _, shift := range []time.Duration{0, soakRetryWindow / 2, soakRetryWindow} {
			allowed = max(allowed, countBetween(requests, from.Add(-shift), from.Add(soakRetryWindow-shift)))
		}
		if limit := soakRetryRatio*float64(allowed) + soakExtraRetries; float64(sent) > limit {
			s.report("BUDGET: %s got %d arrivals beyond the first in %v, allowed %.0f for %d requests", service, sent, soakRetryWindow, limit, allowed)
			return
		}
	}
}

// countBetween counts the times from start on and before end.
func countBetween(times []time.Time, start, end time.Time) int {
	first, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(times, end, time.Time.Compare)
	return last - first
}
