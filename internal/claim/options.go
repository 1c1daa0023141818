package claim

import (
	"cmp"
	"time"
)

// KeeperOptions configure a Keeper. Zero values select the defaults.
type KeeperOptions struct {
	// Self identifies this process.
	Self Seat
	// AttemptTimeout is how long a granted attempt may take before its outcome
	// counts as unknown. No caller may start a call later than this after its
	// grant.
	AttemptTimeout time.Duration
	// MaxRecords limits the number of records.
	MaxRecords int
	// MaxAnswerBytes limits one stored body, MaxAnswersBytes all of them together;
	// an answer beyond either limit is stored without its body.
	MaxAnswerBytes  int
	MaxAnswersBytes int
	// ClockDrift is the largest relative difference between the rates of two
	// nodes' clocks.
	ClockDrift float64
	// SealRetryInterval is the time between Seal requests to a keeper that has not
	// answered yet.
	SealRetryInterval time.Duration
	// Defects injects faults; only tests and the simulator set it.
	Defects Defects
}

// Defects are deliberate faults that the checks must detect. Only tests and the
// simulator set them; no setting or flag does.
type Defects struct {
	// AnyGrant accepts a single grant instead of a majority.
	AnyGrant bool
	// YoungVouches lets a keeper grant although it does not know what earlier
	// keepers granted.
	YoungVouches bool
	// ForgetsWhenFull drops a live record to make room for another.
	ForgetsWhenFull bool
	// FreesTimedOut drops the record of an attempt that did not end in time.
	FreesTimedOut bool
	// IgnoresVersion grants whatever version of the slot the asker uses.
	IgnoresVersion bool
}

// StartTimeout is how long after its keepers were asked a call may still be sent;
// an older grant is no longer valid.
const StartTimeout = 30 * time.Second

const (
	defaultAttemptTimeout    = StartTimeout
	defaultMaxRecords        = 20_000
	defaultMaxAnswerBytes    = 16 << 10
	defaultMaxAnswersBytes   = 8 << 20
	defaultClockDrift        = 0.01
	defaultSealRetryInterval = 500 * time.Millisecond
	// maxReleasedAttempts limits the released attempts that one record remembers.
	maxReleasedAttempts = 8
)

func (o KeeperOptions) withDefaults() KeeperOptions {
	o.AttemptTimeout = cmp.Or(o.AttemptTimeout, defaultAttemptTimeout)
	o.MaxRecords = cmp.Or(o.MaxRecords, defaultMaxRecords)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, defaultMaxAnswerBytes)
	o.MaxAnswersBytes = cmp.Or(o.MaxAnswersBytes, defaultMaxAnswersBytes)
	o.ClockDrift = cmp.Or(o.ClockDrift, defaultClockDrift)
	o.SealRetryInterval = cmp.Or(o.SealRetryInterval, defaultSealRetryInterval)
	return o
}

// retention returns how long a record is kept by this node's clock for the given
// window: the window may start up to AttemptTimeout later at another keeper, and
// the clocks may differ in rate.
func (o KeeperOptions) retention(window time.Duration) time.Duration {
	adjusted := float64(window+o.AttemptTimeout) * (1 + o.ClockDrift)
	return time.Duration(adjusted)
}
