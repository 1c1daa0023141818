package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/gateway"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/quota"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/views"
)

const (
	// quotaWindow is the window over which a tenant's total use is bounded.
	quotaWindow = 8 * time.Second
	// quotaOverage is the fraction by which failures may let that total exceed the quota.
	quotaOverage = 0.1
	// quotaCallTimeout bounds one call to a coordinator: it leaves room for a few crossings
	// between zones.
	quotaCallTimeout = 100 * time.Millisecond
	// quotaGrantStartDelay is how long after its start a node grants nothing, until it has
	// learned which members come before it as coordinators. Without the delay, each of
	// several nodes that start together would act as a coordinator.
	quotaGrantStartDelay = time.Second
	// useReportInterval is the time between two reports of what was granted without asking.
	useReportInterval = 100 * time.Millisecond
	// maxQuotaWait is how long a request is held until its quota allows it. A refused caller
	// would not retry any sooner.
	maxQuotaWait = 700 * time.Millisecond
	// accountRefreshInterval is the time between two comparisons of the accounts with the
	// declared tenants. Accounts are opened ahead of a tenant's first request, so that they
	// are full by then.
	accountRefreshInterval = time.Second
	// noCoordinatorRetry is the retry delay when no coordinator could say what a tenant has
	// left.
	noCoordinatorRetry = time.Second
)

// QuotasDependencies is what the quotas shell needs.
type QuotasDependencies struct {
	Self   fleet.Member
	Views  *views.Views
	Peers  *peer.Pool
	Logger *log.Logger
}

// Quotas enforces tenants' quotas over all nodes together. A request that the node's share
// of a quota covers is granted at once and reported afterwards; for any other, the first
// coordinator that answers decides. It is safe for concurrent use.
type Quotas struct {
	dependencies QuotasDependencies
	started      time.Time
	lifetime     context.Context
	cancel       context.CancelFunc
	background   sync.WaitGroup

	mutex       sync.Mutex
	coordinator *quota.Coordinator
	share       *quota.Share
	fleet       quota.FleetSize
	limits      backendLimits
	// unreportedUse is, by tenant, what was granted without asking and not yet reported.
	unreportedUse map[string]float64
}

var _ gateway.Quotas = (*Quotas)(nil)

// StartQuotas starts the background reports; Stop ends them.
func StartQuotas(dependencies QuotasDependencies) *Quotas {
	lifetime, cancel := context.WithCancel(context.Background())
	tolerance := quota.Tolerance{Window: quotaWindow, Overage: quotaOverage}
	started := &Quotas{
		dependencies:  dependencies,
		started:       time.Now(),
		lifetime:      lifetime,
		cancel:        cancel,
		coordinator:   quota.NewCoordinator(tolerance),
		share:         quota.NewShare(tolerance, false),
		limits:        newBackendLimits(dependencies.Self),
		unreportedUse: make(map[string]float64),
	}
	started.background.Go(started.reportUntilStopped)
	return started
}

// Stop ends the reports.
func (q *Quotas) Stop() {
	q.cancel()
	q.background.Wait()
}

// Admit implements gateway.Quotas. A request that can be granted within maxQuotaWait is held
// until then.
func (q *Quotas) Admit(ctx context.Context, tenant routetable.Tenant, cost float64) gateway.QuotaVerdict {
	deadline := time.Now().Add(maxQuotaWait)
	for {
		verdict := q.tryAdmit(ctx, tenant, cost)
		if verdict.Granted || verdict.IsUnknown || time.Now().Add(verdict.RetryIn).After(deadline) {
			return verdict
		}
		timer := time.NewTimer(verdict.RetryIn)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return verdict
		}
	}
}

// tryAdmit makes one attempt to admit a request.
func (q *Quotas) tryAdmit(ctx context.Context, tenant routetable.Tenant, cost float64) gateway.QuotaVerdict {
	if q.takeFromShare(tenant, cost) {
		return gateway.QuotaVerdict{Granted: true}
	}
	for _, coordinator := range coordinators(q.dependencies.Self, q.dependencies.Views) {
		if answer := q.askTenantQuota(ctx, coordinator, tenant.Name, cost); answer != nil && !answer.GetDeclined() {
			return q.acceptAnswer(tenant, cost, answer)
		}
	}
	return q.admitWithoutCoordinator(tenant, cost)
}

// takeFromShare grants the cost if the node's share covers it.
func (q *Quotas) takeFromShare(tenant routetable.Tenant, cost float64) bool {
	now := time.Now()
	nodes, _ := q.fleetSize(now)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.share.Take(now, tenant.Name, tenant.Quota, nodes, cost) {
		return false
	}
	q.unreportedUse[tenant.Name] += cost
	return true
}

