package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

func going(id string, revision int64) inventory.Server {
	return inventory.Server{ID: id, Draining: true, Position: storepos.At(0, revision)}
}

func TestNewsAreLearnedOnce(t *testing.T) {
	news := NewServerChanges()
	cases := []struct {
		name string
		item ServerChange
		want bool
	}{
		{"a server comes", ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 5)}}, true},
		{"the same once more", ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 5)}, Age: time.Second}, false},
		{"it leaves", ServerChange{Server: going("a", 7)}, true},
		{"it is gone after that", ServerChange{Server: going("a", 9)}, false},
		{"that it came is old", ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 5)}}, false},
		{"its entry is made again", ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 11)}}, true},
		{"too old", ServerChange{Server: going("b", 12), Age: newsAge + time.Millisecond}, false},
	}
	for _, c := range cases {
		if got := news.Learn(begin, c.item); got != c.want {
			t.Errorf("%s: learned %v, want %v", c.name, got, c.want)
		}
	}
}

func TestNewsKeepTheirAgeAndEnd(t *testing.T) {
	news := NewServerChanges()
	news.Learn(begin, ServerChange{Server: going("a", 3), Age: time.Second})
	want := []ServerChange{{Server: going("a", 3), Age: 1500 * time.Millisecond, CrossRegion: true}}
	if diff := cmp.Diff(want, news.TakeDue(begin.Add(500*time.Millisecond))); diff != "" {
		t.Error(diff)
	}
	for range newsTold {
		news.TakeDue(begin.Add(600 * time.Millisecond))
	}
	if told := news.TakeDue(begin.Add(700 * time.Millisecond)); len(told) != 0 {
		t.Errorf("told %v for more than %d periods", told, newsTold)
	}
	if news.Learn(begin.Add(newsAge), ServerChange{Server: going("a", 3), Age: newsAge}) {
		t.Error("an echo was taken for news")
	}
}

// TestNewsOfManyAreBounded: the servers of a fleet that starts were told by each
// node to all, eight times.
func TestNewsOfManyAreBounded(t *testing.T) {
	news := NewServerChanges()
	for i := range 3000 {
		news.Learn(begin, ServerChange{Server: inventory.Server{ID: fmt.Sprint("s", i), Position: storepos.At(0, 5)}})
	}
	news.Learn(begin, ServerChange{Server: going("g", 6)})
	told := news.TakeDue(begin)
	if len(told) != newsPerPeriod || told[0].Server.ID != "g" {
		t.Errorf("%d told, first %s; want %d, the server that goes first", len(told), told[0].Server.ID, newsPerPeriod)
	}
	if again := news.TakeDue(begin.Add(time.Second)); again[1].Server.ID == told[1].Server.ID {
		t.Error("what was told goes before what was not")
	}
}

// TestNewsReachAllNodes plays periods of a fleet in which a tenth of all
// datagrams is lost: every node hears of a server that leaves within a second.
func TestNewsReachAllNodes(t *testing.T) {
	const period, lossy = 200 * time.Millisecond, 0.1
	for _, size := range []struct{ nodes, fanout int }{{7, 8}, {73, 8}, {300, 8}, {73, 6}, {300, 6}} {
		nodes, fanout := size.nodes, size.fanout
		for seed := range uint64(4) {
			random := rand.New(rand.NewPCG(seed, uint64(nodes)))
			fleet := make([]*ServerChanges, nodes)
			rosters := make([]*Roster, nodes)
			for i := range fleet {
				fleet[i] = NewServerChanges()
				rosters[i] = New(fmt.Sprint(i), nil, seed*1000+uint64(i))
				for other := range fleet {
					rosters[i].Observe(begin, state(fmt.Sprint(other), 1, 1))
				}
			}
			fleet[0].Learn(begin, ServerChange{Server: going("s", 4)})
			knows := make([]bool, nodes)
			knows[0] = true
			periods := 0
			for reached := 1; reached < nodes; periods++ {
				if periods > 10 {
					t.Fatalf("%d nodes, seed %d: %d reached after %d periods", nodes, seed, reached, periods)
				}
				now := begin.Add(time.Duration(periods) * period)
				told := make([][]ServerChange, nodes)
				for i := range fleet {
					told[i] = fleet[i].TakeDue(now)
				}
				for i := range fleet {
					if len(told[i]) == 0 {
						continue
					}
					for _, target := range rosters[i].Targets(begin, fanout) {
						var to int
						if _, err := fmt.Sscan(target, &to); err != nil || random.Float64() < lossy {
							continue
						}
						if fleet[to].Learn(now, told[i][0]) && !knows[to] {
							knows[to] = true
							reached++
						}
					}
				}
			}
			if took := time.Duration(periods) * period; took > time.Second {
				t.Errorf("%d nodes, fanout %d, seed %d: all knew after %v", nodes, fanout, seed, took)
			}
		}
	}
}
