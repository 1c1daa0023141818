package platform

import "time"

const (
	sameIDAgain = "same-id-again"
	otherWriter = "other-writer"
	// maxRestartTime is the time for which a server that starts again under its identity is away,
	// at the most.
	maxRestartTime = 1500 * time.Millisecond
)

// startKinds are servers that start again under the identity that they had, entries that no
// server wrote, and machines that run the landing before.
func startKinds() []kind {
	return []kind{
		{sameIDAgain, 2, func(s *soak, d drawnFault) { s.restartServer(d) }},
		{otherWriter, 1, func(s *soak, d drawnFault) { s.writeForeignEntry(d) }},
		{twoBuilds, 1, func(s *soak, d drawnFault) { s.swapBuild(d.node) }},
	}
}

// restartServer ends a server with all that runs there, and starts it again under its identity.
func (s *soak) restartServer(drawn drawnFault) {
	staying := s.activeServers()
	m := staying[drawn.server%len(staying)]
	down := time.Duration(drawn.share * float64(maxRestartTime))
	s.disturb(serverScope, "", m.id+" starts again under its identity", down)
	m.set(func() { m.isDown = true })
	m.httpServer.CloseClientConnections()
	s.runAfter(down, func() {
		m.set(func() { m.isDown = false })
		s.mu.Lock()
		_, left := s.drainedAt[m.id]
		s.mu.Unlock()
		if !left {
			m.restart(s.store)
		}
	})
}

// writeForeignEntry lets another writer write over a server's entry, and enter one that names a server
// which nobody may use.
func (s *soak) writeForeignEntry(drawn drawnFault) {
	staying := s.activeServers()
	m := staying[drawn.server%len(staying)]
	trap := newServer(s.t, s.store, "i-trap", m.service, 0)
	s.mu.Lock()
	s.traps = append(s.traps, trap)
	s.mu.Unlock()
	foreign := []any{
		map[string]any{"service": m.service, "address": trap.address, "zone": m.zone, "slots": 8, "state": "sleeping", "sequence": 1, "version": "v1", "coldLeftMs": 0},
		map[string]any{"service": m.service, "address": trap.address, "slots": 8, "state": "ready"},
		"no entry", 7,
	}
	entry := foreign[drawn.server%len(foreign)]
	s.disturb(serverScope, "", m.id+" has an entry of another writer", drawn.duration)
	s.store.put("servers", trap.id, entry)
	s.expireEntry(m)
	s.store.put("servers", m.id, entry)
	s.runAfter(drawn.duration, func() {
		s.store.remove("servers", trap.id)
		s.restoreEntry(m)
	})
}

// checkTraps looks for work at servers that only entries of another writer named. Nodes of the
// landing before read those.
func (s *soak) checkTraps() {
	if len(s.ranOlderBuild) > 0 {
		return
	}
	for _, trap := range s.traps {
		trap.mu.Lock()
		if !trap.lastContactAt.IsZero() {
			s.report("ROUTE: a server was reached that only an entry of another writer named")
		}
		trap.mu.Unlock()
	}
}
