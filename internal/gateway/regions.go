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

// mayUseZone reports whether the configuration in force allows requests to the
// zone: it is not evacuated and lies in the allowed regions.
func (g *Gateway) mayUseZone(zone fleet.Zone, regions locality.Regions) bool {
	snapshot, found := g.options.Views.Catalog.Get()
	if !found {
		return true
	}
	return !snapshot.IsEvacuated(zone) && regions.Allows(snapshot.Topology().Region(string(zone)))
}

// modelRegions returns the allowed regions of a route and its tenant by the configuration in
// force, which may have changed since the request arrived. If the selector was deleted, its
// former regions stay in use.
func (g *Gateway) modelRegions(route catalog.ModelRoute) locality.Regions {
	regions := route.Regions
	if snapshot, found := g.options.Views.Catalog.Get(); found {
		if current, known := snapshot.SelectorRegions(route.Selector); known {
			regions = current
		}
	}
	return regions.Intersect(g.tenantRegions(route.Tenant))
}

// serviceRegions is modelRegions for the route of a service.
func (g *Gateway) serviceRegions(route catalog.ServiceRoute) locality.Regions {
	regions := route.Regions
	if snapshot, found := g.options.Views.Catalog.Get(); found {
		if current, known := snapshot.ServiceRegions(route.Service); known {
			regions = current
		}
	}
	return regions.Intersect(g.tenantRegions(route.Tenant))
}

// checkRegions refuses requests that no known zone in service may run.
func (s *dispatcherState) checkRegions(regions locality.Regions) *failure {
	if !regions.IsBounded() || s.allEvacuated || s.routing.HasZone(regions) {
		return nil
	}
	refused := newRefusal(http.StatusServiceUnavailable, codeNoRegion,
		"no zone in service lies in the regions allowed: "+regions.String()).withRetryAfter(evacuatedRetryAfter)
	return &refused
}

// requeueChangedRegions requeues waiting requests whose allowed regions changed, and refuses
// those that may no longer run anywhere.
func (s *dispatcherState) requeueChangedRegions(now time.Time) {
	changed := make(map[uint64]*pendingRequest)
	for ticket, request := range s.pending {
		if fleet.RegionsOf(s.gateway.modelRegions(request.submit.route)) != request.regions {
			changed[ticket] = request
		}
	}
	for _, ticket := range slices.Sorted(maps.Keys(changed)) {
		s.stepQueue(now, queue.Cancel{Ticket: queue.Ticket(ticket)})
		s.requeue(now, ticket, changed[ticket])
	}
}

// trackRegions remembers the regions that requests for a model are bound to, so that their
// queues are told of capacity.
func (s *dispatcherState) trackRegions(model fleet.ModelVersion, regions locality.Regions) {
	if !regions.IsBounded() {
		return
	}
	if s.regionsByModel[model] == nil {
		s.regionsByModel[model] = make(map[locality.Regions]bool)
	}
	s.regionsByModel[model][regions] = true
}
