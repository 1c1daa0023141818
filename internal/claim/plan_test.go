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
	for _, test := range []struct {
		name        string
		settled     []Seat
		hasEnded    func(Seat) bool
		changes     bool
		generations int
	}{
		{"two settled", []Seat{seat("a"), seat("b")}, never, true, 1},
		{"one settled", []Seat{seat("a")}, never, false, 1},
		{"one settled and one ended", []Seat{seat("a")}, seat("c").SameProcess, true, 1},
		{"none settled, all ended", nil, func(Seat) bool { return true }, true, 2},
		{"none settled, one ended", nil, seat("c").SameProcess, false, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			planned, changed := Plan(table, PlanInput{
				Usable: usable, Settled: map[int][]Seat{0: test.settled}, HasEnded: test.hasEnded,
			})
			if changed != test.changes || len(planned.Slots[0].Previous) != test.generations {
				t.Fatalf("changed %v: %+v", changed, planned.Slots[0])
			}
		})
	}
}
