package dispatch

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
)

var places = locality.NewMap(map[string]string{"n1": "north", "n2": "north", "s1": "south"})

func newCoreAt(zone string, changes ...inventory.Change) *Core {
	core := New(Options{Zone: zone, Topology: places, Seed: 1})
	core.SetServers(changes)
	return core
}

// TestNothingGoesToOtherRegions: every question of a request goes by the same filter.
func TestNothingGoesToOtherRegions(t *testing.T) {
	core := newCoreAt("n1", entry("a", "n1", "m"), entry("b", "s1", "m", "t"), entry("c", "unknown", "m"))
	core.SetLeader(begin, 1, false, 0)
	cases := []struct {
		name    string
		regions locality.Regions
		want    string
		has     bool
	}{
		{"the only server there", locality.Only("south"), "b", true},
		{"the other one", locality.Only("north"), "a", true},
		{"none at all", locality.Only(), "", false},
		{"a region without servers", locality.Only("east"), "", false},
		{"a zone of which no region is known is in none", locality.Only("unknown", ""), "", false},
	}
	for _, c := range cases {
		ask := Request{Service: "s", Model: "m", Regions: c.regions}
		if got := pick(core, begin, ask); got != c.want {
			t.Errorf("%s: picked %q, want %q", c.name, got, c.want)
		}
		if core.CanPick(begin, ask) != c.has || core.HasServer("s", c.regions) != c.has {
			t.Errorf("%s: another server can be picked: %v, there is one: %v, want %v", c.name, core.CanPick(begin, ask), core.HasServer("s", c.regions), c.has)
		}
		for _, id := range []string{"a", "b", "c"} {
			if got := core.MayStillSend(begin, &Attempt{server: core.servers[id], start: core.servers[id].info.Start()}, c.regions); got != (id == c.want) {
				t.Errorf("%s: may take at %s: %v", c.name, id, got)
			}
		}
		// What waits is told of no adapter that comes where it may not run.
		adapter := Requirements{Service: "s", Model: "t", Adapter: "a9", Regions: c.regions}
		if _, known := core.ReadyIn(begin, adapter); known != (c.want == "b") {
			t.Errorf("%s: an adapter of b's model is foretold: %v", c.name, known)
		}
		if _, known := core.ServerReadyIn(begin, "b", Requirements{Service: "s", Model: "m", Regions: c.regions}); known != (c.want == "b") {
			t.Errorf("%s: b's model is foretold there: %v", c.name, known)
		}
	}
	if got := pick(core, begin, Request{Model: "m"}); got != "a" {
		t.Errorf("without a bound: %q, want the nearest", got)
	}
	onDisk := entry("d", "s1")
	onDisk.Server.OnDisk = []string{"u"}
	core.SetServers([]inventory.Change{onDisk})
	if core.NearestCopy(begin, Requirements{Service: "s", Model: "u", Regions: locality.Only("north")}) != CopyInStore ||
		core.NearestCopy(begin, Requirements{Service: "s", Model: "u", Regions: locality.Only("south")}) != CopyOnDisk {
		t.Error("weights on a disk of another region are taken for near")
	}
}

// TestOtherRegionsCostMore than other zones, and both less than a long queue.
func TestOtherRegionsCostMore(t *testing.T) {
	core := newCoreAt("n1", entry("a", "n2", "m"), entry("b", "s1", "m"))
	for range 30 {
		if got := pick(core, begin, Request{Model: "m"}); got != "a" {
			t.Fatalf("picked %s, want the one of the own region", got)
		}
	}
	core.SetPeerLoads(begin, "peer", []PeerLoad{{ServerID: "a", Running: 8, PendingTokens: 2000}})
	if got := pick(core, begin, Request{Model: "m"}); got != "b" {
		t.Errorf("picked %s, which is busy for longer than the way to the other takes", got)
	}
}

// TestDemandIsTold by the regions in which it may run.
func TestDemandIsTold(t *testing.T) {
	core := newCoreAt("n1")
	north := Requirements{Service: "s", Model: "m", Regions: locality.Only("north")}
	core.CountRequest(begin, north, 10, time.Second)
	core.CountRequest(begin, Requirements{Service: "s", Model: "m"}, 10, time.Second)
	core.AddWaiting(north, 1)
	counts := core.Demand(begin.Add(-time.Second))
	if len(counts) != 2 {
		t.Fatalf("%d counts, want one for each regions: %+v", len(counts), counts)
	}
	for _, count := range counts {
		if count.Requests != 1 || (count.Waiting == 1) != (count.Requirements == north) {
			t.Errorf("%+v", count)
		}
	}
}
