package quota

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// initialDebtShare is the share of the slack by which the buckets of a node that has just started
// are negative. Without this debt each node would grant a request of its own when all start at once.
const initialDebtShare = 0.25

// maxDebtDuration limits how long a node takes to pay back what it granted, or was granted,
// beyond its share.
const maxDebtDuration = 20 * time.Second

// Share is one node's share of the tenants' quotas: one n-th of each quota in a fleet of n nodes.
type Share struct {
	tolerance Tolerance
	buckets   map[string]*bucket
	// spareBuckets are separate from buckets, for requests that exceed the node's share.
	spareBuckets map[string]*bucket
	// initialDebt is the share of the slack by which new buckets are negative.
	initialDebt float64
}

// NewShare returns the share of a node that has just started. isFirst is set if the whole
// fleet starts for the first time, so that nothing was granted before.
func NewShare(tolerance Tolerance, isFirst bool) *Share {
	share := &Share{tolerance: tolerance, buckets: make(map[string]*bucket), spareBuckets: make(map[string]*bucket)}
	if !isFirst {
		share.initialDebt = initialDebtShare
	}
	return share
}

// Take deducts cost from the tenant's share, or else from its spare bucket, and reports
// whether one of them held as much. The caller must report the use to the coordinator.
func (s *Share) Take(now time.Time, tenant string, quota routetable.Quota, nodes int, cost float64) bool {
	tenantBucket := s.refilledBucket(now, tenant, quota, nodes)
	if tenantBucket.level >= cost {
		tenantBucket.level -= cost
		return true
	}
	spare := s.refilledSpareBucket(now, tenant, nodes)
	if spare.level < cost {
		return false
	}
	spare.level -= cost
	return true
}

// TakeWithoutCoordinator grants a request that Take refused while no coordinator can be asked, if
// the share is not overdrawn yet: its cost may be far more than a node's share ever holds.
func (s *Share) TakeWithoutCoordinator(now time.Time, tenant string, quota routetable.Quota, nodes int, cost float64) bool {
	tenantBucket := s.refilledBucket(now, tenant, quota, nodes)
	if tenantBucket.level < 0 {
		return false
	}
	tenantBucket.level -= cost
	return true
}

// RecordGrant deducts a request that the coordinator granted from the share as well, so that a
// node that then loses its coordinator does not grant as much again. A negative cost is a
// refund.
func (s *Share) RecordGrant(now time.Time, tenant string, quota routetable.Quota, nodes int, cost float64) {
	tenantBucket := s.refilledBucket(now, tenant, quota, nodes)
	maxDebt := quota.PerSecond / float64(max(1, nodes)) * maxDebtDuration.Seconds()
	tenantBucket.level = max(min(tenantBucket.level, -maxDebt), tenantBucket.level-cost)
}

// Level returns the share's level, which is negative if it is overdrawn.
func (s *Share) Level(now time.Time, tenant string, quota routetable.Quota, nodes int) float64 {
	return s.refilledBucket(now, tenant, quota, nodes).level
}

func (s *Share) refilledBucket(now time.Time, tenant string, quota routetable.Quota, nodes int) *bucket {
	tenantBucket, ok := s.buckets[tenant]
	if !ok {
		tenantBucket = &bucket{level: -s.initialDebt * s.tolerance.Slack, updatedAt: now}
		s.buckets[tenant] = tenantBucket
	}
	fraction := 1 / float64(max(1, nodes))
	tenantBucket.refill(now, quota.PerSecond*fraction, quota.Burst*fraction)
	return tenantBucket
}

func (s *Share) refilledSpareBucket(now time.Time, tenant string, nodes int) *bucket {
	spare, ok := s.spareBuckets[tenant]
	if !ok {
		spare = &bucket{updatedAt: now}
		s.spareBuckets[tenant] = spare
	}
	capacity := spareShare * s.tolerance.Slack / float64(max(1, nodes))
	spare.refill(now, capacity/max(1, s.tolerance.Window.Seconds()), capacity)
	return spare
}

// Prune drops the buckets of tenants for which keep returns false.
func (s *Share) Prune(keep func(tenant string) bool) {
	for tenant := range s.buckets {
		if !keep(tenant) {
			delete(s.buckets, tenant)
			delete(s.spareBuckets, tenant)
		}
	}
}
