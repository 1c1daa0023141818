package gossip

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	// wordTold is in how many periods a node tells on what a server told: with a fanout of six
	// every node hears of it in a few periods, at whatever size.
	wordTold = 4
	// wordsPerPeriod bounds what is told in one period, and wordsKept what is remembered: in a
	// fleet of 2,300 servers 33 machines fail on a day and 230 are replaced.
	wordsPerPeriod = 16
	wordsKept      = 1024
	// restSlack is by how much later a rest must end to be told on: its end is told as a time
	// left, which grows old on the way.
	restSlack = 500 * time.Millisecond
	// limitRenewal is by how much later a rate limit must have been heard to be told on though it is
	// the same: others let go of one that nobody hears any more.
	limitRenewal = 2 * time.Second
)

// Words are what servers told nodes with their answers, as the nodes tell each other: while the
// store is away nothing else says that a server leaves. It is not safe for concurrent use.
type Words struct {
	items map[inventory.Start]*wordItem
}

type wordItem struct {
	leaving bool
	// restUntil is when the rest ends that the server asked for.
	restUntil time.Time
	limit     admission.RateLimit
	// limitHeard is when the limit was heard as it was learned last.
	limitHeard time.Time
	heardAt    time.Time
	told       int
}

// WordItem is what one start of a server told; a rest is what is left of it.
type WordItem struct {
	Start inventory.Start
	Word  inventory.Word
	// Limit is what an answer said of the server's rate limit.
	Limit admission.Observation
}

// NewWords returns words of nobody.
func NewWords() *Words { return &Words{items: make(map[inventory.Start]*wordItem)} }

// Learn takes what a server told this node, or a peer. It returns false where that is known.
func (w *Words) Learn(now time.Time, item WordItem) bool {
	known, ok := w.items[item.Start]
	if !ok {
		known = &wordItem{}
	}
	until := now.Add(item.Word.Rest)
	isLonger := item.Word.Rest > 0 && until.Sub(known.restUntil) > restSlack
	isNewLimit := known.learnLimit(item.Limit)
	if !isLonger && !isNewLimit && (known.leaving || !item.Word.Leaving) {
		return false
	}
	if !ok {
		w.makeRoom()
		w.items[item.Start] = known
	}
	known.leaving = known.leaving || item.Word.Leaving
	if isLonger {
		known.restUntil = until
	}
	known.heardAt, known.told = now, 0
	return true
}

// learnLimit reports whether the rate limit changed, or was last told on long ago.
func (w *wordItem) learnLimit(told admission.Observation) bool {
	changed := w.limit.Observe(told)
	isRenewed := told.Limit.IsNamed() && told.HeardAt.Sub(w.limitHeard) > limitRenewal
	if changed || isRenewed {
		w.limitHeard = told.HeardAt
	}
	return changed || isRenewed
}

func (w *Words) makeRoom() {
	if len(w.items) < wordsKept {
		return
	}
	var oldest inventory.Start
	for start, known := range w.items {
		if at, ok := w.items[oldest]; !ok || known.heardAt.Before(at.heardAt) {
			oldest = start
		}
	}
	delete(w.items, oldest)
}

// Tell returns what is to be told in this period: servers that leave first, then what was told
// least.
func (w *Words) Tell(now time.Time) []WordItem {
	type dueItem struct {
		start inventory.Start
		known *wordItem
	}
	var due []dueItem
	for start, known := range w.items {
		rests := now.Before(known.restUntil)
		if known.told < wordTold && (known.leaving || rests || known.limit.IsKnown()) {
			due = append(due, dueItem{start, known})
		}
	}
	slices.SortFunc(due, func(a, b dueItem) int {
		return cmp.Or(-cmp.Compare(rankOf(a.known.leaving), rankOf(b.known.leaving)), cmp.Compare(a.known.told, b.known.told),
			strings.Compare(a.start.ID, b.start.ID), cmp.Compare(a.start.Born, b.start.Born))
	})
	var items []WordItem
	for _, item := range due[:min(wordsPerPeriod, len(due))] {
		item.known.told++
		word := inventory.Word{Leaving: item.known.leaving, Rest: max(0, item.known.restUntil.Sub(now))}
		items = append(items, WordItem{Start: item.start, Word: word, Limit: item.known.limit.Latest()})
	}
	return items
}
