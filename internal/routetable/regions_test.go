package routetable

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/locality"
)

func tableWithRegions(routeRegions, tenantRegions locality.Regions) *Table {
	table := New(1, []Route{{Name: "r", Host: "A.example", Prefix: "/", Regions: routeRegions}}, nil, Limits{})
	table.SetTenants([]Tenant{{Name: "t", Regions: tenantRegions}})
	return table
}

// TestRegionsBind checks that the restrictions of route and tenant both apply, as the newest table
// has them, and that a route or tenant that a newer table lacks keeps its regions.
func TestRegionsBind(t *testing.T) {
	north, south, both := locality.Only("north"), locality.Only("south"), locality.Only("north", "south")
	cases := []struct {
		name                        string
		routeRegions, tenantRegions locality.Regions
		want                        string
	}{
		{"neither", locality.Regions{}, locality.Regions{}, "any"},
		{"only the route", north, locality.Regions{}, "north"},
		{"only the tenant", locality.Regions{}, south, "south"},
		{"both", both, south, "south"},
		{"both, without a common region", north, south, "none"},
		{"a route that allows none", locality.Only(), locality.Regions{}, "none"},
	}
	old := tableWithRegions(both, both)
	route, _ := old.Match("a.example", "/x")
	tenant, _ := old.Tenant("t")
	for _, c := range cases {
		table := tableWithRegions(c.routeRegions, c.tenantRegions)
		if got := table.CurrentRegions(route, tenant); got.String() != c.want {
			t.Errorf("%s: regions %s, want %s", c.name, got, c.want)
		}
	}
	if got := tableWithRegions(north, south).CurrentRegions(route, nil); got != north {
		t.Errorf("without a tenant: regions %s, want north", got)
	}
	if got := New(2, nil, nil, Limits{}).CurrentRegions(route, tenant); got != both {
		t.Errorf("in a table without this route and tenant: regions %s, want the previous ones", got)
	}
}
