package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// FleetLoads are the loads that all nodes together put on each server, smoothed
// over loadMemory. One node keeps them, which all others tell what they have under
// way, and tells all: in a large fleet a node hears from a given other one too
// rarely to know, and sees next to nothing by its own requests. Smoothed loads tell
// which servers are busy on the whole; the requests of a moment have ended by the
// time that others hear of them, and all nodes would turn from one server to the
// next. It is not safe for concurrent use.
type FleetLoads struct {
	loads map[string]PeerLoad
	at    time.Time
}

const (
	// loadMemory is the time in which an old load loses two thirds of its weight.
	loadMemory = time.Second
	// leastLoad is what is left of a load when it is forgotten, in running requests.
	leastLoad = 0.05
)

// NewFleetLoads returns the loads of no servers.
func NewFleetLoads() *FleetLoads { return &FleetLoads{loads: make(map[string]PeerLoad)} }

// Add adds what all nodes have under way now.
func (f *FleetLoads) Add(now time.Time, current []PeerLoad) {
	kept := math.Exp(-now.Sub(f.at).Seconds() / loadMemory.Seconds())
	f.at = now
	for id, load := range f.loads {
		load.smoothed *= kept
		load.PendingTokens *= kept
		if load.smoothed < leastLoad {
			delete(f.loads, id)
			continue
		}
		f.loads[id] = load
	}
	for _, load := range current {
		known := f.loads[load.ServerID]
		known.ServerID = load.ServerID
		known.smoothed += (1 - kept) * float64(load.Running)
		known.PendingTokens += (1 - kept) * load.PendingTokens
		f.loads[load.ServerID] = known
	}
}

// Busiest are up to most servers, the longest to wait for first.
func (f *FleetLoads) Busiest(most int) []PeerLoad {
	busiest := make([]PeerLoad, 0, len(f.loads))
	for _, load := range f.loads {
		load.Running = int(math.Round(load.smoothed))
		busiest = append(busiest, load)
	}
	slices.SortFunc(busiest, func(a, b PeerLoad) int {
		return cmp.Or(-cmp.Compare(a.wait(), b.wait()), strings.Compare(a.ServerID, b.ServerID))
	})
	return busiest[:min(most, len(busiest))]
}

// wait is the seconds that the load keeps a further request waiting.
func (l PeerLoad) wait() float64 {
	return l.PendingTokens/readRate + l.smoothed*runningCost.Seconds()
}

// TotalLoads are the requests of all nodes, as far as this one knows, at each server
// that has any.
func (c *Core) TotalLoads(now time.Time) []PeerLoad {
	var totals []PeerLoad
	for id, s := range c.servers {
		if running, pending := s.totals(now); running > 0 {
			totals = append(totals, PeerLoad{ServerID: id, Running: running, PendingTokens: pending})
		}
	}
	return totals
}

// fleetLoadAge is how long the fleet's load on a server is believed: it is told
// about twice as often.
const fleetLoadAge = 1500 * time.Millisecond

// SetFleetLoads takes the busiest servers from the leader of a term; a server that
// is not named is none of them.
func (c *Core) SetFleetLoads(now time.Time, term int64, loads []PeerLoad) {
	if term < c.term {
		return
	}
	for _, s := range c.servers {
		s.fleet = peerLoad{}
	}
	for _, load := range loads {
		if s, ok := c.servers[load.ServerID]; ok {
			s.fleet = peerLoad{running: load.Running, pendingTokens: load.PendingTokens, at: now}
		}
	}
}
