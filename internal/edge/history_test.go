package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/checkpoint"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/storepos"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// fakeCheckpoints keeps checkpoints in memory.
type fakeCheckpoints struct {
	mu       sync.Mutex
	objects  map[string]checkpoint.Object
	revision int64
	writes   int
	fails    bool
	// duringRead, if set, is called once while an object is read.
	duringRead func()
}

var errFakeStore = errors.New("the store is away")

func newFakeCheckpoints() *fakeCheckpoints {
	return &fakeCheckpoints{objects: make(map[string]checkpoint.Object)}
}

func (f *fakeCheckpoints) ReadCheckpoint(_ context.Context, name string) (checkpoint.Object, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fails {
		return checkpoint.Object{}, false, errFakeStore
	}
	object, found := f.objects[name]
	object.Name = name
	if during := f.duringRead; during != nil {
		f.duringRead = nil
		during()
	}
	return object, found, nil
}

func (f *fakeCheckpoints) WriteCheckpoint(_ context.Context, object checkpoint.Object) (storepos.Position, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fails {
		return storepos.Position{}, false, errFakeStore
	}
	if f.objects[object.Name].Position != object.Position {
		return storepos.Position{}, false, nil
	}
	f.revision++
	f.writes++
	object.Position = storepos.At(1, f.revision)
	f.objects[object.Name] = object
	return object.Position, true, nil
}

// putVersions stores a record of versions as an earlier process left it.
func (f *fakeCheckpoints) putVersions(t *testing.T, record checkpoint.VersionRecord) {
	t.Helper()
	data, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	f.putData(checkpoint.VersionsName, data)
}

func (f *fakeCheckpoints) putData(name string, data []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.objects[name] = checkpoint.Object{Name: name, Data: data, Position: storepos.At(1, f.revision)}
}

func (f *fakeCheckpoints) versions(t *testing.T) checkpoint.VersionRecord {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	record, err := checkpoint.DecodeVersionRecord(f.objects[checkpoint.VersionsName].Data)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// TestStartedNodeAsksWhichVersionsServed guards against streams joined from two software versions after all
// nodes lost power: a node that had just started took the one version that was still listed for the only one
// at which streams could have begun.
func TestStartedNodeAsksWhichVersionsServed(t *testing.T) {
	cases := map[string]struct {
		recorded checkpoint.VersionRecord
		data     []byte
		fails    bool
		// observed is for how long the node has known the servers.
		observed  time.Duration
		versions  []string
		isKnown   bool
		isPartial bool
	}{
		"another version was recorded":            {recorded: checkpoint.VersionRecord{"s": {"v1", "v2"}}, versions: []string{"v1", "v2"}, isKnown: true},
		"the listed version alone was recorded":   {recorded: checkpoint.VersionRecord{"s": {"v2"}}, versions: []string{"v2"}, isKnown: true},
		"the service was not recorded":            {recorded: checkpoint.VersionRecord{"other": {"v2"}}, versions: []string{"v2"}, isPartial: true},
		"nothing was recorded":                    {versions: []string{"v2"}, isPartial: true},
		"the record is cut short":                 {data: []byte{0x0a, 0x20, 0x01}, versions: []string{"v2"}, isPartial: true},
		"the store is away":                       {fails: true, versions: []string{"v2"}, isPartial: true},
		"it has observed the servers long enough": {fails: true, observed: dispatch.FormerVersionRetention, versions: []string{"v2"}, isKnown: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			store := newFakeCheckpoints()
			switch {
			case c.recorded != nil:
				store.putVersions(t, c.recorded)
			case c.data != nil:
				store.putData(checkpoint.VersionsName, c.data)
			}
			store.fails = c.fails
			nodes := newVersionedNodes(t, 2, "v2")
			for _, node := range nodes {
				node.options.Checkpoints = store
				node.history.observe(clock.Now().Add(-c.observed))
			}
			doubtful := origins.Entry{Key: origins.NewKey("", "r2"), Origin: origins.Origin{Service: "s"}, ExpiresAt: clock.Now().Add(time.Minute)}
			nodes[1].origins.Record(doubtful)
			atUnknownVersion := nodes[0].origins.Find(context.Background(), doubtful.Key, "s")
			find := nodes[0].origins.Find(context.Background(), origins.NewKey("", "r1"), "s")
			unidentified := nodes[0].origins.FindVersions(context.Background(), "s")
			for _, got := range []struct {
				what     string
				versions []string
				known    bool
				partial  bool
			}{{"Find, of a stream that began at an unknown version", atUnknownVersion.Versions, atUnknownVersion.IsHistoryKnown, atUnknownVersion.IsPartial}, {"Find", find.Versions, find.IsHistoryKnown, find.IsPartial}, {"FindVersions", unidentified.Versions, unidentified.IsHistoryKnown, unidentified.IsPartial}} {
				slices.Sort(got.versions)
				if !slices.Equal(got.versions, c.versions) || got.known != c.isKnown || got.partial != c.isPartial {
					t.Errorf("%s: versions %v, known %v, partial %v; want %v, %v, %v", got.what, got.versions, got.known, got.partial, c.versions, c.isKnown, c.isPartial)
				}
			}
		})
	}
}

