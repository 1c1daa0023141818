package attempt

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// hedgedConnection is one connection of a hedged request.
type hedgedConnection struct {
	number  int
	attempt int
	backend fleet.BackendName
}

// mayHedge reports whether the request may be sent to a second back end: only a repeatable request may,
// and only while the caller has received nothing.
func (c *Core) mayHedge() bool {
	return c.options.HedgeAfter > 0 && c.options.Repeatable && c.phase == phaseConnected && c.nextSequence == 0 &&
		c.finishReason == "" && c.hedge == nil
}

// hedgeIfDue asks for a second back end once the first has been silent for HedgeAfter.
func (c *Core) hedgeIfDue(now time.Time) {
	if c.hedgeAt.IsZero() || now.Before(c.hedgeAt) {
		return
	}
	c.hedgeAt = time.Time{}
	if c.mayHedge() && !c.hasHedged && now.Before(c.wakeAt) {
		c.hasHedged = true
		c.emit(Hedge{Exclude: append(slices.Clone(c.excluded), c.backend)})
	}
}

// handleHedgeAssigned opens the second connection. If it emits no Open, the back end is no longer needed.
func (c *Core) handleHedgeAssigned(backend fleet.BackendName) {
	if !c.mayHedge() || backend == c.backend {
		return
	}
	c.attempts++
	c.connections++
	c.hedge = &hedgedConnection{number: c.connections, attempt: c.attempts, backend: backend}
	c.emit(Open{Connection: c.hedge.number, Attempt: c.hedge.attempt, Backend: backend})
}

// settleHedge keeps the connection that delivered the first chunk and cancels the other one.
func (c *Core) settleHedge(chunk *Chunk) {
	if c.hedge == nil || chunk.RequestID != c.options.RequestID {
		return
	}
	switch {
	case chunk.Connection == c.connection && chunk.Attempt == c.attempt:
		c.dropConnection(*c.hedge, Failure{}, true)
	case chunk.Connection == c.hedge.number && chunk.Attempt == c.hedge.attempt:
		// The primary connection was silent for HedgeAfter, which counts as its failure.
		c.dropConnection(c.primary(), Failure{Evidence: MaybeSent, Detail: "another back end was sooner"}, true)
		c.promoteHedge()
	default:
		return
	}
	c.hedge = nil
}

// handleHedgeFailure drops a failed connection of a hedged request and continues with the other one. It
// reports false where the request is not hedged.
func (c *Core) handleHedgeFailure(failure Failure) bool {
	if c.hedge == nil || c.phase != phaseConnected {
		return false
	}
	switch failure.Connection {
	case c.connection:
		c.dropConnection(c.primary(), failure, failure.Evidence == MaybeSent)
		if !slices.Contains(c.excluded, c.backend) {
			c.excluded = append(c.excluded, c.backend)
		}
		c.promoteHedge()
	case c.hedge.number:
		c.dropConnection(*c.hedge, failure, failure.Evidence == MaybeSent)
	default:
		return false
	}
	c.hedge = nil
	c.recordExposure(failure.Evidence)
	if failure.isNotRun() {
		c.refusals++
	}
	return true
}

// dropHedge cancels the second connection of a request that is over.
func (c *Core) dropHedge() {
	if c.hedge != nil {
		c.dropConnection(*c.hedge, Failure{}, true)
		c.hedge = nil
	}
}

// dropConnection closes a connection and, if cancel is set, cancels its attempt.
func (c *Core) dropConnection(dropped hedgedConnection, failure Failure, cancel bool) {
	if cancel {
		c.emit(Cancel{Attempt: dropped.attempt, Backend: dropped.backend})
	}
	c.emit(Drop{Connection: dropped.number, Failure: failure})
}

// primary is the current connection.
func (c *Core) primary() hedgedConnection {
	return hedgedConnection{number: c.connection, attempt: c.attempt, backend: c.backend}
}

// promoteHedge makes the second connection the current one.
func (c *Core) promoteHedge() {
	c.connection, c.attempt, c.backend = c.hedge.number, c.hedge.attempt, c.hedge.backend
}
