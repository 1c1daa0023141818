package engine

import (
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	keptCacheEvents = 1024
	// cacheEventGap is how many events there are for one that is never shown.
	cacheEventGap = 20
)

type prefixKey struct {
	model  fleet.ModelVersion
	prefix uint64
}

type timedCacheEvent struct {
	at    time.Time
	event backend.CacheEvent
}

// prefixCache keeps the blocks used last.
type prefixCache struct {
	limit  int
	random *rand.Rand
	// blocks go from the least to the most recently used.
	blocks   *list.List
	held     map[prefixKey]*list.Element
	sequence uint64
	events   []timedCacheEvent
}

func newPrefixCache(options Options, random *rand.Rand) *prefixCache {
	return &prefixCache{
		limit:  options.PrefixCacheBlocks,
		random: random,
		blocks: list.New(),
		held:   map[prefixKey]*list.Element{},
	}
}

// use stores the request's blocks and returns how many prompt tokens were
// cached already.
func (p *prefixCache) use(now time.Time, request Request) (cachedTokens int) {
	hit := true
	for _, hash := range request.PrefixHashes {
		key := prefixKey{model: request.Model, prefix: hash}
		hit = hit && p.held[key] != nil
		if hit {
			cachedTokens += backend.PrefixBlockTokens
		}
		p.touch(now, key)
	}
	for p.blocks.Len() > p.limit {
		oldest := p.blocks.Remove(p.blocks.Front()).(prefixKey)
		delete(p.held, oldest)
		p.note(now, oldest, true)
	}
	return cachedTokens
}

func (p *prefixCache) touch(now time.Time, key prefixKey) {
	if element := p.held[key]; element != nil {
		p.blocks.MoveToBack(element)
		return
	}
	p.held[key] = p.blocks.PushBack(key)
	p.note(now, key, false)
}

func (p *prefixCache) note(now time.Time, key prefixKey, removed bool) {
	p.sequence++
	if p.random.IntN(cacheEventGap) == 0 {
		return
	}
	event := backend.CacheEvent{Sequence: p.sequence, Model: key.model, PrefixHash: key.prefix, Removed: removed}
	p.events = append(p.events, timedCacheEvent{at: now, event: event})
	if len(p.events) > keptCacheEvents {
		p.events = slices.Delete(p.events, 0, len(p.events)-keptCacheEvents)
	}
}

// read returns the events after a sequence number that happened until a time.
func (p *prefixCache) read(since uint64, until time.Time) backend.CacheEvents {
	answer := backend.CacheEvents{Next: since, Events: []backend.CacheEvent{}}
	for _, timed := range p.events {
		if timed.at.After(until) {
			break
		}
		if timed.event.Sequence > since {
			answer.Events = append(answer.Events, timed.event)
			answer.Next = timed.event.Sequence
		}
	}
	return answer
}
