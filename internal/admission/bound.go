package admission

import (
	"math"
	"time"

	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// WarmUpBound is what a cold server may receive in any second from all nodes together:
// PerSecond x Overage + Slack requests.
type WarmUpBound struct {
	// PerSecond is what the server bears while it is cold; at 0 nothing is sent to it.
	PerSecond float64
	// Overage is a factor, 1 where the bound is PerSecond itself.
	Overage float64
	Slack   float64
}

const (
	// GrantLifetime is how long a grant may be used after it was asked for. It covers a
	// coordinator's slowest answer; a node that stood still meanwhile asks anew.
	GrantLifetime = 200 * time.Millisecond
	// window is the time over which grants are summed, so that those of a second stay
	// below the bound however late each is used.
	window = time.Second + GrantLifetime

	// coordinatedShare of the bound is what an old and a new coordinator grant together in
	// one window; the rest is for nodes without one.
	coordinatedShare = 0.75
	// mostBurst are the grants that may come at once: as many as let a coordinator which
	// hears from the least part of the fleet grant one.
	mostBurst = 1 / quota.MinReach
	// burstShare of what is coordinated, and of PerSecond, bounds the burst where little is borne.
	burstShare = 0.25
	// borneShare of PerSecond bounds the rate where the bound is far above it: with the
	// burst a window holds about what the server bears.
	borneShare = 0.6
	// lotsShare of the bound is the mean number of nodes that may send to one server
	// without a coordinator. For the 23 a second of a bound of 12 x 1.5 + 5 it is 0.7:
	// of 140 such servers one in 90 fleets has more than five of these nodes.
	lotsShare = 0.03
	// rampFactor is by how much more is granted in the moment after a server was cold.
	rampFactor = 2
)

// MaxRequests is the number of requests that a server may receive in any second. A rate that is no
// finite number over 0 lets nothing pass; an overage or a slack that is none adds nothing.
func (b WarmUpBound) MaxRequests() float64 {
	if !isFigure(b.PerSecond) {
		return 0
	}
	most := b.PerSecond
	if isFigure(b.Overage) {
		most *= max(1, b.Overage)
	}
	if isFigure(b.Slack) {
		most += b.Slack
	}
	return most
}

func isFigure(value float64) bool { return value > 0 && !math.IsInf(value, 0) }

// Quota is what a coordinator grants of one server. A new coordinator begins with an empty
// bucket, so that it grants no more than the rate in its first window, in which the one
// before it may have granted a whole window.
func (b WarmUpBound) Quota() routetable.Quota {
	if !isFigure(b.PerSecond) {
		return routetable.Quota{}
	}
	coordinated := coordinatedShare * b.MaxRequests()
	burst := min(mostBurst, burstShare*coordinated, 2*burstShare*b.PerSecond)
	rate := (coordinated - burst) / (2 * window.Seconds())
	return routetable.Quota{PerSecond: max(0, min(rate, borneShare*b.PerSecond)), Burst: max(0, burst)}
}

// RampQuota is what a coordinator grants of a server in its ramp.
func (b WarmUpBound) RampQuota() routetable.Quota {
	quota := b.Quota()
	quota.PerSecond *= rampFactor
	quota.Burst *= rampFactor
	return quota
}

// Tolerance is that of a coordinator of servers: nothing is given beyond Quota.
func WarmUpTolerance() quota.Tolerance { return quota.Tolerance{Window: window} }
