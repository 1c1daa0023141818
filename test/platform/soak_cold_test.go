package platform

import (
	"slices"
	"time"
)

const (
	// coldReturns is the kind of fault, and soakColdTime how long a server that came back is
	// cold; soakColdPerS is so little that the soak's callers press beyond it.
	coldReturns  = "servers-return-cold"
	soakColdTime = 3 * time.Second
	soakColdPerS = 4
	// maxSoakColdRate is what a cold server may receive in any second from all nodes.
	maxSoakColdRate = soakColdPerS*coldOverage + coldSlack
	// coldMargin is left at the end of a cold time: servers and nodes count it apart.
	coldMargin = 200 * time.Millisecond
)

// coldKind lets half of the model servers go and come back cold, as after the loss of a zone.
func coldKind() kind {
	return kind{coldReturns, 2, func(s *soak, d drawnFault) {
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

// hasColdServers reports whether servers of this run come back cold: the others play as they did
// when their seeds were kept.
func (s *soak) hasColdServers() bool {
	return slices.ContainsFunc(s.options.kinds, func(k kind) bool { return k.name == coldReturns })
}

// checkCold looks for a cold server that received more in a second than it bears. Nodes that
// are cut off, frozen or new are not excused. The server's lock is held.
func (s *soak) checkCold(m *modelServer) {
	if m.coldUntil.IsZero() {
		return
	}
	if worst := m.busiestSecond(m.coldSince, m.coldUntil.Add(-coldMargin)); worst > maxSoakColdRate {
		s.report("COLD: %s received %d requests in a second while it was cold", m.id, worst)
	}
}
