package engine

import (
	"cmp"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// GiB is 2^30 bytes.
const GiB = int64(1) << 30

// ReferenceCheckpointBytes is the checkpoint whose load times Timing gives;
// those of others are in proportion to their size.
const ReferenceCheckpointBytes = 14 * GiB

// Options set up a Core.
type Options struct {
	Backend fleet.Backend
	Role    string
	// Incarnation must differ from that of every earlier start.
	Incarnation uint64
	// MemoryBytes is accelerator memory; KVReserveBytes of it hold KV cache.
	MemoryBytes    int64
	KVReserveBytes int64
	// KVBytesPerToken is what one token of a running request takes.
	KVBytesPerToken int64
	// HostCacheBytes and DiskCacheBytes bound the checkpoints kept beside the
	// accelerator after a load.
	HostCacheBytes int64
	DiskCacheBytes int64
	// Tiers say where checkpoints lie at the start; all others are remote.
	Tiers map[fleet.ModelVersion]fleet.Tier
	// MaxRunning bounds the batch, MaxWaiting the requests behind it.
	MaxRunning int
	MaxWaiting int
	// PrefixCacheBlocks bounds the prefix cache.
	PrefixCacheBlocks int
	Timing            Timing
	// Seed draws the gaps in the cache events.
	Seed uint64
	// Defects are set by tests and the simulator only.
	Defects Defects
}

// Timing holds the durations of the model.
type Timing struct {
	// IterationBase, IterationPerSequence and IterationPerPrefillToken add up
	// to the time of one iteration of the batch.
	IterationBase            time.Duration
	IterationPerSequence     time.Duration
	IterationPerPrefillToken time.Duration
	// RemoteLoad, DiskLoad and HostLoad are for ReferenceCheckpointBytes.
	RemoteLoad  time.Duration
	DiskLoad    time.Duration
	HostLoad    time.Duration
	AdapterLoad time.Duration
	Unload      time.Duration
	// ReportLag is the age of the load report that the engine shows.
	ReportLag time.Duration
	// CacheEventLag is how late cache events are shown.
	CacheEventLag time.Duration
	// KeepStreams is how long an ended or broken stream can be resumed.
	KeepStreams time.Duration
}

// Defects plant faults that the checkers must find. Only tests and the
// simulator set them; no setting or flag reaches them.
type Defects struct {
	// NoFence takes orders and claims with any fence.
	NoFence bool
	// NoMemoryCheck loads beyond the memory.
	NoMemoryCheck bool
	// ForgetOrders carries out a repeated order again.
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

// scaled returns the load time of a checkpoint.
func scaled(reference time.Duration, checkpointBytes int64) time.Duration {
	return time.Duration(float64(reference) * float64(checkpointBytes) / float64(ReferenceCheckpointBytes))
}
