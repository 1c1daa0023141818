package dispatch

// SetEvacuated closes all servers in the zones, and opens those in others. Nothing
// new is sent to a closed server; what runs there runs on.
func (c *Core) SetEvacuated(zones []string) {
	c.evacuated = make(map[string]bool, len(zones))
	for _, zone := range zones {
		c.evacuated[zone] = true
	}
	for _, s := range c.servers {
		s.closed = c.evacuated[s.info.Zone]
	}
	c.notify()
}

// IsEvacuated reports whether the service has servers that stay and evacuations close
// all of them: nothing that waits for one is served before the operator takes an
// evacuation back.
func (c *Core) IsEvacuated(service string) bool {
	closed := false
	for _, s := range c.byService[service] {
		if s.takesWork() {
			return false
		}
		closed = closed || (s.closed && !s.isGoing())
	}
	return closed
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

// Stays reports whether the server is known and does not leave, whether or not its
// zone is evacuated.
func (c *Core) Stays(serverID string) bool {
	known, ok := c.servers[serverID]
	return ok && !known.isGoing()
}
