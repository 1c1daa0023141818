package platform

import (
	"time"
)

const (
	// coldServersKind is the kind of fault. soakColdTime is the length of the cold-start phase, and
	// soakColdPerS a limit low enough for the soak's callers to exceed it.
	coldServersKind = "servers-return-cold"
	soakColdTime    = 3 * time.Second
	soakColdPerS    = 4
	// maxSoakColdRate is the maximum number of requests in any second that a cold server may
	// receive from all nodes together.
	maxSoakColdRate = soakColdPerS*coldOverage + coldSlack
	// coldMargin is left out at the end of the cold-start phase, since servers and nodes time it
	// independently.
	coldMargin = 200 * time.Millisecond
)

// coldKind replaces half of the model servers by cold ones, as after the loss of a zone.
func coldKind() kind {
	return kind{coldServersKind, 2, func(s *soak, d drawnFault) {
		number := 0
		for _, m := range s.activeServers() {
			if m.service != "models" {
				continue
			}
			if number++; number%2 == d.server%2 {
				s.replace(m, soakColdTime)
			}
		}
	}}
}

// checkCold reports a cold server that received more requests in a second than its limit.
// Nodes that are disconnected, frozen or new are not excused. m.mu is held.
func (s *soak) checkCold(m *modelServer) {
	if m.coldUntil.IsZero() {
		return
	}
	if busiest := m.busiestSecond(m.coldSince, m.coldUntil.Add(-coldMargin)); busiest > maxSoakColdRate {
		s.report("COLD: %s received %d requests in a second while it was cold", m.id, busiest)
	}
}
