package control

import (
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// refused handles a model that the zone cannot load: another zone with
// allotment is asked; where there is none, all nodes that wait are told, once
// it has been wanted for some time: the allotment of a model that is new, or of
// a zone that starts, is decided meanwhile.
func (c *Core) refused(refusal placement.Refuse) {
	early := !refusal.Permanent && c.now.Sub(refusal.Since) < c.settings().RefusalGracePeriod
	for _, key := range c.wants.keysOf(refusal.Refusal.Model) {
		if !c.allows(key.regions, c.options.Zone) || c.leader.Leading() && c.forwardElsewhere(key) {
			continue
		}
		told := refusal.Refusal
		told.Regions = key.regions
		for _, node := range slices.Sorted(maps.Keys(c.wants.reporters[key])) {
			if zone := c.wants.reporters[key][node].Zone; zone != c.options.Zone {
				c.starve(key.model, c.lackingZone(key, zone))
			}
			if !early {
				c.refuse(node, told)
			}
		}
	}
}

// keysOf lists the demands for a model.
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

// forwardElsewhere passes wants of this zone's nodes to a zone that has
// allotment for the model and a node that is known.
func (c *Core) forwardElsewhere(key demandKey) bool {
	wants := c.ownWants(key)
	if len(wants) == 0 {
		return false
	}
	target, found := c.zoneFor(key)
	if !found {
		c.reportStarved(key)
		return false
	}
	if c.now.Sub(c.wants.forwarded[key]) >= forwardInterval {
		c.wants.forwarded[key] = c.now
		c.emit(ForwardWants{To: target, Wants: wants, Forwarded: true})
	}
	return true
}

func (c *Core) ownWants(key demandKey) []fleet.Want {
	var wants []fleet.Want
	reporters := c.wants.reporters[key]
	for _, node := range slices.Sorted(maps.Keys(reporters)) {
		if reporters[node].Zone == c.options.Zone {
			wants = append(wants, reporters[node])
		}
	}
	return wants
}

// zoneFor is the contact of the zone in service, and in the regions of the demand,
// with the most allotment of the model.
func (c *Core) zoneFor(key demandKey) (fleet.Member, bool) {
	var best fleet.Member
	limit, found := 0, false
	shares := c.record.Record.Models[key.model].Zones
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		if zone == c.options.Zone || c.isEvacuated(zone) || !c.allows(key.regions, zone) || shares[zone].Limit <= limit {
			continue
		}
		if member, known := c.contact(zone); known {
			best, limit, found = member, shares[zone].Limit, true
		}
	}
	return best, found
}

// starve notes that no zone could serve what waits in one.
func (c *Core) starve(model fleet.ModelVersion, zone fleet.Zone) {
	if zone == "" {
		return
	}
	if c.wants.starved[model] == nil {
		c.wants.starved[model] = make(map[fleet.Zone]time.Time)
	}
	c.wants.starved[model][zone] = c.now
}

// reportStarved notes that no zone could serve the model for this one, and
// tells the decider.
func (c *Core) reportStarved(key demandKey) {
	c.starve(key.model, c.lackingZone(key, c.options.Zone))
	decider, found := c.deciderMember()
	if !found || c.now.Sub(c.wants.complained[key]) < complainInterval {
		return
	}
	if wants := c.ownWants(key); len(wants) > 0 {
		c.wants.complained[key] = c.now
		c.emit(ForwardWants{To: decider, Wants: wants, Forwarded: true})
	}
}

// deciderMember is a node of the first zone that has a usable one, where that
// is not this zone: its leader where that is known.
func (c *Core) deciderMember() (fleet.Member, bool) {
	first := c.options.Zone
	for _, member := range c.members {
		if member.Usable() && member.Zone < first {
			first = member.Zone
		}
	}
	if first == c.options.Zone {
		return fleet.Member{}, false
	}
	return c.contact(first)
}

// contact is a usable node of a zone, its leader where that is known.
func (c *Core) contact(zone fleet.Zone) (fleet.Member, bool) {
	if leader, _ := c.tables.leader(zone); c.members[leader].Usable() {
		return c.members[leader], true
	}
	members := c.zoneMembers(zone)
	if len(members) == 0 {
		return fleet.Member{}, false
	}
	return members[0], true
}

// forwardAnswered takes the refusals of whoever was asked.
func (c *Core) forwardAnswered(answer ForwardAnswered) {
	if answer.Failed {
		for _, want := range answer.Wants {
			c.reportStarved(keyOf(want))
		}
		return
	}
	for _, refusal := range answer.Refusals {
		key := keyOfRefusal(refusal)
		c.wants.remote[key] = remoteRefusal{refusal, c.now.Add(refusalLifetime)}
		c.reportStarved(key)
		for _, want := range answer.Wants {
			if keyOf(want) == key {
				c.refuse(want.Node, refusal)
			}
		}
	}
}
