package edge

import (
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// maxReportedRoutes bounds the routes that are logged as having no server, per version of the
// configuration.
const maxReportedRoutes = 8

// regionCheck records the routes that were logged as having no server in their regions, so that
// each is logged once per version of the configuration. It is used by one goroutine.
type regionCheck struct {
	version  int64
	reported map[string]bool
}

// checkRegions logs the services of routes that have no server in the route's regions. Requests
// to them are refused until one appears.
func (n *Node) checkRegions(check *regionCheck) {
	table := n.handler.Table()
	if table == nil || !n.hasServers.Load() {
		return
	}
	if check.reported == nil || table.Version != check.version {
		check.version, check.reported = table.Version, make(map[string]bool)
	}
	for _, restriction := range table.RegionRestrictions() {
		if len(check.reported) >= maxReportedRoutes {
			return
		}
		if check.reported[restriction.Route] || n.hasServerIn(restriction) {
			continue
		}
		check.reported[restriction.Route] = true
		n.options.Logger.Warn().Str("route", restriction.Route).Str("service", restriction.Service).Str("regions", restriction.Regions.String()).
			Int64("config", table.Version).Msg("region_without_servers")
	}
}

func (n *Node) hasServerIn(restriction routetable.RegionRestriction) bool {
	found := false
	n.dispatch.Do(func(core *dispatch.Core) {
		found = core.HasServer(clock.Now(), dispatch.Requirements{Service: restriction.Service, Regions: restriction.Regions})
	})
	return found
}
