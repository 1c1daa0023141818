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
	// zoneCallTimeout bounds each call to a node of another zone.
	zoneCallTimeout = time.Second
)

// VersionSource reports the active configuration version of each member.
// NodeClient implements it.
type VersionSource interface {
	Versions(ctx context.Context) (VersionReport, error)
}

// Lacking is a live node, or a zone if Node is empty, that is not known to run
// the version.
type Lacking struct {
	Zone fleet.Zone     `json:"zone"`
	Node fleet.NodeName `json:"node,omitempty"`
	// ConfigVersion is its active version, 0 if unknown.
	ConfigVersion uint64 `json:"configVersion"`
	Reason        string `json:"reason"`
}

// WaitResult is the state of the fleet when a wait ended.
type WaitResult struct {
	Version uint64 `json:"version"`
	// Live is the number of live nodes, InForce the number of those that run
	// the version or a later one.
	Live    int       `json:"live"`
	InForce int       `json:"inForce"`
	Lacking []Lacking `json:"lacking"`
}

// Wait polls until every live node of every zone runs the version or a later
// one, or until the context ends. The entry node reports on its own zone; each
// other zone is queried through one of its members known to the entry node.
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
		result:   WaitResult{Version: version, Lacking: []Lacking{}},
		recorded: make(map[fleet.NodeName]bool),
	}
	collector.addZone(report.Zone, report.Members)
	for _, zone := range remoteZones(report) {
		collector.queryZone(ctx, zone, report.Members, dial)
	}
	collector.addListed(report.Listed)
	slices.SortFunc(collector.result.Lacking, func(left, right Lacking) int {
		return cmp.Or(cmp.Compare(left.Zone, right.Zone), cmp.Compare(left.Node, right.Node))
	})
	return collector.result, nil
}

func remoteZones(report VersionReport) []fleet.Zone {
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
	// recorded holds every node that some zone has a record of, including dead
	// ones.
	recorded map[fleet.NodeName]bool
}

func isLive(member fleet.Member) bool {
	return member.State == fleet.MemberAlive || member.State == fleet.MemberSuspect
}

// addZone counts the members of a zone as reported by a node of that zone.
func (c *versionCollector) addZone(zone fleet.Zone, members []fleet.Member) {
	for _, member := range members {
		if member.Zone != zone || c.recorded[member.Name] {
			continue
		}
		c.recorded[member.Name] = true
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

// queryZone queries the live members of a zone in turn until one responds. If
// none does, the zone counts as lacking the version.
func (c *versionCollector) queryZone(ctx context.Context, zone fleet.Zone, members []fleet.Member, dial func(string) VersionSource) {
	live := 0
	for _, member := range sortMembers(members) {
		if member.Zone != zone {
			continue
		}
		if !isLive(member) {
			c.recorded[member.Name] = true
			continue
		}
		live++
		if report, err := queryVersions(ctx, dial(member.Addresses.Operator)); err == nil {
			c.addZone(zone, report.Members)
			return
		}
	}
	if live > 0 {
		c.result.Live += live
		c.result.Lacking = append(c.result.Lacking, Lacking{Zone: zone, Reason: "no node of the zone answered"})
	}
}

func queryVersions(ctx context.Context, source VersionSource) (VersionReport, error) {
	callCtx, cancel := context.WithTimeout(ctx, zoneCallTimeout)
	defer cancel()
	return source.Versions(callCtx)
}

// addListed adds the nodes that the platform lists as live but that no zone has
// a record of. They count as lacking the version, because they may serve callers
// with an older configuration.
func (c *versionCollector) addListed(listed []fleet.NodeName) {
	for _, name := range listed {
		if c.recorded[name] {
			continue
		}
		c.recorded[name] = true
		c.result.Live++
		c.result.Lacking = append(c.result.Lacking, Lacking{Node: name, Reason: "is on the machine list, but no zone has heard of it"})
	}
}
