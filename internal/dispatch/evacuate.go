package dispatch

// SetEvacuated sets the evacuated zones. Their servers get no new requests; running requests
// continue. Servers in all other zones take work again.
func (c *Core) SetEvacuated(zones []string) {
	c.evacuatedZones = make(map[string]bool, len(zones))
	for _, zone := range zones {
		c.evacuatedZones[zone] = true
	}
	for _, s := range c.servers {
		s.isZoneEvacuated = c.evacuatedZones[s.info.Zone]
	}
	c.notify()
}

// IsEvacuated reports whether the service has servers that are not draining, and evacuations stop
// all of them from taking work. Requests waiting for one are not served until the operator ends an
// evacuation.
func (c *Core) IsEvacuated(service string) bool {
	evacuated := false
	for _, s := range c.byService[service] {
		if s.isAvailable() {
			return false
		}
		evacuated = evacuated || (s.isZoneEvacuated && !s.isDraining())
	}
	return evacuated
}

// KnowsZone reports whether a server in the zone is known.
func (c *Core) KnowsZone(zone string) bool {
	for _, s := range c.servers {
		if s.info.Zone == zone {
			return true
		}
	}
	return false
}

// Stays reports whether the server is known and not draining, whether or not its zone is evacuated.
func (c *Core) Stays(serverID string) bool {
	known, ok := c.servers[serverID]
	return ok && !known.isDraining()
}
