package quota

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// majorityReach is what a coordinator gives that hears from half of the nodes or more: those
// that are silent may be dead, and their callers come to the others. Two halves of a
// fleet that are cut from each other give 2 x 0.55 of the quota then, which the
// tolerance bears. A coordinator that hears from fewer gives their part.
const majorityReach = 0.55

// longestPause is the time after which a coordinator that was not observed takes it that it
// stood still, and that another gave meanwhile.
const longestPause = time.Second

// Coordinator grants requests of tenants on behalf of all nodes.
type Coordinator struct {
	tolerance Tolerance
	accounts  map[string]*account
	observed  time.Time
	// newcomer is the level that buckets begin with; only tests change it.
	newcomer float64
}

// Decision is a coordinator's answer.
type Decision struct {
	Granted bool
	// Remaining is what the tenant had left before this request.
	Remaining float64
	// RetryAfter is when the request should come back, behind those refused before it.
	RetryAfter time.Duration
}

// NewCoordinator returns a coordinator that knows nothing of the past.
func NewCoordinator(tolerance Tolerance) *Coordinator {
	return &Coordinator{tolerance: tolerance, accounts: make(map[string]*account), newcomer: newcomerShare * tolerance.Slack}
}

// Acquire draws cost from what the tenant may use, or nothing. Reach is the part
// of all nodes that this one hears from; requests of a priority other than 0, the
// highest, leave some for the more urgent ones.
func (g *Coordinator) Acquire(now time.Time, tenant string, quota routetable.Quota, reach, cost float64, priority int) Decision {
	now = g.notBefore(now)
	known, allowance := g.filled(now, tenant, quota, reach)
	verdict := Decision{Remaining: known.left(now, allowance)}
	// One that is larger than the bucket ever is was never within the quota.
	missing := known.needed(allowance, cost, reach, priority) - verdict.Remaining
	if missing > 0 || cost > allowance.burst {
		verdict.RetryAfter = known.refuse(now, allowance, missing, cost)
		return verdict
	}
	known.use(now, allowance, cost)
	verdict.Granted = true
	return verdict
}

// MinReach is the part of the nodes that a coordinator has to hear from. On an island that
// is smaller each node lives on its share alone: what such a coordinator may give at once is
// less than one request.
const MinReach = 0.25

// almostAll is the part of the nodes from which a coordinator takes it that no other gives.
const almostAll = 0.9

// reserve is what requests of a priority leave of what a tenant has.
func reserve(allowed allowance, priority int) float64 {
	return min(mostReserved, reservedShare*float64(priority)) * allowed.burst
}

const (
	// reservedShare of the burst, for each step of priority, is left for the requests
	// of the same tenant that are more urgent, mostReserved of it at the most.
	reservedShare = 0.15
	mostReserved  = 0.45
)

// RecordUse takes that a node used cost of its own share; a cost below 0 is given back.
func (g *Coordinator) RecordUse(now time.Time, tenant string, quota routetable.Quota, reach, cost float64) {
	now = g.notBefore(now)
	known, allowance := g.filled(now, tenant, quota, reach)
	known.use(now, allowance, cost)
	known.note(now, allowance)
}

// Refund returns a grant of one that was not used, where this coordinator granted as much within the
// window: what another one granted before it is not given once more.
func (g *Coordinator) Refund(now time.Time, tenant string, quota routetable.Quota, reach float64) {
	now = g.notBefore(now)
	known, allowance := g.filled(now, tenant, quota, reach)
	if known.used(now, allowance) >= 1 {
		known.use(now, allowance, -1)
	}
}

// OpenAccount opens the account of a tenant that has not asked yet: it begins low, and is to
// be full when the tenant comes.
func (g *Coordinator) OpenAccount(now time.Time, tenant string, quota routetable.Quota, reach float64) {
	g.filled(g.notBefore(now), tenant, quota, reach)
}

// notBefore is the time, or the latest that was told here: who waited for its turn, or was frozen
// as it did, comes with an earlier one. Accounts know no time before they were opened, and a time
// that goes back and on again looks like a pause.
func (g *Coordinator) notBefore(now time.Time) time.Time {
	if now.Before(g.observed) {
		return g.observed
	}
	return now
}

// Observe is called several times a second: a coordinator that stood still longer forgets
// what it gave, as another has given meanwhile.
func (g *Coordinator) Observe(now time.Time) {
	now = g.notBefore(now)
	if now.Sub(g.observed) > longestPause {
		g.Forget()
	}
	g.observed = now
}

// part is the part of the quota that a coordinator gives which hears from so many.
func part(reach float64) float64 {
	if reach >= 0.5 {
		return min(1, max(majorityReach, reach))
	}
	return max(0, reach)
}

func (g *Coordinator) filled(now time.Time, tenant string, quota routetable.Quota, reach float64) (*account, allowance) {
	g.Observe(now)
	allowed := g.tolerance.allowance(quota, part(reach))
	known, ok := g.accounts[tenant]
	if !ok {
		known = newAccount(now, min(allowed.burst, g.newcomer))
		g.accounts[tenant] = known
	}
	known.fill(now, allowed)
	known.note(now, allowed)
	return known, allowed
}

// Forget drops what was given: another node has given meanwhile.
func (g *Coordinator) Forget() { clear(g.accounts) }

// Prune drops the accounts of tenants that keep reports as gone.
func (g *Coordinator) Prune(keep func(tenant string) bool) {
	for tenant := range g.accounts {
		if !keep(tenant) {
			delete(g.accounts, tenant)
		}
	}
}
