package edge

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// TestToldViewsKeepTheirDigests: whatever is told and forgotten, both digests are those of
// what is left.
func TestToldViewsKeepTheirDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := newPublishedViews()
		left := make(map[string]uint64)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			id := fmt.Sprint("i-", rapid.IntRange(0, 6).Draw(t, "server"))
			if rapid.Bool().Draw(t, "forgets") {
				told.prune(func(serverID string) bool { return serverID != id })
				delete(left, id)
			} else {
				left[id] = rapid.Uint64().Draw(t, "digest")
				told.record(id, left[id])
			}
		}
		all, buckets := uint64(0), dispatch.ViewDigests{}
		for id, digest := range left {
			all ^= digest
			buckets.Add(id, digest)
			if !told.has(id, digest) || told.has(id, digest+1) {
				t.Fatalf("%s was told with another digest", id)
			}
		}
		if told.digest != all || told.buckets != buckets {
			t.Fatalf("digests %x and %x, want %x and %x", told.digest, told.buckets, all, buckets)
		}
	})
}
