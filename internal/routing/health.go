package routing

import (
	"slices"
	"time"
)

const (
	sampleWeight = 0.1
	// minSamples is the number of samples needed before a back end can be an outlier.
	minSamples = 10
	// outlierFailures is the share of failed attempts of an outlier, outlierFactor the multiple of
	// the median time to first token.
	outlierFailures = 0.5
	outlierFactor   = 5
	ejectionTime    = 10 * time.Second
	// minOutlierPeers is the number of back ends needed for a meaningful median.
	minOutlierPeers = 3
	// minOutlierDelay keeps fast back ends from being ejected for small differences.
	minOutlierDelay = 200 * time.Millisecond
)

// health holds the moving averages of a back end's failures and time to first token.
type health struct {
	results, firstTokens int
	failures             float64
	firstToken           time.Duration
	ejectedUntil         time.Time
}

func (h *health) addResult(now time.Time, failed bool) {
	h.results++
	sample := 0.0
	if failed {
		sample = 1
	}
	h.failures += sampleWeight * (sample - h.failures)
	// A success never ejects a back end, whatever happened before.
	if failed && h.results >= minSamples && h.failures > outlierFailures {
		h.eject(now)
	}
}

func (h *health) addFirstToken(after time.Duration) {
	h.firstTokens++
	if h.firstTokens == 1 {
		h.firstToken = after
	}
	h.firstToken += time.Duration(sampleWeight * float64(after-h.firstToken))
}

// eject excludes the back end for ejectionTime and resets its averages.
func (h *health) eject(now time.Time) {
	*h = health{ejectedUntil: now.Add(ejectionTime)}
}

// ejectIfSlow ejects the attempt's target if its time to first token is far above the median of its
// peers.
func (c *Core) ejectIfSlow(now time.Time, attempt *attempt) {
	target := attempt.target
	if target.health.firstTokens < minSamples {
		return
	}
	var peers []time.Duration
	for _, peer := range c.byModel[attempt.model] {
		if peer.health.firstTokens >= minSamples {
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

// withoutOutliers removes ejected targets, but at most the allowed share, so that a widespread
// fault doesn't eject all of them.
func (c *Core) withoutOutliers(now time.Time, targets []*target) []*target {
	ejectable := int(c.options.MaxEjectedShare * float64(len(targets)))
	if c.options.Defects.NoEjectionCap {
		ejectable = len(targets)
	}
	kept := targets[:0:0]
	for _, target := range targets {
		if ejectable > 0 && target.health.ejectedUntil.After(now) {
			ejectable--
			continue
		}
		kept = append(kept, target)
	}
	return kept
}
