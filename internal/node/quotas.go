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
	// quotaWindow is the window over which a tenant's sum is bounded.
	quotaWindow = 8 * time.Second
	// quotaOverage is by how much that sum may pass the quota through failures.
	quotaOverage = 0.1
	// quotaCallTimeout bounds one question: a few ways between zones.
	quotaCallTimeout = 100 * time.Millisecond
	// quotaGivesAfter is how long a node listens after its start before it gives: by
	// then it knows who goes before it. Where all nodes start at once each would give.
	quotaGivesAfter = time.Second
	// useInterval is the time between two reports of what was used without asking.
	useInterval = 100 * time.Millisecond
	// admitPatience is how long a request waits for its quota: its caller would come back
	// for it no sooner.
	admitPatience = 700 * time.Millisecond
	// keepInterval is the time between two looks at which tenants there are: the accounts
	// of those that have not asked yet are to be full when they come.
	keepInterval = time.Second
	// unknownRetry is told where nobody could say what a tenant has left.
	unknownRetry = time.Second
)

// QuotasDependencies are what the shell of quotas works with.
type QuotasDependencies struct {
	Self   fleet.Member
	Views  *views.Views
	Peers  *peer.Pool
	Logger *log.Logger
}

// Quotas keeps tenants below their quotas over all nodes: what the node's share of a
// quota holds is granted at once and told afterwards, for the rest the first judge that
// answers is asked. It is safe for concurrent use.
type Quotas struct {
	dependencies QuotasDependencies
	started      time.Time
	lifetime     context.Context
	end          context.CancelFunc
	reports      sync.WaitGroup

	mutex       sync.Mutex
	coordinator *quota.Coordinator
	share       *quota.Share
	fleet       quota.FleetSize
	limits      backendLimits
	// used is what was granted without asking and is still to be told, by tenant.
	used map[string]float64
}

var _ gateway.Quotas = (*Quotas)(nil)

// StartQuotas starts the reports; Stop ends them.
func StartQuotas(dependencies QuotasDependencies) *Quotas {
	lifetime, end := context.WithCancel(context.Background())
	tolerance := quota.Tolerance{Window: quotaWindow, Overage: quotaOverage}
	started := &Quotas{
		dependencies: dependencies,
		started:      time.Now(),
		lifetime:     lifetime,
		end:          end,
		coordinator:  quota.NewCoordinator(tolerance),
		share:        quota.NewShare(tolerance, false),
		limits:       newBackendLimits(dependencies.Self),
		used:         make(map[string]float64),
	}
	started.reports.Go(started.reportUntilStopped)
	return started
}

// Stop ends the reports.
func (q *Quotas) Stop() {
	q.end()
	q.reports.Wait()
}

