package sim

import "time"

const partsPerMillion = 1_000_000

// Clock is the local clock of a process, with a constant offset and a constant
// drift rate relative to virtual time.
type Clock struct {
	// Offset is added to the virtual time.
	Offset time.Duration
	// DriftPPM is the drift in parts per million: the microseconds that the
	// clock gains per second. It must be greater than -1,000,000, at which the
	// clock would not advance.
	DriftPPM int64
}

// Local returns the local time at a virtual time since Epoch.
func (c Clock) Local(elapsed time.Duration) time.Time {
	return Epoch.Add(c.Offset + c.stretch(elapsed))
}

// stretch applies the drift to a duration. It divides before it multiplies so
// that durations of years do not overflow.
func (c Clock) stretch(elapsed time.Duration) time.Duration {
	whole, rest := int64(elapsed)/partsPerMillion, int64(elapsed)%partsPerMillion
	return elapsed + time.Duration(whole*c.DriftPPM+rest*c.DriftPPM/partsPerMillion)
}

// Elapsed returns the earliest virtual time since Epoch at which the clock
// shows the given local time or a later one.
func (c Clock) Elapsed(local time.Time) time.Duration {
	target := local.Sub(Epoch) - c.Offset
	if c.DriftPPM == 0 {
		return target
	}
	guess := time.Duration(float64(target) * partsPerMillion / float64(partsPerMillion+c.DriftPPM))
	for guess > 0 && c.stretch(guess) >= target {
		guess -= max(1, (c.stretch(guess)-target)/2)
	}
	for c.stretch(guess) < target {
		guess += max(1, (target-c.stretch(guess))/2)
	}
	return guess
}
