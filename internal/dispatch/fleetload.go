package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// FleetLoads aggregates the loads that all nodes put on each server, smoothed over
// loadTimeConstant. One node maintains it: all others report their requests in flight to it, and it
// sends the result to all. In a large fleet a node hears from a given peer too rarely to know the
// load itself, and sees next to nothing of it through its own requests. Smoothed loads show which
// servers are busy in general. Momentary loads are outdated when they arrive, and all nodes would
// switch from one server to the next at once. FleetLoads is not safe for concurrent use.
type FleetLoads struct {
	loads map[string]PeerLoad
	at    time.Time
}

const (
	// loadTimeConstant is the time in which an old load loses two thirds of its weight.
	loadTimeConstant = time.Second
	// minLoad is the number of running requests below which a load is dropped.
	minLoad = 0.05
)

// NewFleetLoads returns a FleetLoads without any load.
func NewFleetLoads() *FleetLoads { return &FleetLoads{loads: make(map[string]PeerLoad)} }

// Add adds the current loads of all nodes.
func (f *FleetLoads) Add(now time.Time, current []PeerLoad) {
	decay := math.Exp(-now.Sub(f.at).Seconds() / loadTimeConstant.Seconds())
	f.at = now
	for id, load := range f.loads {
		load.smoothedRunning *= decay
		load.PendingTokens *= decay
		if load.smoothedRunning < minLoad {
			delete(f.loads, id)
			continue
		}
		f.loads[id] = load
	}
	for _, load := range current {
		known := f.loads[load.ServerID]
		known.ServerID = load.ServerID
		known.smoothedRunning += (1 - decay) * float64(load.Running)
		known.PendingTokens += (1 - decay) * load.PendingTokens
		f.loads[load.ServerID] = known
	}
}

// Busiest returns up to limit servers, those with the longest expected wait first.
func (f *FleetLoads) Busiest(limit int) []PeerLoad {
	busiest := make([]PeerLoad, 0, len(f.loads))
	for _, load := range f.loads {
		load.Running = int(math.Round(load.smoothedRunning))
		busiest = append(busiest, load)
	}
	slices.SortFunc(busiest, func(a, b PeerLoad) int {
		return cmp.Or(-cmp.Compare(a.waitSeconds(), b.waitSeconds()), strings.Compare(a.ServerID, b.ServerID))
	})
	return busiest[:min(limit, len(busiest))]
}

// waitSeconds estimates how long the load delays a further request.
func (l PeerLoad) waitSeconds() float64 {
	return l.PendingTokens/assumedPrefillRate + l.smoothedRunning*runningRequestCost.Seconds()
}

// TotalLoads returns the load of all nodes, as far as this one knows, on each server that has any.
func (c *Core) TotalLoads(now time.Time) []PeerLoad {
	var totals []PeerLoad
	for id, s := range c.servers {
		if running, pending := s.knownLoad(now); running > 0 {
			totals = append(totals, PeerLoad{ServerID: id, Running: running, PendingTokens: pending})
		}
	}
	return totals
}

// fleetLoadMaxAge is how long a fleet load is used. It is sent about twice as often.
const fleetLoadMaxAge = 1500 * time.Millisecond

// SetFleetLoads replaces the fleet loads by those of the busiest servers, sent by the leader of a
// term.
func (c *Core) SetFleetLoads(now time.Time, term int64, loads []PeerLoad) {
	if term < c.term {
		return
	}
	for _, s := range c.servers {
		s.fleetLoad = peerLoad{}
	}
	for _, load := range loads {
		if s, ok := c.servers[load.ServerID]; ok {
			s.fleetLoad = peerLoad{running: load.Running, pendingTokens: load.PendingTokens, at: now}
		}
	}
}
