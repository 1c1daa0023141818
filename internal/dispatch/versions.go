package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	// FormerVersionRetention is how long after its last server a software version counts as one that
	// streams may have begun at: longer than callers wait for a stream.
	FormerVersionRetention = time.Minute
	// VersionSettleTime is how long after a failed connection the version of a server is uncertain: it
	// may have started again under its ID at another one, and its entry may not be known here yet.
	VersionSettleTime = 3 * time.Second
	// VersionRecordTime is how long after a software version is first seen here the fleet's record of
	// versions names it, unless the store is away.
	VersionRecordTime = 2500 * time.Millisecond
)

// seenVersion is what this process knows of a software version that a service had lately.
type seenVersion struct {
	// since is when it was first seen.
	since time.Time
	// isRecorded is set if the fleet's record of versions is known to name it.
	isRecorded bool
}

// versionHistory holds the software versions of one service's servers that are gone, and when each
// was last seen; zero until the next call that tells the time.
type versionHistory map[string]time.Time

// rememberVersion records that a server of the version is gone, or runs another one.
func (c *Core) rememberVersion(former inventory.Server) {
	c.historyOf(former.Service)[former.SoftwareVersion] = time.Time{}
}

// historyOf returns the former versions of a service, creating them if necessary.
func (c *Core) historyOf(service string) versionHistory {
	history, ok := c.formerVersions[service]
	if !ok {
		history = make(versionHistory)
		c.formerVersions[service] = history
	}
	return history
}

// AddFormerVersion records that servers of the service ran the version before this process observed any.
func (c *Core) AddFormerVersion(now time.Time, service, version string) {
	history := c.historyOf(service)
	if _, ok := history[version]; !ok {
		history[version] = now
	}
}

// VersionsByService returns RecentVersions of all services that have any.
func (c *Core) VersionsByService(now time.Time) map[string][]string {
	byService := make(map[string][]string, len(c.versionCounts))
	for _, services := range [][]string{slices.Collect(maps.Keys(c.versionCounts)), slices.Collect(maps.Keys(c.formerVersions))} {
		for _, service := range services {
			if versions := c.RecentVersions(now, service); len(versions) > 0 {
				byService[service] = versions
			}
		}
	}
	return byService
}

