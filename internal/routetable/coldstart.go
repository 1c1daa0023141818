package routetable

import "time"

// ColdStart is what a service's servers can handle for some time after they started or returned.
// The zero value is no limit.
type ColdStart struct {
	// Time is how long servers are cold.
	Time time.Duration
	// PerSecond is the rate of requests that a cold server can handle from all nodes together; 0
	// means none.
	PerSecond float64
}

// IsLimited reports whether cold servers of the service can handle less than warm ones.
func (c ColdStart) IsLimited() bool { return c.Time > 0 || c.PerSecond > 0 }

// HasColdStarts reports whether any service limits its cold servers.
func (t *Table) HasColdStarts() bool {
	for _, service := range t.Services {
		if service.ColdStart.IsLimited() {
			return true
		}
	}
	return false
}

// ColdStarts returns the limits of the services that have one.
func (t *Table) ColdStarts() map[string]ColdStart {
	limited := make(map[string]ColdStart)
	for name, service := range t.Services {
		if service.ColdStart.IsLimited() {
			limited[name] = service.ColdStart
		}
	}
	return limited
}
