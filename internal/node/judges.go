package node

import (
	"cmp"
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/views"
)

// mostJudges are the members that are asked for a decision for all nodes, one after the
// other until one answers.
const mostJudges = 3

// judges are the delegates of the first zone: all nodes know them, and name the same
// ones but for moments. Nothing of safety hangs on it that there is one of them.
func judges(self fleet.Member, published *views.Views) []fleet.Member {
	members := append(usablePeers(self, published), self)
	slices.SortFunc(members, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), membership.CompareDelegates(a.Name, b.Name))
	})
	return members[:min(mostJudges, len(members))]
}

// usablePeers are the usable members that a node knows: all of its zone, and delegates
// of the others.
func usablePeers(self fleet.Member, published *views.Views) []fleet.Member {
	members, _ := published.Members.Get()
	return slices.DeleteFunc(slices.Clone(members), func(member fleet.Member) bool {
		return !member.Usable() || member.Name == self.Name
	})
}
