package platform

import "time"

// storeRollbackKind lets the store come back from a copy; what the operator and the servers wrote is
// written again.
const storeRollbackKind = "store-goes-back"

// callCountPeriod is how long after a return the calls to the store are counted.
const callCountPeriod = 3 * time.Second

func rollbackKinds() []kind {
	return []kind{{storeRollbackKind, 2, func(s *soak, d drawnFault) { s.rollBackStore(d) }}}
}

// rollBackStore copies the store, lets it be away for a moment after the drawn time, and come back from
// the copy. The landing before knows of no eras: none of it runs beside.
func (s *soak) rollBackStore(drawn drawnFault) {
	s.mu.Lock()
	isPlayed := len(s.ranOlderBuild) == 0
	s.storeRolledBack = s.storeRolledBack || isPlayed
	s.mu.Unlock()
	if !isPlayed {
		return
	}
	copied := s.store.snapshot()
	s.runAfter(drawn.duration, func() {
		away := drawn.pauses[0]
		s.disturb(storeScope, "", "store comes back from a copy", away+drawn.pauses[1])
		s.store.set(func() { s.store.unavailable = true })
		s.runAfter(away, func() {
			s.store.restore(copied)
			s.store.set(func() { s.store.unavailable = false })
			for i, m := range s.allServers() {
				s.runAfter(drawn.pauses[i%len(drawn.pauses)]/2, func() { s.rewriteServer(m) })
			}
			before := s.store.callCount()
			s.runAfter(callCountPeriod, func() {
				s.t.Logf("%d nodes made %d calls in %v after the store came back", len(s.controls), s.store.callCount()-before, callCountPeriod)
			})
		})
		s.runAfter(away+drawn.pauses[1]/2, s.rewriteConfiguration)
	})
}

func (s *soak) allServers() []*modelServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*modelServer(nil), s.servers...)
}

// rewriteConfiguration writes what the operator had written last.
func (s *soak) rewriteConfiguration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.put("config", "main", s.config)
	for _, zone := range soakZones {
		s.store.remove("evacuations", zone)
	}
	if count := len(s.evacuations); count > 0 && s.evacuations[count-1].ended.IsZero() {
		s.store.put("evacuations", s.evacuations[count-1].zone, map[string]any{})
	}
}

// rewriteServer writes what the server says now, unless its entry is away for another reason.
func (s *soak) rewriteServer(m *modelServer) {
	s.mu.Lock()
	leftAt, left := s.drainedAt[m.id]
	lapsed, crashed := s.lapsed[m.id], s.crashed[m.id]
	s.mu.Unlock()
	switch {
	case crashed, left && time.Since(leftAt) > soakDrain:
		s.store.remove("servers", m.id)
	case left:
		m.register(s.store, "draining")
	case !lapsed:
		m.register(s.store, "ready")
	}
}
