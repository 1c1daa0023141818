package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one segment of a prompt. Requests may share parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// promptCache estimates which prompt parts a server still has cached, from the prompts that were
// sent to it. A cached part is only usable together with all parts before it, so each key covers
// the model, the adapter and all parts up to and including this one.
type promptCache struct {
	lastUse map[uint64]time.Time
}

const (
	// maxCachedParts bounds the parts tracked for one server.
	maxCachedParts = 256
	// cacheEntryTTL is how long a part is assumed to stay cached after its last use.
	cacheEntryTTL = 30 * time.Second
)

func newPromptCache() promptCache {
	return promptCache{lastUse: make(map[uint64]time.Time)}
}

// partKeys returns one key for each prefix of the prompt's parts.
func partKeys(model, adapter string, parts []PromptPart) []uint64 {
	keys := make([]uint64, 0, len(parts))
	digest := xxhash.New()
	_, _ = digest.WriteString(modelKey(model, adapter))
	for _, part := range parts {
		_, _ = digest.WriteString("," + part.ID)
		keys = append(keys, digest.Sum64())
	}
	return keys
}

// cachedTokens returns the number of leading prompt tokens that the server likely has cached.
func (c promptCache) cachedTokens(now time.Time, keys []uint64, parts []PromptPart) float64 {
	tokens := 0
	for i, key := range keys {
		used, ok := c.lastUse[key]
		if !ok || now.Sub(used) > cacheEntryTTL {
			break
		}
		tokens += parts[i].Tokens
	}
	return float64(tokens)
}

func (c promptCache) add(now time.Time, keys []uint64) {
	for _, key := range keys {
		c.lastUse[key] = now
	}
	if len(c.lastUse) > maxCachedParts {
		c.dropOldest()
	}
}

// dropOldest evicts the least recently used parts until at most three quarters of maxCachedParts
// are left.
func (c promptCache) dropOldest() {
	var newest, oldest time.Time
	for _, used := range c.lastUse {
		if oldest.IsZero() || used.Before(oldest) {
			oldest = used
		}
		if used.After(newest) {
			newest = used
		}
	}
	for limit := oldest; len(c.lastUse) > maxCachedParts*3/4; {
		limit = limit.Add(newest.Sub(oldest)/8 + 1)
		for key, used := range c.lastUse {
			if used.Before(limit) {
				delete(c.lastUse, key)
			}
		}
	}
}
