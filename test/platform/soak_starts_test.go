package platform

import "time"

const (
	sameIDRestartKind = "same-id-again"
	foreignEntryKind  = "other-writer"
	// maxRestartTime is the maximum downtime of a server that restarts under its identity.
	maxRestartTime = 1500 * time.Millisecond
)

// startKinds are restarts of servers under their identity, entries written by another
// program, and nodes that run the previous release.
func startKinds() []kind {
	return []kind{
		{sameIDRestartKind, 2, func(s *soak, d drawnFault) { s.restartServer(d) }},
		{foreignEntryKind, 1, func(s *soak, d drawnFault) { s.writeForeignEntry(d) }},
		{twoBuildsKind, 1, func(s *soak, d drawnFault) { s.swapBuild(d.node) }},
	}
}

// restartServer stops a server along with all its requests, and restarts it under its
// identity.
func (s *soak) restartServer(drawn drawnFault) {
	staying := s.activeServers()
	m := staying[drawn.server%len(staying)]
	downtime := time.Duration(drawn.share * float64(maxRestartTime))
	s.disturb(serverScope, "", m.id+" restarts under its identity", downtime)
	m.set(func() { m.isDown = true })
	m.httpServer.CloseClientConnections()
	s.runAfter(downtime, func() {
		m.set(func() { m.isDown = false })
		s.mu.Lock()
		_, isLeaving := s.drainedAt[m.id]
		s.mu.Unlock()
		if !isLeaving {
			m.restart(s.store)
		}
	})
}

// writeForeignEntry overwrites a server's entry with an unreadable one, and adds an
// unreadable entry that names a server which must not be used.
func (s *soak) writeForeignEntry(drawn drawnFault) {
	staying := s.activeServers()
	m := staying[drawn.server%len(staying)]
	trap := newUnlistedServer(s.t, m.zone, "i-trap", m.service, 0)
	s.mu.Lock()
	s.traps = append(s.traps, trap)
	s.mu.Unlock()
	foreign := []any{
		map[string]any{"service": m.service, "address": trap.address, "zone": m.zone, "slots": 8, "state": "sleeping", "sequence": 1, "version": "v1", "coldLeftMs": 0},
		map[string]any{"service": m.service, "address": trap.address, "slots": 8, "state": "ready"},
		"no entry", 7,
	}
	entry := foreign[drawn.server%len(foreign)]
	s.disturb(serverScope, "", m.id+" has an unreadable entry", drawn.duration)
	s.store.put("servers", trap.id, entry)
	s.expireEntry(m)
	s.store.put("servers", m.id, entry)
	s.runAfter(drawn.duration, func() {
		s.store.remove("servers", trap.id)
		s.restoreEntry(m)
	})
}

// checkTraps reports contacts of servers that only unreadable entries name. The previous
// release still uses such entries.
func (s *soak) checkTraps() {
	if len(s.ranOlderBuild) > 0 {
		return
	}
	for _, trap := range s.traps {
		trap.mu.Lock()
		if !trap.lastContactAt.IsZero() {
			s.report("ROUTE: a server that only an unreadable entry names was contacted")
		}
		trap.mu.Unlock()
	}
}
