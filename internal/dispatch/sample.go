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

// SampleWitnesses draws up to limit servers that share the most of the way to a server: those of its
// service in its zone, else those of its service, else one of each other service. Whether they answer
// tells an end of the server from a failure of the way to it. Excluded and draining servers are left out.
func (c *Core) SampleWitnesses(service, serverID string, exclude []string, limit int) []inventory.Server {
	var inZone, ofService []inventory.Server
	subject := c.servers[serverID]
	for _, at := range c.random.Perm(len(c.byService[service])) {
		s := c.byService[service][at]
		switch {
		case s.isZoneEvacuated || s.isDraining() || s.info.ID == serverID || slices.Contains(exclude, s.info.ID):
		case subject != nil && s.info.Zone == subject.info.Zone:
			inZone = append(inZone, s.info)
		default:
			ofService = append(ofService, s.info)
		}
	}
	for _, witnesses := range [][]inventory.Server{inZone, ofService} {
		if len(witnesses) > 0 {
			return witnesses[:min(len(witnesses), limit)]
		}
	}
	return c.sampleOtherServices(service, exclude, limit)
}

// sampleOtherServices draws up to limit servers of other services than this one, one of each, that are not
// excluded.
func (c *Core) sampleOtherServices(service string, exclude []string, limit int) (sample []inventory.Server) {
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
