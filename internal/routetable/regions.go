package routetable

import "github.com/spanlanding/spanlanding/internal/locality"

// AllowedRegions are the regions in which a request of the route and the tenant may
// run: where both name some, those of both. The tenant is nil where none is needed.
func AllowedRegions(route *Route, tenant *Tenant) locality.Regions {
	if tenant == nil {
		return route.Regions
	}
	return route.Regions.Intersect(tenant.Regions)
}

// CurrentRegions are the regions in which a request may run by this table, which may be
// newer than the one that its route and tenant are of. A route or tenant that the table
// does not have any more keeps the regions that it had.
func (t *Table) CurrentRegions(route *Route, tenant *Tenant) locality.Regions {
	if known, ok := t.routeNamed(route); ok {
		route = known
	}
	if tenant != nil {
		if known, ok := t.Tenant(tenant.Name); ok {
			tenant = known
		}
	}
	return AllowedRegions(route, tenant)
}

// routeNamed is the table's route of a route's host and name.
func (t *Table) routeNamed(route *Route) (*Route, bool) {
	ofHost := t.routes[canonicalHost(route.Host)]
	for i := range ofHost {
		if ofHost[i].Name == route.Name {
			return &ofHost[i], true
		}
	}
	return nil, false
}

// RegionRestriction is a service of a route whose requests may run in some regions only.
type RegionRestriction struct {
	Route   string
	Service string
	Regions locality.Regions
}

// RegionRestrictions are the services of all routes that name regions.
func (t *Table) RegionRestrictions() []RegionRestriction { return t.bounded }

// findBounded lists the services of routes that name regions, once for a table.
func findBounded(routes []Route) []RegionRestriction {
	var bounded []RegionRestriction
	for _, route := range routes {
		if !route.Regions.IsBounded() {
			continue
		}
		for _, part := range route.Services {
			bounded = append(bounded, RegionRestriction{Route: route.Name, Service: part.Service, Regions: route.Regions})
		}
	}
	return bounded
}
