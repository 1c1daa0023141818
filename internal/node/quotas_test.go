package node

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/views"
)

// The tenant's quota in the tests: 40 requests a second with a burst of 40.
const (
	testRate  = 40
	testBurst = 40
)

type quotasNode struct {
	*Quotas
	member fleet.Member
	views  *views.Views
	server *httptest.Server
}

type quotasFleet struct {
	t      *testing.T
	nodes  []*quotasNode
	tenant routetable.Tenant
}

// startQuotasFleet starts nodes named zone-number. Their quotaGrantStartDelay has passed.
func startQuotasFleet(t *testing.T, names ...string) *quotasFleet {
	t.Helper()
	object := objectstore.Object{Kind: string(spec.KindTenant), Name: "anna", Version: 1,
		Spec: fmt.Appendf(nil, `{"keys":[%q],"quota":{"requestsPerSecond":%d,"burst":%d}}`, strings.Repeat("00", 32), testRate, testBurst)}
	snapshot, problems := catalog.Compile(1, []objectstore.Object{object})
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	tenant, _ := snapshot.Tenant("anna")
	f := &quotasFleet{t: t, tenant: *tenant}
	var machines objectstore.MachineList
	for _, name := range names {
		zone, _, _ := strings.Cut(name, "-")
		server := httptest.NewUnstartedServer(nil)
		member := fleet.Member{Name: fleet.NodeName(name), Zone: fleet.Zone(zone), State: fleet.MemberAlive,
			Addresses: fleet.Addresses{Peer: server.Listener.Addr().String()}}
		node := &quotasNode{member: member, views: &views.Views{}, server: server}
		node.Quotas = StartQuotas(QuotasDependencies{Self: member, Views: node.views, Peers: peer.NewPool(),
			Logger: &log.Logger{Level: log.PanicLevel}})
		node.Quotas.started = time.Now().Add(-time.Minute)
		server.Config.Handler = peer.NewHandler(peer.Handlers{Quotas: node.Server()})
		server.Start()
		t.Cleanup(func() {
			server.Close()
			node.Stop()
		})
		f.nodes = append(f.nodes, node)
		machines.Machines = append(machines.Machines, objectstore.Machine{Role: roleNode, Name: name, Zone: fleet.Zone(zone), State: objectstore.MachineLive})
	}
	for _, node := range f.nodes {
		node.views.Machines.Set(machines)
		node.views.Catalog.Set(snapshot)
	}
	f.publishMembers(func(_, _ fleet.Member) bool { return true })
	return f
}

// publishMembers gives each node the member list of the nodes that it hears.
func (f *quotasFleet) publishMembers(hears func(node, other fleet.Member) bool) {
	for _, node := range f.nodes {
		var known []fleet.Member
		for _, other := range f.nodes {
			if hears(node.member, other.member) {
				known = append(known, other.member)
			}
		}
		slices.SortFunc(known, func(a, b fleet.Member) int { return membership.CompareDelegates(a.Name, b.Name) })
		node.views.Members.Set(known)
	}
}

