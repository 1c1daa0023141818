package gateway

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/queue"
)

const (
	// evacuatedRetryAfter is told to callers while no zone is left. An operator
	// empties zones for minutes; callers that come back every second would only
	// be refused again.
	evacuatedRetryAfter = 10 * time.Second

	detailEvacuated = "all zones are evacuated"
)

// followEvacuations closes the queue while all zones are evacuated: what waits
// there would be refused at its deadline, and its caller may have another way.
func (s *dispatcherState) followEvacuations(now time.Time) {
	evacuated := s.routing.AllEvacuated()
	if evacuated == s.evacuated {
		return
	}
	s.evacuated = evacuated
	if evacuated {
		s.stepQueue(now, queue.Close{Reason: queue.ReasonEvacuated, RetryAfter: evacuatedRetryAfter})
		return
	}
	s.stepQueue(now, queue.Open{})
}

// noService is why a call has no back end.
func (s *dispatcherState) noService() *failure {
	if s.evacuated {
		return &failure{code: string(queue.ReasonEvacuated), detail: detailEvacuated,
			outcome: attempt.OutcomeNotRun, retryAfter: evacuatedRetryAfter}
	}
	return &failure{code: codeNoBackend, detail: "no back end of the service can be reached now",
		outcome: attempt.OutcomeNotRun, retryAfter: time.Second}
}
