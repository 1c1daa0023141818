package control

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// Refusals of demands that may not run in this zone.
const (
	reasonNoAllotment = "no-allotment"
	reasonNoZone      = "no-zone-in-regions"
	// abroadWait is what a move of allotment to another region takes: two writes of
	// the record, a round and a majority.
	abroadWait = 2 * time.Second
	// noZoneWait is given where no zone in service with an engine lies in the regions:
	// machines must come first.
	noZoneWait = 10 * time.Second
)

// allows reports whether requests bound to the regions may run in the zone.
func (c *Core) allows(regions fleet.Regions, zone fleet.Zone) bool {
	return regions == "" || regions.Set().Allows(c.places.Region(string(zone)))
}

// serveWants gives placement what may run in this zone, and passes on the rest. What
// another zone passed on goes no further: two zones that know different regions would
// pass it back and forth.
func (c *Core) serveWants(wants []fleet.Want, forwarded bool) {
	own := make([]fleet.Want, 0, len(wants))
	for _, want := range wants {
		if c.allows(want.Regions, c.options.Zone) {
			own = append(own, want)
		} else if want.Waiting > 0 && !forwarded && c.leader.Leading() {
			c.sendAbroad(want)
		}
	}
	c.stepPlacement(placement.WantsReported{Wants: own})
}

// sendAbroad passes a want to a zone of its regions with allotment. Where there is none
// its node is told, at once where no zone could have any, else once it has been wanted
// in vain for some time.
func (c *Core) sendAbroad(want fleet.Want) {
	key := keyOf(want)
	if c.forwardElsewhere(key) {
		delete(c.wants.lacking, key)
		return
	}
	if c.lackingZone(key, "") == "" {
		c.refuse(want.Node, fleet.LoadRefusal{Model: key.model, Regions: key.regions, Reason: reasonNoZone, RetryAfter: noZoneWait})
		return
	}
	since, known := c.wants.lacking[key]
	if !known {
		c.wants.lacking[key] = c.now
		return
	}
	if c.now.Sub(since) >= c.settings().RefusalGracePeriod {
		c.refuse(want.Node, fleet.LoadRefusal{Model: key.model, Regions: key.regions, Reason: reasonNoAllotment, RetryAfter: abroadWait})
	}
}

// lackingZone is the zone that lacks a replica for a demand: the one given, where the
// demand may run there, else the one of its regions with the most live engines, the
// first by name among equals. It is empty where there is none.
func (c *Core) lackingZone(key demandKey, given fleet.Zone) fleet.Zone {
	if given != "" && c.allows(key.regions, given) {
		return given
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
