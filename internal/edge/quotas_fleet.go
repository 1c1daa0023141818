package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
)

// hasQuotas reports whether a tenant of the configuration is limited.
func (n *Node) hasQuotas() bool {
	table := n.handler.Table()
	return table != nil && table.HasQuotas()
}

// needsCoordinator reports whether there is anything that a coordinator grants: quotas of
// tenants, or requests to cold servers and to those that name a rate limit.
func (n *Node) needsCoordinator() bool {
	table := n.handler.Table()
	if table != nil && (table.HasQuotas() || table.HasColdStarts()) {
		return true
	}
	hasLimits := false
	n.dispatch.Do(func(core *dispatch.Core) { hasLimits = core.HasRateLimits() })
	return hasLimits
}

// coordinators are the nodes that may give quotas, in order.
func (p *peers) coordinators(now time.Time) []gossip.Coordinator {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Coordinators(now, p.node.stopping.Load())
}

// countNodes is how many nodes this one knew of lately, and how many it hears from.
func (p *peers) countNodes(now time.Time) (known, reachable int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.CountNodes(now)
}

// fleetSize is the number of nodes that share the quotas, and the part of them that
// this node hears from.
func (q *quotas) fleetSize(now time.Time) (nodes int, reach float64) {
	known, reachable := q.node.peers.countNodes(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fleet.Observe(now, known, reachable)
}

// raiseFleetSize takes the size that the store keeps with the lease.
func (q *quotas) raiseFleetSize(now time.Time, size int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleet.RaiseTo(now, size)
	q.sizeReceived = q.sizeReceived || size > 0
}

// fleetSizeLearningPeriod is how long after its start a node takes the size of the fleet from
// others: later it knows itself, and would never see the fleet shrink.
const fleetSizeLearningPeriod = 30 * time.Second

func (q *quotas) receiveFleetSize(now time.Time, size int) {
	if now.Sub(q.node.started) < fleetSizeLearningPeriod {
		q.raiseFleetSize(now, size)
	}
}
