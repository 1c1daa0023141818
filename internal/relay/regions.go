package relay

import (
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// Reasons of refusals: the configuration allows the request in no region, and no server
// of its service stands in those that it allows.
const (
	reasonNoRegion       = "no_region_allowed"
	reasonNoRegionServer = "no_server_in_regions"
)

// regions are those in which the request may run, by the newest table: what waits or is
// retried as they change goes by the new ones at once, while all else of the request goes
// by the table of its arrival. A request never goes to another node, so that nothing of it
// leaves these regions but for the node that its caller chose.
func (x *exchange) regions() locality.Regions {
	newest := x.handler.table.Load()
	if newest != nil && newest != x.allowedBy {
		x.allowed, x.allowedBy = newest.CurrentRegions(x.route, x.tenant), newest
	}
	return x.allowed
}

// hasPlace reports whether the request may run anywhere, and a server is there. Where not
// it gives the final answer: waiting would not help.
func (x *exchange) hasPlace() bool {
	regions := x.regions()
	if !regions.IsBounded() {
		return true
	}
	if regions.IsEmpty() {
		x.endWithoutPlace(reasonNoRegion)
		return false
	}
	found := false
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { found = core.HasServer(x.service, regions) })
	if !found {
		x.endWithoutPlace(reasonNoRegionServer)
	}
	return found
}

// endWithoutPlace answers a request that may run nowhere: as not run, where that is so.
func (x *exchange) endWithoutPlace(reason string) {
	x.handler.Metrics.RegionRefused.Add(1)
	switch {
	case x.hasLeft() || x.headSent || x.ran:
		x.giveUp(reason)
	case reason == reasonNoRegion:
		x.refuseForGood(reason)
	default:
		x.refuse(reason, x.comeBack(waiting.ServerRegistrationTime))
	}
}

// countWaiting counts the request among those that wait, and returns what for. Where its
// regions changed since it was last counted it waits for something else, which the leader
// has to hear of.
func (x *exchange) countWaiting(core *dispatch.Core, counted dispatch.Requirements, waits bool) dispatch.Requirements {
	wanted := x.wanted()
	if wanted == counted && waits {
		return wanted
	}
	if waits {
		core.AddWaiting(counted, -1)
	}
	core.AddWaiting(wanted, 1)
	x.countAsked(core, wanted)
	return wanted
}

// countAsked counts the request as demand, once for each regions that it was in.
func (x *exchange) countAsked(core *dispatch.Core, wanted dispatch.Requirements) {
	if x.engine && wanted != x.asked && !wanted.Regions.IsEmpty() {
		x.asked = wanted
		core.CountRequest(clock.Now(), wanted, x.head.PromptTokens, x.route.LatencyGoal)
	}
}
