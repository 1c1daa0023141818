package claim

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

func memberOf(name, zone string) fleet.Member {
	return fleet.Member{
		Name: fleet.NodeName(name), Zone: fleet.Zone(zone), BootID: 1, State: fleet.MemberAlive,
		Addresses: fleet.Addresses{Peer: name},
	}
}

func TestChooseSpreadsOverZones(t *testing.T) {
	members := []fleet.Member{
		memberOf("a", "one"), memberOf("b", "one"), memberOf("c", "one"), memberOf("d", "two"), memberOf("e", "three"),
	}
	for slot := range SlotCount {
		zones := make(map[fleet.Zone]bool)
		for _, member := range SelectVoters(slot, nil, members) {
			zones[member.Zone] = true
		}
		if len(zones) != SeatsPerSlot {
			t.Errorf("slot %d has seats in %d zones", slot, len(zones))
		}
	}
}

func TestPlanChangesOnlyWhatCanHandOver(t *testing.T) {
	never := func(Seat) bool { return false }
	usable := []fleet.Member{memberOf("a", "one"), memberOf("b", "two"), memberOf("d", "three")}
	slot := slotOf(3, "a", "b", "c")
	slot.Previous = [][]Seat{slotOf(2, "a", "b", "x").Seats}
	table := Table{Slots: []Slot{slot}}
	for _, situation := range []struct {
		name        string
		settled     []Seat
		gone        func(Seat) bool
		changes     bool
		generations int
	}{
		{"two settled", []Seat{seat("a"), seat("b")}, never, true, 1},
		{"one settled", []Seat{seat("a")}, never, false, 1},
		{"one settled and one gone", []Seat{seat("a")}, seat("c").SameProcess, true, 1},
		{"none settled, all gone", nil, func(Seat) bool { return true }, true, 2},
		{"none settled, one gone", nil, seat("c").SameProcess, false, 1},
	} {
		t.Run(situation.name, func(t *testing.T) {
			planned, changed := Plan(table, PlanInput{
				Usable: usable, Settled: map[int][]Seat{0: situation.settled}, HasEnded: situation.gone,
			})
			if changed != situation.changes || len(planned.Slots[0].Previous) != situation.generations {
				t.Fatalf("changed %v: %+v", changed, planned.Slots[0])
			}
		})
	}
}
