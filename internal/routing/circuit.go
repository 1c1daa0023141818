package routing

import (
	"math/rand/v2"
	"time"
)

const (
	// circuitFailures is the number of failures that open a circuit. One is enough if no connection
	// could be established.
	circuitFailures = 3
	circuitOpenMin  = 200 * time.Millisecond
	circuitOpenMax  = 10 * time.Second
)

// circuit is a circuit breaker: it stops requests to a failing back end, apart from occasional
// probes.
type circuit struct {
	failures  int
	openUntil time.Time
	openFor   time.Duration
	probing   bool
	// probeAnnounced is set once the end of the open interval has been announced.
	probeAnnounced bool
}

// allows reports whether a request may be sent, and whether it is a probe.
func (c *circuit) allows(now time.Time) (allowed, probe bool) {
	if c.openUntil.IsZero() {
		return true, false
	}
	return !c.probing && !c.openUntil.After(now), true
}

func (c *circuit) recordSuccess() {
	*c = circuit{}
}

// releaseProbe ends a probe without a verdict.
func (c *circuit) releaseProbe() {
	c.probing = false
}

func (c *circuit) recordFailure(now time.Time, unreachable bool, random *rand.Rand) {
	if c.openUntil.After(now) {
		// Attempts that started before the circuit opened carry no new information.
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
	c.probeAnnounced = false
}
