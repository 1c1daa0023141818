package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is one part of a prompt; parts are shared between requests.
type PromptPart struct {
	ID     string
	Tokens int
}

// promptCache is what a server likely keeps of the prompts that were sent to
// it. A part is of use only behind all parts before it, so a key covers the
// model, the adapter and the parts up to it.
type promptCache struct {
	lastUse map[uint64]time.Time
}

const (
	// maxCachedParts bounds what is remembered for one server.
	maxCachedParts = 256
	// cacheMemory is how long a part is taken to be kept.
	cacheMemory = 30 * time.Second
)

func newPromptCache() promptCache {
	return promptCache{lastUse: make(map[uint64]time.Time)}
}

// partKeys are the keys of the prompt's leading parts.
func partKeys(model, adapter string, parts []PromptPart) []uint64 {
	keys := make([]uint64, 0, len(parts))
	digest := xxhash.New()
	_, _ = digest.WriteString(joined(model, adapter))
	for _, part := range parts {
		_, _ = digest.WriteString("," + part.ID)
		keys = append(keys, digest.Sum64())
	}
	return keys
}

// kept is the number of leading tokens that the server likely keeps.
func (c promptCache) kept(now time.Time, keys []uint64, parts []PromptPart) float64 {
	tokens := 0
	for i, key := range keys {
		used, ok := c.lastUse[key]
		if !ok || now.Sub(used) > cacheMemory {
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

// dropOldest makes room for a quarter of the bound at a time.
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
