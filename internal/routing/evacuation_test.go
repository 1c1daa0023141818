package routing

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

func evacuated(version int64, zones ...string) Evacuations {
	return Evacuations{Snapshot: evacuation.Snapshot{Zones: zones, Position: storepos.At(0, version)}}
}

// twoZones returns a driver for zone a, with an idle engine and a service in zone a, and a loaded
// engine and a service in zone b.
func twoZones() *driver {
	d := newDriver(Options{}, epoch)
	service := func(name string, zone fleet.Zone) []fleet.Backend {
		return []fleet.Backend{{Name: fleet.BackendName(name), Kind: fleet.KindService, Zone: zone, Service: "turbines"}}
	}
	d.core.Step(epoch, Tables{Tables: []fleet.RouteTable{
		{Zone: "a", Engines: []fleet.EngineState{engine("a1", "a", 0)}, Services: service("sa", "a")},
		{Zone: "b", Engines: []fleet.EngineState{engine("b1", "b", 9)}, Services: service("sb", "b")},
	}})
	return d
}

func (d *driver) pickService() string {
	d.next++
	for _, effect := range d.core.Step(epoch, PickService{Ticket: d.next, Service: "turbines"}) {
		if picked, isPicked := effect.(Picked); isPicked {
			return string(picked.Backend.Name)
		}
	}
	return ""
}

func TestNoAttemptGoesToAnEvacuatedZone(t *testing.T) {
	steps := []struct {
		name                    string
		evacuations             Evacuations
		first, retry, service   string
		ready, capacity         int
		allEvacuated, announced bool
	}{
		{"none", evacuated(1), "a1", "b1", "sa", 2, 2, false, false},
		{"the own zone", evacuated(3, "a"), "b1", "b1", "sb", 1, 1, false, true},
		{"an older version", evacuated(2), "b1", "b1", "sb", 1, 1, false, false},
		{"the other zone, so that the retry stays at the failed engine", evacuated(4, "b"), "a1", "a1", "sa", 1, 1, false, true},
		{"both", evacuated(5, "a", "b"), "", "", "", 0, 0, true, true},
		{"unknown zone", evacuated(6, "c"), "a1", "b1", "sa", 2, 2, false, true},
	}
	d := twoZones()
	for _, step := range steps {
		effects := d.core.Step(epoch, step.evacuations)
		if hasEffects := len(effects) > 0; hasEffects != step.announced {
			t.Errorf("%s: effects %v", step.name, effects)
		}
		ticket, got := d.pick(epoch, nil)
		d.core.Step(epoch, Ended{Ticket: ticket, Result: ResultAbandoned})
		if got != step.first {
			t.Errorf("%s: picked %q", step.name, got)
		}
		ticket, got = d.pick(epoch, func(pick *Pick) { pick.Exclude = []fleet.BackendName{"a1"} })
		d.core.Step(epoch, Ended{Ticket: ticket, Result: ResultAbandoned})
		if got != step.retry {
			t.Errorf("%s: retried at %q", step.name, got)
		}
		if got := d.pickService(); got != step.service {
			t.Errorf("%s: picked service %q", step.name, got)
		}
		// Hedges and queued requests depend on the capacity.
		if capacity := d.core.Capacity(epoch, notes); capacity.Ready != step.ready || len(capacity.Replicas) != step.capacity {
			t.Errorf("%s: capacity %+v", step.name, capacity)
		}
		if d.core.AllEvacuated() != step.allEvacuated {
			t.Errorf("%s: all evacuated is %v", step.name, !step.allEvacuated)
		}
	}
}

func TestNothingIsAllEvacuatedWhileNoZoneIsKnown(t *testing.T) {
	core := New(Options{Zone: "a"})
	core.Step(epoch, evacuated(1, "a"))
	if core.AllEvacuated() {
		t.Error("a node without tables reports all zones as evacuated")
	}
}

func TestNoAttemptLeavesItsRegions(t *testing.T) {
	d := twoZones()
	d.core.Step(epoch, Topology{Map: locality.NewMap(map[string]string{"a": "north", "b": "south"})})
	for _, test := range []struct {
		regions locality.Regions
		first   string
		ready   int
	}{
		{locality.Regions{}, "a1", 2},
		{locality.Only("north"), "a1", 1},
		{locality.Only("south"), "b1", 1},
		{locality.Only("south", "west"), "b1", 1},
		{locality.Only("west"), "", 0},
		{locality.Only(), "", 0},
	} {
		with := func(pick *Pick) { pick.Regions = test.regions }
		ticket, got := d.pick(epoch, with)
		d.core.Step(epoch, Ended{Ticket: ticket, Result: ResultAbandoned})
		if got != test.first || d.core.CapacityIn(epoch, notes, test.regions).Ready != test.ready {
			t.Errorf("%s: picked %q, capacity %+v", test.regions, got, d.core.CapacityIn(epoch, notes, test.regions))
		}
		if d.core.HasZone(test.regions) != (test.first != "") {
			t.Errorf("%s: has a zone: %v", test.regions, test.first == "")
		}
	}
	d.core.Step(epoch, evacuated(1, "b"))
	if _, got := d.pick(epoch, func(pick *Pick) { pick.Regions = locality.Only("south") }); got != "" || d.core.HasZone(locality.Only("south")) {
		t.Errorf("picked %q although the region's zone is evacuated", got)
	}
}
