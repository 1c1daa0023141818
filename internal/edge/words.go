package edge

import (
	"sync"
	"time"

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
}

func newServerWords(node *Node) *serverWords {
	return &serverWords{node: node, told: gossip.NewWords()}
}

// hearCall takes what a server told with its answer to an order or the question for a report.
func (w *serverWords) hearCall(start inventory.Start, word inventory.Word, from wordSource) {
	news := false
	w.node.dispatch.Do(func(core *dispatch.Core) { news = core.HearStart(clock.Now(), start, word) })
	if news {
		w.passOn(start, word, from)
	}
}

// passOn logs what is news here, and lets peers hear of it.
func (w *serverWords) passOn(start inventory.Start, word inventory.Word, from wordSource) {
	w.node.options.Logger.Info().Str("server", start.ID).Int64("born", start.Born).Bool("leaving", word.Leaving).
		Int64("rest_ms", word.Rest.Milliseconds()).Str("from", string(from)).Msg("server_word")
	w.node.metrics.word(word, from)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told.Learn(clock.Now(), gossip.WordItem{Start: start, Word: word})
}

// hearPeer takes what a peer tells.
func (w *serverWords) hearPeer(now time.Time, told []*peerpb.ServerWord) {
	for _, item := range wordsOf(told) {
		news := false
		w.node.dispatch.Do(func(core *dispatch.Core) { news = core.HearOfStart(now, item.Start, item.Word) })
		if news {
			w.passOn(item.Start, item.Word, wordFromPeer)
		}
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
		})
	}
	return encoded
}

// wordsOf are the words that a peer tells. A server without a name is none.
func wordsOf(told []*peerpb.ServerWord) []gossip.WordItem {
	items := make([]gossip.WordItem, 0, len(told))
	for _, word := range told {
		if word.Server == "" || word.Born < 0 {
			continue
		}
		items = append(items, gossip.WordItem{
			Start: inventory.Start{ID: word.Server, Born: word.Born},
			Word:  inventory.Word{Leaving: word.Leaving, Rest: time.Duration(word.RestMs) * time.Millisecond},
		})
	}
	return items
}
