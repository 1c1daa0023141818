package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// words are what one start of a server has told. They outlast its entry: an old list may bring
// that back.
type words struct {
	start   inventory.Start
	leaving bool
	// restUntil is when the rest ends that the server asked this node for.
	restUntil time.Time
	// isProving is set from a rest on until the server has taken a request again, and proof is
	// the one that goes first after the rest, alone.
	isProving bool
	proof     *Flight
	// troubledUntil is when the rest ends that the server asked some other node for.
	troubledUntil time.Time
	rate          rateLimit
	heardAt       time.Time
}

const (
	// wordsKept is how long words are kept of a server without an entry: a server that leaves
	// serves on for seconds, and a store that was away for minutes may bring its entry back.
	wordsKept = 10 * time.Minute
	// maxWords bounds the starts without an entry whose words are kept. Twice as many servers
	// as a node is planned to know could not leave within wordsKept.
	maxWords = 4096
	// proofPatience is how long others wait for the answer of the request that went first after
	// a rest: a server that turns it away does so within a few milliseconds.
	proofPatience = 300 * time.Millisecond
	// troubledCost is added for a server that asked another node for rest: it turns away what
	// comes, as a rule, and so goes after all that do not.
	troubledCost = time.Second
)

// HearStart takes what one start of a server told this node with an answer; it changes nothing for
// another start. News is false where that is nothing to be passed on.
func (c *Core) HearStart(now time.Time, start inventory.Start, word inventory.Word) (news bool) {
	if word.IsEmpty() && !c.namedLimit(start) {
		return false
	}
	told := c.wordsOf(now, start)
	if word.Rest > 0 {
		told.isProving, told.proof = true, nil
	}
	news = c.hear(now, told, word, &told.restUntil)
	limit := admission.Observation{Limit: word.Limit, SentAt: word.SentAt, HeardAt: now}
	return c.observe(told, limit) || news
}

// HearOfStart takes what a peer says that one start of a server told it. That it leaves holds for
// all; a rest was asked of that peer alone, and tells here that the server is in trouble.
func (c *Core) HearOfStart(now time.Time, start inventory.Start, word inventory.Word) (news bool) {
	if word.IsEmpty() {
		return false
	}
	told := c.wordsOf(now, start)
	return c.hear(now, told, word, &told.troubledUntil)
}

