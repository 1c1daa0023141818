package checkpoint

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/origins"
)

const (
	// WritePeriod is the least time between two writes of one shard.
	WritePeriod = 500 * time.Millisecond
	// callShare is the share of the store's rates that shards may use.
	callShare = 0.02
	maxShards = 32
	// MaxShardEntries bounds the streams of a shard, the latest ones, to some 100 KB.
	MaxShardEntries = 1000
	// minReadPeriod is the least time between two reads of one shard by a node in a small fleet.
	minReadPeriod = time.Second
)

// Shards divides the streams whose origins are kept in the store among objects. All nodes of a fleet have to
// divide them alike.
type Shards struct {
	Count int
	// readsPerSecond is the number of reads of shards that all nodes may make; 0 if the store names no rate.
	readsPerSecond float64
}

// NewShards returns as many shards as the store's rates, in calls per second of all nodes, allow.
func NewShards(readsPerSecond, writesPerSecond float64) Shards {
	count := int(callShare * writesPerSecond * WritePeriod.Seconds())
	return Shards{Count: min(max(1, count), maxShards), readsPerSecond: callShare * readsPerSecond}
}

// Of returns the shard of a stream.
func (s Shards) Of(key origins.Key) int {
	return int(binary.BigEndian.Uint64(key[8:]) % uint64(s.Count))
}

// ReadPeriod is the least time between two reads of one shard by each of the nodes.
func (s Shards) ReadPeriod(nodes int) time.Duration {
	if s.readsPerSecond <= 0 {
		return minReadPeriod
	}
	period := float64(nodes*s.Count) / s.readsPerSecond
	return max(minReadPeriod, time.Duration(period*float64(time.Second)))
}

// Name is the name of a shard's object.
func (s Shards) Name(shard int) string { return fmt.Sprintf("origins-%d", shard) }

// Writer returns the address of the member that writes the shard.
func (s Shards) Writer(shard int, members []origins.Member) string {
	writers := origins.Keepers(origins.NewKey("", s.Name(shard)), members, 1)
	if len(writers) == 0 {
		return ""
	}
	return writers[0]
}
