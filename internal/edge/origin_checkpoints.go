package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"
	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/checkpoint"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

const (
	// checkpointTimeout bounds one call for a checkpoint.
	checkpointTimeout = 1500 * time.Millisecond
	// checkpointRetryPause is the mean pause after a call that failed.
	checkpointRetryPause = time.Second
)

// originCheckpoints keeps in the store where streams of services with several software versions began. Each
// shard has one node that writes it; the others send it their streams as to any keeper. It is safe for
// concurrent use.
type originCheckpoints struct {
	node   *Node
	shards checkpoint.Shards
	reads  singleflight.Group
	// Counters for metrics.
	writes, failures, recalled atomic.Int64

	mu sync.Mutex
	// changed holds the shards with streams that are not written yet.
	changed map[int]bool
	// read holds the shards that were read for callers.
	read map[int]readShard

	// failedAt is when a read for callers last failed.
	failedAt time.Time

	// Used by run alone: the position of each shard that this node writes, and when the next call is due after
	// one that failed.
	positions map[int]storepos.Position
	nextCall  time.Time
}

// readShard is a shard as read at a time.
type readShard struct {
	entries map[origins.Key]origins.Entry
	at      time.Time
}

func newOriginCheckpoints(node *Node) *originCheckpoints {
	return &originCheckpoints{
		node: node, shards: checkpoint.NewShards(node.options.StoreReadsPerSecond, node.options.StoreWritesPerSecond),
		changed: make(map[int]bool), read: make(map[int]readShard), positions: make(map[int]storepos.Position),
	}
}

// markChanged records that the stream is to be written, if this node is the one that does.
func (c *originCheckpoints) markChanged(key origins.Key) {
	if c.node.options.Checkpoints == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed[c.shards.Of(key)] = true
}

// writer returns the address of the node that writes the stream's shard; empty if nothing is kept.
func (c *originCheckpoints) writer(now time.Time, key origins.Key) string {
	if c.node.options.Checkpoints == nil {
		return ""
	}
	return c.shards.Writer(c.shards.Of(key), c.node.peers.membersAndSelf(now))
}

// run writes the shards that are this node's. Services that run one software version need none: their streams
// go on at it.
func (c *originCheckpoints) run(ctx context.Context) {
	if c.node.options.Checkpoints == nil {
		return
	}
	for ctx.Err() == nil {
		sleep(ctx, checkpoint.WritePeriod)
		c.writeDue(ctx)
	}
}

// writeDue writes the shards of this node that have changed.
func (c *originCheckpoints) writeDue(ctx context.Context) {
	now := clock.Now()
	if now.Before(c.nextCall) || !c.hasMixedServices(now) {
		return
	}
	members := c.node.peers.membersAndSelf(now)
	for shard := range c.shards.Count {
		switch {
		case c.shards.Writer(shard, members) != c.node.peers.address:
			delete(c.positions, shard)
		case !c.isDue(shard):
		default:
			if err := c.update(ctx, now, shard); err != nil {
				c.failures.Add(1)
				c.node.options.Logger.Warn().Str("name", c.shards.Name(shard)).Str("error", err.Error()).Msg("checkpoint_not_written")
				c.nextCall = clock.Now().Add(checkpointRetryPause/2 + rand.N(checkpointRetryPause))
				return
			}
		}
	}
}

func (c *originCheckpoints) hasMixedServices(now time.Time) (isMixed bool) {
	c.node.dispatch.Do(func(core *dispatch.Core) { isMixed = core.HasMixedServices(now) })
	return isMixed
}

