package control

import (
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// pushInterval is the least time between two refusals of a model to nodes that
// have not just asked.
const pushInterval = time.Second

// refuse notes a refusal for a node; it is given out at the end of the step.
func (c *Core) refuse(node fleet.NodeName, refusal fleet.LoadRefusal) {
	known := func(other fleet.LoadRefusal) bool { return keyOfRefusal(other) == keyOfRefusal(refusal) }
	if !slices.ContainsFunc(c.wants.refusals[node], known) {
		c.wants.refusals[node] = append(c.wants.refusals[node], refusal)
	}
}

// flushRefusals gives out the refusals of this step: to the node itself and to
// those whose report is answered at once, to other nodes of the zone with the
// table. Those of other zones are told when their leader asks again.
func (c *Core) flushRefusals() {
	pushed := make(map[demandKey]bool)
	for _, node := range slices.Sorted(maps.Keys(c.wants.refusals)) {
		refusals := c.wants.refusals[node]
		if node == c.options.Self || c.wants.reporting[node] {
			c.emit(RefuseWants{Node: node, Refusals: refusals})
			continue
		}
		if c.members[node].Zone != c.options.Zone {
			continue
		}
		for _, refusal := range refusals {
			key := keyOfRefusal(refusal)
			if !pushed[key] && c.now.Sub(c.wants.pushed[key]) >= pushInterval {
				pushed[key] = true
				c.tables.refused = append(c.tables.refused, refusal)
				c.tables.near.urgent = true
			}
		}
	}
	for key := range pushed {
		c.wants.pushed[key] = c.now
	}
	for key, at := range c.wants.pushed {
		if c.now.Sub(at) >= pushInterval {
			delete(c.wants.pushed, key)
		}
	}
	clear(c.wants.refusals)
	clear(c.wants.reporting)
}

// hearRefusals hands on what the zone's leader refuses. Who waits for nothing
// ignores it.
func (c *Core) hearRefusals(table fleet.RouteTable) {
	if table.Zone == c.options.Zone && len(table.Refusals) > 0 {
		c.emit(RefuseWants{Node: c.options.Self, Refusals: table.Refusals})
	}
}
