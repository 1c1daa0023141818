package dispatch

import (
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// SampleServers draws up to limit servers of the service other than the excluded ones, those that do
// not drain first. known is the number of servers of the service. Servers of evacuated zones are left
// out: nothing is sent there.
func (c *Core) SampleServers(service string, exclude []string, limit int) (sample []inventory.Server, known int) {
	listed := c.byService[service]
	var draining []inventory.Server
	for _, at := range c.random.Perm(len(listed)) {
		switch s := listed[at]; {
		case s.isZoneEvacuated:
			continue
		case slices.Contains(exclude, s.info.ID):
		case s.isDraining():
			draining = append(draining, s.info)
		default:
			sample = append(sample, s.info)
		}
		known++
	}
	sample = append(sample, draining...)
	return sample[:min(len(sample), limit)], known
}

// SampleOtherServices draws up to limit servers of other services than this one, one of each, that are not
// excluded.
func (c *Core) SampleOtherServices(service string, exclude []string, limit int) (sample []inventory.Server) {
	for _, other := range slices.Sorted(maps.Keys(c.byService)) {
		if other != service && len(sample) < limit {
			drawn, _ := c.SampleServers(other, exclude, 1)
			sample = append(sample, drawn...)
		}
	}
	return sample
}

// ServiceOf returns the service of the server; empty if the server is unknown.
func (c *Core) ServiceOf(serverID string) string {
	if known, ok := c.servers[serverID]; ok {
		return known.info.Service
	}
	return ""
}

// Wake lets waiting requests check their state again.
func (c *Core) Wake() { c.notify() }
