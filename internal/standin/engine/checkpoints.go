package engine

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// checkpointCache tracks the storage tier of each checkpoint that the engine's
// host keeps. Eviction is least recently used: from host memory to disk, and
// from disk to the weight store, from which it has to be read again.
type checkpointCache struct {
	hostBytes int64
	diskBytes int64
	// entries are ordered from the least to the most recently used.
	entries []checkpoint
}

type checkpoint struct {
	model fleet.ModelVersion
	bytes int64
	tier  fleet.Tier
}

func newCheckpointCache(options Options) *checkpointCache {
	cache := &checkpointCache{hostBytes: options.HostCacheBytes, diskBytes: options.DiskCacheBytes}
	models := slices.SortedFunc(maps.Keys(options.Tiers), fleet.ModelVersion.Compare)
	for _, model := range models {
		cache.entries = append(cache.entries, checkpoint{model: model, tier: options.Tiers[model]})
	}
	return cache
}

func (k *checkpointCache) tier(model fleet.ModelVersion) fleet.Tier {
	for _, entry := range k.entries {
		if entry.model == model {
			return entry.tier
		}
	}
	return fleet.TierRemote
}

func (k *checkpointCache) add(model fleet.ModelVersion, bytes int64) {
	k.entries = slices.DeleteFunc(k.entries, func(entry checkpoint) bool { return entry.model == model })
	k.entries = append(k.entries, checkpoint{model: model, bytes: bytes, tier: fleet.TierMemory})
	k.demote(fleet.TierMemory, fleet.TierDisk, k.hostBytes)
	k.demote(fleet.TierDisk, fleet.TierRemote, k.diskBytes)
	k.entries = slices.DeleteFunc(k.entries, func(entry checkpoint) bool { return entry.tier == fleet.TierRemote })
}

// demote moves the least recently used checkpoints of one tier to the next until
// the rest fits in limit bytes.
func (k *checkpointCache) demote(from, to fleet.Tier, limit int64) {
	var used int64
	for _, entry := range k.entries {
		if entry.tier == from {
			used += entry.bytes
		}
	}
	for index := range k.entries {
		if used <= limit {
			return
		}
		if k.entries[index].tier == from {
			k.entries[index].tier = to
			used -= k.entries[index].bytes
		}
	}
}

func (k *checkpointCache) snapshot() map[fleet.ModelVersion]fleet.Tier {
	tiers := make(map[fleet.ModelVersion]fleet.Tier, len(k.entries))
	for _, entry := range k.entries {
		tiers[entry.model] = entry.tier
	}
	return tiers
}