// TestVersionRecordOutlivesItsWriters guards against a record that a process which has just started replaces
// by what it sees: it keeps what its predecessors saw for as long as streams may be resumed.
func TestVersionRecordOutlivesItsWriters(t *testing.T) {
	store := newFakeCheckpoints()
	store.putVersions(t, checkpoint.VersionRecord{"s": {"v1"}})
	node := newVersionedNodes(t, 1, "v2")[0]
	node.options.Checkpoints = store
	update := func(want checkpoint.VersionRecord, writes int) {
		t.Helper()
		if err := node.history.update(context.Background()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, store.versions(t)); diff != "" || store.writes != writes {
			t.Errorf("record after %d writes, want %d (-want +got):\n%s", store.writes, writes, diff)
		}
	}
	update(checkpoint.VersionRecord{"s": {"v1", "v2"}}, 1)
	update(checkpoint.VersionRecord{"s": {"v1", "v2"}}, 1)
	node.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "z", Service: "s", Zone: "z", SoftwareVersion: "v3"}}})
	})
	update(checkpoint.VersionRecord{"s": {"v1", "v2", "v3"}}, 2)
	node.dispatch.Do(func(core *dispatch.Core) {
		core.RecentVersions(clock.Now().Add(2*dispatch.FormerVersionRetention), "s")
	})
	update(checkpoint.VersionRecord{"s": {"v2", "v3"}}, 3)
	store.putData(checkpoint.VersionsName, []byte{0x0a})
	if err := node.history.update(context.Background()); err == nil || store.writes != 3 {
		t.Errorf("got %v after %d writes, want no write over a record that cannot be read", err, store.writes)
	}
	node.history.observedSince = clock.Now().Add(-dispatch.FormerVersionRetention)
	update(checkpoint.VersionRecord{"s": {"v2", "v3"}}, 4)
}

// TestLateReadOfTheVersionRecordChangesNothing guards against versions that return to the record after they left it,
// and against a record that is taken for current, as a read or a write of an earlier one was answered late.
func TestLateReadOfTheVersionRecordChangesNothing(t *testing.T) {
	node := newVersionedNodes(t, 1, "v2")[0]
	rapid.Check(t, func(t *rapid.T) {
		node.history = newVersionHistory(node)
		requestedAt := clock.Now()
		count := rapid.IntRange(1, 4).Draw(t, "records")
		answers := rapid.Permutation(answersOf(t, count)).Draw(t, "order")
		latest := storepos.Position{}
		for _, at := range answers {
			service := fmt.Sprintf("s-%v", at)
			record := checkpoint.VersionRecord{service: {"v1"}}
			var versions []string
			if rapid.Bool().Draw(t, "is a write") {
				node.history.replace(requestedAt, record, at)
			} else {
				node.dispatch.Do(func(core *dispatch.Core) {
					core.RecentVersions(clock.Now().Add(2*dispatch.FormerVersionRetention), service)
				})
				node.history.adopt(requestedAt, record, at)
				node.dispatch.Do(func(core *dispatch.Core) { versions = core.RecentVersions(clock.Now(), service) })
			}
			if at.IsBefore(latest) && len(versions) > 0 {
				t.Fatalf("versions %v of the record at %v, known after the one at %v", versions, at, latest)
			}
			latest = storepos.Later(latest, at)
			if node.history.at != latest || !node.history.recorded.Has(fmt.Sprintf("s-%v", latest), "v1") {
				t.Fatalf("the record is %v at %v, want the one at %v", node.history.recorded, node.history.at, latest)
			}
		}
	})
}

// answersOf draws the positions of that many records, also of a store that came back from a copy in between.
func answersOf(t *rapid.T, count int) (answers []storepos.Position) {
	era := int64(storepos.FirstEra)
	for i := range count {
		revision := int64(10 + i)
		if rapid.Bool().Draw(t, "went back") {
			era, revision = era+1, int64(i)
		}
		answers = append(answers, storepos.At(era, revision))
	}
	return answers
}

// TestStartedNodeLearnsWhichVersionsAreRecorded guards against nodes that begin streams, right after all were lost,
// at a version that the record does not name yet, and against a record that is written later than they expect.
func TestStartedNodeLearnsWhichVersionsAreRecorded(t *testing.T) {
	if latest := historyCheckPeriod + (historyWriters-1)*historyDelayPerRank + historyStartDelay; latest > dispatch.VersionRecordTime {
		t.Errorf("the last writer begins after %v, later than streams wait for the record", latest)
	}
	store := newFakeCheckpoints()
	store.putVersions(t, checkpoint.VersionRecord{"s": {"v1"}})
	node := newVersionedNodes(t, 1, "v1", "v2")[0]
	node.options.Checkpoints = store
	node.history.observe(clock.Now())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { node.history.run(ctx); close(ended) }()
	for end := time.Now().Add(10 * time.Second); node.history.isReadDue(clock.Now()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the record was not read")
		}
	}
	cancel()
	<-ended
	if !node.history.isKnown(clock.Now(), "s") {
		t.Error("the record was not taken over")
	}
	single := newVersionedNodes(t, 1, "v1")[0]
	single.options.Checkpoints = store
	single.history.observe(clock.Now())
	if single.history.isReadDue(clock.Now()) {
		t.Error("the record is read where one version serves")
	}
}