// ask lets nodes ask as fast as they can for the given time and returns the number of
// grants.
func (f *quotasFleet) ask(length time.Duration, nodes ...*quotasNode) int {
	f.t.Helper()
	var mutex sync.Mutex
	var asking sync.WaitGroup
	granted := 0
	end := time.Now().Add(length)
	for _, node := range nodes {
		asking.Go(func() {
			for time.Now().Before(end) {
				if node.Admit(f.t.Context(), f.tenant, 1).Granted {
					mutex.Lock()
					granted++
					mutex.Unlock()
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	asking.Wait()
	return granted
}

const testDuration = 2 * time.Second

// maxGranted is the most that a quota may grant in the time asked: rate, burst and overage.
// The coordinator itself uses a fifth of the overage by design.
func maxGranted() int {
	return int((testRate*testDuration.Seconds() + testBurst) * (1 + quotaOverage))
}

func TestAllNodesTogetherKeepAQuota(t *testing.T) {
	f := startQuotasFleet(t, "a-0", "a-1", "b-0", "b-1", "c-0", "c-1")
	granted := f.ask(testDuration, f.nodes...)
	t.Logf("%d granted, %d at the most", granted, maxGranted())
	if granted > maxGranted() || granted < testRate {
		t.Errorf("%d granted in %s, the rate is %d a second, the burst %d", granted, testDuration, testRate, testBurst)
	}
}

// TestOneNodeMayUseTheWholeQuota guards against limiting a tenant whose callers all use one
// node to that node's share.
func TestOneNodeMayUseTheWholeQuota(t *testing.T) {
	f := startQuotasFleet(t, "a-0", "a-1", "b-0", "b-1", "c-0", "c-1")
	if granted := f.ask(testDuration, f.nodes[5]); granted > maxGranted() || granted < testRate {
		t.Errorf("%d granted in %s through one node", granted, testDuration)
	}
}

// TestQuotaHoldsWithoutItsFirstJudge checks that without the first coordinator the quota is
// neither exceeded nor unusable.
func TestQuotaHoldsWithoutItsFirstJudge(t *testing.T) {
	f := startQuotasFleet(t, "a-0", "a-1", "b-0", "b-1")
	first := coordinators(f.nodes[3].member, f.nodes[3].views)[0].Name
	var rest []*quotasNode
	for _, node := range f.nodes {
		if node.member.Name == first {
			node.server.Close()
			continue
		}
		rest = append(rest, node)
	}
	if granted := f.ask(testDuration, rest...); granted > maxGranted() || granted < testRate/2 {
		t.Errorf("%d granted in %s", granted, testDuration)
	}
}

// TestZonesCutFromEachOtherKeepAQuota checks that the zones of a partitioned fleet, each
// with a coordinator of its own, together keep the quota.
func TestZonesCutFromEachOtherKeepAQuota(t *testing.T) {
	f := startQuotasFleet(t, "a-0", "a-1", "b-0", "b-1")
	f.nodes[0].Admit(t.Context(), f.tenant, 1)
	f.publishMembers(func(node, other fleet.Member) bool { return node.Zone == other.Zone })
	if granted := f.ask(testDuration, f.nodes...); granted > maxGranted()*11/10 || granted < testRate/2 {
		t.Errorf("%d granted in %s, %d at the most", granted, testDuration, maxGranted()*11/10)
	}
}

// TestNodeAloneLivesOnItsShare checks that an isolated node grants its share only, and
// reports an unknown quota afterwards instead of an exhausted one.
func TestNodeAloneLivesOnItsShare(t *testing.T) {
	f := startQuotasFleet(t, "a-0", "b-0", "c-0", "d-0", "e-0", "g-0")
	f.publishMembers(func(node, other fleet.Member) bool { return node.Name == other.Name })
	granted := f.ask(testDuration, f.nodes[0])
	if granted > maxGranted()/6+2 {
		t.Errorf("%d granted by one isolated node of six", granted)
	}
	var verdict = f.nodes[0].Admit(t.Context(), f.tenant, 1)
	for range 20 {
		if verdict = f.nodes[0].Admit(t.Context(), f.tenant, 1); !verdict.Granted {
			break
		}
	}
	if verdict.Granted || !verdict.IsUnknown {
		t.Errorf("verdict %+v, want unknown", verdict)
	}
}

// TestYoungNodeDoesNotGive guards against grants by a node that has just started and does
// not know yet which members come before it as coordinators.
func TestYoungNodeDoesNotGive(t *testing.T) {
	f := startQuotasFleet(t, "a-0", "a-1")
	first := coordinators(f.nodes[0].member, f.nodes[0].views)[0].Name
	for _, node := range f.nodes {
		if node.member.Name == first {
			node.Quotas.started = time.Now()
			if answer := node.askTenantQuota(t.Context(), node.member, "anna", 1); !answer.GetDeclined() {
				t.Errorf("a node that just started answered %v, want declined", answer)
			}
		}
	}
}

// TestWithinTheQuotaNothingIsRefused sends a tenant's requests through all nodes in turn:
// first most of its burst at once, then three quarters of its rate, and the same again after
// an idle period. None may be refused.
func TestWithinTheQuotaNothingIsRefused(t *testing.T) {
	f := startQuotasFleet(t, "a-0", "a-1", "b-0", "c-0")
	time.Sleep(2 * time.Second)
	for round := range 2 {
		refused := 0
		for request := range testBurst + testRate {
			if !f.nodes[request%len(f.nodes)].Admit(t.Context(), f.tenant, 1).Granted {
				refused++
			}
			if request > testBurst*3/4 {
				time.Sleep(time.Second * 4 / 3 / testRate)
			}
		}
		if refused > 0 {
			t.Errorf("round %d: %d refused", round, refused)
		}
		time.Sleep(2 * time.Second)
	}
}
