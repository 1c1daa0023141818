package control

import (
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// handleRefusal handles a model that the zone cannot load. It forwards the
// wants to another zone with allotment if there is one. Otherwise it refuses
// all waiting nodes, but only once the model has been wanted for
// RefusalGracePeriod: the allotment of a new model or a starting zone may be
// decided in the meantime.
func (c *Core) handleRefusal(refusal placement.Refuse) {
	withinGracePeriod := !refusal.Permanent && c.now.Sub(refusal.Since) < c.settings().RefusalGracePeriod
	for _, key := range c.wants.keysOf(refusal.Refusal.Model) {
		if !c.allows(key.regions, c.options.Zone) || c.leader.Leading() && c.forwardToOtherZone(key) {
			continue
		}
		regional := refusal.Refusal
		regional.Regions = key.regions
		for _, node := range slices.Sorted(maps.Keys(c.wants.reporters[key])) {
			if zone := c.wants.reporters[key][node].Zone; zone != c.options.Zone {
				c.noteUnserved(key.model, c.shortageZone(key, zone))
			}
			if !withinGracePeriod {
				c.queueRefusal(node, regional)
			}
		}
	}
}

// keysOf returns the keys of all wants for a model.
func (w *wantState) keysOf(model fleet.ModelVersion) []demandKey {
	var keys []demandKey
	for key := range w.reporters {
		if key.model == model {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// forwardToOtherZone forwards the wants of this zone's nodes to a zone that has
// allotment of the model and a known usable node.
func (c *Core) forwardToOtherZone(key demandKey) bool {
	wants := c.zoneWants(key)
	if len(wants) == 0 {
		return false
	}
	target, found := c.forwardTarget(key)
	if !found {
		c.reportUnserved(key)
		return false
	}
	if c.now.Sub(c.wants.forwardedAt[key]) >= forwardInterval {
		c.wants.forwardedAt[key] = c.now
		c.emit(ForwardWants{To: target, Wants: wants, Forwarded: true})
	}
	return true
}

func (c *Core) zoneWants(key demandKey) []fleet.Want {
	var wants []fleet.Want
	reporters := c.wants.reporters[key]
	for _, node := range slices.Sorted(maps.Keys(reporters)) {
		if reporters[node].Zone == c.options.Zone {
			wants = append(wants, reporters[node])
		}
	}
	return wants
}

// forwardTarget returns a node of the zone with the largest allotment of the
// model, among the other zones in service that the key's regions allow.
func (c *Core) forwardTarget(key demandKey) (fleet.Member, bool) {
	var best fleet.Member
	limit, found := 0, false
	shares := c.record.Record.Models[key.model].Zones
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		if zone == c.options.Zone || c.isEvacuated(zone) || !c.allows(key.regions, zone) || shares[zone].Limit <= limit {
			continue
		}
		if member, known := c.zoneContact(zone); known {
			best, limit, found = member, shares[zone].Limit, true
		}
	}
	return best, found
}

// noteUnserved records that no zone could serve the wants of the given zone.
func (c *Core) noteUnserved(model fleet.ModelVersion, zone fleet.Zone) {
	if zone == "" {
		return
	}
	if c.wants.unservedAt[model] == nil {
		c.wants.unservedAt[model] = make(map[fleet.Zone]time.Time)
	}
	c.wants.unservedAt[model][zone] = c.now
}

// reportUnserved records that no zone could serve the model for this zone and
// reports it to the coordinator.
func (c *Core) reportUnserved(key demandKey) {
	c.noteUnserved(key.model, c.shortageZone(key, c.options.Zone))
	coordinator, found := c.coordinatorMember()
	if !found || c.now.Sub(c.wants.unservedReportedAt[key]) < unservedReportInterval {
		return
	}
	if wants := c.zoneWants(key); len(wants) > 0 {
		c.wants.unservedReportedAt[key] = c.now
		c.emit(ForwardWants{To: coordinator, Wants: wants, Forwarded: true})
	}
}

// coordinatorMember returns a node of the first zone by name with a usable
// node, its leader if known. It returns false if that zone is this one.
func (c *Core) coordinatorMember() (fleet.Member, bool) {
	first := c.options.Zone
	for _, member := range c.members {
		if member.Usable() && member.Zone < first {
			first = member.Zone
		}
	}
	if first == c.options.Zone {
		return fleet.Member{}, false
	}
	return c.zoneContact(first)
}

// zoneContact returns a usable node of the zone, its leader if known.
func (c *Core) zoneContact(zone fleet.Zone) (fleet.Member, bool) {
	if leader, _ := c.tables.leader(zone); c.members[leader].Usable() {
		return c.members[leader], true
	}
	members := c.zoneMembers(zone)
	if len(members) == 0 {
		return fleet.Member{}, false
	}
	return members[0], true
}

// forwardAnswered handles the refusals of the node that wants were forwarded
// to.
func (c *Core) forwardAnswered(answer ForwardAnswered) {
	if answer.Failed {
		for _, want := range answer.Wants {
			c.reportUnserved(keyOf(want))
		}
		return
	}
	for _, refusal := range answer.Refusals {
		key := keyOfRefusal(refusal)
		c.wants.remoteRefusals[key] = remoteRefusal{refusal, c.now.Add(refusalLifetime)}
		c.reportUnserved(key)
		for _, want := range answer.Wants {
			if keyOf(want) == key {
				c.queueRefusal(want.Node, refusal)
			}
		}
	}
}
