package routing

import (
	"slices"
	"time"
)

const (
	healthWeight = 0.1
	// minSamples are needed before a back end can be an outlier.
	minSamples = 10
	// outlierFailures is the share of failures of an outlier, outlierFactor
	// how many times the median its first tokens take.
	outlierFailures = 0.5
	outlierFactor   = 5
	ejectionTime    = 10 * time.Second
	// minOutlierPeers are needed for a median.
	minOutlierPeers = 3
	// minOutlierDelay keeps quick back ends from being told apart.
	minOutlierDelay = 200 * time.Millisecond
)

// health follows how a back end does in the long run.
type health struct {
	results, tokens int
	failures        float64
	firstToken      time.Duration
	ejectedUntil    time.Time
}

func (h *health) addResult(now time.Time, failed bool) {
	h.results++
	sample := 0.0
	if failed {
		sample = 1
	}
	h.failures += healthWeight * (sample - h.failures)
	// An answer that goes well ejects no one, whatever was before it.
	if failed && h.results >= minSamples && h.failures > outlierFailures {
		h.eject(now)
	}
}

func (h *health) addFirstToken(after time.Duration) {
	h.tokens++
	if h.tokens == 1 {
		h.firstToken = after
	}
	h.firstToken += time.Duration(healthWeight * float64(after-h.firstToken))
}

// eject sets the back end aside and begins anew with its figures.
func (h *health) eject(now time.Time) {
	*h = health{ejectedUntil: now.Add(ejectionTime)}
}

// judgeSpeed ejects a target whose first tokens take far longer than those of
// its peers.
func (c *Core) judgeSpeed(now time.Time, flight *flight) {
	target := flight.target
	if target.health.tokens < minSamples {
		return
	}
	var peers []time.Duration
	for _, peer := range c.byModel[flight.model] {
		if peer.health.tokens >= minSamples {
			peers = append(peers, peer.health.firstToken)
		}
	}
	if len(peers) < minOutlierPeers {
		return
	}
	slices.Sort(peers)
	median := peers[len(peers)/2]
	if target.health.firstToken > max(minOutlierDelay, outlierFactor*median) {
		target.health.eject(now)
	}
}

// withoutOutliers takes out the ejected, but no more than the share allowed,
// so that a wide fault does not eject everyone.
func (c *Core) withoutOutliers(now time.Time, targets []*target) []*target {
	most := int(c.options.MaxEjectedShare * float64(len(targets)))
	if c.options.Defects.NoEjectionCap {
		most = len(targets)
	}
	kept := targets[:0:0]
	for _, target := range targets {
		if most > 0 && target.health.ejectedUntil.After(now) {
			most--
			continue
		}
		kept = append(kept, target)
	}
	return kept
}
