package claim

import (
	"cmp"
	"time"
)

// KeeperOptions set up a Keeper. Zero values take the defaults.
type KeeperOptions struct {
	// Self is this process.
	Self Seat
	// AttemptTimeout is how long a granted attempt may take before its outcome
	// counts as unknown. No caller may start a call later than that after its
	// grant.
	AttemptTimeout time.Duration
	// MaxRecords bounds the records held.
	MaxRecords int
	// MaxAnswerBytes bounds one stored body, MaxAnswersBytes all of them;
	// what is larger is kept without its body.
	MaxAnswerBytes  int
	MaxAnswersBytes int
	// ClockDrift is the largest difference between the rates of two nodes'
	// clocks, as a share.
	ClockDrift float64
	// SealRetryInterval is the time between requests to older keepers that have not
	// yet answered.
	SealRetryInterval time.Duration
	// Defects plant faults; only tests and the simulator set it.
	Defects Defects
}

// Defects are planted faults that the checks must find. Only tests and the
// simulator set them; no setting or flag leads here.
type Defects struct {
	// AnyGrant lets one grant be enough for an attempt.
	AnyGrant bool
	// YoungVouches lets a keeper grant that does not know what was granted
	// before it.
	YoungVouches bool
	// ForgetsWhenFull drops a record to make room for another.
	ForgetsWhenFull bool
	// FreesTimedOut forgets an attempt that did not end in time.
	FreesTimedOut bool
	// IgnoresVersion grants whatever version of the slot the asker counts on.
	IgnoresVersion bool
}

// StartTimeout is how long after its keepers were asked a call may be sent; a
// grant that is older covers nothing.
const StartTimeout = 30 * time.Second

const (
	defaultAttemptTimeout  = StartTimeout
	defaultMaxRecords      = 20_000
	defaultMaxAnswerBytes  = 16 << 10
	defaultMaxAnswersBytes = 8 << 20
	defaultClockDrift      = 0.01
	defaultAskInterval     = 500 * time.Millisecond
	// maxReleased bounds the given-up attempts that one record remembers.
	maxReleased = 8
)

func (o KeeperOptions) withDefaults() KeeperOptions {
	o.AttemptTimeout = cmp.Or(o.AttemptTimeout, defaultAttemptTimeout)
	o.MaxRecords = cmp.Or(o.MaxRecords, defaultMaxRecords)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, defaultMaxAnswerBytes)
	o.MaxAnswersBytes = cmp.Or(o.MaxAnswersBytes, defaultMaxAnswersBytes)
	o.ClockDrift = cmp.Or(o.ClockDrift, defaultClockDrift)
	o.SealRetryInterval = cmp.Or(o.SealRetryInterval, defaultAskInterval)
	return o
}

// retention is how long a record of the window is kept, by this node's clock:
// the window may begin at another keeper up to an attempt's time later, and
// the clocks may differ in rate.
func (o KeeperOptions) retention(window time.Duration) time.Duration {
	stretched := float64(window+o.AttemptTimeout) * (1 + o.ClockDrift)
	return time.Duration(stretched)
}
