package sim

import "time"

const partsPerMillion = 1_000_000

// Clock is a process's own clock: wrong by an offset, and running too fast or
// too slow by a rate.
type Clock struct {
	// Offset is added to the virtual time.
	Offset time.Duration
	// DriftPPM is how many microseconds a second the clock gains; a process's
	// clock must stay above -1,000,000, where it would stand still.
	DriftPPM int64
}

// Local is what the clock shows at a virtual time since Epoch.
func (c Clock) Local(elapsed time.Duration) time.Time {
	return Epoch.Add(c.Offset + c.stretch(elapsed))
}

// stretch divides first, so that years of nanoseconds do not overflow.
func (c Clock) stretch(elapsed time.Duration) time.Duration {
	whole, rest := int64(elapsed)/partsPerMillion, int64(elapsed)%partsPerMillion
	return elapsed + time.Duration(whole*c.DriftPPM+rest*c.DriftPPM/partsPerMillion)
}

// Elapsed is the earliest virtual time since Epoch at which the clock shows
// the local time or more.
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
