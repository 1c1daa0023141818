package gossip

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	// maxChangeAge is how long after the store reported a change it is still passed on.
	maxChangeAge = 5 * time.Second
	// changeRetention is how long changes are remembered, so that an echo is not taken for a new
	// one.
	changeRetention = 2 * maxChangeAge
	// drainTransmissions is how many periods a node passes on a draining server, and
	// additionTransmissions a new server: with a fanout of six every node receives it within a few
	// periods at any fleet size. Additions are repeated less, because it is enough if most of the
	// nodes that received one pass it on; sent as often as drains, the additions at the start of a
	// fleet of 67 nodes were two thirds of a day's gossip.
	drainTransmissions    = 8
	additionTransmissions = 3
	// crossRegionAdditionTransmissions is the same for nodes of other regions.
	crossRegionAdditionTransmissions = 1
	// maxChangesPerPeriod bounds the changes sent in one period. When more arrive at once, as at
	// the start of a fleet, the rest is sent later or found missing by digest.
	maxChangesPerPeriod = 16
)

// ServerChanges holds the servers that were recently added or started draining, shared between
// nodes. They arrive before a node's own calls to the store would show them, so that these calls
// may be rare. It is not safe for concurrent use.
type ServerChanges struct {
	items map[string]*changeEntry
}

type changeEntry struct {
	server        inventory.Server
	reportedAt    time.Time
	transmissions int
}

// ServerChange is one server that was added or, with Draining set, accepts no new work. It
// supersedes all entries of the server up to its position.
type ServerChange struct {
	Server inventory.Server
	// Age is the time since the store reported it.
	Age time.Duration
	// CrossRegion is set if nodes of other regions are to receive it, too.
	CrossRegion bool
}

// NewServerChanges returns an empty ServerChanges.
func NewServerChanges() *ServerChanges { return &ServerChanges{items: make(map[string]*changeEntry)} }

// Learn records one change. It returns false if the change was known already or is too old.
func (c *ServerChanges) Learn(now time.Time, item ServerChange) bool {
	if item.Age > maxChangeAge {
		return false
	}
	entry, ok := c.items[item.Server.ID]
	isSameStart := ok && entry.server.Start() == item.Server.Start()
	if ok && (!item.Server.Position.IsAfter(entry.server.Position) || isSameStart && entry.server.Draining && item.Server.Draining) {
		return false
	}
	c.items[item.Server.ID] = &changeEntry{server: item.Server, reportedAt: now.Add(-item.Age)}
	return true
}

// TakeDue returns the changes to send in this period: draining servers first, then those sent the
// fewest times.
func (c *ServerChanges) TakeDue(now time.Time) []ServerChange {
	var due []*changeEntry
	for id, entry := range c.items {
		age := now.Sub(entry.reportedAt)
		switch {
		case age > changeRetention:
			delete(c.items, id)
		case age <= maxChangeAge && entry.transmissions < entry.maxTransmissions():
			due = append(due, entry)
		}
	}
	slices.SortFunc(due, func(a, b *changeEntry) int {
		return cmp.Or(
			-cmp.Compare(drainingRank(a.server.Draining), drainingRank(b.server.Draining)),
			cmp.Compare(a.transmissions, b.transmissions),
			strings.Compare(a.server.ID, b.server.ID),
		)
	})
	due = due[:min(maxChangesPerPeriod, len(due))]
	var items []ServerChange
	for _, entry := range due {
		entry.transmissions++
		crossRegion := entry.server.Draining || entry.transmissions <= crossRegionAdditionTransmissions
		items = append(items, ServerChange{Server: entry.server, Age: now.Sub(entry.reportedAt), CrossRegion: crossRegion})
	}
	return items
}

// maxTransmissions is the number of periods in which the change is sent.
func (e *changeEntry) maxTransmissions() int {
	if e.server.Draining {
		return drainTransmissions
	}
	return additionTransmissions
}

// drainingRank orders draining servers before others.
func drainingRank(draining bool) int {
	if draining {
		return 1
	}
	return 0
}
