package attempt

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// side is one connection of a hedged request.
type side struct {
	connection int
	attempt    int
	backend    fleet.BackendName
}

// mayHedge: only what is repeatable is sent twice, once for each request, and
// only while the caller has nothing.
func (c *Core) mayHedge() bool {
	return c.options.HedgeAfter > 0 && c.options.Repeatable && c.phase == phaseConnected && c.next == 0 &&
		c.finish == "" && c.rival == nil
}

// hedge asks for a second back end once the first has been silent for long.
func (c *Core) hedge(now time.Time) {
	if c.hedgeAt.IsZero() || now.Before(c.hedgeAt) {
		return
	}
	c.hedgeAt = time.Time{}
	if c.mayHedge() && !c.hedged && now.Before(c.wake) {
		c.hedged = true
		c.emit(Hedge{Exclude: append(slices.Clone(c.exclude), c.backend)})
	}
}

// hedgeAssigned opens the second connection; without an Open the back end is
// not needed any more.
func (c *Core) hedgeAssigned(backend fleet.BackendName) {
	if !c.mayHedge() || backend == c.backend {
		return
	}
	c.attempts++
	c.connections++
	c.rival = &side{connection: c.connections, attempt: c.attempts, backend: backend}
	c.emit(Open{Connection: c.rival.connection, Attempt: c.rival.attempt, Backend: backend})
}

// settle ends the race in favour of the connection that brought the first
// chunk, and cancels the other one.
func (c *Core) settle(chunk *Chunk) {
	if c.rival == nil || chunk.RequestID != c.options.RequestID {
		return
	}
	switch {
	case chunk.Connection == c.connection && chunk.Attempt == c.attempt:
		c.dropSide(*c.rival, Failure{}, true)
	case chunk.Connection == c.rival.connection && chunk.Attempt == c.rival.attempt:
		// The former one was silent for as long as it takes to hedge.
		c.dropSide(c.present(), Failure{Evidence: MaybeSent, Detail: "another back end was sooner"}, true)
		c.promote()
	default:
		return
	}
	c.rival = nil
}

// lostSide takes a connection of a race that broke out of it. It reports false
// where there is no race.
func (c *Core) lostSide(broken Failure) bool {
	if c.rival == nil || c.phase != phaseConnected {
		return false
	}
	switch broken.Connection {
	case c.connection:
		c.dropSide(c.present(), broken, broken.Evidence == MaybeSent)
		if !slices.Contains(c.exclude, c.backend) {
			c.exclude = append(c.exclude, c.backend)
		}
		c.promote()
	case c.rival.connection:
		c.dropSide(*c.rival, broken, broken.Evidence == MaybeSent)
	default:
		return false
	}
	c.rival = nil
	c.expose(broken.Evidence)
	if broken.provedNotRun() {
		c.refusals++
	}
	return true
}

// dropRival cancels the second connection of a request that is over.
func (c *Core) dropRival() {
	if c.rival != nil {
		c.dropSide(*c.rival, Failure{}, true)
		c.rival = nil
	}
}

func (c *Core) dropSide(dropped side, broken Failure, cancel bool) {
	if cancel {
		c.emit(Cancel{Attempt: dropped.attempt, Backend: dropped.backend})
	}
	c.emit(Drop{Connection: dropped.connection, Failure: broken})
}

func (c *Core) present() side {
	return side{connection: c.connection, attempt: c.attempt, backend: c.backend}
}

func (c *Core) promote() {
	c.connection, c.attempt, c.backend = c.rival.connection, c.rival.attempt, c.rival.backend
}
