package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
)

// hasQuotas reports whether the configuration limits any tenant.
func (n *Node) hasQuotas() bool {
	table := n.handler.Table()
	return table != nil && table.HasQuotas()
}

// needsCoordinator reports whether anything requires grants from a coordinator: tenant quotas,
// cold servers, or servers with a rate limit.
func (n *Node) needsCoordinator() bool {
	table := n.handler.Table()
	if table != nil && (table.HasQuotas() || table.HasColdStarts()) {
		return true
	}
	hasLimits := false
	n.dispatch.Do(func(core *dispatch.Core) { hasLimits = core.HasRateLimits() })
	return hasLimits
}

// coordinators returns the nodes that may grant quotas, in order of preference.
func (p *peers) coordinators(now time.Time) []gossip.Coordinator {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Coordinators(now, p.node.stopping.Load())
}

// countNodes returns the number of nodes known recently and how many of them are heard from now.
func (p *peers) countNodes(now time.Time) (known, reachable int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.CountNodes(now)
}

// fleetSize returns the number of nodes that share the quotas, and the fraction of them that
// this node hears from.
func (q *quotas) fleetSize(now time.Time) (nodes int, reach float64) {
	known, reachable := q.node.peers.countNodes(now)
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fleet.Observe(now, known, reachable)
}

// raiseFleetSize applies the fleet size that is stored with the lease.
func (q *quotas) raiseFleetSize(now time.Time, size int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fleet.RaiseTo(now, size)
	q.sizeReceived = q.sizeReceived || size > 0
}

// fleetSizeLearningPeriod is how long after its start a node accepts the fleet size from others.
// Later it relies on its own count; otherwise it would never see the fleet shrink.
const fleetSizeLearningPeriod = 30 * time.Second

func (q *quotas) receiveFleetSize(now time.Time, size int) {
	if now.Sub(q.node.started) < fleetSizeLearningPeriod {
		q.raiseFleetSize(now, size)
	}
}
