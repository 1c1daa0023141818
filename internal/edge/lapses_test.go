package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

func ids(servers []inventory.Server) []string {
	var ids []string
	for _, server := range servers {
		ids = append(ids, server.ID)
	}
	return ids
}

func removal(id string) inventory.Change {
	return inventory.Change{Server: inventory.Server{ID: id}, Gone: true}
}

// TestLapsedEntriesComeBackOrGo guards against refused requests after an outage of the store:
// nodes considered all servers gone whose entries had expired during it.
func TestLapsedEntriesComeBackOrGo(t *testing.T) {
	var grace expiryGrace
	known := []inventory.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	if got := ids(grace.addMissing(begin, known[:1], known)); len(got) != 1 {
		t.Errorf("without an outage a list was completed to %v", got)
	}
	grace.begin(begin)
	if diff := cmp.Diff([]string{"a", "b", "c"}, ids(grace.addMissing(begin.Add(time.Millisecond), known[:1], known))); diff != "" {
		t.Error(diff)
	}
	if kept := grace.filterRemovals(begin.Add(time.Second), []inventory.Change{removal("a"), {Server: known[1]}}); len(kept) != 1 || kept[0].Gone {
		t.Errorf("kept %v, want only the return of b", kept)
	}
	if grace.finish(begin.Add(expiryGracePeriod - time.Millisecond)) {
		t.Error("the grace period ended too soon")
	}
	if !grace.finish(begin.Add(expiryGracePeriod)) || grace.finish(begin.Add(expiryGracePeriod)) {
		t.Error("the end of the grace period was not reported exactly once")
	}
	if diff := cmp.Diff([]string{"b"}, ids(grace.addMissing(begin.Add(expiryGracePeriod), known[1:2], known))); diff != "" {
		t.Errorf("a list after the grace period was completed: %s", diff)
	}
	if kept := grace.filterRemovals(begin.Add(expiryGracePeriod), []inventory.Change{removal("b")}); len(kept) != 1 {
		t.Error("a server removed after the grace period was kept")
	}
}

// TestShortFailureHoldsNothingBack checks that removals are suppressed only after an outage long
// enough for entries to expire.
func TestShortFailureHoldsNothingBack(t *testing.T) {
	node := newFollower(t, 0)
	node.recordStoreFailure("servers", errNoAnswer)
	node.recordStoreSuccess()
	node.applyServerEvents([]inventory.Change{removal("a")}, storepos.At(0, 3))
	if node.directory.table.IsAvailable("a") {
		t.Error("a removed server is available after one failed call")
	}
	node = newFollower(t, 0)
	node.recordStoreFailure("servers", errNoAnswer)
	node.failingSince.Store(int64(clock.Since(node.started) - minOutageForExpiry))
	node.recordStoreSuccess()
	node.applyServerEvents([]inventory.Change{removal("a")}, storepos.At(0, 3))
	if !node.directory.table.IsAvailable("a") {
		t.Error("a server whose entry expired in an outage is not available")
	}
	node.finishExpiryGrace(clock.Now().Add(expiryGracePeriod))
	if got := countSignals(node.serversRefresh); got != 1 {
		t.Errorf("the servers are reloaded %d times, want once", got)
	}
	node.expiryGrace.until = time.Time{}
	node.applyServerList(clock.Now(), []inventory.Server{{ID: "b", Position: storepos.At(0, 4)}}, storepos.At(0, 5))
	if node.directory.table.IsAvailable("a") {
		t.Error("a server whose entry did not come back is available")
	}
}

// TestLapsedEntryThatCameBackUnseenIsNotGone guards against lost servers: a node that stopped
// watching before entries came back considered their servers gone, and announced this with a
// revision above that of the entries, so that no node used them any more.
func TestLapsedEntryThatCameBackUnseenIsNotGone(t *testing.T) {
	node := newFollower(t, 0)
	node.expiryGrace.begin(clock.Now())
	node.applyServerList(clock.Now(), nil, storepos.At(0, 9))
	node.finishExpiryGrace(clock.Now().Add(expiryGracePeriod))
	if changes := takeChanges(node.directory, clock.Now()); len(changes) != 0 || !node.directory.table.IsAvailable("a") {
		t.Errorf("announced %v without querying the store", changes)
	}
}

// lapsedStore lists the given servers.
type lapsedStore struct {
	sourceStore
	servers []inventory.Server
	lists   atomic.Int64
}

func (s *lapsedStore) Servers(context.Context) ([]inventory.Server, storepos.Position, error) {
	s.lists.Add(1)
	return s.servers, storepos.At(0, 9), nil
}

func (s *lapsedStore) WatchServers(ctx context.Context, from storepos.Position, _ time.Duration) ([]inventory.Change, storepos.Position, error) {
	<-ctx.Done()
	return nil, from, ctx.Err()
}

// TestOutageThatNoCallSawStartsTheGracePeriod guards against servers taken for gone, here and by the
// peers that are told, whose entries expired in an outage during which this node made no call.
func TestOutageThatNoCallSawStartsTheGracePeriod(t *testing.T) {
	for name, c := range map[string]struct {
		sinceLastCall time.Duration
		isKept        bool
	}{
		"a call right before":                           {0, false},
		"no call for as long as entries take to expire": {minOutageForExpiry, true},
	} {
		t.Run(name, func(t *testing.T) {
			node := newFollower(t, 3)
			store := &lapsedStore{}
			node.options.Store, node.started = store, clock.Now()
			node.serversConfirmed.confirm(clock.Now().Add(time.Minute))
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { node.followServers(ctx); close(done) }()
			time.Sleep(2 * roleCheckPeriod)
			suspend(t, c.sinceLastCall)
			holdLease(node)
			eventually(t, snapshotTimeout, "the servers are listed", func() bool { return store.lists.Load() > 0 && node.directory.position().Revision == 9 })
			cancel()
			<-done
			if got := node.directory.table.IsAvailable("a"); got != c.isKept {
				t.Errorf("available: %v, want %v", got, c.isKept)
			}
		})
	}
}

// Guards against servers taken for gone whose entries expired in an outage that this node noticed late.
func TestOutageNoticedLateStartsTheGracePeriod(t *testing.T) {
	node := newTestNode(t)
	node.recordStoreSuccess()
	suspend(t, 2*minOutageForExpiry)
	node.recordStoreFailure("servers", errNoAnswer)
	suspend(t, minOutageForExpiry/2)
	node.recordStoreSuccess()
	known := []inventory.Server{{ID: "i"}}
	if kept := node.expiryGrace.addMissing(clock.Now(), nil, known); len(kept) != 1 {
		t.Error("a server counts as gone after an outage of up to two and a half times what lets entries expire")
	}
}
