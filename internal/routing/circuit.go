package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// circuitFailures opens a circuit; one is enough where no connection
	// could be made.
	circuitFailures = 3
	circuitOpenMin  = 200 * time.Millisecond
	circuitOpenMax  = 10 * time.Second
)

// circuit keeps requests away from a back end that fails, and lets one through
// from time to time.
type circuit struct {
	failures  int
	openUntil time.Time
	openFor   time.Duration
	probing   bool
	// announced is set once the end of the open time has been told.
	announced bool
}

// allows reports whether a request may be sent, and whether it is a probe.
func (c *circuit) allows(now time.Time) (allowed, probe bool) {
	if c.openUntil.IsZero() {
		return true, false
	}
	return !c.probing && !c.openUntil.After(now), true
}

func (c *circuit) succeed() {
	*c = circuit{}
}

// release ends a probe that told nothing.
func (c *circuit) release() {
	c.probing = false
}

func (c *circuit) fail(now time.Time, unreachable bool, random *rand.Rand) {
	if c.openUntil.After(now) {
		// Attempts begun before it opened tell nothing new.
		return
	}
	c.probing = false
	c.failures++
	if !unreachable && c.failures < circuitFailures {
		return
	}
	c.openFor = min(max(2*c.openFor, circuitOpenMin), circuitOpenMax)
	jitter := 0.5 + random.Float64()/2
	c.openUntil = now.Add(time.Duration(jitter * float64(c.openFor)))
	c.announced = false
}
