package gateway

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/queue"
)

const (
	// evacuatedRetryAfter is the Retry-After while all zones are evacuated. An
	// operator evacuates zones for minutes; callers that retry every second would only
	// be refused again.
	evacuatedRetryAfter = 10 * time.Second

	detailEvacuated = "all zones are evacuated"
)

// applyEvacuations closes the queue while all zones are evacuated: waiting
// requests would be refused at their deadline, and their callers may have an
// alternative.
func (s *dispatcherState) applyEvacuations(now time.Time) {
	evacuated := s.routing.AllEvacuated()
	if evacuated == s.allEvacuated {
		return
	}
	s.allEvacuated = evacuated
	if evacuated {
		s.stepQueue(now, queue.Close{Reason: queue.ReasonEvacuated, RetryAfter: evacuatedRetryAfter})
		return
	}
	s.stepQueue(now, queue.Open{})
}

// noServiceBackend is the refusal of a service call for which there is no back end.
func (s *dispatcherState) noServiceBackend() *failure {
	if s.allEvacuated {
		return &failure{code: string(queue.ReasonEvacuated), detail: detailEvacuated,
			outcome: attempt.OutcomeNotRun, retryAfter: evacuatedRetryAfter}
	}
	return &failure{code: codeNoBackend, detail: "no back end of the service can be reached now",
		outcome: attempt.OutcomeNotRun, retryAfter: time.Second}
}
