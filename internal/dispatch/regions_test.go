package dispatch

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
)

var topology = locality.NewMap(map[string]string{"n1": "north", "n2": "north", "s1": "south"})

func newCoreAt(zone string, changes ...inventory.Change) *Core {
	core := New(Options{Zone: zone, Topology: topology, Seed: 1})
	core.SetServers(changes)
	return core
}

// TestNothingGoesToOtherRegions: all checks of a request use the same region filter.
func TestNothingGoesToOtherRegions(t *testing.T) {
	core := newCoreAt("n1", entry("a", "n1", "m"), entry("b", "s1", "m", "t"), entry("c", "unknown", "m"))
	core.SetLeader(begin, 1, false, 0)
	cases := []struct {
		name    string
		regions locality.Regions
		want    string
		has     bool
	}{
		{"the only server in the region", locality.Only("south"), "b", true},
		{"the other region", locality.Only("north"), "a", true},
		{"no region allowed", locality.Only(), "", false},
		{"region without servers", locality.Only("east"), "", false},
		{"a zone without a known region is in no region", locality.Only("unknown", ""), "", false},
	}
	for _, c := range cases {
		request := Request{Service: "s", Model: "m", Regions: c.regions}
		if got := pick(core, begin, request); got != c.want {
			t.Errorf("%s: picked %q, want %q", c.name, got, c.want)
		}
		if core.CanPick(begin, request) != c.has || core.HasServer(begin, Requirements{Service: "s", Regions: c.regions}) != c.has {
			t.Errorf("%s: CanPick %v, HasServer %v, want %v", c.name, core.CanPick(begin, request), core.HasServer(begin, Requirements{Service: "s", Regions: c.regions}), c.has)
		}
		for _, id := range []string{"a", "b", "c"} {
			if got := core.MayStillSend(begin, &Attempt{server: core.servers[id], start: core.servers[id].info.Start()}, Requirements{Service: "s", Regions: c.regions}); got != (id == c.want) {
				t.Errorf("%s: may still send to %s: %v", c.name, id, got)
			}
		}
		// Adapter loads where a request may not run don't count for its wait.
		adapter := Requirements{Service: "s", Model: "t", Adapter: "a9", Regions: c.regions}
		if _, known := core.ReadyIn(begin, adapter); known != (c.want == "b") {
			t.Errorf("%s: an adapter of b's model is expected: %v", c.name, known)
		}
		if _, known := core.ServerReadyIn(begin, "b", Requirements{Service: "s", Model: "m", Regions: c.regions}); known != (c.want == "b") {
			t.Errorf("%s: b's model is expected there: %v", c.name, known)
		}
	}
	if got := pick(core, begin, Request{Model: "m"}); got != "a" {
		t.Errorf("without a region restriction: picked %q, want the nearest server", got)
	}
	onDisk := entry("d", "s1")
	onDisk.Server.OnDisk = []string{"u"}
	core.SetServers([]inventory.Change{onDisk})
	if core.NearestCopy(begin, Requirements{Service: "s", Model: "u", Regions: locality.Only("north")}) != CopyInStore ||
		core.NearestCopy(begin, Requirements{Service: "s", Model: "u", Regions: locality.Only("south")}) != CopyOnDisk {
		t.Error("weights on a disk in another region count as near")
	}
}

// TestOtherRegionsCostMore: other regions cost more than other zones, and both less than a long
// queue.
func TestOtherRegionsCostMore(t *testing.T) {
	core := newCoreAt("n1", entry("a", "n2", "m"), entry("b", "s1", "m"))
	for range 30 {
		if got := pick(core, begin, Request{Model: "m"}); got != "a" {
			t.Fatalf("picked %s, want the server in the own region", got)
		}
	}
	core.SetPeerLoads(begin, "peer", []PeerLoad{{ServerID: "a", Running: 8, PendingTokens: 2000}})
	if got := pick(core, begin, Request{Model: "m"}); got != "b" {
		t.Errorf("picked %s, whose queue takes longer than the way to the other region", got)
	}
}

// TestDemandIsTold: requests are counted separately by the regions in which they may run.
func TestDemandIsTold(t *testing.T) {
	core := newCoreAt("n1")
	north := Requirements{Service: "s", Model: "m", Regions: locality.Only("north")}
	core.CountRequest(begin, north, 10, time.Second)
	core.CountRequest(begin, Requirements{Service: "s", Model: "m"}, 10, time.Second)
	core.AddWaiting(north, 1)
	counts := core.Demand(begin.Add(-time.Second))
	if len(counts) != 2 {
		t.Fatalf("%d counts, want one for each set of regions: %+v", len(counts), counts)
	}
	for _, count := range counts {
		if count.Requests != 1 || (count.Waiting == 1) != (count.Requirements == north) {
			t.Errorf("%+v", count)
		}
	}
}
