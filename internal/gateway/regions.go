package gateway

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/queue"
)

// mayAsk reports whether what is under way in the zone may be asked for by the
// configuration in force: the zone is in service and lies in the regions.
func (g *Gateway) mayAsk(zone fleet.Zone, regions locality.Regions) bool {
	snapshot, found := g.options.Views.Catalog.Get()
	if !found {
		return true
	}
	return !snapshot.IsEvacuated(zone) && regions.Allows(snapshot.Topology().Region(string(zone)))
}

// modelRegions are the regions of a route, and of its tenant, by the configuration in
// force: they may have changed since the request came. A selector that is gone leaves them as they were.
func (g *Gateway) modelRegions(route catalog.ModelRoute) locality.Regions {
	regions := route.Regions
	if snapshot, found := g.options.Views.Catalog.Get(); found {
		if newest, known := snapshot.SelectorRegions(route.Selector); known {
			regions = newest
		}
	}
	return regions.Intersect(g.tenantRegions(route.Tenant))
}

// serviceRegions are as modelRegions, of a service's route.
func (g *Gateway) serviceRegions(route catalog.ServiceRoute) locality.Regions {
	regions := route.Regions
	if snapshot, found := g.options.Views.Catalog.Get(); found {
		if newest, known := snapshot.ServiceRegions(route.Service); known {
			regions = newest
		}
	}
	return regions.Intersect(g.tenantRegions(route.Tenant))
}

// refuseRegions refuses what may run in no zone that is known.
func (s *dispatcherState) refuseRegions(regions locality.Regions) *failure {
	if !regions.IsBounded() || s.evacuated || s.routing.HasZone(regions) {
		return nil
	}
	refused := refuse(http.StatusServiceUnavailable, codeNoRegion,
		"no zone in service lies in the regions allowed: "+regions.String()).after(evacuatedRetryAfter)
	return &refused
}

// followRegions lets what waits do so by the regions in force: for another load, or no
// longer where it may run nowhere.
func (s *dispatcherState) followRegions(now time.Time) {
	moved := make(map[uint64]*pending)
	for ticket, waiting := range s.pending {
		if fleet.RegionsOf(s.gateway.modelRegions(waiting.submit.route)) != waiting.regions {
			moved[ticket] = waiting
		}
	}
	for _, ticket := range slices.Sorted(maps.Keys(moved)) {
		s.stepQueue(now, queue.Cancel{Ticket: queue.Ticket(ticket)})
		s.waitAgain(now, ticket, moved[ticket])
	}
}

// follow keeps the regions that requests for a model are bound to, so that their
// lines hear of room.
func (s *dispatcherState) follow(model fleet.ModelVersion, regions locality.Regions) {
	if !regions.IsBounded() {
		return
	}
	if s.bounds[model] == nil {
		s.bounds[model] = make(map[locality.Regions]bool)
	}
	s.bounds[model][regions] = true
}
