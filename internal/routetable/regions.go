package routetable

import "github.com/spanlanding/spanlanding/internal/locality"

// AllowedRegions returns the regions in which a request of the route and the tenant may run: if
// both restrict regions, those that both allow. tenant is nil if the route needs none.
func AllowedRegions(route *Route, tenant *Tenant) locality.Regions {
	if tenant == nil {
		return route.Regions
	}
	return route.Regions.Intersect(tenant.Regions)
}

// CurrentRegions returns the regions in which a request may run according to this table, which may
// be newer than the one that route and tenant come from. A route or tenant that is missing in this
// table keeps its regions.
func (t *Table) CurrentRegions(route *Route, tenant *Tenant) locality.Regions {
	if current, ok := t.findRoute(route); ok {
		route = current
	}
	if tenant != nil {
		if current, ok := t.Tenant(tenant.Name); ok {
			tenant = current
		}
	}
	return AllowedRegions(route, tenant)
}

// findRoute returns this table's route with the same host and name.
func (t *Table) findRoute(route *Route) (*Route, bool) {
	hostRoutes := t.routes[canonicalHost(route.Host)]
	for i := range hostRoutes {
		if hostRoutes[i].Name == route.Name {
			return &hostRoutes[i], true
		}
	}
	return nil, false
}

// RegionRestriction is a service of a route whose requests may run only in some regions.
type RegionRestriction struct {
	Route   string
	Service string
	Regions locality.Regions
}

// RegionRestrictions returns the services of all routes that restrict regions.
func (t *Table) RegionRestrictions() []RegionRestriction { return t.restrictions }

// findRestrictions lists the services of routes that restrict regions. It runs once per table.
func findRestrictions(routes []Route) []RegionRestriction {
	var restrictions []RegionRestriction
	for _, route := range routes {
		if !route.Regions.IsBounded() {
			continue
		}
		for _, service := range route.Services {
			restrictions = append(restrictions, RegionRestriction{Route: route.Name, Service: service.Service, Regions: route.Regions})
		}
	}
	return restrictions
}
