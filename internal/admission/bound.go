package admission

import (
	"math"
	"time"

	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// WarmUpBound bounds what a cold server may receive in any second from all nodes together:
// PerSecond x Overage + Slack requests.
type WarmUpBound struct {
	// PerSecond is the rate that a cold server can handle. If it is 0, nothing is sent to the
	// server.
	PerSecond float64
	// Overage is a factor; 1 leaves PerSecond as it is.
	Overage float64
	Slack   float64
}

const (
	// GrantLifetime is how long after the request for it a grant may be used. It covers a
	// coordinator's slowest answer. A node that was suspended in the meantime asks again.
	GrantLifetime = 200 * time.Millisecond
	// warmUpWindow is the time over which grants are summed. It includes GrantLifetime, so that the
	// requests of any one second stay below the bound however late each grant is used.
	warmUpWindow = time.Second + GrantLifetime

	// coordinatedShare of the bound is what an old and a new coordinator may grant together in one
	// window. The rest is for nodes without a coordinator.
	coordinatedShare = 0.75
	// maxBurst is the largest number of grants at once. It is just enough for a coordinator that
	// hears from the smallest permitted part of the fleet to grant one request.
	maxBurst = 1 / quota.MinReach
	// burstShare, of the coordinated part and of PerSecond, limits the burst for servers with a low
	// rate.
	burstShare = 0.25
	// maxRateShare of PerSecond limits the rate where the bound is far above PerSecond: together
	// with the burst, a window then holds about what the server can handle.
	maxRateShare = 0.6
	// fallbackShare of the bound is the mean number of nodes that may send to one server without a
	// coordinator. For a bound of 12 x 1.5 + 5 = 23 requests a second it is 0.7: of 140 such
	// servers, in one of 90 fleets a server has more than five of these nodes.
	fallbackShare = 0.03
	// rampFactor is how much more is granted during the ramp, right after a server was cold.
	rampFactor = 2
)

// MaxRequests returns the number of requests that the server may receive in any second. It is 0 if
// the rate is not positive and finite; an overage or a slack that is not adds nothing.
func (b WarmUpBound) MaxRequests() float64 {
	if !isPositiveFinite(b.PerSecond) {
		return 0
	}
	requests := b.PerSecond
	if isPositiveFinite(b.Overage) {
		requests *= max(1, b.Overage)
	}
	if isPositiveFinite(b.Slack) {
		requests += b.Slack
	}
	return requests
}

func isPositiveFinite(value float64) bool { return value > 0 && !math.IsInf(value, 0) }

// Quota returns what a coordinator grants for one server. A new coordinator starts with an empty
// bucket, so that it grants no more than the rate in its first window: its predecessor may have
// granted the full amount in that window.
func (b WarmUpBound) Quota() routetable.Quota {
	if !isPositiveFinite(b.PerSecond) {
		return routetable.Quota{}
	}
	coordinated := coordinatedShare * b.MaxRequests()
	burst := min(maxBurst, burstShare*coordinated, 2*burstShare*b.PerSecond)
	rate := (coordinated - burst) / (2 * warmUpWindow.Seconds())
	return routetable.Quota{PerSecond: max(0, min(rate, maxRateShare*b.PerSecond)), Burst: max(0, burst)}
}

// RampQuota returns what a coordinator grants for a server in its ramp.
func (b WarmUpBound) RampQuota() routetable.Quota {
	quota := b.Quota()
	quota.PerSecond *= rampFactor
	quota.Burst *= rampFactor
	return quota
}

// WarmUpTolerance returns the tolerance of the coordinator for cold servers: it grants nothing
// beyond Quota.
func WarmUpTolerance() quota.Tolerance { return quota.Tolerance{Window: warmUpWindow} }
