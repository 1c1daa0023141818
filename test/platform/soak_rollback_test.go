package platform

import "time"

// storeRollbackKind restores the store from a snapshot, after which the operator and the
// servers write their current state again.
const storeRollbackKind = "store-goes-back"

// callCountPeriod is the period after a restore in which calls to the store are counted.
const callCountPeriod = 3 * time.Second

func rollbackKinds() []kind {
	return []kind{{storeRollbackKind, 2, func(s *soak, d drawnFault) { s.rollBackStore(d) }}}
}

// rollBackStore takes a snapshot, makes the store unavailable for a moment after the drawn
// time, and restores the snapshot. It does nothing if nodes ran the previous release, which
// does not know store eras.
func (s *soak) rollBackStore(drawn drawnFault) {
	s.mu.Lock()
	isApplicable := len(s.ranOlderBuild) == 0
	s.storeRolledBack = s.storeRolledBack || isApplicable
	s.mu.Unlock()
	if !isApplicable {
		return
	}
	saved := s.store.snapshot()
	s.runAfter(drawn.duration, func() {
		outage := drawn.pauses[0]
		s.disturb(storeScope, "", "store is restored from a snapshot", outage+drawn.pauses[1])
		s.store.set(func() { s.store.unavailable = true })
		s.runAfter(outage, func() {
			s.store.restore(saved)
			s.store.set(func() { s.store.unavailable = false })
			for i, m := range s.allServers() {
				s.runAfter(drawn.pauses[i%len(drawn.pauses)]/2, func() { s.rewriteServer(m) })
			}
			before := s.store.callCount()
			s.runAfter(callCountPeriod, func() {
				s.t.Logf("%d nodes made %d calls in %v after the store was restored", len(s.controls), s.store.callCount()-before, callCountPeriod)
			})
		})
		s.runAfter(outage+drawn.pauses[1]/2, s.rewriteConfiguration)
	})
}

func (s *soak) allServers() []*modelServer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*modelServer(nil), s.servers...)
}

// rewriteConfiguration writes the operator's latest state again.
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

// rewriteServer writes the server's current state, unless its entry is absent for another
// reason.
func (s *soak) rewriteServer(m *modelServer) {
	s.mu.Lock()
	leftAt, isLeaving := s.drainedAt[m.id]
	expired, crashed := s.expired[m.id], s.crashed[m.id]
	s.mu.Unlock()
	switch {
	case crashed, isLeaving && time.Since(leftAt) > soakDrain:
		s.store.remove("servers", m.id)
	case isLeaving:
		m.register(s.store, "draining")
	case !expired:
		m.register(s.store, "ready")
	}
}
