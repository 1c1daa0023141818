package origins

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

var begin = time.Unix(1_000_000, 0)

func fleet(nodes, zones int) (members []Member) {
	for i := range nodes {
		members = append(members, Member{Address: fmt.Sprintf("10.0.0.%d:9", i), Zone: fmt.Sprint("z", i%zones)})
	}
	return members
}

// TestKeepersOutliveAZone guards against an origin whose copies all end with one zone.
func TestKeepersOutliveAZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 6).Draw(t, "zones")
		members := fleet(rapid.IntRange(0, 60).Draw(t, "nodes"), zones)
		keepers := Keepers(NewKey("", rapid.String().Draw(t, "id")), members, Copies)
		if len(keepers) != min(Copies, len(members)) {
			t.Fatalf("%d keepers of %d members", len(keepers), len(members))
		}
		used := make(map[string]bool)
		for _, keeper := range keepers {
			at := slices.IndexFunc(members, func(m Member) bool { return m.Address == keeper })
			used[members[at].Zone] = true
		}
		if want := min(Copies, zones, len(members)); len(used) != want {
			t.Fatalf("copies in %d zones, want %d", len(used), want)
		}
	})
}

// TestKeepersAreFoundAfterChanges guards against origins that nobody finds once nodes ended or joined:
// an asker that knows other members than the recorder asks a node that has a copy, while one lives.
func TestKeepersAreFoundAfterChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(rapid.IntRange(60, 90).Draw(t, "nodes"), 4)
		key := NewKey("", rapid.String().Draw(t, "id"))
		recorder := rapid.IntRange(0, len(members)-1).Draw(t, "recorder")
		copies := Keepers(key, slices.Delete(slices.Clone(members), recorder, recorder+1), Copies)
		var left []Member
		for i, member := range members {
			if i != recorder && rapid.IntRange(0, 9).Draw(t, "lives") > 0 {
				left = append(left, member)
			}
		}
		left = append(left, Member{Address: "10.0.9.1:9", Zone: "z1"}, Member{Address: "10.0.9.2:9", Zone: "new"})
		asked := Keepers(key, left, 4*Copies)
		for _, keeper := range copies {
			isLeft := slices.ContainsFunc(left, func(m Member) bool { return m.Address == keeper })
			if isLeft && !slices.Contains(asked, keeper) {
				t.Fatalf("keeper %s is not among those asked, %q", keeper, asked)
			}
		}
	})
}

// TestTableForgets guards against origins that outlive their streams, and tables that grow for ever.
func TestTableForgets(t *testing.T) {
	table := NewTable()
	key := func(i int) Key { return NewKey("caller", fmt.Sprint(i)) }
	put := func(i int, left time.Duration) {
		table.Put(begin, Entry{Key: key(i), Origin: Origin{Service: "s", SoftwareVersion: "v1"}, ExpiresAt: begin.Add(left)})
	}
	put(1, time.Second)
	put(2, time.Hour)
	put(3, -time.Second)
	for i, want := range map[int]time.Duration{1: time.Second, 2: MaxLifetime, 3: 0} {
		for _, at := range []time.Duration{0, max(0, want-1), want} {
			if _, ok := table.Find(begin.Add(at), key(i)); ok != (at < want) {
				t.Errorf("origin %d after %v: known %v", i, at, ok)
			}
		}
	}
	table.Sweep(begin.Add(time.Second))
	if table.Size() != 1 {
		t.Errorf("%d origins after the sweep, want 1", table.Size())
	}
	for i := range 2 * maxEntries {
		put(100+i, time.Minute)
	}
	if _, ok := table.Find(begin, key(100+2*maxEntries-1)); !ok || table.Size() != maxEntries || len(table.All(begin)) != maxEntries {
		t.Errorf("%d origins, %d listed, the newest known: %v", table.Size(), len(table.All(begin)), ok)
	}
}

// TestKeysTellCallersApart guards against a caller that resumes the stream of another.
func TestKeysTellCallersApart(t *testing.T) {
	keys := map[Key]bool{NewKey("a", "bc"): true, NewKey("ab", "c"): true, NewKey("", "abc"): true, NewKey("", "r1"): true}
	if len(keys) != 4 {
		t.Errorf("%d keys, want 4", len(keys))
	}
}

func BenchmarkKeepers(b *testing.B) {
	for _, nodes := range []int{8, 90, 800} {
		members := fleet(nodes, 16)
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			for b.Loop() {
				Keepers(NewKey("", "r1"), members, Copies)
			}
		})
	}
}
