package edge

import (
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// maxReportedRoutes bounds the routes that one look names as without servers.
const maxReportedRoutes = 8

// regionCheck names the routes whose regions have no server, once for each version of the
// configuration. One goroutine uses it.
type regionCheck struct {
	version  int64
	reported map[string]bool
}

// checkRegions logs the services of routes that have no server in the route's regions:
// their requests are refused until one comes.
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
	n.dispatch.Do(func(core *dispatch.Core) { found = core.HasServer(restriction.Service, restriction.Regions) })
	return found
}
