package placement

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// storeQuota is the zone's share of the weight store. The zones divide the store's rate
// by the loads waiting in each, and its concurrency by the loads running in each. The
// store enforces its limits itself; loads wait here instead of in its queue so that a
// more urgent load can still overtake them.
type storeQuota struct {
	others StoreUsage
	// tokens is the number of loads that may start now.
	tokens     float64
	refilledAt time.Time
	// waiting and additional count the loads that the last plan delayed: those of
	// models without a replica, and others.
	waiting, additional int
}

func (s *storeQuota) countWaiting(demand demand) {
	if demand.additional || demand.preload {
		s.additional++
		return
	}
	s.waiting++
}

// storeRate returns the zone's share of the weight store's rate, in loads per second.
// The rate is divided in proportion to the waiting loads of models without a replica;
// a zone that waits only for additional replicas gets an equal share of the rest. A zone
// whose use is not known is assumed to take an equal share.
func (c *Core) storeRate() float64 {
	equalShare := c.settings.StoreLoadsPerSecond / float64(c.zones)
	waiting, others := c.store.waiting, c.store.others.Waiting
	if waiting == 0 && c.store.additional > 0 {
		return equalShare / float64(1+others)
	}
	waiting = max(1, waiting)
	knownZones := max(1, c.zones-c.store.others.UnknownZones)
	return equalShare * float64(knownZones) * float64(waiting) / float64(waiting+others)
}

// refillTokens adds tokens at the zone's share of the weight store's rate. At most one
// load and the tokens of one plan interval are saved up: a larger burst after a pause
// would only queue at the store, which serves loads in order of arrival.
func (c *Core) refillTokens(now time.Time) {
	rate := c.storeRate()
	if !c.store.refilledAt.IsZero() {
		c.store.tokens += rate * now.Sub(c.store.refilledAt).Seconds()
	}
	c.store.refilledAt = now
	c.store.tokens = min(c.store.tokens, 1+rate*planInterval.Seconds())
}

// takeToken reports whether one more load from the weight store may start now, and consumes a
// token if so.
func (c *Core) takeToken() bool {
	if c.store.tokens < 1 || c.remoteLoads() >= c.storeSlots() {
		return false
	}
	c.store.tokens--
	return true
}

// nextStoreLoad returns when the rate allows the next waiting load; zero if none waits or it may
// start now.
func (c *Core) nextStoreLoad() time.Time {
	rate := c.storeRate()
	if c.store.waiting+c.store.additional == 0 || rate <= 0 || c.store.tokens >= 1 {
		return time.Time{}
	}
	return c.store.refilledAt.Add(time.Duration((1 - c.store.tokens) / rate * float64(time.Second)))
}

// storeSlots returns the number of concurrent loads that the zone may have: what the
// other zones leave, and at least an equal share, whose remainder goes to the first zones.
func (c *Core) storeSlots() int {
	equalShare := c.settings.StoreConcurrency / c.zones
	remaining := c.settings.StoreConcurrency - c.store.others.Loading - c.store.others.UnknownZones*max(1, equalShare)
	if c.zoneIndex < c.settings.StoreConcurrency%c.zones {
		equalShare++
	}
	return max(1, equalShare, remaining)
}

// WaitingLoads returns the number of loads of models without a replica that wait for
// the weight store.
func (c *Core) WaitingLoads() int {
	if !c.roundActive {
		return 0
	}
	return c.store.waiting
}

func (c *Core) remoteLoads() int {
	loads := 0
	for name, held := range c.engines {
		for _, loaded := range held.state.Models {
			if loaded.State == fleet.LoadLoading && held.tier(loaded.Model) == fleet.TierRemote {
				loads++
			}
		}
		for _, order := range c.orders {
			if order.engine == name && order.Action == backend.ActionLoad &&
				held.state.Find(order.Model) == nil && held.tier(order.Model) == fleet.TierRemote {
				loads++
			}
		}
	}
	return loads
}
