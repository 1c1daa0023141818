package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/coldstart"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/relay"
)

// lotsAfter is how long after its start a node may send to cold servers without a
// coordinator: by then it has heard how large the fleet is, or that it cannot.
const lotsAfter = 3 * time.Second

// coldStarts keeps cold servers below what they bear, over all nodes: the coordinator of
// quotas grants what is sent to them. It is safe for concurrent use.
type coldStarts struct {
	node *Node
	mu   sync.Mutex
	// coordinator is what this node granted as the coordinator.
	coordinator *quota.Coordinator
	lots        *coldstart.Lots
	// isTold is set once this node was told how large the fleet is, by the store or by one
	// that knows.
	isTold atomic.Bool
	// Counters for metrics.
	admitted, alone atomic.Int64
}

func newColdStarts(node *Node) *coldStarts {
	return &coldStarts{
		node:        node,
		coordinator: quota.NewCoordinator(coldstart.Tolerance()),
		lots:        coldstart.NewLots(node.options.PeerAddress),
	}
}

var _ relay.ColdStarts = (*coldStarts)(nil)

// AdmitToServer implements relay.ColdStarts.
func (c *coldStarts) AdmitToServer(ctx context.Context, serverID string, priority int) relay.ColdVerdict {
	now := clock.Now()
	phase, service := c.phase(now, serverID)
	if phase == coldstart.Warm {
		return relay.ColdVerdict{Granted: true}
	}
	if c.bound(service).Most() == 0 {
		return c.admitWhenWarm(now, serverID, phase)
	}
	for _, coordinator := range c.node.peers.coordinators(now) {
		// A grant counts from its question: those to silent coordinators may take longer
		// than it holds.
		asked := clock.Now()
		answer := c.node.quotas.ask(ctx, coordinator.Address, &peerpb.QuotaCall{
			Kind: peerpb.QuotaCall_ASK, Server: serverID, Service: service, Cost: 1,
			Priority: uint32(max(0, priority)), Ramping: phase == coldstart.Ramp,
		})
		if answer == nil {
			continue
		}
		return c.counted(relay.ColdVerdict{
			Granted: answer.Kind == peerpb.QuotaCall_GRANTED, Until: asked.Add(coldstart.GrantAge),
			RetryIn: time.Duration(answer.RetryMs) * time.Millisecond,
		})
	}
	return c.counted(c.admitAlone(serverID, service, phase))
}

// admitWhenWarm decides on a server that takes nothing while it is cold: nobody has to be
// asked.
func (c *coldStarts) admitWhenWarm(now time.Time, serverID string, phase coldstart.Phase) relay.ColdVerdict {
	var left time.Duration
	c.node.dispatch.Do(func(core *dispatch.Core) { left, _ = core.ColdLeft(now, serverID) })
	return relay.ColdVerdict{Granted: phase != coldstart.Cold, RetryIn: left}
}

func (c *coldStarts) counted(verdict relay.ColdVerdict) relay.ColdVerdict {
	if verdict.Granted {
		c.admitted.Add(1)
	}
	return verdict
}

// admitAlone decides where no coordinator answers. Servers in their ramp are warm: only the
// burst is to be kept small.
func (c *coldStarts) admitAlone(serverID, service string, phase coldstart.Phase) relay.ColdVerdict {
	c.alone.Add(1)
	now := clock.Now()
	verdict := relay.ColdVerdict{Until: now.Add(coldstart.GrantAge), RetryIn: unansweredTime}
	if phase == coldstart.Ramp {
		verdict.Granted = true
		return verdict
	}
	if !c.mayUseLots(now) {
		return verdict
	}
	nodes, _ := c.node.quotas.fleetSize(now)
	bound := c.bound(service)
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict.Granted = c.lots.Take(now, serverID, bound, nodes)
	return verdict
}

// mayUseLots reports whether this node has listened long enough, and knows the fleet.
func (c *coldStarts) mayUseLots(now time.Time) bool {
	return c.isAlone() || (c.knowsFleet(now) && now.Sub(c.node.started) >= lotsAfter)
}

// isAlone reports whether this node is to have no peers.
func (c *coldStarts) isAlone() bool { return len(c.node.options.Tunables.PeerSeeds) == 0 }

// knowsFleet reports whether this node knows how large the fleet is. Where all nodes of a
// fleet in three parts are killed, each part would take itself for all of it, and grant three
// times what may be.
func (c *coldStarts) knowsFleet(now time.Time) bool {
	return c.isTold.Load() || now.Sub(c.node.started) >= learnsSize
}

