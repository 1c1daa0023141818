package scale

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/configsync"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// Role is what a node does for others beside serving its callers.
type Role string

// The roles. Every node is a router; each figure of another role is that of
// nodes that have it, whatever else they are.
const (
	RoleRouter   Role = "router"
	RoleLeader   Role = "zone leader"
	RoleDecider  Role = "decider"
	RoleReader   Role = "config reader"
	RoleDelegate Role = "zone delegate"
	RoleKeeper   Role = "keeper"
	// RolePlain is a node with no role but the router's.
	RolePlain Role = "router only"
)

// Roles lists them in the order of reports.
func Roles() []Role {
	return []Role{RoleRouter, RolePlain, RoleLeader, RoleDecider, RoleReader, RoleDelegate, RoleKeeper}
}

// delegatesPerZone is membership's default.
const delegatesPerZone = 3

// rolesOf tells which nodes have which roles now.
func rolesOf(ctx context.Context, outside *standIns, nodes []hollow) map[Role]map[fleet.NodeName]bool {
	roles := make(map[Role]map[fleet.NodeName]bool)
	for _, role := range Roles() {
		roles[role] = make(map[fleet.NodeName]bool)
	}
	byZone := make(map[fleet.Zone][]fleet.Member)
	for _, each := range nodes {
		byZone[each.zone] = append(byZone[each.zone], fleet.Member{Name: each.name, Zone: each.zone, State: fleet.MemberAlive})
	}
	tables, _ := nodes[0].node.Views().Tables.Get()
	first := nodes[0].zone
	for zone, members := range byZone {
		leader := tables[zone].Leader
		roles[RoleLeader][leader] = true
		if first = min(first, zone); zone == first {
			clear(roles[RoleDecider])
			roles[RoleDecider][leader] = true
		}
		for _, name := range configsync.Readers(zone, members) {
			roles[RoleReader][name] = true
		}
		slices.SortFunc(members, func(a, b fleet.Member) int {
			return cmp.Compare(xxhash.Sum64String(string(b.Name)), xxhash.Sum64String(string(a.Name)))
		})
		for _, member := range members[:min(delegatesPerZone, len(members))] {
			roles[RoleDelegate][member.Name] = true
		}
	}
	for _, name := range keepers(ctx, outside) {
		roles[RoleKeeper][name] = true
	}
	for _, each := range nodes {
		roles[RoleRouter][each.name] = true
		special := roles[RoleLeader][each.name] || roles[RoleReader][each.name] || roles[RoleDelegate][each.name]
		roles[RolePlain][each.name] = !special
	}
	return roles
}

// keepers are the nodes that the store's record of keepers names.
func keepers(ctx context.Context, outside *standIns) []fleet.NodeName {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := outside.client.Get(ctx, objectstore.Key{Kind: objectstore.KindKeepers, Name: "fleet"})
	var table claim.Table
	if err != nil || json.Unmarshal(object.Spec, &table) != nil {
		return nil
	}
	var names []fleet.NodeName
	for _, slot := range table.Slots {
		for _, seat := range slot.Seats {
			names = append(names, seat.Name)
		}
	}
	return names
}
