package edge

import (
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// mostNamed bounds the routes that one look names as without servers.
const mostNamed = 8

// regionCheck names the routes whose regions have no server, once for each version of the
// configuration. One goroutine uses it.
type regionCheck struct {
	version int64
	named   map[string]bool
}

// checkRegions logs the services of routes that have no server in the route's regions:
// their requests are refused until one comes.
func (n *Node) checkRegions(check *regionCheck) {
	table := n.handler.Table()
	if table == nil || !n.hasServers.Load() {
		return
	}
	if check.named == nil || table.Version != check.version {
		check.version, check.named = table.Version, make(map[string]bool)
	}
	for _, bound := range table.RegionRestrictions() {
		if len(check.named) >= mostNamed {
			return
		}
		if check.named[bound.Route] || n.hasServerIn(bound) {
			continue
		}
		check.named[bound.Route] = true
		n.options.Logger.Warn().Str("route", bound.Route).Str("service", bound.Service).Str("regions", bound.Regions.String()).
			Int64("config", table.Version).Msg("region_without_servers")
	}
}

func (n *Node) hasServerIn(bound routetable.RegionRestriction) bool {
	found := false
	n.dispatch.Do(func(core *dispatch.Core) { found = core.HasServer(bound.Service, bound.Regions) })
	return found
}