func (q *Quotas) askTenantQuota(ctx context.Context, coordinator fleet.Member, tenant string, cost float64) *peerpb.QuotaAnswer {
	return q.sendQuestion(ctx, coordinator, &peerpb.QuotaQuestion{Tenant: tenant, Cost: cost})
}

func (q *Quotas) sendQuestion(ctx context.Context, coordinator fleet.Member, question *peerpb.QuotaQuestion) *peerpb.QuotaAnswer {
	if coordinator.Name == q.dependencies.Self.Name {
		return q.decide(question)
	}
	call, cancel := context.WithTimeout(ctx, quotaCallTimeout)
	defer cancel()
	answer, err := q.dependencies.Peers.To(coordinator.Addresses.Peer).Quotas.Ask(call, question)
	if err != nil {
		return nil
	}
	return answer
}

// acceptAnswer converts a coordinator's answer. A grant is recorded in the share too, so
// that a node that then loses its coordinator does not grant the same amount again.
func (q *Quotas) acceptAnswer(tenant routetable.Tenant, cost float64, answer *peerpb.QuotaAnswer) gateway.QuotaVerdict {
	verdict := gateway.QuotaVerdict{Granted: answer.GetGranted(), RetryIn: time.Duration(answer.GetRetryMillis()) * time.Millisecond}
	if !verdict.Granted {
		return verdict
	}
	now := time.Now()
	nodes, _ := q.fleetSize(now)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.share.RecordGrant(now, tenant.Name, tenant.Quota, nodes, cost)
	return verdict
}

// admitWithoutCoordinator decides from the node's share when no coordinator answers.
func (q *Quotas) admitWithoutCoordinator(tenant routetable.Tenant, cost float64) gateway.QuotaVerdict {
	now := time.Now()
	nodes, _ := q.fleetSize(now)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.share.TakeWithoutCoordinator(now, tenant.Name, tenant.Quota, nodes, cost) {
		return gateway.QuotaVerdict{IsUnknown: true, RetryIn: noCoordinatorRetry}
	}
	q.unreportedUse[tenant.Name] += cost
	return gateway.QuotaVerdict{Granted: true}
}

// GiveBack implements gateway.Quotas.
func (q *Quotas) GiveBack(tenant routetable.Tenant, cost float64) {
	now := time.Now()
	nodes, _ := q.fleetSize(now)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.share.RecordGrant(now, tenant.Name, tenant.Quota, nodes, -cost)
	q.unreportedUse[tenant.Name] -= cost
}

