package routetable

import "time"

// ColdStart is what servers of a service bear for some time after they started, or came
// back. The zero value is no limit.
type ColdStart struct {
	// Time is how long they are cold.
	Time time.Duration
	// PerSecond are the requests that a cold one bears from all nodes together; at 0 none.
	PerSecond float64
}

// IsLimited reports whether cold servers of the service bear less than warm ones.
func (c ColdStart) IsLimited() bool { return c.Time > 0 || c.PerSecond > 0 }

// HasColdStarts reports whether a service limits its cold servers.
func (t *Table) HasColdStarts() bool {
	for _, service := range t.Services {
		if service.ColdStart.IsLimited() {
			return true
		}
	}
	return false
}

// ColdStarts are the limits of the services that have one.
func (t *Table) ColdStarts() map[string]ColdStart {
	limited := make(map[string]ColdStart)
	for name, service := range t.Services {
		if service.ColdStart.IsLimited() {
			limited[name] = service.ColdStart
		}
	}
	return limited
}
