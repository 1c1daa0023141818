package relay

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// evacuatedRetryDelay is the longest Retry-After for a service whose servers are all evacuated: nothing
// announces when an evacuation ends, and operators take many seconds over it.
const evacuatedRetryDelay = 5 * time.Second

// refuseEvacuated ends a request at once when all servers of its service are evacuated: holding it
// until its deadline would not get it served either. A caller with little time left is told to retry
// before its deadline.
func (x *exchange) refuseEvacuated() {
	x.refuse(reasonEvacuated, x.retryDelay(min(evacuatedRetryDelay, waiting.MaxRetryDelay(clock.Until(x.deadline)))))
}
