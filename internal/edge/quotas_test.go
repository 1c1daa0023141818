package edge

import (
	"context"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// limitedTable has one tenant with a quota of tokens.
func limitedTable(perSecond float64) *routetable.Table {
	table := routetable.New(2, nil, nil, routetable.Limits{})
	table.SetTenants([]routetable.Tenant{{
		Name: "north", Keys: []routetable.KeyHash{routetable.HashKey("k")},
		Quota: routetable.Quota{PerSecond: perSecond, Burst: perSecond, CountsTokens: true, DefaultTokens: 200},
	}})
	return table
}

// newQuotaNode returns a node whose quotas tolerate little, which hears its peers.
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

// introduce lets two nodes know each other.
func introduce(a, b *Node) {
	now := clock.Now()
	a.peers.handleState(b.peers.state(now))
	b.peers.handleState(a.peers.state(now))
}

// acquireDirectly asks the node's own accounts, beside its peers.
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

// TestStrongestNodeCoordinates: another asks it, is granted what it has and refused more,
// with the time to come back.
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

// TestSilentCoordinatorIsPassedOver: the node lives on its own share, and asks a coordinator that
// did not answer only once a second.
func TestSilentCoordinatorIsPassedOver(t *testing.T) {
	coordinator, asker := newQuotaNode(t, 900), newQuotaNode(t, 100)
	introduce(coordinator, asker)
	_ = coordinator.peers.conn.Close()
	tenant := tenantOf(t, asker)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	got := asker.quotas.Admit(ctx, tenant, 5000, 0)
	if got.Granted || got.DecidedBy != "alone" {
		t.Errorf("%+v of a node that just started and reaches no coordinator, want refused", got)
	}
	for range 2 * maxUnanswered {
		asker.quotas.Admit(context.Background(), tenant, 5000, 0)
	}
	if asked := asker.quotas.unanswered.Load(); asked != maxUnanswered {
		t.Errorf("%d questions without an answer: a silent coordinator was asked again at once", asked)
	}
}

// TestAskedNodeSendsOnToTheCoordinator: a node that hears one before it does not give.
func TestAskedNodeSendsOnToTheCoordinator(t *testing.T) {
	coordinator, second, asker := newQuotaNode(t, 900), newQuotaNode(t, 500), newQuotaNode(t, 100)
	introduce(coordinator, second)
	introduce(second, asker)
	got := asker.quotas.Admit(context.Background(), tenantOf(t, asker), 700, 0)
	if !got.Granted {
		t.Errorf("%+v", got)
	}
	tenant := tenantOf(t, coordinator)
	if level := acquireDirectly(coordinator, clock.Now(), tenant, 1e9).Remaining; level > 700 {
		t.Errorf("the coordinator has %.0f left: it was not asked", level)
	}
}

// TestRequestWaitsForItsQuota: one that will be granted in a moment is not sent away.
func TestRequestWaitsForItsQuota(t *testing.T) {
	coordinator, asker := newQuotaNode(t, 900), newQuotaNode(t, 100)
	introduce(coordinator, asker)
	tenant := tenantOf(t, asker)
	for acquireDirectly(coordinator, clock.Now(), tenant, 700).Granted {
		t.Log("the coordinator begins with a little")
	}
	if got := asker.quotas.Admit(context.Background(), tenant, 1500, 0); !got.Granted {
		t.Errorf("%+v for a request that is within the quota in 0.2 s", got)
	}
}
