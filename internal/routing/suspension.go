package routing

import "time"

const (
	// beatInterval is the interval at which a Suspension has to be observed.
	beatInterval = 500 * time.Millisecond
	// suspensionSlack is how late an observation may be before the process counts as paused. A back
	// end that starts to leave during a shorter pause is still known in time.
	suspensionSlack = 700 * time.Millisecond
	// refreshTime is how long nothing is sent after a pause: messages that arrived meanwhile, above
	// all that a back end leaves, are handled first.
	refreshTime = 250 * time.Millisecond
)

// Suspension notices pauses of the process, for the shell of a Core.
type Suspension struct {
	// nextBeat is when the next observation is due; zero before the first one.
	nextBeat time.Time
}

// Observe must be called before each message is handled, and at NextBeat at the latest. It reports
// whether the process was paused, which the core is to be told by Resumed.
func (s *Suspension) Observe(now time.Time) (resumed bool) {
	resumed = !s.nextBeat.IsZero() && now.Sub(s.nextBeat) > suspensionSlack
	if s.nextBeat.IsZero() || !now.Before(s.nextBeat) {
		s.nextBeat = now.Add(beatInterval)
	}
	return resumed
}

// NextBeat returns when the next observation is due; zero before the first one.
func (s *Suspension) NextBeat() time.Time { return s.nextBeat }

// handleResumed holds all attempts back until what the core knows is from after the pause.
func (c *Core) handleResumed(now time.Time) {
	c.refreshUntil = now.Add(refreshTime)
	c.emitAllCapacityChanges()
}

// endRefresh lets attempts start again once the refresh is over.
func (c *Core) endRefresh(now time.Time) {
	if !c.refreshUntil.IsZero() && !now.Before(c.refreshUntil) {
		c.refreshUntil = time.Time{}
		c.emitAllCapacityChanges()
	}
}
