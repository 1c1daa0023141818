package platform

import (
	"slices"
	"time"
)

const (
	// evacuateKind is the kind of fault that evacuates one of the two zones for a while.
	evacuateKind = "evacuate-zone"
	// soakEvacuationBound is the time within which an evacuation takes effect (evacuateMs in the
	// settings).
	soakEvacuationBound = evacuateBound
	// minEvacuation is the minimum duration of an evacuation beyond the bound; a random duration
	// is added.
	minEvacuation = time.Second
)

// soakZones are the zones of the servers in runs with evacuations; nodes are in the first
// one.
var soakZones = []string{"z", "y"}

// soakEvacuation is one evacuation; ended is zero while it is in effect.
type soakEvacuation struct {
	zone            string
	declared, ended time.Time
}

func evacuationKind() kind {
	return kind{evacuateKind, 2, func(s *soak, d drawnFault) {
		zone := soakZones[d.server%len(soakZones)]
		s.runSteps(func() { s.evacuate(zone) }, soakEvacuationBound+minEvacuation+d.duration, func() { s.endZoneEvacuation(zone) })
	}}
}

// evacuate evacuates the zone, unless an evacuation is in effect.
func (s *soak) evacuate(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if count := len(s.evacuations); count > 0 && s.evacuations[count-1].ended.IsZero() {
		return
	}
	s.store.put("evacuations", zone, map[string]any{})
	s.evacuations = append(s.evacuations, soakEvacuation{zone: zone, declared: time.Now()})
}

// endZoneEvacuation ends the current evacuation if it is that of the zone.
func (s *soak) endZoneEvacuation(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := len(s.evacuations)
	if count == 0 || s.evacuations[count-1].zone != zone || !s.evacuations[count-1].ended.IsZero() {
		return
	}
	s.evacuations[count-1].ended = time.Now()
	s.store.remove("evacuations", zone)
}

// leastUsedZone returns the zone with the fewest servers of the service, so that each zone
// can serve while the other is evacuated. s.mu is held.
func (s *soak) leastUsedZone(service string) string {
	if !s.options.draws(evacuateKind) && !s.options.draws(allowedRegionsKind) {
		return soakZones[0]
	}
	counts := make(map[string]int)
	for _, m := range s.servers {
		if _, isLeaving := s.drainedAt[m.id]; !isLeaving && m.service == service {
			counts[m.zone]++
		}
	}
	return slices.MinFunc(soakZones, func(a, b string) int { return counts[a] - counts[b] })
}

// checkEvacuations reports requests and orders that reached a server after all nodes had to
// know that its zone is evacuated. m.mu is held.
func (s *soak) checkEvacuations(m *modelServer) {
	for _, evacuation := range s.evacuations {
		if evacuation.zone != m.zone {
			continue
		}
		for _, o := range s.outcomes {
			if at, ran := m.startedAt[o.id]; ran {
				s.checkEvacuated(m, evacuation, o.node, o.id, o.sent, at)
			}
		}
		for _, order := range m.orders {
			s.checkEvacuated(m, evacuation, order.Holder, order.Operation+" "+order.Model, order.at, order.at)
		}
	}
}

func (s *soak) checkEvacuated(m *modelServer, evacuation soakEvacuation, node, what string, sent, at time.Time) {
	bound := evacuation.declared.Add(soakEvacuationBound + s.options.slack)
	if at.Before(bound) || !evacuation.ended.IsZero() && at.After(evacuation.ended) {
		return
	}
	from := evacuation.declared.Add(-soakReconnect)
	isDelayed := sent.Before(bound) && s.isDisturbed(m.id, from, at, serverLinkScope)
	if !isDelayed && !s.isDisturbed(node, from, at, nodeScope) && !s.isDisturbed("", from, at, storeScope) {
		s.report("EVAC: %s got %s of %s %v after its zone was evacuated", m.id, what, node, at.Sub(evacuation.declared))
	}
}
