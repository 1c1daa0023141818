package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// TestLateViewsChangeNothing guards against a leader's view that takes back what a later one said, as its datagram
// came late or twice: requests then go to a server that is unloading their model, or not to one that has loaded it.
func TestLateViewsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core := newCore()
		var published []View
		sequence := int64(0)
		for i := range rapid.IntRange(1, 5).Draw(t, "views") {
			sequence += rapid.Int64Range(0, 1).Draw(t, "orders")
			published = append(published, View{ServerID: "a", Sequence: sequence, Datagram: uint64(1 + i), Digest: uint64(1 + i)})
		}
		again := rapid.SliceOfN(rapid.SampledFrom(published), 0, 3).Draw(t, "came twice")
		received := rapid.Permutation(append(published, again...)).Draw(t, "order")
		entryAt := rapid.IntRange(0, len(received)).Draw(t, "entry after")
		latest, latestAt := View{}, begin
		for i, view := range received {
			if i == entryAt {
				core.SetServers([]inventory.Change{entry("a", "z")})
			}
			now := begin.Add(time.Duration(i) * time.Millisecond)
			core.SetViews(now, 5, []View{view})
			if view.Datagram > latest.Datagram {
				latest, latestAt = view, now
			}
			core.Views(func(got View, receivedAt time.Time) bool {
				if got.Digest != latest.Digest || !receivedAt.Equal(latestAt) {
					t.Fatalf("the view of datagram %d, received at %v, is used, want %d, %v", got.Datagram, receivedAt, latest.Datagram, latestAt)
				}
				return true
			})
		}
	})
}
