package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// TestIndexFindsWhatALookAtAllServersDoes: the index gives the same results as a scan of all
// servers, under random entries, starts, views and removals of servers.
func TestIndexFindsWhatALookAtAllServersDoes(t *testing.T) {
	models := []string{"m0", "m1", "m2"}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(below int) int { return rapid.IntRange(0, below-1).Draw(t, "draw") }
		some := func() (names []string) {
			for _, model := range models {
				if draw(2) == 0 {
					names = append(names, model)
				}
			}
			return names
		}
		core, now := newCore(), begin
		for step := range 40 {
			id := fmt.Sprint("s", draw(4))
			switch draw(4) {
			case 0:
				entry := inventory.Server{
					ID: id, StartedAtMs: int64(draw(3)), Service: fmt.Sprint("service", draw(2)), Zone: "z", Position: storepos.At(0, int64(step)), Draining: draw(5) == 0,
					InMemory: some(), OnDisk: some(),
				}
				for _, model := range some() {
					entry.Models = append(entry.Models, inventory.HeldModel{Name: model, Adapters: []string{"a1"}})
				}
				core.SetServers([]inventory.Change{{Server: entry}})
			case 1:
				core.SetServers([]inventory.Change{{Server: inventory.Server{ID: id}, Gone: true}})
			case 2:
				view := View{ServerID: id, StartedAtMs: int64(draw(3)), Held: make(map[string][]string), Loading: make(map[string]time.Duration), InMemory: some(), OnDisk: some()}
				for _, model := range some() {
					view.Held[model] = []string{"a1"}
				}
				for _, model := range some() {
					view.Loading[model+[]string{"", "/a2"}[draw(2)]] = time.Duration(draw(3)) * time.Second
				}
				core.SetViews(now, int64(step), []View{view})
			case 3:
				now = now.Add(time.Duration(draw(4)) * time.Second)
			}
			checkIndex(t, core, now, models)
		}
	})
}

// checkIndex compares the results of the index with a scan of all servers.
func checkIndex(t *rapid.T, core *Core, now time.Time, models []string) {
	listed := 0
	for _, model := range models {
		for _, service := range []string{"service0", "service1"} {
			for _, adapter := range []string{"", "a1", "a2"} {
				requirements := Requirements{Service: service, Model: model, Adapter: adapter}
				var want []string
				soonest, nearest := time.Duration(-1), CopyInStore
				for id, s := range core.servers {
					if s.info.Service != service || !s.isAvailable() {
						continue
					}
					if s.hasUsableModel(now, model, adapter) {
						want = append(want, id)
					}
					if ready, ok := s.estimateReadyIn(now, requirements, core.OrdersIn(now)); ok && (soonest < 0 || ready < soonest) {
						soonest = ready
					}
					inMemory, onDisk := s.copies(now)
					if slices.Contains(inMemory, model) {
						nearest = CopyInMemory
					} else if slices.Contains(onDisk, model) {
						nearest = max(nearest, CopyOnDisk)
					}
				}
				var got []string
				for _, s := range core.filter(now, Request{Service: service, Model: model, Adapter: adapter}) {
					got = append(got, s.info.ID)
				}
				slices.Sort(want)
				slices.Sort(got)
				if !slices.Equal(got, want) {
					t.Fatalf("%+v: candidates %v, want %v", requirements, got, want)
				}
				if ready, known := core.ReadyIn(now, requirements); known != (soonest >= 0) || known && ready != soonest {
					t.Fatalf("%+v: ready in %v, known %v, want %v", requirements, ready, known, soonest)
				}
				if got := core.NearestCopy(now, requirements); got != nearest {
					t.Fatalf("%+v: nearest copy %v, want %v", requirements, got, nearest)
				}
			}
		}
		listed += len(core.index.hosting[model]) + len(core.index.storing[model])
	}
	for _, s := range core.servers {
		listed -= len(s.indexedHosted) + len(s.indexedStored)
	}
	if listed != 0 {
		t.Fatalf("%d index entries belong to no server", listed)
	}
}
