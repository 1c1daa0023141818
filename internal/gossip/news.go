package gossip

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	// newsAge is how long after the store said so news are still told on.
	newsAge = 5 * time.Second
	// newsKept is how long news are remembered, so that an echo is not taken
	// for news.
	newsKept = 2 * newsAge
	// newsTold is in how many periods a node tells of a server that goes, and
	// comingTold of one that comes: with a fanout of six every node hears of it in a
	// few periods, at whatever size. Of one that comes it is enough to be told by most
	// of those that heard of it; at the start of a fleet of 67 nodes these were two
	// thirds of a day's gossip.
	newsTold   = 8
	comingTold = 3
	// comingToldFar is the same for nodes of other regions.
	comingToldFar = 1
	// newsPerPeriod bounds what is told in one period. Where more came at once,
	// as at the start of a fleet, it is told later or, by digest, found missing.
	newsPerPeriod = 16
)

// ServerChanges are the servers that came or go lately, as the nodes tell each other.
// They run ahead of a node's own calls to the store, so that these may be rare.
// It is not safe for concurrent use.
type ServerChanges struct {
	items map[string]*newsItem
}

type newsItem struct {
	server inventory.Server
	since  time.Time
	told   int
}

// ServerChange is one server that came or, where it is draining, takes no new work any
// more. The entries of the server up to its position say no more than it.
type ServerChange struct {
	Server inventory.Server
	// Age is the time since the store said so.
	Age time.Duration
	// CrossRegion is set where nodes of other regions are told, too.
	CrossRegion bool
}

// NewServerChanges returns news of nothing.
func NewServerChanges() *ServerChanges { return &ServerChanges{items: make(map[string]*newsItem)} }

// Learn takes one item. It returns false where it is none: it was known, or
// it is too old.
func (n *ServerChanges) Learn(now time.Time, item ServerChange) bool {
	if item.Age > newsAge {
		return false
	}
	known, ok := n.items[item.Server.ID]
	isSameStart := ok && known.server.Start() == item.Server.Start()
	if ok && (!item.Server.Position.IsAfter(known.server.Position) || isSameStart && known.server.Draining && item.Server.Draining) {
		return false
	}
	n.items[item.Server.ID] = &newsItem{server: item.Server, since: now.Add(-item.Age)}
	return true
}

// TakeDue returns what is to be told in this period: servers that go first, then
// what was told least.
func (n *ServerChanges) TakeDue(now time.Time) []ServerChange {
	var due []*newsItem
	for id, known := range n.items {
		age := now.Sub(known.since)
		switch {
		case age > newsKept:
			delete(n.items, id)
		case age <= newsAge && known.told < known.tellings():
			due = append(due, known)
		}
	}
	slices.SortFunc(due, func(a, b *newsItem) int {
		return cmp.Or(
			-cmp.Compare(rankOf(a.server.Draining), rankOf(b.server.Draining)),
			cmp.Compare(a.told, b.told),
			strings.Compare(a.server.ID, b.server.ID),
		)
	})
	due = due[:min(newsPerPeriod, len(due))]
	var items []ServerChange
	for _, known := range due {
		known.told++
		isFar := known.server.Draining || known.told <= comingToldFar
		items = append(items, ServerChange{Server: known.server, Age: now.Sub(known.since), CrossRegion: isFar})
	}
	return items
}

// tellings is in how many periods the item is told.
func (i *newsItem) tellings() int {
	if i.server.Draining {
		return newsTold
	}
	return comingTold
}

// rankOf puts servers that go before others.
func rankOf(goes bool) int {
	if goes {
		return 1
	}
	return 0
}