// fleetSize returns the number of nodes that share the quotas, and the fraction of them that
// this node can reach. In its own zone it counts the usable members that it knows; of
// another zone it counts all listed nodes if it knows a usable member there.
func (q *Quotas) fleetSize(now time.Time) (nodes int, reach float64) {
	self := q.dependencies.Self
	reachableByZone := map[fleet.Zone]int{self.Zone: 1}
	for _, member := range usablePeers(self, q.dependencies.Views) {
		reachableByZone[member.Zone]++
	}
	machines, _ := q.dependencies.Views.Machines.Get()
	listed, listedByZone := 0, make(map[fleet.Zone]int)
	for _, machine := range machines.Machines {
		if machine.Role == roleNode && machine.State == objectstore.MachineLive {
			listed++
			listedByZone[machine.Zone]++
		}
	}
	reachable := 0
	for zone, count := range reachableByZone {
		if zone != self.Zone {
			// Only the delegates of other zones are known.
			count = max(count, listedByZone[zone])
		}
		reachable += count
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.fleet.Observe(now, listed, reachable)
}

// roleNode is the role of nodes on the machine list.
const roleNode = "node"

// decide answers a request as the coordinator.
func (q *Quotas) decide(question *peerpb.QuotaQuestion) *peerpb.QuotaAnswer {
	now := time.Now()
	if question.GetBackend() != "" {
		return q.decideBackend(now, question)
	}
	tenant, reach, ok := q.mayGrantTenant(now, question.GetTenant())
	if !ok {
		return &peerpb.QuotaAnswer{Declined: true}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	verdict := q.coordinator.Acquire(now, tenant.Name, tenant.Quota, reach, question.GetCost(), 0)
	return &peerpb.QuotaAnswer{Granted: verdict.Granted, RetryMillis: verdict.RetryAfter.Milliseconds()}
}

// mayCoordinate reports whether this node may grant requests as a coordinator now:
// quotaGrantStartDelay has passed since its start, and it reaches enough of the fleet.
func (q *Quotas) mayCoordinate(now time.Time) (reach float64, ok bool) {
	_, reach = q.fleetSize(now)
	return reach, now.Sub(q.started) >= quotaGrantStartDelay && reach >= quota.MinReach
}

// mayGrantTenant reports whether this node may coordinate a tenant's quota now, and returns
// the tenant. It may not if the catalog does not contain the tenant.
func (q *Quotas) mayGrantTenant(now time.Time, name string) (tenant routetable.Tenant, reach float64, ok bool) {
	if reach, ok = q.mayCoordinate(now); !ok {
		return tenant, reach, false
	}
	snapshot, found := q.dependencies.Views.Catalog.Get()
	if !found {
		return tenant, reach, false
	}
	known, found := snapshot.Tenant(name)
	if !found {
		return tenant, reach, false
	}
	return *known, reach, true
}

func (q *Quotas) reportUntilStopped() {
	ticker := time.NewTicker(useReportInterval)
	defer ticker.Stop()
	var lastRefresh time.Time
	for {
		select {
		case <-q.lifetime.Done():
			return
		case now := <-ticker.C:
			if now.Sub(lastRefresh) >= accountRefreshInterval {
				lastRefresh = now
				q.refreshAccounts()
			}
			q.observe()
			q.reportUse()
		}
	}
}

// observe records that this process is running. A coordinator that was paused discards its
// accounts, as another may have granted requests in the meantime.
func (q *Quotas) observe() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	q.coordinator.Observe(now)
	q.limits.coordinator.Observe(now)
}

// refreshAccounts opens the accounts of all tenants with a quota if this node may be asked
// as a coordinator, and closes the accounts of tenants that are no longer declared.
func (q *Quotas) refreshAccounts() {
	snapshot, found := q.dependencies.Views.Catalog.Get()
	if !found {
		return
	}
	now := time.Now()
	_, reach := q.fleetSize(now)
	self := q.dependencies.Self
	isCoordinator := slices.ContainsFunc(coordinators(self, q.dependencies.Views), func(coordinator fleet.Member) bool { return coordinator.Name == self.Name })
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, tenant := range snapshot.Tenants() {
		if isCoordinator && tenant.Quota.IsLimited() {
			q.coordinator.OpenAccount(now, tenant.Name, tenant.Quota, reach)
		}
	}
	isDeclared := func(name string) bool {
		_, declared := snapshot.Tenant(name)
		return declared
	}
	q.coordinator.Prune(isDeclared)
	q.share.Prune(isDeclared)
	if isCoordinator {
		q.pruneLimits(now)
	} else {
		q.limits.coordinator.Forget()
	}
}

// reportUse reports what was granted without asking to the first coordinator that accepts
// the report. If none does, the report is dropped.
func (q *Quotas) reportUse() {
	q.mutex.Lock()
	used := q.unreportedUse
	q.unreportedUse = make(map[string]float64, len(used))
	q.mutex.Unlock()
	if len(used) == 0 {
		return
	}
	uses := &peerpb.QuotaUses{}
	for tenant, cost := range used {
		uses.Uses = append(uses.Uses, &peerpb.QuotaUse{Tenant: tenant, Cost: cost})
	}
	for _, coordinator := range coordinators(q.dependencies.Self, q.dependencies.Views) {
		if coordinator.Name == q.dependencies.Self.Name {
			if q.recordUses(uses) {
				return
			}
			continue
		}
		call, cancel := context.WithTimeout(q.lifetime, quotaCallTimeout)
		response, err := q.dependencies.Peers.To(coordinator.Addresses.Peer).Quotas.Use(call, uses)
		cancel()
		if err == nil && !response.GetDeclined() {
			return
		}
	}
}

// recordUses records the use that another node or this one reports. It returns false if this
// node may not coordinate.
func (q *Quotas) recordUses(uses *peerpb.QuotaUses) bool {
	now := time.Now()
	for _, use := range uses.GetUses() {
		tenant, reach, ok := q.mayGrantTenant(now, use.GetTenant())
		if !ok {
			return false
		}
		q.mutex.Lock()
		q.coordinator.RecordUse(now, tenant.Name, tenant.Quota, reach, use.GetCost())
		q.mutex.Unlock()
	}
	return true
}

// Server returns the handlers for the peers' calls.
func (q *Quotas) Server() peerpb.Quotas { return quotasServer{q} }

// quotasServer serves the peers' quota calls.
type quotasServer struct{ quotas *Quotas }

// Ask implements peerpb.Quotas.
func (s quotasServer) Ask(_ context.Context, question *peerpb.QuotaQuestion) (*peerpb.QuotaAnswer, error) {
	return s.quotas.decide(question), nil
}

// Use implements peerpb.Quotas.
func (s quotasServer) Use(_ context.Context, uses *peerpb.QuotaUses) (*peerpb.QuotaUsesTaken, error) {
	return &peerpb.QuotaUsesTaken{Declined: !s.quotas.recordUses(uses)}, nil
}
