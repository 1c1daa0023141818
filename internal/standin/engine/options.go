package engine

import (
	"cmp"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// GiB is one gibibyte (2^30 bytes).
const GiB = int64(1) << 30

// ReferenceCheckpointBytes is the checkpoint size to which the load times in
// Timing refer; load times scale linearly with the size.
const ReferenceCheckpointBytes = 14 * GiB

// Options configures a Core; most zero values take a default.
type Options struct {
	Backend fleet.Backend
	Role    string
	// Incarnation must differ from that of every earlier start of the engine.
	Incarnation uint64
	// MemoryBytes is the accelerator memory, of which KVReserveBytes are
	// reserved for the KV cache.
	MemoryBytes    int64
	KVReserveBytes int64
	// KVBytesPerToken is the KV cache size of one token of a running request.
	KVBytesPerToken int64
	// HostCacheBytes and DiskCacheBytes limit the checkpoints cached in host
	// memory and on disk after a load.
	HostCacheBytes int64
	DiskCacheBytes int64
	// Tiers holds the initial tiers of checkpoints; all others are remote.
	Tiers map[fleet.ModelVersion]fleet.Tier
	// MaxRunning limits the batch size, MaxWaiting the waiting queue.
	MaxRunning int
	MaxWaiting int
	// PrefixCacheBlocks is the capacity of the prefix cache.
	PrefixCacheBlocks int
	Timing            Timing
	// Seed seeds the random choice of cache events that are dropped.
	Seed uint64
	// Defects are set only by tests and the simulator.
	Defects Defects
}

// Timing holds the simulated durations; zero values take the defaults.
type Timing struct {
	// IterationBase, IterationPerSequence and IterationPerPrefillToken make up
	// the duration of one iteration of the batch.
	IterationBase            time.Duration
	IterationPerSequence     time.Duration
	IterationPerPrefillToken time.Duration
	// RemoteLoad, DiskLoad and HostLoad are the load times of a checkpoint of
	// ReferenceCheckpointBytes from each tier.
	RemoteLoad  time.Duration
	DiskLoad    time.Duration
	HostLoad    time.Duration
	AdapterLoad time.Duration
	Unload      time.Duration
	// ReportLag is the age of the load report in the engine's state.
	ReportLag time.Duration
	// CacheEventLag is the delay until cache events can be read.
	CacheEventLag time.Duration
	// KeepStreams is how long a stream can be resumed after its request has
	// ended.
	KeepStreams time.Duration
}

// Defects are deliberate bugs that the invariant checkers have to detect. Only
// tests and the simulator set them; no configuration option or flag does.
type Defects struct {
	// NoFence accepts orders and claims with any fence.
	NoFence bool
	// NoMemoryCheck loads models without checking the free memory.
	NoMemoryCheck bool
	// ForgetOrders executes a repeated order again.
	ForgetOrders bool
}

func (o Options) withDefaults() Options {
	o.Backend.Kind = fleet.KindEngine
	o.MemoryBytes = cmp.Or(o.MemoryBytes, 80*GiB)
	o.KVBytesPerToken = cmp.Or(o.KVBytesPerToken, 128<<10)
	o.HostCacheBytes = cmp.Or(o.HostCacheBytes, 64*GiB)
	o.DiskCacheBytes = cmp.Or(o.DiskCacheBytes, 512*GiB)
	o.MaxRunning = cmp.Or(o.MaxRunning, 64)
	o.MaxWaiting = cmp.Or(o.MaxWaiting, 256)
	o.PrefixCacheBlocks = cmp.Or(o.PrefixCacheBlocks, 4096)
	o.Timing.IterationBase = cmp.Or(o.Timing.IterationBase, 20*time.Millisecond)
	o.Timing.IterationPerSequence = cmp.Or(o.Timing.IterationPerSequence, 100*time.Microsecond)
	o.Timing.IterationPerPrefillToken = cmp.Or(o.Timing.IterationPerPrefillToken, 20*time.Microsecond)
	o.Timing.RemoteLoad = cmp.Or(o.Timing.RemoteLoad, 20*time.Second)
	o.Timing.DiskLoad = cmp.Or(o.Timing.DiskLoad, o.Timing.RemoteLoad/4)
	o.Timing.HostLoad = cmp.Or(o.Timing.HostLoad, o.Timing.RemoteLoad/20)
	o.Timing.AdapterLoad = cmp.Or(o.Timing.AdapterLoad, 200*time.Millisecond)
	o.Timing.Unload = cmp.Or(o.Timing.Unload, 50*time.Millisecond)
	o.Timing.ReportLag = cmp.Or(o.Timing.ReportLag, 200*time.Millisecond)
	o.Timing.CacheEventLag = cmp.Or(o.Timing.CacheEventLag, 500*time.Millisecond)
	o.Timing.KeepStreams = cmp.Or(o.Timing.KeepStreams, 10*time.Second)
	return o
}

// scaledLoadTime scales a reference load time to the size of a checkpoint.
func scaledLoadTime(reference time.Duration, checkpointBytes int64) time.Duration {
	return time.Duration(float64(reference) * float64(checkpointBytes) / float64(ReferenceCheckpointBytes))
}
