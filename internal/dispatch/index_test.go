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

// TestIndexFindsWhatALookAtAllServersDoes: under drawn entries, starts, views and ends of servers.
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

// checkIndex compares with a look at all servers.
func checkIndex(t *rapid.T, core *Core, now time.Time, models []string) {
	listed := 0
	for _, model := range models {
		for _, service := range []string{"service0", "service1"} {
			for _, adapter := range []string{"", "a1", "a2"} {
				wanted := Requirements{Service: service, Model: model, Adapter: adapter}
				var want []string
				soonest, nearest := time.Duration(-1), CopyInStore
				for id, s := range core.servers {
					if s.info.Service != service || !s.takesWork() {
						continue
					}
					if s.holds(now, model, adapter) {
						want = append(want, id)
					}
					if ready, ok := s.comesIn(now, wanted, core.OrdersIn(now)); ok && (soonest < 0 || ready < soonest) {
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
					t.Fatalf("%+v: found %v, want %v", wanted, got, want)
				}
				if ready, known := core.ReadyIn(now, wanted); known != (soonest >= 0) || known && ready != soonest {
					t.Fatalf("%+v: ready in %v, %v, want %v", wanted, ready, known, soonest)
				}
				if got := core.NearestCopy(now, wanted); got != nearest {
					t.Fatalf("%+v: nearest copy %v, want %v", wanted, got, nearest)
				}
			}
		}
		listed += len(core.index.bearing[model]) + len(core.index.keeping[model])
	}
	for _, s := range core.servers {
		listed -= len(s.bearing) + len(s.keeping)
	}
	if listed != 0 {
		t.Fatalf("%d entries of the index are of no server", listed)
	}
}
