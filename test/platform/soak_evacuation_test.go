package platform

import (
	"slices"
	"time"
)

const (
	// evacuateKind is the kind of fault: one of the two zones is evacuated for a while.
	evacuateKind = "evacuate-zone"
	// soakEvacuate is the bound in the settings.
	soakEvacuate = evacuateBound
	// evacuatedFor is how long it lasts beyond the bound and what is drawn.
	evacuatedFor = time.Second
)

// soakZones are the zones of servers where zones are evacuated; nodes stand in the first.
var soakZones = []string{"z", "y"}

// soakEvacuation is one evacuation; over is zero while it lasts.
type soakEvacuation struct {
	zone           string
	declared, over time.Time
}

func evacuationKind() kind {
	return kind{evacuateKind, 2, func(s *soak, d drawnFault) {
		zone := soakZones[d.server%len(soakZones)]
		s.series(func() { s.evacuate(zone) }, soakEvacuate+evacuatedFor+d.took, func() { s.takeBackZone(zone) })
	}}
}

// evacuates reports whether zones are evacuated in this run: the others play as they did
// when their seeds were kept.
func (s *soak) evacuates() bool {
	return slices.ContainsFunc(s.options.kinds, func(k kind) bool { return k.name == evacuateKind })
}

// evacuate declares a zone evacuated, unless one is.
func (s *soak) evacuate(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if count := len(s.evacuations); count > 0 && s.evacuations[count-1].over.IsZero() {
		return
	}
	s.store.put("evacuations", zone, map[string]any{})
	s.evacuations = append(s.evacuations, soakEvacuation{zone: zone, declared: time.Now()})
}

// takeBackZone ends the evacuation of the zone if it is the one that lasts.
func (s *soak) takeBackZone(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := len(s.evacuations)
	if count == 0 || s.evacuations[count-1].zone != zone || !s.evacuations[count-1].over.IsZero() {
		return
	}
	s.evacuations[count-1].over = time.Now()
	s.store.remove("evacuations", zone)
}

// nextZone is the zone with the fewest servers of the service: each has enough to serve
// while the other is evacuated. The lock is held.
func (s *soak) nextZone(service string) string {
	if !s.evacuates() && !s.options.movesHome() {
		return soakZones[0]
	}
	counts := make(map[string]int)
	for _, m := range s.servers {
		if _, left := s.left[m.id]; !left && m.service == service {
			counts[m.zone]++
		}
	}
	return slices.MinFunc(soakZones, func(a, b string) int { return counts[a] - counts[b] })
}

// judgeEvacuations looks for requests and orders that came to a server after all nodes had
// to know that its zone is evacuated. The server's lock is held.
func (s *soak) judgeEvacuations(m *modelServer) {
	for _, evacuation := range s.evacuations {
		if evacuation.zone != m.zone {
			continue
		}
		for _, end := range s.ends {
			if at, ran := m.ranAt[end.id]; ran {
				s.judgeEvacuated(m, evacuation, end.node, end.id, end.sent, at)
			}
		}
		for _, order := range m.orders {
			s.judgeEvacuated(m, evacuation, order.Holder, order.Operation+" "+order.Model, order.at, order.at)
		}
	}
}

func (s *soak) judgeEvacuated(m *modelServer, evacuation soakEvacuation, node, what string, sent, at time.Time) {
	late := evacuation.declared.Add(soakEvacuate + s.options.slack)
	if at.Before(late) || !evacuation.over.IsZero() && at.After(evacuation.over) {
		return
	}
	from := evacuation.declared.Add(-soakContact)
	isHeld := sent.Before(late) && s.isTroubled(m.id, from, at, onWayToServer)
	if !isHeld && !s.isTroubled(node, from, at, atNode) && !s.isTroubled("", from, at, atStore) {
		s.find("EVAC: %s got %s of %s %v after its zone was evacuated", m.id, what, node, at.Sub(evacuation.declared))
	}
}
