package edge

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// limitedTable returns a table with one tenant that has a token quota.
func limitedTable(perSecond float64) *routetable.Table {
	table := routetable.New(2, nil, nil, routetable.Limits{})
	table.SetTenants([]routetable.Tenant{{
		Name: "north", Keys: []routetable.KeyHash{routetable.HashKey("k")},
		Quota: routetable.Quota{PerSecond: perSecond, Burst: perSecond, CountsTokens: true, DefaultTokens: 200},
	}})
	return table
}

// newQuotaNode returns a node with a small quota tolerance that receives datagrams.
func newQuotaNode(t *testing.T, strength uint32) *Node {
	t.Helper()
	node := newTestNode(t)
	node.quotas = newQuotas(node, quota.Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 8000}, false)
	address := node.peers.conn.LocalAddr().String()
	node.options.PeerAddress, node.peers.address = address, address
	node.peers.roster = gossip.New(address, nil, 1)
	node.peers.roster.SetStrength(strength)
	node.options.Strength = strength
	node.handler.SetTable(limitedTable(10_000))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go node.peers.receive(ctx)
	return node
}

// introduce makes two nodes known to each other.
func introduce(a, b *Node) {
	now := clock.Now()
	a.peers.handleState(b.peers.state(now))
	b.peers.handleState(a.peers.state(now))
}

// acquireDirectly draws on the node's own accounts, bypassing its peers.
func acquireDirectly(node *Node, now time.Time, tenant *routetable.Tenant, cost float64) quota.Decision {
	node.quotas.mu.Lock()
	defer node.quotas.mu.Unlock()
	return node.quotas.coordinator.Acquire(now, tenant.Name, tenant.Quota, 1, cost, 0)
}

func tenantOf(t *testing.T, node *Node) *routetable.Tenant {
	t.Helper()
	tenant, ok := node.handler.Table().Tenant("north")
	if !ok {
		t.Fatal("no tenant")
	}
	return tenant
}

// TestStrongestNodeCoordinates checks that another node asks the strongest one, which grants
// what is available and refuses more with a retry time.
func TestStrongestNodeCoordinates(t *testing.T) {
	coordinator, asker := newQuotaNode(t, 900), newQuotaNode(t, 100)
	introduce(coordinator, asker)
	tenant := tenantOf(t, asker)
	now := clock.Now()
	acquireDirectly(coordinator, now, tenant, 0)
	got := asker.quotas.Admit(context.Background(), tenant, 700, 0)
	if !got.Granted || got.DecidedBy != coordinator.options.PeerAddress {
		t.Errorf("%+v, want granted by the strongest node", got)
	}
	asker.quotas.Admit(context.Background(), tenant, 9000, 0)
	got = asker.quotas.Admit(context.Background(), tenant, 9000, 0)
	if got.Granted || got.RetryAfter <= 0 || got.RetryAfter > 3*time.Second {
		t.Errorf("%+v, want refused for about a second", got)
	}
	if level := acquireDirectly(coordinator, clock.Now(), tenant, 1e9).Remaining; level > 3000 {
		t.Errorf("the coordinator has %.0f left", level)
	}
}

// TestSilentCoordinatorIsPassedOver checks that without a response the node uses its own share,
// and skips a coordinator after repeated missed calls.
func TestSilentCoordinatorIsPassedOver(t *testing.T) {
	coordinator, asker := newQuotaNode(t, 900), newQuotaNode(t, 100)
	introduce(coordinator, asker)
	_ = coordinator.peers.conn.Close()
	tenant := tenantOf(t, asker)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	got := asker.quotas.Admit(ctx, tenant, 5000, 0)
	if got.Granted || got.DecidedBy != "alone" {
		t.Errorf("%+v by a node that has just started and reaches no coordinator, want refused", got)
	}
	for range 2 * maxUnanswered {
		asker.quotas.Admit(context.Background(), tenant, 5000, 0)
	}
	if asked := asker.quotas.unanswered.Load(); asked != maxUnanswered {
		t.Errorf("%d calls without a response: an unresponsive coordinator was asked again at once", asked)
	}
}

