package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// hintSource is where a server's hint came from.
type hintSource string

const (
	hintFromAnswer hintSource = "answer"
	hintFromOrder  hintSource = "order"
	hintFromReport hintSource = "report"
	hintFromPeer   hintSource = "peer"
)

// serverHints propagates the hints that servers send with their responses. It is safe for
// concurrent use.
type serverHints struct {
	node     *Node
	mu       sync.Mutex
	outgoing *gossip.Hints
	// unread holds the names of hint fields that nodes do not understand, and unreadCount counts
	// the responses that contained one.
	unread      map[string]bool
	unreadCount atomic.Int64
}

// maxUnreadFields bounds the names of unread fields that are kept and logged.
const maxUnreadFields = 32

func newServerHints(node *Node) *serverHints {
	return &serverHints{node: node, outgoing: gossip.NewHints(), unread: make(map[string]bool)}
}

// recordUnreadField logs the name of an unknown field once.
func (h *serverHints) recordUnreadField(serverID, field string) {
	h.unreadCount.Add(1)
	h.mu.Lock()
	isNew := !h.unread[field] && len(h.unread) < maxUnreadFields
	if isNew {
		h.unread[field] = true
	}
	h.mu.Unlock()
	if isNew {
		h.node.options.Logger.Warn().Str("server", serverID).Str("field", field).Msg("server_field_unread")
	}
}

// receiveFromCall applies a hint from the response to an order or a report request.
func (h *serverHints) receiveFromCall(start inventory.Start, hint inventory.Hint, from hintSource) {
	changed := false
	h.node.dispatch.Do(func(core *dispatch.Core) { changed = core.ReceiveHint(clock.Now(), start, hint) })
	if changed {
		h.propagate(start, hint, from)
	}
}

// receivePeerLimit applies what a peer knows of the rate limit of a server start.
func (h *serverHints) receivePeerLimit(now time.Time, start inventory.Start, limit admission.Observation) {
	changed := false
	h.node.dispatch.Do(func(core *dispatch.Core) { changed = core.ReceivePeerLimit(now, start, limit) })
	if changed {
		h.propagate(start, inventory.Hint{Limit: limit.Limit, SentAt: limit.SentAt}, hintFromPeer)
	}
}

// propagate logs a new hint and queues it for peers.
func (h *serverHints) propagate(start inventory.Start, hint inventory.Hint, from hintSource) {
	var limit admission.RateLimit
	h.node.dispatch.Do(func(core *dispatch.Core) { limit, _ = core.RateLimit(start) })
	addLimit(h.node.options.Logger.Info(), hint).Str("server", start.ID).Int64("born", start.StartedAtMs).Bool("leaving", hint.Draining).
		Int64("rest_ms", hint.Backoff.Milliseconds()).Str("from", string(from)).Msg("server_word")
	h.node.metrics.hint(hint, from)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outgoing.Learn(clock.Now(), gossip.HintItem{Start: start, Hint: hint, Limit: limit.Latest()})
}

// receiveFromPeer applies the hints sent by a peer.
func (h *serverHints) receiveFromPeer(now time.Time, encoded []*peerpb.ServerWord) {
	for _, item := range decodeHints(now, encoded) {
		changed := false
		h.node.dispatch.Do(func(core *dispatch.Core) { changed = core.ReceivePeerHint(now, item.Start, item.Hint) })
		if changed {
			h.propagate(item.Start, item.Hint, hintFromPeer)
		}
		h.receivePeerLimit(now, item.Start, item.Limit)
	}
}

// takeDue returns the hints to send in this period.
func (h *serverHints) takeDue(now time.Time) []*peerpb.ServerWord {
	h.mu.Lock()
	defer h.mu.Unlock()
	var encoded []*peerpb.ServerWord
	for _, item := range h.outgoing.TakeDue(now) {
		encoded = append(encoded, &peerpb.ServerWord{
			Server: item.Start.ID, Born: item.Start.StartedAtMs, Leaving: item.Hint.Draining, RestMs: uint32(item.Hint.Backoff.Milliseconds()),
			Limit: encodeLimit(now, item.Limit),
		})
	}
	return encoded
}

// decodeHints decodes the hints of a peer. Entries without a server name or with an invalid
// start are dropped.
func decodeHints(now time.Time, encoded []*peerpb.ServerWord) []gossip.HintItem {
	items := make([]gossip.HintItem, 0, len(encoded))
	for _, hint := range encoded {
		if hint.Server == "" || hint.Born < 0 {
			continue
		}
		limit, _ := decodeLimit(now, hint.Limit)
		items = append(items, gossip.HintItem{
			Start: inventory.Start{ID: hint.Server, StartedAtMs: hint.Born},
			Hint:  inventory.Hint{Draining: hint.Leaving, Backoff: time.Duration(hint.RestMs) * time.Millisecond},
			Limit: limit,
		})
	}
	return items
}

// encodeLimit encodes a rate limit, or returns nil if the server never reported one. Ages are
// rounded in the direction in which the limit holds longer.
func encodeLimit(now time.Time, limit admission.Observation) *peerpb.RateLimit {
	if limit.Limit.Kind == inventory.RateLimitUnknown {
		return nil
	}
	return &peerpb.RateLimit{
		Named: limit.Limit.IsSet(), PerSecond: limit.Limit.PerSecond,
		SentAgeMs: ageMillis(now, limit.SentAt) + 1, HeardAgeMs: ageMillis(now, limit.ReceivedAt),
	}
}

// ageMillis returns the age in milliseconds, up to maxWireAge.
func ageMillis(now, at time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at)), maxWireAge).Milliseconds())
}

// decodeLimit decodes a peer's rate limit. ok is false if it has none or an invalid one.
func decodeLimit(now time.Time, encoded *peerpb.RateLimit) (limit admission.Observation, ok bool) {
	if encoded == nil || encoded.Named && !inventory.IsValidRate(encoded.PerSecond) {
		return limit, false
	}
	limit = admission.Observation{
		Limit:      inventory.RateLimit{Kind: inventory.RateLimitNone},
		SentAt:     now.Add(-time.Duration(encoded.SentAgeMs) * time.Millisecond),
		ReceivedAt: now.Add(-time.Duration(encoded.HeardAgeMs) * time.Millisecond),
	}
	if encoded.Named {
		limit.Limit = inventory.NewRateLimit(encoded.PerSecond)
	}
	return limit, true
}
