package edge

import (
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

// TestLapsedEntriesComeBackOrGo: after an outage of the store nodes took all
// servers whose entries had lapsed for gone, and refused their callers.
func TestLapsedEntriesComeBackOrGo(t *testing.T) {
	var lapses expiryGrace
	known := []inventory.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	if got := ids(lapses.addMissing(begin, known[:1], known)); len(got) != 1 {
		t.Errorf("in calm times a list is completed to %v", got)
	}
	lapses.begin(begin)
	if diff := cmp.Diff([]string{"a", "b", "c"}, ids(lapses.addMissing(begin.Add(time.Millisecond), known[:1], known))); diff != "" {
		t.Error(diff)
	}
	if kept := lapses.filterRemovals(begin.Add(time.Second), []inventory.Change{removal("a"), {Server: known[1]}}); len(kept) != 1 || kept[0].Gone {
		t.Errorf("kept %v, want that b is back alone", kept)
	}
	if lapses.finish(begin.Add(expiryGracePeriod - time.Millisecond)) {
		t.Error("the time is over too soon")
	}
	if !lapses.finish(begin.Add(expiryGracePeriod)) || lapses.finish(begin.Add(expiryGracePeriod)) {
		t.Error("the end of the time is not told, or told twice")
	}
	if diff := cmp.Diff([]string{"b"}, ids(lapses.addMissing(begin.Add(expiryGracePeriod), known[1:2], known))); diff != "" {
		t.Errorf("a list after the time is completed: %s", diff)
	}
	if kept := lapses.filterRemovals(begin.Add(expiryGracePeriod), []inventory.Change{removal("b")}); len(kept) != 1 {
		t.Error("a server that goes after the time is kept")
	}
}

// TestShortFailureHoldsNothingBack: entries lapse only in an outage that is as long
// as their servers take to renew them.
func TestShortFailureHoldsNothingBack(t *testing.T) {
	node := newFollower(t, 0)
	node.recordStoreFailure("servers", errNoAnswer)
	node.recordStoreSuccess()
	node.applyServerEvents([]inventory.Change{removal("a")}, storepos.At(0, 3))
	if node.directory.table.IsAvailable("a") {
		t.Error("a server that is gone takes work after one failed call")
	}
	node = newFollower(t, 0)
	node.recordStoreFailure("servers", errNoAnswer)
	node.failingSince.Store(int64(clock.Since(node.started) - minOutageForExpiry))
	node.recordStoreSuccess()
	node.applyServerEvents([]inventory.Change{removal("a")}, storepos.At(0, 3))
	if !node.directory.table.IsAvailable("a") {
		t.Error("a server whose entry lapsed in an outage takes no work")
	}
	node.finishExpiryGrace(clock.Now().Add(expiryGracePeriod))
	if got := countSignals(node.serversRefresh); got != 1 {
		t.Errorf("the servers are read anew %d times, want once", got)
	}
	node.expiryGrace.until = time.Time{}
	node.applyServerList(clock.Now(), []inventory.Server{{ID: "b", Position: storepos.At(0, 4)}}, storepos.At(0, 5))
	if node.directory.table.IsAvailable("a") {
		t.Error("a server whose entry did not come back takes work")
	}
}

// TestLapsedEntryThatCameBackUnseenIsNotGone: a node that stopped watching before
// entries came back took their servers for gone and told all others, from a revision
// above that of the entries: nobody sent to them any more.
func TestLapsedEntryThatCameBackUnseenIsNotGone(t *testing.T) {
	node := newFollower(t, 0)
	node.expiryGrace.begin(clock.Now())
	node.applyServerList(clock.Now(), nil, storepos.At(0, 9))
	node.finishExpiryGrace(clock.Now().Add(expiryGracePeriod))
	if news := takeChanges(node.directory, clock.Now()); len(news) != 0 || !node.directory.table.IsAvailable("a") {
		t.Errorf("told %v without a look at the store", news)
	}
}
