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

// wordSource is where a server's word came from.
type wordSource string

const (
	wordFromAnswer wordSource = "answer"
	wordFromOrder  wordSource = "order"
	wordFromReport wordSource = "report"
	wordFromPeer   wordSource = "peer"
)

// serverWords passes on what servers tell of themselves with their answers. It is safe for
// concurrent use.
type serverWords struct {
	node *Node
	mu   sync.Mutex
	told *gossip.Words
	// unread are the names of fields that servers told and nodes do not read, and unreadCount counts
	// the answers that had one.
	unread      map[string]bool
	unreadCount atomic.Int64
}

// maxUnreadFields bounds the names of unread fields that are kept and logged.
const maxUnreadFields = 32

func newServerWords(node *Node) *serverWords {
	return &serverWords{node: node, told: gossip.NewWords(), unread: make(map[string]bool)}
}

// noteUnread logs the name of a field that nodes do not read, once.
func (w *serverWords) noteUnread(serverID, field string) {
	w.unreadCount.Add(1)
	w.mu.Lock()
	isNew := !w.unread[field] && len(w.unread) < maxUnreadFields
	if isNew {
		w.unread[field] = true
	}
	w.mu.Unlock()
	if isNew {
		w.node.options.Logger.Warn().Str("server", serverID).Str("field", field).Msg("server_field_unread")
	}
}

// hearCall takes what a server told with its answer to an order or the question for a report.
func (w *serverWords) hearCall(start inventory.Start, word inventory.Word, from wordSource) {
	news := false
	w.node.dispatch.Do(func(core *dispatch.Core) { news = core.HearStart(clock.Now(), start, word) })
	if news {
		w.passOn(start, word, from)
	}
}

// hearLimit takes what a peer knows of a start's rate limit.
func (w *serverWords) hearLimit(now time.Time, start inventory.Start, limit admission.Observation) {
	news := false
	w.node.dispatch.Do(func(core *dispatch.Core) { news = core.HearOfLimit(now, start, limit) })
	if news {
		w.passOn(start, inventory.Word{Limit: limit.Limit, SentAt: limit.SentAt}, wordFromPeer)
	}
}

// passOn logs what is news here, and lets peers hear of it.
func (w *serverWords) passOn(start inventory.Start, word inventory.Word, from wordSource) {
	var limit admission.RateLimit
	w.node.dispatch.Do(func(core *dispatch.Core) { limit, _ = core.RateLimit(start) })
	withLimit(w.node.options.Logger.Info(), word).Str("server", start.ID).Int64("born", start.Born).Bool("leaving", word.Leaving).
		Int64("rest_ms", word.Rest.Milliseconds()).Str("from", string(from)).Msg("server_word")
	w.node.metrics.word(word, from)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told.Learn(clock.Now(), gossip.WordItem{Start: start, Word: word, Limit: limit.Latest()})
}

// hearPeer takes what a peer tells.
func (w *serverWords) hearPeer(now time.Time, told []*peerpb.ServerWord) {
	for _, item := range wordsOf(now, told) {
		news := false
		w.node.dispatch.Do(func(core *dispatch.Core) { news = core.HearOfStart(now, item.Start, item.Word) })
		if news {
			w.passOn(item.Start, item.Word, wordFromPeer)
		}
		w.hearLimit(now, item.Start, item.Limit)
	}
}

// wire are the words that are told in this period.
func (w *serverWords) wire(now time.Time) []*peerpb.ServerWord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var encoded []*peerpb.ServerWord
	for _, item := range w.told.Tell(now) {
		encoded = append(encoded, &peerpb.ServerWord{
			Server: item.Start.ID, Born: item.Start.Born, Leaving: item.Word.Leaving, RestMs: uint32(item.Word.Rest.Milliseconds()),
			Limit: encodeLimit(now, item.Limit),
		})
	}
	return encoded
}

// wordsOf are the words that a peer tells. A server without a name is none.
func wordsOf(now time.Time, told []*peerpb.ServerWord) []gossip.WordItem {
	items := make([]gossip.WordItem, 0, len(told))
	for _, word := range told {
		if word.Server == "" || word.Born < 0 {
			continue
		}
		limit, _ := decodeLimit(now, word.Limit)
		items = append(items, gossip.WordItem{
			Start: inventory.Start{ID: word.Server, Born: word.Born},
			Word:  inventory.Word{Leaving: word.Leaving, Rest: time.Duration(word.RestMs) * time.Millisecond},
			Limit: limit,
		})
	}
	return items
}

// encodeLimit is a rate limit as peers are told it; nil where the server never named one. Ages are
// rounded to the side on which the limit holds longer.
func encodeLimit(now time.Time, limit admission.Observation) *peerpb.RateLimit {
	if limit.Limit.Kind == inventory.RateLimitUntold {
		return nil
	}
	return &peerpb.RateLimit{
		Named: limit.Limit.IsNamed(), PerSecond: limit.Limit.PerSecond,
		SentAgeMs: wireAge(now, limit.SentAt) + 1, HeardAgeMs: wireAge(now, limit.HeardAt),
	}
}

// wireAge is the age of a moment in milliseconds, up to longestAge.
func wireAge(now, at time.Time) uint32 {
	return uint32(min(max(0, now.Sub(at)), longestAge).Milliseconds())
}

// decodeLimit is what a peer tells of a rate limit; ok is false where it tells none, or none that
// can be.
func decodeLimit(now time.Time, told *peerpb.RateLimit) (limit admission.Observation, ok bool) {
	if told == nil || told.Named && !inventory.IsRate(told.PerSecond) {
		return limit, false
	}
	limit = admission.Observation{
		Limit:   inventory.RateLimit{Kind: inventory.RateLimitNone},
		SentAt:  now.Add(-time.Duration(told.SentAgeMs) * time.Millisecond),
		HeardAt: now.Add(-time.Duration(told.HeardAgeMs) * time.Millisecond),
	}
	if told.Named {
		limit.Limit = inventory.NamedRate(told.PerSecond)
	}
	return limit, true
}
