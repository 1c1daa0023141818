package edge

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/checkpoint"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/relay"
)

// newCheckpointedNodes returns connected nodes that keep what they know in the store.
func newCheckpointedNodes(t *testing.T, store CheckpointStore, count int) []*Node {
	t.Helper()
	nodes := newVersionedNodes(t, count, "v1", "v2")
	for _, node := range nodes {
		node.options.Checkpoints = store
		node.history.observe(clock.Now().Add(-time.Hour))
	}
	return nodes
}

func newOrigin(id, version string) origins.Entry {
	now := clock.Now()
	return origins.Entry{Key: origins.NewKey("caller", id), Origin: origins.Origin{Service: "s", SoftwareVersion: version}, RecordedAt: now, ExpiresAt: now.Add(time.Minute)}
}

// TestOriginsOutliveAllNodes guards against refusing streams after all nodes lost power while several software
// versions serve: where they began was known to the processes alone.
func TestOriginsOutliveAllNodes(t *testing.T) {
	store := newFakeCheckpoints()
	lost := newCheckpointedNodes(t, store, 3)
	const streams = 20
	for i := range streams {
		lost[0].origins.Record(newOrigin(fmt.Sprint(i), "v1"))
	}
	for _, node := range lost {
		awaitSize(t, node, streams)
		node.origins.checkpoints.writeDue(context.Background())
	}
	started := newCheckpointedNodes(t, store, 2)
	for i := range streams {
		got := started[i%2].origins.Find(context.Background(), newOrigin(fmt.Sprint(i), "").Key, "s")
		if !got.IsKnown || got.Entry.Origin.SoftwareVersion != "v1" || got.Source != relay.OriginFromStore {
			t.Errorf("stream %d: got %+v, want its origin from the store", i, got)
		}
	}
	if got := started[0].origins.Find(context.Background(), newOrigin("unknown", "").Key, "s"); got.IsKnown || got.IsPartial {
		t.Errorf("got %+v, want a stream that nobody knows", got)
	}
	// What the former nodes wrote stays when the shard has another writer.
	started[1].origins.Record(newOrigin("later", "v2"))
	for _, node := range started {
		awaitSize(t, node, 1)
		node.origins.checkpoints.writeDue(context.Background())
	}
	stored := 0
	shards := started[0].origins.checkpoints.shards
	for shard := range shards.Count {
		entries, _, err := started[0].origins.checkpoints.readShard(context.Background(), shard)
		if err != nil {
			t.Fatal(err)
		}
		stored += len(entries)
	}
	if stored != streams+1 {
		t.Errorf("%d streams in the store, want %d", stored, streams+1)
	}
}

// TestUnreadableCheckpointsHideStreams guards against answers about streams whose record is damaged or out of
// reach: they are not known, and no stream is taken for another.
func TestUnreadableCheckpointsHideStreams(t *testing.T) {
	whole, err := proto.Marshal(&peerpb.OriginShard{Origins: encodeOrigins(clock.Now(), []origins.Entry{newOrigin("a", "v1"), {Key: newOrigin("b", "").Key}})})
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct {
		data             []byte
		fails            bool
		isKnown, partial bool
	}{
		"whole beside an entry without a service": {data: whole, isKnown: true},
		"cut short":         {data: whole[:len(whole)-3], isKnown: false},
		"of another kind":   {data: []byte("text"), isKnown: false},
		"empty":             {data: nil},
		"the store is away": {data: whole, fails: true, partial: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := newFakeCheckpoints()
			node := newCheckpointedNodes(t, store, 1)[0]
			store.putData(node.origins.checkpoints.shards.Name(0), c.data)
			store.fails = c.fails
			if node.origins.checkpoints.shards.Count != 1 {
				t.Fatal("a store without a rate has several shards")
			}
			got := node.origins.Find(context.Background(), newOrigin("a", "").Key, "s")
			if got.IsKnown != c.isKnown || got.IsPartial != c.partial {
				t.Errorf("got %+v, want known %v, partial %v", got, c.isKnown, c.partial)
			}
			if got := node.origins.Find(context.Background(), newOrigin("b", "").Key, "s"); got.IsKnown {
				t.Errorf("got %+v of an entry without a service", got)
			}
		})
	}
}

// TestCheckpointIsBounded guards against objects beyond the size that the store takes, and against calls for
// services at which all streams began at one software version.
func TestCheckpointIsBounded(t *testing.T) {
	store := newFakeCheckpoints()
	node := newCheckpointedNodes(t, store, 1)[0]
	for i := range checkpoint.MaxShardEntries + 50 {
		node.origins.receive(clock.Now(), encodeOrigins(clock.Now(), []origins.Entry{newOrigin(fmt.Sprint(i), "v1")}))
	}
	node.origins.checkpoints.writeDue(context.Background())
	entries, _, err := node.origins.checkpoints.readShard(context.Background(), 0)
	if err != nil || len(entries) != checkpoint.MaxShardEntries || store.writes != 1 {
		t.Errorf("%d entries after %d writes, %v; want %d after one", len(entries), store.writes, err, checkpoint.MaxShardEntries)
	}
	node.origins.checkpoints.writeDue(context.Background())
	single := newVersionedNodes(t, 1, "v1")[0]
	single.options.Checkpoints = store
	single.origins.Record(newOrigin("single", "v1"))
	single.origins.checkpoints.writeDue(context.Background())
	if store.writes != 1 {
		t.Errorf("%d writes, want none where nothing changed or one version serves", store.writes)
	}
}

// TestStoredOriginsAreNotReplacedByEarlierOnes guards against a node that begins to write a shard, and replaces what
// its predecessor knew for certain by what it knows itself.
func TestStoredOriginsAreNotReplacedByEarlierOnes(t *testing.T) {
	store := newFakeCheckpoints()
	node := newCheckpointedNodes(t, store, 1)[0]
	checkpoints := node.origins.checkpoints
	known := newOrigin("a", "v1")
	node.origins.Record(known)
	known.IsCertain = true
	stored, err := proto.Marshal(&peerpb.OriginShard{Origins: encodeOrigins(clock.Now(), []origins.Entry{known})})
	if err != nil {
		t.Fatal(err)
	}
	store.putData(checkpoints.shards.Name(0), stored)
	checkpoints.writeDue(context.Background())
	entries, _, err := checkpoints.readShard(context.Background(), 0)
	if err != nil || store.writes != 1 || len(entries) != 1 || !entries[0].IsCertain {
		t.Errorf("%+v after %d writes, %v; want the certain origin after one", entries, store.writes, err)
	}
}

// TestOriginsThatComeDuringAWriteAreWritten guards against streams that are never written, as they began while their
// shard was read: the write that did not contain them settled them too.
func TestOriginsThatComeDuringAWriteAreWritten(t *testing.T) {
	store := newFakeCheckpoints()
	node := newCheckpointedNodes(t, store, 1)[0]
	checkpoints := node.origins.checkpoints
	node.origins.Record(newOrigin("a", "v1"))
	store.duringRead = func() { node.origins.Record(newOrigin("b", "v1")) }
	for range 2 {
		checkpoints.writeDue(context.Background())
	}
	entries, _, err := checkpoints.readShard(context.Background(), 0)
	if err != nil || len(entries) != 2 {
		t.Errorf("%d streams in the store, %v; want two", len(entries), err)
	}
}
