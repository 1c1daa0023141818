package relay

import (
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// Reasons of refusals: no region is allowed for the request, or no server of its service is in an
// allowed region.
const (
	reasonNoRegion       = "no_region_allowed"
	reasonNoRegionServer = "no_server_in_regions"
)

// currentRegions are the regions in which the request may run, according to the newest table: waiting
// requests and retries follow a change at once, while everything else about a request follows the table
// of its arrival. Only nodes in these regions take a forwarded request, so that no data of it
// leaves them except through the node that its caller chose.
func (x *exchange) currentRegions() locality.Regions {
	newest := x.handler.table.Load()
	if newest != nil && newest != x.regionsTable {
		x.allowedRegions, x.regionsTable = newest.CurrentRegions(x.route, x.tenant), newest
	}
	return x.allowedRegions
}

// checkRegions reports whether a server exists in an allowed region. If not it gives the final
// response, since waiting would not help.
func (x *exchange) checkRegions() bool {
	regions := x.currentRegions()
	if !regions.IsBounded() {
		return true
	}
	if regions.IsEmpty() {
		x.endWithoutRegion(reasonNoRegion)
		return false
	}
	found := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) {
		found = core.HasServer(clock.Now(), dispatch.Requirements{Service: x.service, Regions: regions})
	})
	if !found {
		x.endWithoutRegion(reasonNoRegionServer)
	}
	return found
}

// endWithoutRegion ends a request that may run nowhere.
func (x *exchange) endWithoutRegion(reason string) {
	x.handler.Metrics.RegionRefused.Add(1)
	if reason == reasonNoRegion {
		x.refusePermanently(reason)
	} else {
		x.refuse(reason, x.retryDelay(waiting.ServerRegistrationTime))
	}
}

// countWaiting counts the request among the waiting ones and returns the requirements that it was
// counted for. A change of its regions changes the requirements, which the leader must learn.
func (x *exchange) countWaiting(core *dispatch.Core, countedAs dispatch.Requirements, isWaiting bool) dispatch.Requirements {
	required := x.requirements()
	if required == countedAs && isWaiting {
		return required
	}
	if isWaiting {
		core.AddWaiting(countedAs, -1)
	}
	core.AddWaiting(required, 1)
	x.countDemandFor(core, required)
	return required
}

// countDemandFor counts the request as demand, once for each set of regions that applied to it.
func (x *exchange) countDemandFor(core *dispatch.Core, required dispatch.Requirements) {
	if x.needsModel && required != x.countedDemand && !required.Regions.IsEmpty() {
		x.countedDemand = required
		core.CountRequest(clock.Now(), required, x.head.PromptTokens, x.route.LatencyGoal)
	}
}
