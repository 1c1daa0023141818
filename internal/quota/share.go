package quota

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// aloneDebt is the part of the slack that a node which has just started owes before it
// may grant requests alone: where all nodes start at once, each would grant one.
const aloneDebt = 0.25

// longestDebt bounds how long a node pays back what it granted or was granted beyond
// its share.
const longestDebt = 20 * time.Second

// Share is one node's part of the tenants' quotas: the n-th of n nodes.
type Share struct {
	tolerance Tolerance
	buckets   map[string]*bucket
	// spare is kept beside them, for requests that are granted alone.
	spare map[string]*bucket
	// debt is the part of the slack that it begins with below nothing.
	debt float64
}

// NewShare returns the share of a node that has just started; isFirst is set where the
// whole fleet starts for the first time, so that nothing was granted before.
func NewShare(tolerance Tolerance, isFirst bool) *Share {
	share := &Share{tolerance: tolerance, buckets: make(map[string]*bucket), spare: make(map[string]*bucket)}
	if !isFirst {
		share.debt = aloneDebt
	}
	return share
}

// Take draws cost from the share, or from what is spare, where it holds as much. The
// coordinator is to be told.
func (s *Share) Take(now time.Time, tenant string, quota routetable.Quota, nodes int, cost float64) bool {
	known := s.filled(now, tenant, quota, nodes)
	if known.level >= cost {
		known.level -= cost
		return true
	}
	spare := s.filledSpare(now, tenant, nodes)
	if spare.level < cost {
		return false
	}
	spare.level -= cost
	return true
}

// TakeWithoutCoordinator grants a request that Take did not, though no coordinator can be asked, where the
// share is not overdrawn yet: it may be far larger than what a node's share ever holds.
func (s *Share) TakeWithoutCoordinator(now time.Time, tenant string, quota routetable.Quota, nodes int, cost float64) bool {
	known := s.filled(now, tenant, quota, nodes)
	if known.level < 0 {
		return false
	}
	known.level -= cost
	return true
}

// RecordGrant takes that the coordinator granted a request of this node: it lives on the share,
// too, so that a node which then loses its coordinator does not grant as much once more. A
// cost below 0 is given back.
func (s *Share) RecordGrant(now time.Time, tenant string, quota routetable.Quota, nodes int, cost float64) {
	known := s.filled(now, tenant, quota, nodes)
	debt := quota.PerSecond / float64(max(1, nodes)) * longestDebt.Seconds()
	known.level = max(min(known.level, -debt), known.level-cost)
}

// Level is the share's level, below 0 where it is overdrawn.
func (s *Share) Level(now time.Time, tenant string, quota routetable.Quota, nodes int) float64 {
	return s.filled(now, tenant, quota, nodes).level
}

func (s *Share) filled(now time.Time, tenant string, quota routetable.Quota, nodes int) *bucket {
	known, ok := s.buckets[tenant]
	if !ok {
		known = &bucket{level: -s.debt * s.tolerance.Slack, at: now}
		s.buckets[tenant] = known
	}
	part := 1 / float64(max(1, nodes))
	known.fill(now, quota.PerSecond*part, quota.Burst*part)
	return known
}

func (s *Share) filledSpare(now time.Time, tenant string, nodes int) *bucket {
	spare, ok := s.spare[tenant]
	if !ok {
		spare = &bucket{at: now}
		s.spare[tenant] = spare
	}
	part := spareShare * s.tolerance.Slack / float64(max(1, nodes))
	spare.fill(now, part/max(1, s.tolerance.Window.Seconds()), part)
	return spare
}

// Prune drops the buckets of tenants that keep reports as gone.
func (s *Share) Prune(keep func(tenant string) bool) {
	for tenant := range s.buckets {
		if !keep(tenant) {
			delete(s.buckets, tenant)
			delete(s.spare, tenant)
		}
	}
}
