package node

import (
	"cmp"
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/views"
)

// maxCoordinators is how many members are asked for a decision that applies to all nodes, in
// turn until one answers.
const maxCoordinators = 3

// coordinators returns the delegates of the first zone, in the order in which they are
// asked. All nodes know them and, but for short times, list the same ones. Safety does not
// depend on there being a single coordinator.
func coordinators(self fleet.Member, published *views.Views) []fleet.Member {
	members := append(usablePeers(self, published), self)
	slices.SortFunc(members, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), membership.CompareDelegates(a.Name, b.Name))
	})
	return members[:min(maxCoordinators, len(members))]
}

// usablePeers returns the usable members that a node knows: all of its own zone, and the
// delegates of the other zones.
func usablePeers(self fleet.Member, published *views.Views) []fleet.Member {
	members, _ := published.Members.Get()
	return slices.DeleteFunc(slices.Clone(members), func(member fleet.Member) bool {
		return !member.Usable() || member.Name == self.Name
	})
}
