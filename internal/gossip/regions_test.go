package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// TestServersThatComeAreToldLess than those that go: nodes of other regions in one period.
func TestServersThatComeAreToldLess(t *testing.T) {
	news := NewServerChanges()
	news.Learn(begin, ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 3)}})
	news.Learn(begin, ServerChange{Server: going("b", 4)})
	near, far := make(map[string]int), make(map[string]int)
	for period := range 2 * newsTold {
		for _, item := range news.TakeDue(begin.Add(time.Duration(period) * 200 * time.Millisecond)) {
			near[item.Server.ID]++
			if item.CrossRegion {
				far[item.Server.ID]++
			}
		}
	}
	if near["a"] != comingTold || far["a"] != comingToldFar || near["b"] != newsTold || far["b"] != newsTold {
		t.Errorf("told in %v periods, of other regions in %v", near, far)
	}
}

// regionFleet is a fleet over three regions whose nodes all know each other.
type regionFleet struct {
	rosters []*Roster
	news    []*ServerChanges
	numbers map[string]int
}

func newRegionFleet(perZone int, seed uint64) *regionFleet {
	f := &regionFleet{numbers: make(map[string]int)}
	zones := []string{"n1", "n2", "s1", "s2", "w1", "w2"}
	for i := range perZone * len(zones) {
		address := fmt.Sprintf("%s-%03d", zones[i%len(zones)], i)
		roster := New(address, nil, seed+uint64(i))
		roster.SetLocation(zones[i%len(zones)], threeRegions)
		f.rosters, f.news = append(f.rosters, roster), append(f.news, NewServerChanges())
		f.numbers[address] = i
	}
	for _, roster := range f.rosters {
		for address, i := range f.numbers {
			told := state(address, 1, 1)
			told.Zone = zones[i%len(zones)]
			roster.Observe(begin, told)
		}
	}
	return f
}

// tell is one period of all nodes, of whose datagrams each third is lost.
func (f *regionFleet) tell(now time.Time, period int) {
	type datagram struct {
		to    int
		items []ServerChange
	}
	var sent []datagram
	for i, roster := range f.rosters {
		items := f.news[i].TakeDue(now)
		for number, address := range roster.Targets(begin, 6) {
			var told []ServerChange
			for _, item := range items {
				if item.Server.Draining || item.CrossRegion && roster.CrossRegionFilter().ShouldForward(item.Server.ID) || !roster.isFar(roster.peers[address]) {
					told = append(told, item)
				}
			}
			if (i+number+period)%3 > 0 {
				sent = append(sent, datagram{to: f.numbers[address], items: told})
			}
		}
	}
	for _, datagram := range sent {
		for _, item := range datagram.items {
			f.news[datagram.to].Learn(now, item)
		}
	}
}

// TestNewsReachAllRegions within two seconds though each third datagram is lost:
// of servers that go as of those that come, of which less is told.
func TestNewsReachAllRegions(t *testing.T) {
	for seed := range uint64(6) {
		for _, perZone := range []int{5, 11, 50} {
			f := newRegionFleet(perZone, 1000*seed)
			f.news[0].Learn(begin, ServerChange{Server: going("b", 4)})
			f.news[0].Learn(begin, ServerChange{Server: inventory.Server{ID: "a", Position: storepos.At(0, 3)}})
			for period := range 10 {
				f.tell(begin.Add(time.Duration(period)*200*time.Millisecond), period)
			}
			missing := 0
			for _, news := range f.news {
				if len(news.items) < 2 {
					missing++
				}
			}
			if missing > 0 {
				t.Errorf("seed %d: %d of %d nodes have not heard of both", seed, missing, len(f.news))
			}
		}
	}
}

// BenchmarkFarTeller: a period with 60 servers that came, at a node that knows 299 others in
// three regions; 1,031 us where the nodes were counted for each server, 23 since.
func BenchmarkFarTeller(b *testing.B) {
	places := locality.NewMap(map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"})
	roster := New("self", nil, 1)
	roster.SetLocation("z0", places)
	for i := range 299 {
		roster.Observe(time.Now(), &peerpb.NodeState{Node: fmt.Sprint(i), Address: fmt.Sprint("n", i), Life: 1, Sequence: 1, Zone: fmt.Sprint("z", i%3)})
	}
	for range b.N {
		teller := roster.CrossRegionFilter()
		for server := range 60 {
			teller.ShouldForward(fmt.Sprint("i-", server))
		}
	}
}
