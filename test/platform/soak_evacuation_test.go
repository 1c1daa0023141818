package platform

import (
	"slices"
	"time"
)

// evacuationKind evacuates a zone; in runs that draw it every second server is in the
// second zone, and in others all are in the first.
const evacuationKind = "evacuation"

var soakZones = [2]string{"z", "y"}

// leastEvacuated is how long an evacuation stays at the least: its bound, and a time
// after it.
const leastEvacuated = evacuateBound + 3*time.Second

// soakEvacuation is one evacuation of the second zone; to is zero while it holds.
type soakEvacuation struct {
	from, to time.Time
}

// evacuates reports whether a zone is evacuated in the run.
func (o soakOptions) evacuates() bool {
	return slices.ContainsFunc(o.kinds, func(k kind) bool { return k.name == evacuationKind })
}

// zoneOf is the zone of the server of a number.
func (o soakOptions) zoneOf(number int) string {
	if !o.evacuates() {
		return soakZones[0]
	}
	return soakZones[number%len(soakZones)]
}

// evacuate asks that nothing more be sent to the servers of the second zone, and takes it
// back. One holds at a time.
func (s *soak) evacuate(drawn drawnFault) {
	s.mu.Lock()
	isHeld := len(s.evacuations) > 0 && s.evacuations[len(s.evacuations)-1].to.IsZero()
	if !isHeld {
		s.evacuations = append(s.evacuations, soakEvacuation{from: time.Now()})
	}
	s.mu.Unlock()
	if isHeld {
		return
	}
	zone, lasts := soakZones[1], leastEvacuated+drawn.took
	s.trouble(atServer, "", "zone "+zone+" evacuated", lasts)
	s.store.put("evacuations", zone, map[string]any{})
	s.later(lasts, func() {
		s.mu.Lock()
		s.evacuations[len(s.evacuations)-1].to = time.Now()
		s.mu.Unlock()
		s.store.remove("evacuations", zone)
	})
}

// judgeEvacuations looks for work that began in an evacuated zone once all nodes had to
// know, by nodes in touch while the store was sound. The server's lock is held.
func (s *soak) judgeEvacuations(m *modelServer) {
	if m.zone != soakZones[1] {
		return
	}
	late, last := 0, ""
	for _, evacuated := range s.evacuations {
		for _, end := range s.ends {
			if at, ran := m.ranAt[end.id]; ran && s.isLateInZone(m, end, at, evacuated) {
				late++
				last = end.id + " of " + end.node + ", " + at.Sub(evacuated.from).String() + " after"
			}
		}
	}
	if late > 0 {
		s.find("EVAC: %s ran %d requests after its zone was evacuated, the last %s", m.id, late, last)
	}
}

func (s *soak) isLateInZone(m *modelServer, end served, at time.Time, evacuated soakEvacuation) bool {
	if at.Sub(evacuated.from) <= evacuateBound+s.options.slack || !evacuated.to.IsZero() && !at.Before(evacuated.to) {
		return false
	}
	from := at.Add(-soakContact)
	// What a harmed way held may have been sent in time, if it was asked for in time.
	isHeld := end.sent.Before(evacuated.from.Add(evacuateBound)) && s.isTroubled(m.id, from, at, onWayToServer)
	return !isHeld && !s.isTroubled(end.node, from, at, atNode) && !s.isTroubled("", from, at, atStore)
}
