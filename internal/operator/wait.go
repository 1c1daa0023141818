package operator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	waitPollInterval = 100 * time.Millisecond
	// zoneCallTimeout bounds the call to another zone within one round.
	zoneCallTimeout = time.Second
)

// VersionSource tells which configuration is in force where; a NodeClient is
// one.
type VersionSource interface {
	Versions(ctx context.Context) (VersionReport, error)
}

// Lacking is a live node that has not the version in force.
type Lacking struct {
	Zone fleet.Zone     `json:"zone"`
	Node fleet.NodeName `json:"node,omitempty"`
	// ConfigVersion is what it has in force, where that is known.
	ConfigVersion uint64 `json:"configVersion"`
	Reason        string `json:"reason"`
}

// WaitResult is the state of the fleet at the end of a wait.
type WaitResult struct {
	Version uint64 `json:"version"`
	// Live counts the live nodes, InForce those that have the version.
	Live    int       `json:"live"`
	InForce int       `json:"inForce"`
	Lacking []Lacking `json:"lacking"`
}

// Wait asks until every live node of every zone has at least the version in
// force, or until the context ends. The entry node tells of its own zone; each
// other zone is asked through a member that the entry node knows there.
func Wait(ctx context.Context, entry VersionSource, dial func(address string) VersionSource, version uint64) (WaitResult, error) {
	last := WaitResult{Version: version, Lacking: []Lacking{}}
	for {
		result, err := collectVersions(ctx, entry, dial, version)
		if err == nil {
			last = result
			if len(result.Lacking) == 0 && result.Live > 0 {
				return result, nil
			}
		}
		select {
		case <-ctx.Done():
			if err != nil && last.Live == 0 {
				return last, err
			}
			return last, ErrTimeout.New("%d of %d live nodes have version %d in force", last.InForce, last.Live, version)
		case <-time.After(waitPollInterval):
		}
	}
}

func collectVersions(ctx context.Context, entry VersionSource, dial func(string) VersionSource, version uint64) (WaitResult, error) {
	report, err := entry.Versions(ctx)
	if err != nil {
		return WaitResult{}, err
	}
	collector := versionCollector{
		result: WaitResult{Version: version, Lacking: []Lacking{}},
		known:  make(map[fleet.NodeName]bool),
	}
	collector.addZone(report.Zone, report.Members)
	for _, zone := range otherZones(report) {
		collector.askZone(ctx, zone, report.Members, dial)
	}
	collector.addListed(report.Listed)
	slices.SortFunc(collector.result.Lacking, func(left, right Lacking) int {
		return cmp.Or(cmp.Compare(left.Zone, right.Zone), cmp.Compare(left.Node, right.Node))
	})
	return collector.result, nil
}

func otherZones(report VersionReport) []fleet.Zone {
	zones := make(map[fleet.Zone]bool)
	for _, member := range report.Members {
		if member.Zone != report.Zone {
			zones[member.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

type versionCollector struct {
	result WaitResult
	// known holds every node that some zone has a record of, dead ones too.
	known map[fleet.NodeName]bool
}

func isLive(member fleet.Member) bool {
	return member.State == fleet.MemberAlive || member.State == fleet.MemberSuspect
}

// addZone counts the members of the zone in a report that comes from there.
func (c *versionCollector) addZone(zone fleet.Zone, members []fleet.Member) {
	for _, member := range members {
		if member.Zone != zone || c.known[member.Name] {
			continue
		}
		c.known[member.Name] = true
		if !isLive(member) {
			continue
		}
		c.result.Live++
		if member.ConfigVersion >= c.result.Version {
			c.result.InForce++
			continue
		}
		c.result.Lacking = append(c.result.Lacking, Lacking{
			Zone: zone, Node: member.Name, ConfigVersion: member.ConfigVersion, Reason: "has an older version in force",
		})
	}
}

// askZone asks the zone's members in turn until one answers. A zone whose live
// members all fail to answer counts as lacking the version.
func (c *versionCollector) askZone(ctx context.Context, zone fleet.Zone, members []fleet.Member, dial func(string) VersionSource) {
	live := 0
	for _, member := range sortMembers(members) {
		if member.Zone != zone {
			continue
		}
		if !isLive(member) {
			c.known[member.Name] = true
			continue
		}
		live++
		if report, err := askVersions(ctx, dial(member.Addresses.Operator)); err == nil {
			c.addZone(zone, report.Members)
			return
		}
	}
	if live > 0 {
		c.result.Live += live
		c.result.Lacking = append(c.result.Lacking, Lacking{Zone: zone, Reason: "no node of the zone answered"})
	}
}

func askVersions(ctx context.Context, source VersionSource) (VersionReport, error) {
	bounded, cancel := context.WithTimeout(ctx, zoneCallTimeout)
	defer cancel()
	return source.Versions(bounded)
}

// addListed adds nodes that the platform lists as live but that no zone has
// heard of: they may serve callers with an older configuration.
func (c *versionCollector) addListed(listed []fleet.NodeName) {
	for _, name := range listed {
		if c.known[name] {
			continue
		}
		c.known[name] = true
		c.result.Live++
		c.result.Lacking = append(c.result.Lacking, Lacking{Node: name, Reason: "is on the machine list, but no zone has heard of it"})
	}
}
