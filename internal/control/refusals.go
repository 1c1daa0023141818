package control

import (
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// pushInterval is the minimum time between two refusals of a model that are
// sent to nodes that have not just reported it.
const pushInterval = time.Second

// queueRefusal queues a refusal for a node; flushRefusals sends it at the end
// of the step.
func (c *Core) queueRefusal(node fleet.NodeName, refusal fleet.LoadRefusal) {
	same := func(other fleet.LoadRefusal) bool { return keyOfRefusal(other) == keyOfRefusal(refusal) }
	if !slices.ContainsFunc(c.wants.queuedRefusals[node], same) {
		c.wants.queuedRefusals[node] = append(c.wants.queuedRefusals[node], refusal)
	}
}

// flushRefusals sends the refusals of this step: to the node itself and to
// nodes whose report is being answered directly, and to other nodes of the zone
// with the next table update. Nodes of other zones receive them when their
// leader reports again.
func (c *Core) flushRefusals() {
	pushed := make(map[demandKey]bool)
	for _, node := range slices.Sorted(maps.Keys(c.wants.queuedRefusals)) {
		refusals := c.wants.queuedRefusals[node]
		if node == c.options.Self || c.wants.awaitingReply[node] {
			c.emit(RefuseWants{Node: node, Refusals: refusals})
			continue
		}
		if c.members[node].Zone != c.options.Zone {
			continue
		}
		for _, refusal := range refusals {
			key := keyOfRefusal(refusal)
			if !pushed[key] && c.now.Sub(c.wants.pushedAt[key]) >= pushInterval {
				pushed[key] = true
				c.tables.pendingRefusals = append(c.tables.pendingRefusals, refusal)
				c.tables.local.urgent = true
			}
		}
	}
	for key := range pushed {
		c.wants.pushedAt[key] = c.now
	}
	for key, at := range c.wants.pushedAt {
		if c.now.Sub(at) >= pushInterval {
			delete(c.wants.pushedAt, key)
		}
	}
	clear(c.wants.queuedRefusals)
	clear(c.wants.awaitingReply)
}

// deliverLeaderRefusals passes on the refusals of the zone's leader. Recipients
// without waiting requests for the model ignore them.
func (c *Core) deliverLeaderRefusals(table fleet.RouteTable) {
	if table.Zone == c.options.Zone && len(table.Refusals) > 0 {
		c.emit(RefuseWants{Node: c.options.Self, Refusals: table.Refusals})
	}
}