// isDue reports whether the shard has changed, or was written before the store was restored from a copy.
func (c *originCheckpoints) isDue(shard int) bool {
	at, isWritten := c.positions[shard]
	if isWritten && at.Era < c.node.directory.position().Era {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed[shard]
}

// update writes a shard. What changes meanwhile is written the next time.
func (c *originCheckpoints) update(ctx context.Context, now time.Time, shard int) error {
	c.setChanged(shard, false)
	isWritten, err := c.write(ctx, now, shard)
	if !isWritten {
		c.setChanged(shard, true)
	}
	return err
}

// write writes a shard and reports whether that was done. What others have written there since this node last did is
// read before, and kept.
func (c *originCheckpoints) write(ctx context.Context, now time.Time, shard int) (isWritten bool, err error) {
	entries := c.node.origins.entriesOf(now, func(key origins.Key) bool { return c.shards.Of(key) == shard })
	if len(entries) == 0 {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, checkpointTimeout)
	defer cancel()
	at, isKnown := c.positions[shard]
	if !isKnown {
		stored, storedAt, err := c.readShard(ctx, shard)
		if err != nil {
			return false, err
		}
		at = storedAt
		entries = c.node.origins.mergeStored(now, entries, stored)
	}
	entries = entries[max(0, len(entries)-checkpoint.MaxShardEntries):]
	data, err := proto.Marshal(&peerpb.OriginShard{Origins: encodeOrigins(now, entries)})
	if err != nil {
		return false, err
	}
	at, won, err := c.node.options.Checkpoints.WriteCheckpoint(ctx, checkpoint.Object{Name: c.shards.Name(shard), Data: data, Position: at})
	if err != nil || !won {
		delete(c.positions, shard)
		return false, err
	}
	c.writes.Add(1)
	c.positions[shard] = at
	return true, nil
}

func (c *originCheckpoints) setChanged(shard int, isChanged bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed[shard] = isChanged
}

// readShard reads a shard from the store. One that does not exist is empty.
func (c *originCheckpoints) readShard(ctx context.Context, shard int) (entries []origins.Entry, at storepos.Position, err error) {
	object, _, err := c.node.options.Checkpoints.ReadCheckpoint(ctx, c.shards.Name(shard))
	if err != nil {
		return nil, at, err
	}
	var stored peerpb.OriginShard
	if err := proto.Unmarshal(object.Data, &stored); err != nil {
		c.node.options.Logger.Warn().Str("name", object.Name).Str("error", err.Error()).Msg("checkpoint_unreadable")
		stored.Reset()
	}
	now := clock.Now()
	for _, encoded := range stored.Origins {
		if entry, ok := decodeOrigin(now, encoded); ok {
			entries = append(entries, entry)
		}
	}
	return entries, object.Position, nil
}

// find returns the origin of a stream that no node knows. ok is false if the store does not know it either; err
// is set if the store did not answer in time.
func (c *originCheckpoints) find(ctx context.Context, key origins.Key) (entry origins.Entry, ok bool, err error) {
	shard, now := c.shards.Of(key), clock.Now()
	_, nodes := c.node.peers.rank(now)
	c.mu.Lock()
	known, isRead := c.read[shard]
	c.mu.Unlock()
	if !isRead || now.Sub(known.at) >= c.shards.ReadPeriod(nodes) {
		if known, err = c.awaitRead(ctx, shard); err != nil {
			return entry, false, err
		}
	}
	entry, ok = known.entries[key]
	if ok = ok && entry.ExpiresAt.After(clock.Now()); ok {
		c.recalled.Add(1)
	}
	return entry, ok, nil
}

// awaitRead reads a shard. Requests that wait for it share one reading.
func (c *originCheckpoints) awaitRead(ctx context.Context, shard int) (readShard, error) {
	reading := c.reads.DoChan(strconv.Itoa(shard), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), checkpointTimeout)
		defer cancel()
		requestedAt := clock.Now()
		if c.hasFailedLately(requestedAt) {
			return readShard{}, errReadPaused
		}
		entries, _, err := c.readShard(ctx, shard)
		if err != nil {
			c.recordReadFailure(requestedAt)
			return readShard{}, err
		}
		read := readShard{entries: make(map[origins.Key]origins.Entry, len(entries)), at: requestedAt}
		for _, entry := range entries {
			read.entries[entry.Key] = entry
		}
		c.mu.Lock()
		c.read[shard] = read
		c.mu.Unlock()
		c.node.options.Logger.Info().Str("name", c.shards.Name(shard)).Int("streams", len(entries)).Msg("checkpoint_read")
		return read, nil
	})
	ctx, cancel := context.WithTimeout(ctx, recallWait)
	defer cancel()
	select {
	case result := <-reading:
		read, _ := result.Val.(readShard)
		return read, result.Err
	case <-ctx.Done():
		return readShard{}, ctx.Err()
	}
}

// errReadPaused marks a read that was not made, as one has just failed.
var errReadPaused = errors.New("no checkpoint is read shortly after a read failed")

func (c *originCheckpoints) hasFailedLately(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.failedAt) < recallPeriod
}

func (c *originCheckpoints) recordReadFailure(now time.Time) {
	c.failures.Add(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedAt = now
}

// sweep drops what was read so long ago that all of it has expired.
func (c *originCheckpoints) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for shard, read := range c.read {
		if now.Sub(read.at) > origins.MaxLifetime {
			delete(c.read, shard)
		}
	}
}

// entriesOf returns the origins known here of streams in services with several software versions whose keys
// match, the oldest first.
func (o *streamOrigins) entriesOf(now time.Time, matches func(key origins.Key) bool) []origins.Entry {
	o.mu.Lock()
	entries := slices.DeleteFunc(o.table.All(now), func(entry origins.Entry) bool { return !matches(entry.Key) })
	o.mu.Unlock()
	return o.review(o.ofMixedServices(now, entries))
}

// mergeStored keeps the stored entries, and returns what is known by now of those and of the given ones, the stored
// ones that were not known here first.
func (o *streamOrigins) mergeStored(now time.Time, entries, stored []origins.Entry) []origins.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := make(map[origins.Key]int, len(entries))
	for i, entry := range entries {
		at[entry.Key] = i
	}
	var added []origins.Entry
	for _, entry := range stored {
		o.table.Put(now, entry)
		if i, isListed := at[entry.Key]; isListed {
			entries[i] = origins.Merge(entries[i], entry)
		} else if known, ok := o.table.Find(now, entry.Key); ok {
			added = append(added, known)
		}
	}
	return append(added, entries...)
}
