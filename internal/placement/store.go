package placement

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// storeShare is what the zone may take of the weight store. The zones divide
// its rate by what waits in each, and its concurrency by what runs. The store
// keeps its limits itself; a load that has to wait waits here, where it can
// still be put behind one that is more urgent.
type storeShare struct {
	others StoreUsage
	// tokens are the loads that may begin now.
	tokens float64
	asOf   time.Time
	// waiting and further count the loads that the last plan held back: those of
	// models that nobody serves, and others.
	waiting, further int
}

func (s *storeShare) hold(demand demand) {
	if demand.further || demand.preload {
		s.further++
		return
	}
	s.waiting++
}

// storeRate is the zone's part of the weight store's rate, in loads a second:
// its part of the models that nobody serves yet, where some wait here, else its
// equal part of what those elsewhere leave. A zone that is not heard has the
// part that would be its own if all were alike.
func (c *Core) storeRate() float64 {
	equal := c.settings.StoreLoadsPerSecond / float64(c.zones)
	own, others := c.store.waiting, c.store.others.Waiting
	if own == 0 && c.store.further > 0 {
		return equal / float64(1+others)
	}
	own = max(1, own)
	heard := max(1, c.zones-c.store.others.UnknownZones)
	return equal * float64(heard) * float64(own) / float64(own+others)
}

// refillTokens adds the zone's part of the weight store's rate. No more is kept
// than one load and what comes until the next plan: a burst after a pause would
// only queue at the store, in the order of its coming.
func (c *Core) refillTokens(now time.Time) {
	rate := c.storeRate()
	if !c.store.asOf.IsZero() {
		c.store.tokens += rate * now.Sub(c.store.asOf).Seconds()
	}
	c.store.asOf = now
	c.store.tokens = min(c.store.tokens, 1+rate*planInterval.Seconds())
}

// takeToken reports whether one more load may read from the weight store now.
func (c *Core) takeToken() bool {
	if c.store.tokens < 1 || c.remoteLoads() >= c.storeSlots() {
		return false
	}
	c.store.tokens--
	return true
}

// storeTurn is when the rate allows the next load that waits; zero for none.
func (c *Core) storeTurn() time.Time {
	rate := c.storeRate()
	if c.store.waiting+c.store.further == 0 || rate <= 0 || c.store.tokens >= 1 {
		return time.Time{}
	}
	return c.store.asOf.Add(time.Duration((1 - c.store.tokens) / rate * float64(time.Second)))
}

// storeSlots is how many loads the zone may have at once: what the others leave,
// and at least its equal part; what does not divide goes to the first zones.
func (c *Core) storeSlots() int {
	equal := c.settings.StoreConcurrency / c.zones
	left := c.settings.StoreConcurrency - c.store.others.Loading - c.store.others.UnknownZones*max(1, equal)
	if c.zoneIndex < c.settings.StoreConcurrency%c.zones {
		equal++
	}
	return max(1, equal, left)
}

// WaitingLoads counts the loads of models that nobody serves which wait for
// their turn at the weight store.
func (c *Core) WaitingLoads() int {
	if !c.leading {
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
