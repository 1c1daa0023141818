package origins

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
)

// TestOneWordAgainstAVersionIsEnough guards against streams that go on at a version which one node names, while
// another one knows better.
func TestOneWordAgainstAVersionIsEnough(t *testing.T) {
	unknown, v1, v2 := LostAtUnknownVersion(), LostAtVersion("v1"), LostAtVersion("v2")
	for _, c := range []struct{ a, b, want LostStreams }{
		{unknown, unknown, unknown}, {unknown, v1, v1}, {v1, v1, v1}, {v1, v2, LostStreams{}}, {v1, LostStreams{}, LostStreams{}},
		{unknown, LostStreams{}, LostStreams{}},
	} {
		if got, reversed := c.a.And(c.b), c.b.And(c.a); got != c.want || reversed != c.want {
			t.Errorf("%+v and %+v: %+v and %+v, want %+v", c.a, c.b, got, reversed, c.want)
		}
	}
}

// TestDroppedStreamsAreRemembered guards against taking a stream that this node has dropped for one that no node ever
// knew.
func TestDroppedStreamsAreRemembered(t *testing.T) {
	now := clock.Now()
	origin, other := Origin{Service: "s", SoftwareVersion: "v1"}, Origin{Service: "s", SoftwareVersion: "v2"}
	for name, drop := range map[string]func(table *Table, later time.Time){
		"expired":                 func(*Table, time.Time) {},
		"expired and swept":       func(table *Table, later time.Time) { table.Sweep(later) },
		"pushed out of the table": func(table *Table, later time.Time) { fill(table, later, origin) },
	} {
		table := NewTable()
		table.Put(now, Entry{Key: NewKey("", "first"), Origin: other, ExpiresAt: now.Add(time.Second)})
		if table.HasForgottenOther(now, origin) {
			t.Errorf("%s: a stream is forgotten that is kept", name)
		}
		later := now.Add(2 * time.Second)
		drop(table, later)
		if !table.HasForgottenOther(later, origin) || table.HasForgottenOther(later, other) {
			t.Errorf("%s: the stream of the other version was dropped, and that is not known", name)
		}
	}
}

// fill puts as many streams of the origin into the table as it holds.
func fill(table *Table, now time.Time, origin Origin) {
	for i := range maxEntries {
		var key Key
		key[0], key[1] = byte(i), byte(i>>8)
		table.Put(now, Entry{Key: key, Origin: origin, ExpiresAt: now.Add(time.Second)})
	}
}