// TestAskedNodeSendsOnToTheCoordinator checks that a node which hears from a preferred
// coordinator forwards calls to it.
func TestAskedNodeSendsOnToTheCoordinator(t *testing.T) {
	coordinator, second, asker := newQuotaNode(t, 900), newQuotaNode(t, 500), newQuotaNode(t, 100)
	introduce(coordinator, second)
	introduce(second, asker)
	got := asker.quotas.Admit(context.Background(), tenantOf(t, asker), 700, 0)
	if !got.Granted {
		t.Errorf("%+v, want granted", got)
	}
	tenant := tenantOf(t, coordinator)
	if level := acquireDirectly(coordinator, clock.Now(), tenant, 1e9).Remaining; level > 700 {
		t.Errorf("the coordinator has %.0f left: it was not asked", level)
	}
}

// TestRequestWaitsForItsQuota checks that a request that can be granted shortly is held rather
// than refused.
func TestRequestWaitsForItsQuota(t *testing.T) {
	coordinator, asker := newQuotaNode(t, 900), newQuotaNode(t, 100)
	introduce(coordinator, asker)
	tenant := tenantOf(t, asker)
	for acquireDirectly(coordinator, clock.Now(), tenant, 700).Granted {
		t.Log("draining the coordinator's initial balance")
	}
	if got := asker.quotas.Admit(context.Background(), tenant, 1500, 0); !got.Granted {
		t.Errorf("%+v for a request that is within the quota in 0.2 s", got)
	}
}

// Guards against a coordinator that has just taken over and announces, as soon as one tenant's request comes,
// that all others are far below their quota: it has no account of them.
func TestNewCoordinatorVouchesForNoTenantWithoutAccount(t *testing.T) {
	node := newQuotaNode(t, 900)
	table := limitedTable(10_000)
	south := table.Tenants()[0]
	south.Name, south.Keys = "south", []routetable.KeyHash{routetable.HashKey("s")}
	table.SetTenants([]routetable.Tenant{table.Tenants()[0], south})
	node.handler.SetTable(table)
	node.quotas.handleCall(&peerpb.QuotaCall{Kind: peerpb.QuotaCall_USED, Asker: "126.0.0.1:1", Tenant: "north", Cost: 1})
	for _, name := range []string{"north", "south"} {
		if node.quotas.advisories.IsFarBelowQuota(clock.Now(), name) {
			t.Errorf("tenant %s is announced as far below its quota", name)
		}
	}
}

// Guards against several coordinators at once: a node that hears none of those that precede it, as it hears each
// only now and then, is none unless it is next.
func TestNodeThatIsNotNextDoesNotCoordinate(t *testing.T) {
	node := newQuotaNode(t, 100)
	for index, peer := range []string{"126.0.0.1:1", "126.0.0.2:1", "126.0.0.3:1"} {
		node.peers.handleState(&peerpb.NodeState{Node: peer, Address: peer, Life: 1, Sequence: 1, Strength: uint32(900 - index)})
	}
	suspend(t, coordinatorSilence)
	answer := node.quotas.decide(clock.Now(), &peerpb.QuotaCall{Kind: peerpb.QuotaCall_ASK, Tenant: "north", Cost: 1})
	if answer.Kind != peerpb.QuotaCall_UNKNOWN {
		t.Errorf("%v by a node that three others precede", answer.Kind)
	}
}

// Guards against nodes that learn one after the other that a node stops, and so disagree on the coordinator.
func TestStopIsAnnouncedToAllNodesAtOnce(t *testing.T) {
	node := newQuotaNode(t, 900)
	var others []*Node
	for range 3 * gossipFanout {
		other := newQuotaNode(t, 100)
		for _, known := range append(others, node) {
			introduce(known, other)
		}
		others = append(others, other)
	}
	introducedAt := clock.Now()
	node.stopping.Store(true)
	node.peers.announceStop()
	for deadline := time.Now().Add(10 * time.Second); len(others) > 0 && time.Now().Before(deadline); {
		others = slices.DeleteFunc(others, func(other *Node) bool {
			return !slices.ContainsFunc(other.peers.coordinators(introducedAt), func(c gossip.Coordinator) bool { return c.Address == node.options.PeerAddress })
		})
		time.Sleep(time.Millisecond)
	}
	if len(others) > 0 {
		t.Errorf("%d nodes still take the stopping node for a coordinator", len(others))
	}
}
