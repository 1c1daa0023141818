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

func drainingServer(id string, revision int64) inventory.Server {
	return inventory.Server{ID: id, Draining: true, Position: storepos.At(0, revision)}
}

func TestNewsAreLearnedOnce(t *testing.T) {
	changes := NewServerChanges()
	cases := []struct {
		name string
		item ServerChange
		want bool
	}{
		{"server added", ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 5)}}, true},
		{"same change again", ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 5)}, Age: time.Second}, false},
		{"server draining", ServerChange{Server: drainingServer("a", 7)}, true},
		{"draining at a later position", ServerChange{Server: drainingServer("a", 9)}, false},
		{"outdated addition", ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 5)}}, false},
		{"entry created again", ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 11)}}, true},
		{"too old", ServerChange{Server: drainingServer("b", 12), Age: maxChangeAge + time.Millisecond}, false},
	}
	for _, c := range cases {
		if got := changes.Learn(startTime, c.item); got != c.want {
			t.Errorf("%s: learned %v, want %v", c.name, got, c.want)
		}
	}
}

func TestNewsKeepTheirAgeAndEnd(t *testing.T) {
	changes := NewServerChanges()
	changes.Learn(startTime, ServerChange{Server: drainingServer("a", 3), Age: time.Second})
	want := []ServerChange{{Server: drainingServer("a", 3), Age: 1500 * time.Millisecond, CrossRegion: true}}
	if diff := cmp.Diff(want, changes.TakeDue(startTime.Add(500*time.Millisecond))); diff != "" {
		t.Error(diff)
	}
	for range drainTransmissions {
		changes.TakeDue(startTime.Add(600 * time.Millisecond))
	}
	if sent := changes.TakeDue(startTime.Add(700 * time.Millisecond)); len(sent) != 0 {
		t.Errorf("sent %v for more than %d periods", sent, drainTransmissions)
	}
	if changes.Learn(startTime.Add(maxChangeAge), ServerChange{Server: drainingServer("a", 3), Age: maxChangeAge}) {
		t.Error("an echo was learned as a new change")
	}
}

// TestNewsOfManyAreBounded guards against every node sending all servers of a starting fleet to all
// other nodes, eight times each.
func TestNewsOfManyAreBounded(t *testing.T) {
	changes := NewServerChanges()
	for i := range 3000 {
		changes.Learn(startTime, ServerChange{Server: inventory.Server{ID: fmt.Sprint("s", i), Position: storepos.At(0, 5)}})
	}
	changes.Learn(startTime, ServerChange{Server: drainingServer("g", 6)})
	sent := changes.TakeDue(startTime)
	if len(sent) != maxChangesPerPeriod || sent[0].Server.ID != "g" {
		t.Errorf("%d sent, first %s; want %d, the draining server first", len(sent), sent[0].Server.ID, maxChangesPerPeriod)
	}
	if next := changes.TakeDue(startTime.Add(time.Second)); next[1].Server.ID == sent[1].Server.ID {
		t.Error("a change that was sent comes before one that was not")
	}
}

// TestNewsReachAllNodes simulates the periods of a fleet that loses a tenth of all datagrams: every
// node learns of a draining server within a second.
func TestNewsReachAllNodes(t *testing.T) {
	const period, lossRate = 200 * time.Millisecond, 0.1
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
					rosters[i].Observe(startTime, nodeState(fmt.Sprint(other), 1, 1))
				}
			}
			fleet[0].Learn(startTime, ServerChange{Server: drainingServer("s", 4)})
			knows := make([]bool, nodes)
			knows[0] = true
			periods := 0
			for reached := 1; reached < nodes; periods++ {
				if periods > 10 {
					t.Fatalf("%d nodes, seed %d: %d reached after %d periods", nodes, seed, reached, periods)
				}
				now := startTime.Add(time.Duration(periods) * period)
				sent := make([][]ServerChange, nodes)
				for i := range fleet {
					sent[i] = fleet[i].TakeDue(now)
				}
				for i := range fleet {
					if len(sent[i]) == 0 {
						continue
					}
					for _, target := range rosters[i].Targets(startTime, fanout) {
						var receiver int
						if _, err := fmt.Sscan(target, &receiver); err != nil || random.Float64() < lossRate {
							continue
						}
						if fleet[receiver].Learn(now, sent[i][0]) && !knows[receiver] {
							knows[receiver] = true
							reached++
						}
					}
				}
			}
			if took := time.Duration(periods) * period; took > time.Second {
				t.Errorf("%d nodes, fanout %d, seed %d: all nodes reached after %v", nodes, fanout, seed, took)
			}
		}
	}
}
