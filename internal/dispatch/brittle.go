package dispatch

import "time"

const (
	// brittlenessMaxAge is how long a service counts as brittle without a further announcement.
	brittlenessMaxAge = 30 * time.Second
	// brittlenessOverlap is the time in which the servers of a service may differ, as they turn
	// brittle or recover one after the other.
	brittlenessOverlap = time.Second
)

// brittleness is what the servers of a service announced about the rejections that they bear.
type brittleness struct {
	perSecond int
	at        time.Time
}

// ReceiveBrittleness applies what a response of a server announced; 0 is no announcement. All servers
// of a service announce the same. changed reports whether the service turned brittle or recovered.
func (c *Core) ReceiveBrittleness(now time.Time, service string, perSecond int) (changed bool) {
	known, wasBrittle := c.brittle[service]
	switch {
	case perSecond > 0:
		if wasBrittle && now.Sub(known.at) < brittlenessOverlap {
			perSecond = min(perSecond, known.perSecond)
		}
		c.brittle[service] = brittleness{perSecond: perSecond, at: now}
		return !wasBrittle || known.perSecond != perSecond
	case wasBrittle && now.Sub(known.at) >= brittlenessOverlap:
		delete(c.brittle, service)
		c.notify()
		return true
	default:
		return false
	}
}

// Brittleness returns how many requests each server of the service can reject in a second; ok is false
// if they announced nothing.
func (c *Core) Brittleness(now time.Time, service string) (perSecond int, ok bool) {
	known, ok := c.brittle[service]
	if !ok || now.Sub(known.at) > brittlenessMaxAge {
		return 0, false
	}
	return known.perSecond, true
}
