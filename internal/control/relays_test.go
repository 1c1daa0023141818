package control

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

func TestTwoUsableNodesOfEachOtherZoneHearATable(t *testing.T) {
	var members []fleet.Member
	for _, name := range []fleet.NodeName{"1", "2", "3", "4", "5"} {
		for _, zone := range []fleet.Zone{"x", "y", "z"} {
			members = append(members, fleet.Member{Name: fleet.NodeName(zone) + name, Zone: zone, State: fleet.MemberAlive})
		}
	}
	namesFrom := func(self fleet.NodeName, members []fleet.Member) []fleet.NodeName {
		core := New(Options{Self: self, Zone: "z", Settings: DefaultSettings()})
		core.Step(time.Unix(1000, 0), MembersChanged{Members: members})
		var names []fleet.NodeName
		for _, member := range core.relays() {
			names = append(names, member.Name)
		}
		return names
	}
	first := namesFrom("z1", members)
	if len(first) != 4 || first[0][0] != 'x' || first[1][0] != 'x' || first[2][0] != 'y' || first[3][0] != 'y' {
		t.Fatalf("relays are %v, want two of x and two of y", first)
	}
	if second := namesFrom("z2", members); !cmp.Equal(first, second) {
		t.Errorf("another leader would choose %v, not %v", second, first)
	}
	for index := range members {
		if members[index].Name == first[0] {
			members[index].State = fleet.MemberDead
		}
	}
	after := namesFrom("z1", members)
	if len(after) != 4 || after[0] != first[1] || !cmp.Equal(after[2:], first[2:]) {
		t.Errorf("after the death of %s relays are %v, before %v", first[0], after, first)
	}
}
