package platform

import (
	"fmt"
	"slices"
	"time"
)

// allowedRegionsKind changes the regions that commands may run in. Runs with this kind have
// servers and nodes in two zones, each in its own region.
const allowedRegionsKind = "home-moves"

// soakRegions are the regions of soakZones.
var soakRegions = [2]string{"north", "south"}

// regionRule holds the regions that commands may run in from a time on; empty allows all.
type regionRule struct {
	at      time.Time
	regions []string
}

// nodeZones returns the nodes' zones with their regions.
func (o soakOptions) nodeZones() []string {
	zones := make([]string, o.nodes)
	for i := range zones {
		zones[i] = fmt.Sprintf("%s=%s", soakZones[i%len(soakZones)], soakRegions[i%len(soakRegions)])
	}
	return zones
}

// minRegionLimit is the minimum time for which commands are limited to a region: long enough
// to come into force and be in force for a while.
const minRegionLimit = configApplyBound + 3*time.Second

// limitToRegion limits commands to one region for a time, and then allows all again. Only
// one limit is in effect at a time.
func (s *soak) limitToRegion(drawn drawnFault) {
	region := soakRegions[drawn.server%len(soakRegions)]
	s.mu.Lock()
	isLimited := len(s.allowedRegions) > 0 && len(s.allowedRegions[len(s.allowedRegions)-1].regions) > 0
	if !isLimited {
		s.allowedRegions = append(s.allowedRegions, regionRule{regions: []string{region}})
	}
	s.mu.Unlock()
	if isLimited {
		return
	}
	period := minRegionLimit + drawn.duration
	s.disturb(serverScope, "", "commands may run in "+region+" only", period+configApplyBound)
	s.changeConfiguration()
	s.runAfter(period, func() {
		s.mu.Lock()
		s.allowedRegions = append(s.allowedRegions, regionRule{})
		s.mu.Unlock()
		s.changeConfiguration()
	})
}

// setAllowedRegions writes the current allowed regions into a configuration and records the
// time. s.mu is held.
func (s *soak) setAllowedRegions(config map[string]any) {
	if len(s.allowedRegions) == 0 {
		s.allowedRegions = append(s.allowedRegions, regionRule{})
	}
	current := &s.allowedRegions[len(s.allowedRegions)-1]
	if current.at.IsZero() {
		current.at = time.Now()
	}
	if len(current.regions) > 0 {
		config["routes"].([]map[string]any)[0]["allowedRegions"] = current.regions
	}
}

// mayRunAt reports whether any version that may be in force at the time allows commands in
// the region. s.mu is held.
func (s *soak) mayRunAt(region string, at time.Time) bool {
	for i, rule := range s.allowedRegions {
		isOver := i+1 < len(s.allowedRegions) && !s.allowedRegions[i+1].at.IsZero() && at.Sub(s.allowedRegions[i+1].at) > configApplyBound+s.options.slack
		if !isOver && (len(rule.regions) == 0 || slices.Contains(rule.regions, region)) {
			return true
		}
	}
	return len(s.allowedRegions) == 0
}

// checkRegions reports commands that ran in a region that no version in force allows, sent
// by undisturbed nodes while the store was undisturbed. m.mu is held.
func (s *soak) checkRegions(m *modelServer) {
	if m.service != "commands" {
		return
	}
	region := soakRegions[max(0, slices.Index(soakZones, m.zone))]
	for _, o := range s.outcomes {
		at, ran := m.startedAt[o.id]
		if !ran || o.route == "added" || s.mayRunAt(region, at) {
			continue
		}
		from := at.Add(-soakReconnect)
		if !s.isDisturbed(m.id, from, at, serverLinkScope) && !s.isDisturbed(o.node, from, at, nodeScope) && !s.isDisturbed("", from, at, storeScope) {
			s.report("HOME: %s in %s ran %s of %s", m.id, region, o.id, o.node)
		}
	}
}