// learnFleet takes that the store, or a node that knows, told how large the fleet is; at
// nought it did not.
func (c *coldStarts) learnFleet(nodes int) {
	if nodes > 0 {
		c.isTold.Store(true)
	}
}

// decide answers as the coordinator.
func (c *coldStarts) decide(now time.Time, call *peerpb.QuotaCall) *peerpb.QuotaCall {
	answer := &peerpb.QuotaCall{Kind: peerpb.QuotaCall_UNKNOWN, Id: call.Id, Server: call.Server}
	bound := c.bound(call.Service)
	if !c.mayGive(now) || c.node.quotas.better(now) != "" {
		return answer
	}
	_, reach := c.node.quotas.fleetSize(now)
	if reach < quota.LeastReach {
		return answer
	}
	granted := bound.Quota()
	if phase, _ := c.phase(now, call.Server); call.Ramping && phase != coldstart.Cold {
		granted = bound.RampQuota()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict := c.coordinator.Ask(now, call.Server, granted, reach, 1, int(call.Priority))
	answer.Kind, answer.RetryMs = peerpb.QuotaCall_REFUSED, uint32(min(verdict.RetryIn, longestAge).Milliseconds())
	if verdict.Granted && granted.PerSecond > 0 {
		answer.Kind = peerpb.QuotaCall_GRANTED
	}
	return answer
}

// mayGive reports whether this node has listened long enough to know who is before it,
// and knows the fleet.
func (c *coldStarts) mayGive(now time.Time) bool {
	return c.isAlone() || (c.knowsFleet(now) && now.Sub(c.node.started) >= givesAfter)
}

// bound is that of a cold server of the service; one that is not known bears nothing.
func (c *coldStarts) bound(service string) coldstart.Bound {
	bound := coldstart.Bound{Overage: c.node.options.ColdOverage, Slack: c.node.options.ColdSlack}
	if table := c.node.handler.Table(); table != nil {
		bound.PerSecond = table.Services[service].ColdStart.PerSecond
	}
	return bound
}

func (c *coldStarts) phase(now time.Time, serverID string) (phase coldstart.Phase, service string) {
	c.node.dispatch.Do(func(core *dispatch.Core) { phase, service = core.ColdPhase(now, serverID) })
	return phase, service
}

// asOf returns the servers with what is known now of how long each is cold yet.
func (c *coldStarts) asOf(now time.Time, servers []inventory.Server) []inventory.Server {
	c.node.dispatch.Do(func(core *dispatch.Core) {
		for i := range servers {
			servers[i].ColdLeft, servers[i].TellsCold = core.ColdLeft(now, servers[i].ID)
		}
	})
	return servers
}

// coldLeftOf is for how long a server is cold yet, by a peer; false where it does not say.
func coldLeftOf(wire uint32) (left time.Duration, told bool) {
	if wire == 0 {
		return 0, false
	}
	return min(time.Duration(wire-1)*time.Millisecond, coldstart.LongestCold), true
}

func encodeColdLeft(left time.Duration, told bool) uint32 {
	if !told {
		return 0
	}
	return 1 + uint32(min(max(0, left), coldstart.LongestCold).Milliseconds())
}

// observe is called in each period: a coordinator that stood still has to notice, and
// what turned cold or warm is logged.
func (c *coldStarts) observe(now time.Time) {
	c.mu.Lock()
	c.coordinator.Observe(now)
	c.mu.Unlock()
	var changes []dispatch.ColdChange
	c.node.dispatch.Do(func(core *dispatch.Core) { changes = core.ColdChanges(now) })
	for _, change := range changes {
		event := "server_warm"
		if change.IsCold {
			event = "server_cold"
		}
		c.node.options.Logger.Info().Str("server", change.ServerID).Str("zone", change.Zone).Str("by", string(change.By)).
			Int64("left_ms", change.Left.Milliseconds()).Msg(event)
	}
}

// sweep drops what is not needed: the accounts of servers that are gone and, where
// another node grants, what this one granted before.
func (c *coldStarts) sweep(now time.Time) {
	isCoordinator := c.node.quotas.better(now) == ""
	c.node.dispatch.Do(func(core *dispatch.Core) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lots.Prune(now)
		if isCoordinator {
			c.coordinator.Prune(core.Knows)
		} else {
			c.coordinator.Forget()
		}
	})
}
