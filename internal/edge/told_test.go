package edge

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// TestToldViewsKeepTheirDigests checks that after any sequence of records and removals both
// digests match the remaining views.
func TestToldViewsKeepTheirDigests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		published := newPublishedViews()
		remaining := make(map[string]uint64)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			id := fmt.Sprint("i-", rapid.IntRange(0, 6).Draw(t, "server"))
			if rapid.Bool().Draw(t, "forgets") {
				published.prune(func(serverID string) bool { return serverID != id })
				delete(remaining, id)
			} else {
				remaining[id] = rapid.Uint64().Draw(t, "digest")
				published.record(id, remaining[id])
			}
		}
		all, buckets := uint64(0), dispatch.ViewDigests{}
		for id, digest := range remaining {
			all ^= digest
			buckets.Add(id, digest)
			if !published.has(id, digest) || published.has(id, digest+1) {
				t.Fatalf("%s was recorded with another digest", id)
			}
		}
		if published.digest != all || published.buckets != buckets {
			t.Fatalf("digests %x and %x, want %x and %x", published.digest, published.buckets, all, buckets)
		}
	})
}
