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
	maxCacheEvents = 1024
	// cacheEventDropInterval is the average number of events per dropped one.
	cacheEventDropInterval = 20
)

type prefixKey struct {
	model  fleet.ModelVersion
	prefix uint64
}

type timedCacheEvent struct {
	at    time.Time
	event backend.CacheEvent
}

// prefixCache is an LRU cache of prompt prefix blocks that records its changes
// as events.
type prefixCache struct {
	limit  int
	random *rand.Rand
	// blocks are ordered from the least to the most recently used.
	blocks   *list.List
	elements map[prefixKey]*list.Element
	sequence uint64
	events   []timedCacheEvent
}

func newPrefixCache(options Options, random *rand.Rand) *prefixCache {
	return &prefixCache{
		limit:    options.PrefixCacheBlocks,
		random:   random,
		blocks:   list.New(),
		elements: map[prefixKey]*list.Element{},
	}
}

// access adds the request's blocks to the cache and returns the number of prompt
// tokens that were already cached.
func (p *prefixCache) access(now time.Time, request Request) (cachedTokens int) {
	hit := true
	for _, hash := range request.PrefixHashes {
		key := prefixKey{model: request.Model, prefix: hash}
		hit = hit && p.elements[key] != nil
		if hit {
			cachedTokens += backend.PrefixBlockTokens
		}
		p.touch(now, key)
	}
	for p.blocks.Len() > p.limit {
		oldest := p.blocks.Remove(p.blocks.Front()).(prefixKey)
		delete(p.elements, oldest)
		p.recordEvent(now, oldest, true)
	}
	return cachedTokens
}

func (p *prefixCache) touch(now time.Time, key prefixKey) {
	if element := p.elements[key]; element != nil {
		p.blocks.MoveToBack(element)
		return
	}
	p.elements[key] = p.blocks.PushBack(key)
	p.recordEvent(now, key, false)
}

func (p *prefixCache) recordEvent(now time.Time, key prefixKey, removed bool) {
	p.sequence++
	if p.random.IntN(cacheEventDropInterval) == 0 {
		return
	}
	event := backend.CacheEvent{Sequence: p.sequence, Model: key.model, PrefixHash: key.prefix, Removed: removed}
	p.events = append(p.events, timedCacheEvent{at: now, event: event})
	if len(p.events) > maxCacheEvents {
		p.events = slices.Delete(p.events, 0, len(p.events)-maxCacheEvents)
	}
}

// eventsSince returns the events after a sequence number that occurred no later
// than until.
func (p *prefixCache) eventsSince(since uint64, until time.Time) backend.CacheEvents {
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
