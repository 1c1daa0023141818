package platform

import (
	"fmt"
	"slices"
	"time"
)

// homeKind changes the regions that commands may run in; runs that draw it have two zones
// and regions, of servers and of nodes.
const homeKind = "home-moves"

// soakRegions are those of soakZones.
var soakRegions = [2]string{"north", "south"}

// soakHome is where commands may run from a version on; without regions it is everywhere.
type soakHome struct {
	at      time.Time
	regions []string
}

func (o soakOptions) movesHome() bool {
	return slices.ContainsFunc(o.kinds, func(k kind) bool { return k.name == homeKind })
}

// nodeZones are the zones of the nodes, with their regions.
func (o soakOptions) nodeZones() []string {
	zones := make([]string, o.nodes)
	for i := range zones {
		zones[i] = fmt.Sprintf("%s=%s", soakZones[i%len(soakZones)], soakRegions[i%len(soakRegions)])
	}
	return zones
}

// leastBounded is how long commands are bounded to a region at the least: until that must
// be in force, and a time after it.
const leastBounded = applyWithin + 3*time.Second

// moveHome bounds commands to one region or the other for a time; then they may run
// everywhere again. One bound holds at a time.
func (s *soak) moveHome(drawn drawnFault) {
	region := soakRegions[drawn.server%len(soakRegions)]
	s.mu.Lock()
	isBounded := len(s.homes) > 0 && len(s.homes[len(s.homes)-1].regions) > 0
	if !isBounded {
		s.homes = append(s.homes, soakHome{regions: []string{region}})
	}
	s.mu.Unlock()
	if isBounded {
		return
	}
	lasts := leastBounded + drawn.took
	s.trouble(atServer, "", "commands may run in "+region+" alone", lasts+applyWithin)
	s.changeConfiguration()
	s.later(lasts, func() {
		s.mu.Lock()
		s.homes = append(s.homes, soakHome{})
		s.mu.Unlock()
		s.changeConfiguration()
	})
}

// putHome writes where commands may run into a configuration, and notes when. The lock is
// held.
func (s *soak) putHome(config map[string]any) {
	if len(s.homes) == 0 {
		s.homes = append(s.homes, soakHome{})
	}
	current := &s.homes[len(s.homes)-1]
	if current.at.IsZero() {
		current.at = time.Now()
	}
	if len(current.regions) > 0 {
		config["routes"].([]map[string]any)[0]["allowedRegions"] = current.regions
	}
}

// mayRunAt reports whether a command may run in the region at the time, by any version that
// may be in force then. The lock is held.
func (s *soak) mayRunAt(region string, at time.Time) bool {
	for i, home := range s.homes {
		isOver := i+1 < len(s.homes) && !s.homes[i+1].at.IsZero() && at.Sub(s.homes[i+1].at) > applyWithin+s.options.slack
		if !isOver && (len(home.regions) == 0 || slices.Contains(home.regions, region)) {
			return true
		}
	}
	return len(s.homes) == 0
}

// judgeHome looks for commands that began where no version in force lets them, by nodes in
// touch while the store was sound. The server's lock is held.
func (s *soak) judgeHome(m *modelServer) {
	if m.service != "commands" {
		return
	}
	region := soakRegions[max(0, slices.Index(soakZones, m.zone))]
	for _, end := range s.ends {
		at, ran := m.ranAt[end.id]
		if !ran || end.route == "added" || s.mayRunAt(region, at) {
			continue
		}
		from := at.Add(-soakContact)
		if !s.isTroubled(m.id, from, at, onWayToServer) && !s.isTroubled(end.node, from, at, atNode) && !s.isTroubled("", from, at, atStore) {
			s.find("HOME: %s in %s ran %s of %s", m.id, region, end.id, end.node)
		}
	}
}
