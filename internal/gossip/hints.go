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
	// hintTransmissions is how many periods a node passes on a hint: with a fanout of six every
	// node receives it within a few periods at any fleet size.
	hintTransmissions = 4
	// maxHintsPerPeriod bounds the hints sent in one period, and maxHints those remembered: in a
	// fleet of 2,300 servers 33 machines fail in a day and 230 are replaced.
	maxHintsPerPeriod = 16
	maxHints          = 1024
	// minBackoffExtension is how much later a backoff must end to be passed on again: its end is
	// sent as remaining time, which ages on the way.
	minBackoffExtension = 500 * time.Millisecond
	// limitRefreshInterval is how much later an unchanged rate limit must have been received to be
	// passed on again: other nodes drop a limit that is no longer reported.
	limitRefreshInterval = 2 * time.Second
)

// Hints holds what servers reported in their responses, shared between nodes: while the store is
// unavailable this is the only way to learn that a server is draining. It is not safe for
// concurrent use.
type Hints struct {
	items map[inventory.Start]*hintState
}

type hintState struct {
	draining bool
	// backoffUntil is when the backoff that the server requested ends.
	backoffUntil time.Time
	limit        admission.RateLimit
	// limitReceivedAt is when the limit that was last passed on was received.
	limitReceivedAt time.Time
	learnedAt       time.Time
	transmissions   int
}

// HintItem is what one incarnation of a server reported; a backoff is given as its remaining time.
type HintItem struct {
	Start inventory.Start
	Hint  inventory.Hint
	// Limit is the rate limit reported in a response.
	Limit admission.Observation
}

// NewHints returns an empty Hints.
func NewHints() *Hints { return &Hints{items: make(map[inventory.Start]*hintState)} }

// Learn records a hint from a server or a peer. It returns false if the hint adds nothing new.
func (h *Hints) Learn(now time.Time, item HintItem) bool {
	entry, ok := h.items[item.Start]
	if !ok {
		entry = &hintState{}
	}
	backoffUntil := now.Add(item.Hint.Backoff)
	extendsBackoff := item.Hint.Backoff > 0 && backoffUntil.Sub(entry.backoffUntil) > minBackoffExtension
	limitUpdated := entry.learnLimit(item.Limit)
	if !extendsBackoff && !limitUpdated && (entry.draining || !item.Hint.Draining) {
		return false
	}
	if !ok {
		h.evictIfFull()
		h.items[item.Start] = entry
	}
	entry.draining = entry.draining || item.Hint.Draining
	if extendsBackoff {
		entry.backoffUntil = backoffUntil
	}
	entry.learnedAt, entry.transmissions = now, 0
	return true
}

// learnLimit reports whether the rate limit changed or is due to be passed on again.
func (h *hintState) learnLimit(observation admission.Observation) bool {
	changed := h.limit.Observe(observation)
	refreshDue := observation.Limit.IsSet() && observation.ReceivedAt.Sub(h.limitReceivedAt) > limitRefreshInterval
	if changed || refreshDue {
		h.limitReceivedAt = observation.ReceivedAt
	}
	return changed || refreshDue
}

func (h *Hints) evictIfFull() {
	if len(h.items) < maxHints {
		return
	}
	var oldest inventory.Start
	for start, entry := range h.items {
		if oldestEntry, ok := h.items[oldest]; !ok || entry.learnedAt.Before(oldestEntry.learnedAt) {
			oldest = start
		}
	}
	delete(h.items, oldest)
}

// TakeDue returns the hints to send in this period: draining servers first, then those sent the
// fewest times.
func (h *Hints) TakeDue(now time.Time) []HintItem {
	type dueItem struct {
		start inventory.Start
		entry *hintState
	}
	var due []dueItem
	for start, entry := range h.items {
		backingOff := now.Before(entry.backoffUntil)
		if entry.transmissions < hintTransmissions && (entry.draining || backingOff || entry.limit.HasBeenSet()) {
			due = append(due, dueItem{start, entry})
		}
	}
	slices.SortFunc(due, func(a, b dueItem) int {
		return cmp.Or(-cmp.Compare(drainingRank(a.entry.draining), drainingRank(b.entry.draining)), cmp.Compare(a.entry.transmissions, b.entry.transmissions),
			strings.Compare(a.start.ID, b.start.ID), cmp.Compare(a.start.StartedAtMs, b.start.StartedAtMs))
	})
	var items []HintItem
	for _, item := range due[:min(maxHintsPerPeriod, len(due))] {
		item.entry.transmissions++
		hint := inventory.Hint{Draining: item.entry.draining, Backoff: max(0, item.entry.backoffUntil.Sub(now))}
		items = append(items, HintItem{Start: item.start, Hint: hint, Limit: item.entry.limit.Latest()})
	}
	return items
}
