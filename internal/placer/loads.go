package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// limitOf is what is known of the weight store of a service.
func (c *Core) limitOf(service string) *storeLimit {
	known, ok := c.limits[service]
	if !ok {
		known = newStoreLimit(c.options.LoadsAtOnce[service])
		c.limits[service] = known
	}
	return known
}

// LoadsAtOnce are the loads at full speed that were learned of each weight
// store, for later leaders.
func (c *Core) LoadsAtOnce() map[string]float64 {
	learned := make(map[string]float64, len(c.limits))
	for service, limit := range c.limits {
		if len(limit.slowed) > 0 {
			learned[service] = limit.width()
		}
	}
	return learned
}

// LoadLimit is the number of loads that the weight store behind a server is
// taken to bear at once; 0 where the server is not known.
func (c *Core) LoadLimit(serverID string) int {
	s, ok := c.servers[serverID]
	if !ok {
		return 0
	}
	return c.limitOf(s.info.Service).allowed()
}

// mayLoadFromStore reports whether a load from the weight store may be under way
// at the server: an earlier leader's too.
func (s *server) mayLoadFromStore() bool {
	if s.loading != nil {
		return s.loading.source == SourceStore
	}
	return s.busy && !s.synced && !s.isBusyWithOther()
}

// isBusyWithOther reports whether what keeps the server busy is known to be no load
// from the weight store: the last order that it took is this leader's and another
// one. An unload, of an adapter too, waits for the runs that use it.
func (s *server) isBusyWithOther() bool {
	last := s.lastTaken
	if last == nil || s.unsure != nil || s.sequence != last.ExpectedSequence+1 {
		return false
	}
	return last.Operation != Load || last.Adapter != "" || last.Source != SourceStore
}

// loadsFromStore reports whether a load from the weight store has begun there.
func (s *server) loadsFromStore() bool {
	if s.loading != nil {
		return s.loading.run != nil
	}
	return s.busy && !s.synced && !s.isBusyWithOther()
}

// loadBegan follows the load that the server just took.
func (c *Core) loadBegan(now time.Time, s *server) {
	engine := c.engineOf(s.info.Service)
	if s.loading == nil || s.loading.source != SourceStore || engine == nil {
		return
	}
	atStart := 1
	for _, other := range c.servers {
		if other.info.Service == s.info.Service && other != s && other.loadsFromStore() {
			atStart++
		}
	}
	s.loading.run = newLoadRun(now, engine.Models[s.loading.model].Load, atStart)
}

// loadEnded learns from a load that a report shows as done. The report tells
// what was so a moment ago.
func (c *Core) loadEnded(now time.Time, s *server) {
	if s.loading == nil || !s.has(s.loading.model) {
		return
	}
	delete(c.badLoads, modelKey{s.info.Service, s.loading.model})
	if s.loading.run == nil {
		return
	}
	c.limitOf(s.info.Service).ended(s.loading.run)
}

// retellTime is by how much the time of a load must move until it is told anew.
const retellTime = 300 * time.Millisecond

// followLoads extends the runs of all loads from weight stores to now, and
// foretells their ends.
func (c *Core) followLoads(now time.Time) {
	atOnce := make(map[string]int)
	for _, s := range c.servers {
		if s.mayLoadFromStore() {
			atOnce[s.info.Service]++
		}
	}
	overdue := make(map[string][]*loadRun)
	for _, s := range c.sorted() {
		if s.loading == nil || s.loading.run == nil {
			continue
		}
		limit, beside := c.limitOf(s.info.Service), atOnce[s.info.Service]
		s.loading.run.ranBeside(now, beside)
		if s.loading.run.isLate() {
			overdue[s.info.Service] = append(overdue[s.info.Service], s.loading.run)
		}
		s.loading.ready = now.Add(limit.left(s.loading.run, beside) + loadMargin)
		if moved := s.loading.ready.Sub(s.loading.told); moved > retellTime || moved < -retellTime {
			s.loading.told = s.loading.ready
			c.effects.ViewsChanged = true
		}
	}
	for service, runs := range overdue {
		c.limitOf(service).overdue(runs)
	}
}

// longestRecheck bounds the pause between reports of a server that loads.
const longestRecheck = 500 * time.Millisecond

// recheckIn is the pause until the next report of a busy server.
func (s *server) recheckIn(now time.Time) time.Duration {
	if s.loading == nil || s.loading.run == nil {
		return recheck
	}
	return max(recheck, min(longestRecheck, s.loading.ready.Sub(now)/2))
}

// storeLoading counts the loads from the weight store that are under way, or
// for which a server is being emptied.
func (r *round) storeLoading(besides string) int {
	count := 0
	for _, s := range r.servers {
		isLoading := s.mayLoadFromStore()
		isMeant := s.intent.source == SourceStore && s.isKeptFor(r.now, besides)
		if isLoading || isMeant {
			count++
		}
	}
	return count
}

const (
	// spareLoads is what is left of the bound for orders whose answer is lost.
	spareLoads = 2
	// boundExtra is the number of loads that the bound grants in any window
	// beyond the rate; see the platform's rule on the weight store.
	boundExtra = 3
	// idleShare is the part of the bound that loads take which nobody waits for.
	idleShare = 0.6
)

func (c *Core) loadsPerWindow(engine *routetable.Engine) int {
	return int(engine.LoadsPerSecond*c.options.Window.Seconds()*c.options.Overage) + boundExtra - spareLoads
}

// storeAllows reports whether one more load from the weight store may begin.
func (r *round) storeAllows(model string, urgent bool) bool {
	if r.core.reserved[r.service] <= 0 {
		return false
	}
	allowed := float64(r.core.loadsPerWindow(r.engine))
	atOnce := r.core.limitOf(r.service).allowed()
	if !urgent {
		allowed *= idleShare
		atOnce = max(1, atOnce/2)
	}
	return float64(len(r.core.storeLoads[r.service])) < allowed && r.storeLoading(model) < atOnce
}