// Admit implements gateway.Quotas. A request that is to be granted within admitPatience
// is kept until then.
func (q *Quotas) Admit(ctx context.Context, tenant routetable.Tenant, cost float64) gateway.QuotaVerdict {
	until := time.Now().Add(admitPatience)
	for {
		verdict := q.admitNow(ctx, tenant, cost)
		if verdict.Granted || verdict.IsUnknown || time.Now().Add(verdict.RetryIn).After(until) {
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

// admitNow asks once.
func (q *Quotas) admitNow(ctx context.Context, tenant routetable.Tenant, cost float64) gateway.QuotaVerdict {
	if q.takeShare(tenant, cost) {
		return gateway.QuotaVerdict{Granted: true}
	}
	for _, judge := range judges(q.dependencies.Self, q.dependencies.Views) {
		if answer := q.ask(ctx, judge, tenant.Name, cost); answer != nil && !answer.GetDeclined() {
			return q.answered(tenant, cost, answer)
		}
	}
	return q.admitAlone(tenant, cost)
}

// takeShare grants what the node's share holds.
func (q *Quotas) takeShare(tenant routetable.Tenant, cost float64) bool {
	now := time.Now()
	nodes, _ := q.fleetSize(now)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.share.Take(now, tenant.Name, tenant.Quota, nodes, cost) {
		return false
	}
	q.used[tenant.Name] += cost
	return true
}

func (q *Quotas) ask(ctx context.Context, judge fleet.Member, tenant string, cost float64) *peerpb.QuotaAnswer {
	return q.askQuestion(ctx, judge, &peerpb.QuotaQuestion{Tenant: tenant, Cost: cost})
}

func (q *Quotas) askQuestion(ctx context.Context, judge fleet.Member, question *peerpb.QuotaQuestion) *peerpb.QuotaAnswer {
	if judge.Name == q.dependencies.Self.Name {
		return q.decide(question)
	}
	call, cancel := context.WithTimeout(ctx, quotaCallTimeout)
	defer cancel()
	answer, err := q.dependencies.Peers.To(judge.Addresses.Peer).Quotas.Ask(call, question)
	if err != nil {
		return nil
	}
	return answer
}

// answered takes a judge's answer. What it grants lies on the share, too: a node that
// then loses its judge does not grant as much once more.
func (q *Quotas) answered(tenant routetable.Tenant, cost float64, answer *peerpb.QuotaAnswer) gateway.QuotaVerdict {
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

// admitAlone decides where no judge answers.
func (q *Quotas) admitAlone(tenant routetable.Tenant, cost float64) gateway.QuotaVerdict {
	now := time.Now()
	nodes, _ := q.fleetSize(now)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if !q.share.TakeWithoutCoordinator(now, tenant.Name, tenant.Quota, nodes, cost) {
		return gateway.QuotaVerdict{IsUnknown: true, RetryIn: unknownRetry}
	}
	q.used[tenant.Name] += cost
	return gateway.QuotaVerdict{Granted: true}
}

// GiveBack implements gateway.Quotas.
func (q *Quotas) GiveBack(tenant routetable.Tenant, cost float64) {
	now := time.Now()
	nodes, _ := q.fleetSize(now)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.share.RecordGrant(now, tenant.Name, tenant.Quota, nodes, -cost)
	q.used[tenant.Name] -= cost
}

// fleetSize is the number of nodes that quotas are shared by, and the part of it that
// this node hears from: all listed nodes of each zone that it knows a usable member of.
func (q *Quotas) fleetSize(now time.Time) (nodes int, reach float64) {
	self := q.dependencies.Self
	heard := map[fleet.Zone]int{self.Zone: 1}
	for _, member := range usablePeers(self, q.dependencies.Views) {
		heard[member.Zone]++
	}
	machines, _ := q.dependencies.Views.Machines.Get()
	listed, listedIn := 0, make(map[fleet.Zone]int)
	for _, machine := range machines.Machines {
		if machine.Role == roleNode && machine.State == objectstore.MachineLive {
			listed++
			listedIn[machine.Zone]++
		}
	}
	fresh := 0
	for zone, count := range heard {
		if zone != self.Zone {
			// Of other zones delegates alone are known.
			count = max(count, listedIn[zone])
		}
		fresh += count
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.fleet.Observe(now, listed, fresh)
}

// roleNode is the role of nodes on the machine list.
const roleNode = "node"

// decide answers a question as the coordinator.
func (q *Quotas) decide(question *peerpb.QuotaQuestion) *peerpb.QuotaAnswer {
	now := time.Now()
	if question.GetBackend() != "" {
		return q.decideBackend(now, question)
	}
	tenant, reach, ok := q.mayGive(now, question.GetTenant())
	if !ok {
		return &peerpb.QuotaAnswer{Declined: true}
	}
	q.mutex.Lock()
	defer q.mutex.Unlock()
	verdict := q.coordinator.Acquire(now, tenant.Name, tenant.Quota, reach, question.GetCost(), 0)
	return &peerpb.QuotaAnswer{Granted: verdict.Granted, RetryMillis: verdict.RetryAfter.Milliseconds()}
}

// mayCoordinate reports whether this node may grant now: it has listened, and hears from enough of
// the fleet.
func (q *Quotas) mayCoordinate(now time.Time) (reach float64, ok bool) {
	_, reach = q.fleetSize(now)
	return reach, now.Sub(q.started) >= quotaGivesAfter && reach >= quota.MinReach
}

// mayGive reports whether this node may keep a tenant's quota now, and knows the tenant.
func (q *Quotas) mayGive(now time.Time, name string) (tenant routetable.Tenant, reach float64, ok bool) {
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
	ticker := time.NewTicker(useInterval)
	defer ticker.Stop()
	var kept time.Time
	for {
		select {
		case <-q.lifetime.Done():
			return
		case now := <-ticker.C:
			if now.Sub(kept) >= keepInterval {
				kept = now
				q.keep()
			}
			q.observe()
			q.report()
		}
	}
}

// observe tells the coordinator that the process goes on.
func (q *Quotas) observe() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := time.Now()
	q.coordinator.Observe(now)
	q.limits.coordinator.Observe(now)
}

// keep opens the accounts of all tenants at a node that may be asked for them, and closes
// those of tenants that are gone.
func (q *Quotas) keep() {
	snapshot, found := q.dependencies.Views.Catalog.Get()
	if !found {
		return
	}
	now := time.Now()
	_, reach := q.fleetSize(now)
	self := q.dependencies.Self
	isJudge := slices.ContainsFunc(judges(self, q.dependencies.Views), func(judge fleet.Member) bool { return judge.Name == self.Name })
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, tenant := range snapshot.Tenants() {
		if isJudge && tenant.Quota.IsLimited() {
			q.coordinator.OpenAccount(now, tenant.Name, tenant.Quota, reach)
		}
	}
	isDeclared := func(name string) bool {
		_, declared := snapshot.Tenant(name)
		return declared
	}
	q.coordinator.Prune(isDeclared)
	q.share.Prune(isDeclared)
	if isJudge {
		q.pruneLimits(now)
	} else {
		q.limits.coordinator.Forget()
	}
}

// report tells the first judge that takes it what was used without asking.
func (q *Quotas) report() {
	q.mutex.Lock()
	used := q.used
	q.used = make(map[string]float64, len(used))
	q.mutex.Unlock()
	if len(used) == 0 {
		return
	}
	uses := &peerpb.QuotaUses{}
	for tenant, cost := range used {
		uses.Uses = append(uses.Uses, &peerpb.QuotaUse{Tenant: tenant, Cost: cost})
	}
	for _, judge := range judges(q.dependencies.Self, q.dependencies.Views) {
		if judge.Name == q.dependencies.Self.Name {
			if q.takeUses(uses) {
				return
			}
			continue
		}
		call, cancel := context.WithTimeout(q.lifetime, quotaCallTimeout)
		taken, err := q.dependencies.Peers.To(judge.Addresses.Peer).Quotas.Use(call, uses)
		cancel()
		if err == nil && !taken.GetDeclined() {
			return
		}
	}
}

// takeUses counts what others used; it returns false where this node does not keep quotas.
func (q *Quotas) takeUses(uses *peerpb.QuotaUses) bool {
	now := time.Now()
	for _, use := range uses.GetUses() {
		tenant, reach, ok := q.mayGive(now, use.GetTenant())
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

// quotasServer serves the peers' calls.
type quotasServer struct{ quotas *Quotas }

// Ask implements peerpb.Quotas.
func (s quotasServer) Ask(_ context.Context, question *peerpb.QuotaQuestion) (*peerpb.QuotaAnswer, error) {
	return s.quotas.decide(question), nil
}

// Use implements peerpb.Quotas.
func (s quotasServer) Use(_ context.Context, uses *peerpb.QuotaUses) (*peerpb.QuotaUsesTaken, error) {
	return &peerpb.QuotaUsesTaken{Declined: !s.quotas.takeUses(uses)}, nil
}
