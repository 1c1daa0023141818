package edge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

var begin = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func takeChanges(directory *directory, now time.Time) map[string]bool {
	changes := make(map[string]bool)
	for _, item := range directory.takeDue(now) {
		changes[item.Server.ID] = item.Server.Draining
	}
	return changes
}

func TestWhoComesOrGoesIsNews(t *testing.T) {
	directory := newDirectory()
	directory.replace(begin, begin, []inventory.Server{{ID: "a", Position: storepos.At(0, 1)}, {ID: "b", Position: storepos.At(0, 2)}}, storepos.At(0, 3))
	if changes := takeChanges(directory, begin); len(changes) != 0 {
		t.Errorf("the first list was announced: %v", changes)
	}
	directory.apply(begin, []inventory.Change{
		{Server: inventory.Server{ID: "a", Position: storepos.At(0, 4), Models: []inventory.HeldModel{{Name: "m"}}}},
		{Server: inventory.Server{ID: "b", Position: storepos.At(0, 5), Draining: true}},
		{Server: inventory.Server{ID: "c", Position: storepos.At(0, 6)}},
	}, storepos.At(0, 6))
	if diff := cmp.Diff(map[string]bool{"b": true, "c": false}, takeChanges(directory, begin)); diff != "" {
		t.Error(diff)
	}
	// A list after a gap in the history also reveals removed servers.
	directory.replace(begin, begin, []inventory.Server{{ID: "c", Position: storepos.At(0, 6)}}, storepos.At(0, 9))
	if _, ok := takeChanges(directory, begin)["a"]; !ok {
		t.Error("a server missing from a later list was not announced")
	}
}

// TestListsAreNoNewsOfWhatIsKnown guards against a flood of announcements: each list that a node
// read announced all servers whose entries had changed since, and each of 295 nodes forwarded
// them eight times, a gigabyte in a minute.
func TestListsAreNoNewsOfWhatIsKnown(t *testing.T) {
	directory := newDirectory()
	directory.replace(begin, begin, []inventory.Server{{ID: "a", Position: storepos.At(0, 1)}, {ID: "b", Position: storepos.At(0, 2)}}, storepos.At(0, 3))
	directory.replace(begin, begin, []inventory.Server{{ID: "a", Position: storepos.At(0, 5)}, {ID: "b", Position: storepos.At(0, 6)}, {ID: "c", Position: storepos.At(0, 7)}}, storepos.At(0, 8))
	if diff := cmp.Diff(map[string]bool{"c": false}, takeChanges(directory, begin)); diff != "" {
		t.Error(diff)
	}
	directory.applyPeerChanges(begin, []gossip.ServerChange{{Server: inventory.Server{ID: "b", Position: storepos.At(0, 9)}}})
	if _, ok := takeChanges(directory, begin)["b"]; ok {
		t.Error("a peer's announcement of a known server was forwarded")
	}
}

// TestNewsSpareTheStore checks that a node which received the announcements does not query the
// store when a peer has the same servers from it, and does so once it missed some.
func TestNewsSpareTheStore(t *testing.T) {
	sentinel, other := newDirectory(), newDirectory()
	list := []inventory.Server{{ID: "a", Position: storepos.At(0, 1)}, {ID: "b", Position: storepos.At(0, 2)}}
	sentinel.replace(begin, begin, list, storepos.At(0, 3))
	other.replace(begin, begin, list, storepos.At(0, 3))
	sentinel.apply(begin, []inventory.Change{{Server: inventory.Server{ID: "a", Position: storepos.At(0, 8), Draining: true}}}, storepos.At(0, 8))
	compare := func(after time.Duration) bool {
		digest, revision := sentinel.digestAndPosition()
		return other.isBehind(begin.Add(after), digest, revision, false, 400*time.Millisecond)
	}
	if compare(0) || compare(300*time.Millisecond) {
		t.Error("the store is queried before announcements had time to arrive")
	}
	if !compare(500 * time.Millisecond) {
		t.Error("the store is not queried although announcements were missed")
	}
	other.applyPeerChanges(begin, []gossip.ServerChange{{Server: inventory.Server{ID: "a", Position: storepos.At(0, 8), Draining: true, Announced: true}}})
	for after := range 10 {
		if compare(time.Duration(after) * time.Second) {
			t.Errorf("the store is queried %d s after the announcement arrived", after)
		}
	}
	if changes, _ := other.apply(begin, []inventory.Change{{Server: inventory.Server{ID: "a", Position: storepos.At(0, 1)}}}, storepos.At(0, 4)); len(changes) != 0 {
		t.Errorf("a response older than the announcement restored the server: %v", changes)
	}
}

// TestConfigurationUnderWayIsNotAskedForAnew guards against a configuration that never arrives:
// a large one takes a while on a slow link, and every datagram that named its version aborted
// the transfer in progress.
func TestConfigurationUnderWayIsNotAskedForAnew(t *testing.T) {
	var lag configLag
	steps := []struct {
		after   time.Duration
		version int64
		want    bool
	}{
		{0, 5, false}, {100, 5, false}, {399, 5, false}, {400, 5, true}, {410, 5, false}, {700, 6, false},
		{750, 5, false}, {1099, 6, false}, {1100, 6, true},
	}
	for _, step := range steps {
		now := begin.Add(step.after * time.Millisecond)
		if got := lag.exceeds(now, step.version, 400*time.Millisecond); got != step.want {
			t.Errorf("after %d ms, version %d: requested again: %v", step.after, step.version, got)
		}
	}
}
