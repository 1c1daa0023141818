package control

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// Reasons and retry delays of refusals of wants that may not run in this zone.
const (
	reasonNoAllotment = "no-allotment"
	reasonNoZone      = "no-zone-in-regions"
	// reallocationRetryAfter is the time that moving allotment to another region
	// takes: two writes of the record, a round and a majority check.
	reallocationRetryAfter = 2 * time.Second
	// noZoneRetryAfter is given if the regions contain no zone in service that
	// has an engine; machines have to be added first.
	noZoneRetryAfter = 10 * time.Second
)

// allows reports whether requests restricted to the regions may run in the
// zone.
func (c *Core) allows(regions fleet.Regions, zone fleet.Zone) bool {
	return regions == "" || regions.Set().Allows(c.topology.Region(string(zone)))
}

// serveWants passes placement the wants that may run in this zone and forwards
// the others. Wants that another zone forwarded are not forwarded again: two
// zones with different region maps would send them back and forth.
func (c *Core) serveWants(wants []fleet.Want, forwarded bool) {
	own := make([]fleet.Want, 0, len(wants))
	for _, want := range wants {
		if c.allows(want.Regions, c.options.Zone) {
			own = append(own, want)
		} else if want.Waiting > 0 && !forwarded && c.leader.Leading() {
			c.forwardToRegions(want)
		}
	}
	c.stepPlacement(placement.WantsReported{Wants: own})
}

// forwardToRegions forwards a want to a zone of its regions with allotment. If
// there is none, it refuses the want: at once if no zone could get allotment,
// otherwise once the model has been wanted for RefusalGracePeriod.
func (c *Core) forwardToRegions(want fleet.Want) {
	key := keyOf(want)
	if c.forwardToOtherZone(key) {
		delete(c.wants.noTargetSince, key)
		return
	}
	if c.shortageZone(key, "") == "" {
		c.queueRefusal(want.Node, fleet.LoadRefusal{Model: key.model, Regions: key.regions, Reason: reasonNoZone, RetryAfter: noZoneRetryAfter})
		return
	}
	since, known := c.wants.noTargetSince[key]
	if !known {
		c.wants.noTargetSince[key] = c.now
		return
	}
	if c.now.Sub(since) >= c.settings().RefusalGracePeriod {
		c.queueRefusal(want.Node, fleet.LoadRefusal{Model: key.model, Regions: key.regions, Reason: reasonNoAllotment, RetryAfter: reallocationRetryAfter})
	}
}

// shortageZone returns the zone that lacks a replica for the key: the preferred
// one if the key's regions allow it, otherwise the allowed zone in service with
// the most live engines, the first by name if several have the same number. It
// is empty if there is none.
func (c *Core) shortageZone(key demandKey, preferred fleet.Zone) fleet.Zone {
	if preferred != "" && c.allows(key.regions, preferred) {
		return preferred
	}
	engines := make(map[fleet.Zone]int)
	for _, machine := range c.machines.Machines {
		if machine.Role == roleEngine && machine.State == objectstore.MachineLive && !c.isEvacuated(machine.Zone) && c.allows(key.regions, machine.Zone) {
			engines[machine.Zone]++
		}
	}
	var best fleet.Zone
	for zone, count := range engines {
		if best == "" || count > engines[best] || count == engines[best] && zone < best {
			best = zone
		}
	}
	return best
}
