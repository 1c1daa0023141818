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

func gone(id string) inventory.Change {
	return inventory.Change{Server: inventory.Server{ID: id}, Gone: true}
}

// TestLapsedEntriesComeBackOrGo: after an outage of the store nodes took all
// servers whose entries had lapsed for gone, and refused their callers.
func TestLapsedEntriesComeBackOrGo(t *testing.T) {
	var lapses lapses
	known := []inventory.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	if got := ids(lapses.complete(begin, known[:1], known)); len(got) != 1 {
		t.Errorf("in calm times a list is completed to %v", got)
	}
	lapses.storeReturned(begin)
	if diff := cmp.Diff([]string{"a", "b", "c"}, ids(lapses.complete(begin.Add(time.Millisecond), known[:1], known))); diff != "" {
		t.Error(diff)
	}
	if kept := lapses.filter(begin.Add(time.Second), []inventory.Change{gone("a"), {Server: known[1]}}); len(kept) != 1 || kept[0].Gone {
		t.Errorf("kept %v, want that b is back alone", kept)
	}
	if lapses.ended(begin.Add(lapseTime - time.Millisecond)) {
		t.Error("the time is over too soon")
	}
	if !lapses.ended(begin.Add(lapseTime)) || lapses.ended(begin.Add(lapseTime)) {
		t.Error("the end of the time is not told, or told twice")
	}
	if diff := cmp.Diff([]string{"b"}, ids(lapses.complete(begin.Add(lapseTime), known[1:2], known))); diff != "" {
		t.Errorf("a list after the time is completed: %s", diff)
	}
	if kept := lapses.filter(begin.Add(lapseTime), []inventory.Change{gone("b")}); len(kept) != 1 {
		t.Error("a server that goes after the time is kept")
	}
}

// TestShortFailureHoldsNothingBack: entries lapse only in an outage that is as long
// as their servers take to renew them.
func TestShortFailureHoldsNothingBack(t *testing.T) {
	node := newFollower(t, 0)
	node.storeFailed("servers", errShort)
	node.storeAnswered()
	node.changeServers([]inventory.Change{gone("a")}, storepos.At(0, 3))
	if node.directory.table.IsAvailable("a") {
		t.Error("a server that is gone takes work after one failed call")
	}
	node = newFollower(t, 0)
	node.storeFailed("servers", errShort)
	node.failingFrom.Store(int64(clock.Since(node.started) - lapseAfter))
	node.storeAnswered()
	node.changeServers([]inventory.Change{gone("a")}, storepos.At(0, 3))
	if !node.directory.table.IsAvailable("a") {
		t.Error("a server whose entry lapsed in an outage takes no work")
	}
	node.endLapses(clock.Now().Add(lapseTime))
	if got := nudges(node.serversNudge); got != 1 {
		t.Errorf("the servers are read anew %d times, want once", got)
	}
	node.lapses.until = time.Time{}
	node.listServers(clock.Now(), []inventory.Server{{ID: "b", Position: storepos.At(0, 4)}}, storepos.At(0, 5))
	if node.directory.table.IsAvailable("a") {
		t.Error("a server whose entry did not come back takes work")
	}
}

// TestLapsedEntryThatCameBackUnseenIsNotGone: a node that stopped watching before
// entries came back took their servers for gone and told all others, from a revision
// above that of the entries: nobody sent to them any more.
func TestLapsedEntryThatCameBackUnseenIsNotGone(t *testing.T) {
	node := newFollower(t, 0)
	node.lapses.storeReturned(clock.Now())
	node.listServers(clock.Now(), nil, storepos.At(0, 9))
	node.endLapses(clock.Now().Add(lapseTime))
	if news := told(node.directory, clock.Now()); len(news) != 0 || !node.directory.table.IsAvailable("a") {
		t.Errorf("told %v without a look at the store", news)
	}
}