// hear adds a word to what was told; until is when the rest ends that it is about.
func (c *Core) hear(now time.Time, told *words, word inventory.Word, until *time.Time) (news bool) {
	news = word.Leaving && !told.leaving || word.Rest > 0 && !now.Before(*until)
	told.leaving = told.leaving || word.Leaving
	if word.Rest > 0 {
		*until = later(*until, now.Add(word.Rest))
	}
	if news {
		c.notify()
	}
	return news
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// wordsOf are the words of a start, which are kept from now on.
func (c *Core) wordsOf(now time.Time, start inventory.Start) *words {
	told, ok := c.words[start]
	if !ok {
		c.pruneWords(now)
		told = &words{start: start}
		c.words[start] = told
		if known, isListed := c.servers[start.ID]; isListed && known.info.Start() == start {
			known.words = told
		}
	}
	told.heardAt = now
	return told
}

// isListed reports whether an entry of the start stands.
func (c *Core) isListed(start inventory.Start) bool {
	known, ok := c.servers[start.ID]
	return ok && known.info.Start() == start
}

// pruneWords makes room for the words of one more start without an entry.
func (c *Core) pruneWords(now time.Time) {
	var unlisted []*words
	for start, told := range c.words {
		if c.isListed(start) {
			continue
		}
		if now.Sub(told.heardAt) > wordsKept {
			delete(c.words, start)
			continue
		}
		unlisted = append(unlisted, told)
	}
	if len(unlisted) < maxWords {
		return
	}
	oldest := slices.MinFunc(unlisted, func(a, b *words) int {
		return cmp.Or(a.heardAt.Compare(b.heardAt), cmp.Compare(a.start.ID, b.start.ID))
	})
	delete(c.words, oldest.start)
}

// saysLeaving reports whether the server told some node that it leaves.
func (s *server) saysLeaving() bool { return s.words != nil && s.words.leaving }

// restsFor is for how long the server wants nothing from this node; 0 where it takes work.
func (s *server) restsFor(now time.Time) time.Duration {
	if s.words == nil {
		return 0
	}
	return max(0, s.words.restUntil.Sub(now))
}

// isProving reports whether the server's rest is over and one request is under way that shows
// whether it takes work again: until then nothing else goes there.
func (s *server) isProving(now time.Time) bool {
	if s.words == nil || !s.words.isProving || s.words.proof == nil {
		return false
	}
	return now.Sub(s.words.proof.started) < proofPatience
}

// isTroubled reports whether the server asked another node for rest.
func (s *server) isTroubled(now time.Time) bool {
	return s.words != nil && now.Before(s.words.troubledUntil)
}

// wantsNothing reports whether nothing may be sent to the server now, though it stays.
func (s *server) wantsNothing(now time.Time) bool { return s.restsFor(now) > 0 || s.isProving(now) }

// beginProof makes a request the one that goes first after a rest.
func (s *server) beginProof(flight *Flight) {
	if s.words != nil && s.words.isProving {
		s.words.proof = flight
	}
}

// endProof takes that the flight's answer began, or that it ended without one. A server that
// told a new rest with it rests on.
func (s *server) endProof(now time.Time, flight *Flight, answered bool) (ended bool) {
	if s.words == nil || s.words.proof != flight {
		return false
	}
	s.words.proof = nil
	if answered && s.restsFor(now) == 0 {
		s.words.isProving = false
	}
	return true
}

// MaySend reports whether a call that is no caller's request may go to the start of a server now.
func (c *Core) MaySend(now time.Time, start inventory.Start) bool {
	told, ok := c.words[start]
	return !ok || !now.Before(told.restUntil)
}

// EndedUnannounced reports whether nobody had said that the server of a flight would end, which
// has ended: that start of it was to take work.
func (c *Core) EndedUnannounced(flight *Flight) bool {
	known, ok := c.servers[flight.start.ID]
	return ok && !flight.server.isGoing() && !known.closed
}

// Start is the start of the server that the request was sent to.
func (f *Flight) Start() inventory.Start { return f.start }

// Age is the time since the request was sent to its server.
func (f *Flight) Age(now time.Time) time.Duration { return now.Sub(f.started) }

// Rests tells when requests for what is wanted may go to a server again that rests, and whether
// another one, which does not, might load it meanwhile; ok is false where none rests.
func (c *Core) Rests(now time.Time, wanted Wanted) (left time.Duration, elsewhere, ok bool) {
	for _, s := range c.listed(wanted.Service, wanted.Model) {
		rest := s.restsFor(now)
		if rest == 0 || s.info.Service != wanted.Service || !s.takesWork() || !c.isIn(s, wanted.Regions) || !s.bears(now, wanted) {
			continue
		}
		if !ok || rest < left {
			left, ok = rest, true
		}
	}
	if !ok {
		return 0, false, false
	}
	elsewhere = slices.ContainsFunc(c.byService[wanted.Service], func(s *server) bool {
		return s.takesWork() && c.isIn(s, wanted.Regions) && s.restsFor(now) == 0
	})
	return left, elsewhere, true
}

// bears reports whether the server has what is wanted, or the model that a wanted adapter is of.
func (s *server) bears(now time.Time, wanted Wanted) bool {
	return s.offers(now, wanted) || wanted.Adapter != "" && s.has(now, wanted.Model, "")
}

// leastAway is the rest from which on a server counts as away for those who place models: less
// than that is over before a copy is loaded elsewhere, from another server's disk or memory.
const leastAway = time.Second

// Away are the starts of servers that said that they leave, that want nothing from this node or
// others for so long, or take so little, that what they hold is better loaded elsewhere.
func (c *Core) Away(now time.Time) []inventory.Start {
	var away []inventory.Start
	for _, told := range c.words {
		until := later(told.restUntil, told.troubledUntil)
		if told.leaving || until.Sub(now) >= leastAway || c.isShortOfRate(now, told) {
			away = append(away, told.start)
		}
	}
	return away
}
