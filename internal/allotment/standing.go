package allotment

import "github.com/spanlanding/spanlanding/internal/fleet"

// StandingShare is the zone's part of the replicas to keep ready: they are
// dealt out one by one over the zones, in the order of their names, up to each
// zone's limit.
func StandingShare(record Record, model fleet.ModelVersion, zone fleet.Zone, replicas int) int {
	shares := record.Models[model].Zones
	zones := sortedZones(shares)
	dealt := make(map[fleet.Zone]int, len(zones))
	for replicas > 0 {
		progress := false
		for _, name := range zones {
			if replicas > 0 && dealt[name] < shares[name].Limit {
				dealt[name]++
				replicas--
				progress = true
			}
		}
		if !progress {
			break
		}
	}
	return dealt[zone]
}
