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
	// hintTold is in how many periods a node tells on what a server told: with a fanout of six
	// every node hears of it in a few periods, at whatever size.
	hintTold = 4
	// hintsPerPeriod bounds what is told in one period, and hintsKept what is remembered: in a
	// fleet of 2,300 servers 33 machines fail on a day and 230 are replaced.
	hintsPerPeriod = 16
	hintsKept      = 1024
	// backoffSlack is by how much later a backoff must end to be told on: its end is told as a time
	// left, which grows old on the way.
	backoffSlack = 500 * time.Millisecond
	// limitRenewal is by how much later a rate limit must have been heard to be told on though it is
	// the same: others let go of one that nobody hears any more.
	limitRenewal = 2 * time.Second
)

// Hints are what servers told nodes with their answers, as the nodes tell each other: while the
// store is away nothing else says that a server drains. It is not safe for concurrent use.
type Hints struct {
	items map[inventory.Start]*hintState
}

type hintState struct {
	draining bool
	// backoffUntil is when the backoff ends that the server asked for.
	backoffUntil time.Time
	limit        admission.RateLimit
	// limitHeard is when the limit was heard as it was learned last.
	limitHeard time.Time
	heardAt    time.Time
	told       int
}

// HintItem is what one start of a server told; a backoff is what is left of it.
type HintItem struct {
	Start inventory.Start
	Hint  inventory.Hint
	// Limit is what an answer said of the server's rate limit.
	Limit admission.Observation
}

// NewHints returns hints of nobody.
func NewHints() *Hints { return &Hints{items: make(map[inventory.Start]*hintState)} }

// Learn takes what a server told this node, or a peer. It returns false where that is known.
func (h *Hints) Learn(now time.Time, item HintItem) bool {
	known, ok := h.items[item.Start]
	if !ok {
		known = &hintState{}
	}
	until := now.Add(item.Hint.Backoff)
	isLonger := item.Hint.Backoff > 0 && until.Sub(known.backoffUntil) > backoffSlack
	isNewLimit := known.learnLimit(item.Limit)
	if !isLonger && !isNewLimit && (known.draining || !item.Hint.Draining) {
		return false
	}
	if !ok {
		h.makeRoom()
		h.items[item.Start] = known
	}
	known.draining = known.draining || item.Hint.Draining
	if isLonger {
		known.backoffUntil = until
	}
	known.heardAt, known.told = now, 0
	return true
}

// learnLimit reports whether the rate limit changed, or was last told on long ago.
func (h *hintState) learnLimit(told admission.Observation) bool {
	changed := h.limit.Observe(told)
	isRenewed := told.Limit.IsSet() && told.ReceivedAt.Sub(h.limitHeard) > limitRenewal
	if changed || isRenewed {
		h.limitHeard = told.ReceivedAt
	}
	return changed || isRenewed
}

func (h *Hints) makeRoom() {
	if len(h.items) < hintsKept {
		return
	}
	var oldest inventory.Start
	for start, known := range h.items {
		if at, ok := h.items[oldest]; !ok || known.heardAt.Before(at.heardAt) {
			oldest = start
		}
	}
	delete(h.items, oldest)
}

// TakeDue returns what is to be told in this period: servers that drain first, then what was told
// least.
func (h *Hints) TakeDue(now time.Time) []HintItem {
	type dueItem struct {
		start inventory.Start
		known *hintState
	}
	var due []dueItem
	for start, known := range h.items {
		rests := now.Before(known.backoffUntil)
		if known.told < hintTold && (known.draining || rests || known.limit.HasBeenSet()) {
			due = append(due, dueItem{start, known})
		}
	}
	slices.SortFunc(due, func(a, b dueItem) int {
		return cmp.Or(-cmp.Compare(rankOf(a.known.draining), rankOf(b.known.draining)), cmp.Compare(a.known.told, b.known.told),
			strings.Compare(a.start.ID, b.start.ID), cmp.Compare(a.start.StartedAtMs, b.start.StartedAtMs))
	})
	var items []HintItem
	for _, item := range due[:min(hintsPerPeriod, len(due))] {
		item.known.told++
		hint := inventory.Hint{Draining: item.known.draining, Backoff: max(0, item.known.backoffUntil.Sub(now))}
		items = append(items, HintItem{Start: item.start, Hint: hint, Limit: item.known.limit.Latest()})
	}
	return items
}
