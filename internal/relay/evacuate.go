package relay

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// evacuatedTime is when a caller should come back to a service of which all servers
// are evacuated, at the latest: nobody tells when a zone is taken back, and operators
// take many seconds over it.
const evacuatedTime = 5 * time.Second

// refuseEvacuated gives the final answer at once where no server may be used: what is
// held until its deadline would not be served either. Who has less time left is told to
// come back while there is still some.
func (x *exchange) refuseEvacuated() {
	if x.ran || x.headSent || x.hasLeft() {
		x.giveUp(reasonEvacuated)
		return
	}
	x.refuse(reasonEvacuated, x.comeBack(min(evacuatedTime, waiting.MaxRetryDelay(clock.Until(x.deadline)))))
}
