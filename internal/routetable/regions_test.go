package routetable

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/locality"
)

func tableWithRegions(ofRoute, ofTenant locality.Regions) *Table {
	table := New(1, []Route{{Name: "r", Host: "A.example", Prefix: "/", Regions: ofRoute}}, nil, Limits{})
	table.SetTenants([]Tenant{{Name: "t", Regions: ofTenant}})
	return table
}

// TestRegionsBind: the regions of route and tenant both bind, by the newest table, and
// what a newer table leaves out keeps those it had.
func TestRegionsBind(t *testing.T) {
	north, south, both := locality.Only("north"), locality.Only("south"), locality.Only("north", "south")
	cases := []struct {
		name              string
		ofRoute, ofTenant locality.Regions
		want              string
	}{
		{"neither", locality.Regions{}, locality.Regions{}, "any"},
		{"the route alone", north, locality.Regions{}, "north"},
		{"the tenant alone", locality.Regions{}, south, "south"},
		{"both", both, south, "south"},
		{"both, without a meeting", north, south, "none"},
		{"a route that allows none", locality.Only(), locality.Regions{}, "none"},
	}
	old := tableWithRegions(both, both)
	route, _ := old.Match("a.example", "/x")
	tenant, _ := old.Tenant("t")
	for _, c := range cases {
		table := tableWithRegions(c.ofRoute, c.ofTenant)
		if got := table.CurrentRegions(route, tenant); got.String() != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	if got := tableWithRegions(north, south).CurrentRegions(route, nil); got != north {
		t.Errorf("without a tenant: %s, want north", got)
	}
	if got := New(2, nil, nil, Limits{}).CurrentRegions(route, tenant); got != both {
		t.Errorf("in a table that has neither: %s, want those of before", got)
	}
}