// RecentVersions returns the software versions of the service's servers, now and within the time for
// which a stream that one of them began may be resumed.
func (c *Core) RecentVersions(now time.Time, service string) []string {
	versions := slices.Sorted(maps.Keys(c.versionCounts[service]))
	for version, lastSeen := range c.formerVersions[service] {
		switch {
		case lastSeen.IsZero():
			c.formerVersions[service][version] = now
		case now.Sub(lastSeen) > FormerVersionRetention:
			delete(c.formerVersions[service], version)
			continue
		}
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	c.recordSeen(now, service, versions)
	return versions
}

// recordSeen notes which versions the service has had lately.
func (c *Core) recordSeen(now time.Time, service string, versions []string) {
	seen, ok := c.seenVersions[service]
	if !ok {
		seen = make(map[string]seenVersion)
		c.seenVersions[service] = seen
	}
	maps.DeleteFunc(seen, func(version string, _ seenVersion) bool { return !slices.Contains(versions, version) })
	for _, version := range versions {
		if _, ok := seen[version]; !ok {
			seen[version] = seenVersion{since: now}
		}
	}
}

// MarkVersionRecorded records that the fleet's record of versions names the version of the service.
func (c *Core) MarkVersionRecorded(now time.Time, service, version string) {
	c.RecentVersions(now, service)
	if known, ok := c.seenVersions[service][version]; ok {
		known.isRecorded = true
		c.seenVersions[service][version] = known
	}
}

// HasVersionJoined reports whether one of the service's versions was first seen after that time.
func (c *Core) HasVersionJoined(now time.Time, service string, after time.Time) bool {
	c.RecentVersions(now, service)
	for _, seen := range c.seenVersions[service] {
		if seen.since.After(after) {
			return true
		}
	}
	return false
}

// ServersBeside returns the service's servers at other software versions than this one. ok is false if one of
// them is gone or has started again, or if no server of the version holds models.
func (c *Core) ServersBeside(now time.Time, service, version string) (servers []inventory.Server, ok bool) {
	c.RecentVersions(now, service)
	for former := range c.formerVersions[service] {
		if former != version {
			return nil, false
		}
	}
	for _, s := range c.byService[service] {
		if s.info.SoftwareVersion != version {
			servers = append(servers, s.info)
		} else if len(s.info.Models) > 0 {
			ok = true
		}
	}
	return servers, ok
}

// HasMixedServices reports whether some service had several software versions lately.
func (c *Core) HasMixedServices(now time.Time) bool {
	for _, versions := range c.VersionsByService(now) {
		if len(versions) > 1 {
			return true
		}
	}
	return false
}

// countVersion adds delta to the number of servers that run the server's software version.
func (c *Core) countVersion(s *server, delta int) {
	counts, ok := c.versionCounts[s.info.Service]
	if !ok {
		counts = make(map[string]int)
		c.versionCounts[s.info.Service] = counts
	}
	if counts[s.info.SoftwareVersion] += delta; counts[s.info.SoftwareVersion] == 0 {
		delete(counts, s.info.SoftwareVersion)
	}
}

// runsVersion reports whether the server runs the required software version as far as is known; every
// server meets an empty one. It is the only version filter: selection, the check before a send and the
// estimates for waiting requests all use it. A server that holds models tells its start when asked,
// which settles an uncertain version after a send; others must be certain.
func (c *Core) runsVersion(now time.Time, s *server, requirements Requirements) bool {
	version := requirements.SoftwareVersion
	if version == "" {
		return true
	}
	return s.info.SoftwareVersion == version && (requirements.Model != "" || c.isVersionCertain(now, s))
}

// isVersionCertain reports whether the server is known to be the start that its entry tells of.
func (c *Core) isVersionCertain(now time.Time, s *server) bool {
	return !now.Before(s.versionUncertainUntil) || len(c.RecentVersions(now, s.info.Service)) == 1
}

// preferCertainVersions leaves out servers whose version is uncertain, unless there are no others.
func (c *Core) preferCertainVersions(now time.Time, candidates []*server) []*server {
	certain := slices.DeleteFunc(slices.Clone(candidates), func(s *server) bool { return !c.isVersionCertain(now, s) })
	if len(certain) == 0 {
		return candidates
	}
	return certain
}

// preferRecordedVersions leaves out servers at whose version hardly any stream has begun yet, as the fleet's
// record may not name it, and those without a free slot; unless there are no others. If all nodes are lost
// before it is recorded, nobody knows that streams may have begun at it.
func (c *Core) preferRecordedVersions(now time.Time, candidates []*server) []*server {
	if len(candidates) == 0 || len(c.RecentVersions(now, candidates[0].info.Service)) == 1 {
		return candidates
	}
	recorded := slices.DeleteFunc(slices.Clone(candidates), func(s *server) bool {
		running, _ := s.load(now)
		return !c.isVersionRecorded(now, s) || s.info.Slots > 0 && running >= s.info.Slots
	})
	if len(recorded) == 0 {
		return candidates
	}
	return recorded
}

// isVersionRecorded reports whether the record of versions names the server's version, as far as is known.
func (c *Core) isVersionRecorded(now time.Time, s *server) bool {
	seen := c.seenVersions[s.info.Service][s.info.SoftwareVersion]
	return seen.isRecorded || now.Sub(seen.since) >= VersionRecordTime
}

// VersionsSettleIn returns when it will be certain whether a server meets the requirements, if now only
// servers of uncertain versions may; ok is false if there are none.
func (c *Core) VersionsSettleIn(now time.Time, requirements Requirements) (settleIn time.Duration, ok bool) {
	for _, s := range c.byService[requirements.Service] {
		isUncertain := s.info.SoftwareVersion == requirements.SoftwareVersion && !c.isVersionCertain(now, s)
		if left := s.versionUncertainUntil.Sub(now); isUncertain && s.isAvailable() && c.isInRegions(s, requirements.Regions) && (!ok || left < settleIn) {
			settleIn, ok = left, true
		}
	}
	return settleIn, ok
}

// Address returns the address of a server; ok is false if it is not known.
func (c *Core) Address(serverID string) (address string, ok bool) {
	s, ok := c.servers[serverID]
	if !ok {
		return "", false
	}
	return s.info.Address, true
}

// MarkVersionUncertain records that a connection to the server failed, or that another start of it than
// the known one answers.
func (c *Core) MarkVersionUncertain(now time.Time, serverID string) {
	if s, ok := c.servers[serverID]; ok {
		s.versionUncertainUntil = now.Add(VersionSettleTime)
	}
}

// ServedVersion returns the software version that answers the attempt; empty if it is uncertain. If
// another start of the server has become known since the request was sent, either of them may answer.
func (c *Core) ServedVersion(attempt *Attempt) string {
	known, ok := c.servers[attempt.start.ID]
	switch {
	case !ok:
		return attempt.server.info.SoftwareVersion
	case known.info.Start() == attempt.start || known.info.SoftwareVersion == attempt.server.info.SoftwareVersion:
		return known.info.SoftwareVersion
	default:
		return ""
	}
}

// mayServe reports whether the server may get requests with these requirements, whatever it holds:
// it is of their service, available, in their regions and of their software version.
func (c *Core) mayServe(now time.Time, s *server, requirements Requirements) bool {
	return s.info.Service == requirements.Service && s.isAvailable() && c.isInRegions(s, requirements.Regions) && c.runsVersion(now, s, requirements)
}
