package allotment

import "github.com/spanlanding/spanlanding/internal/fleet"

// StandingShare returns how many of the replicas that are to be kept ready fall to the
// zone: they are assigned to the zones in turn, in the order of their names, up to
// each zone's limit.
func StandingShare(record Record, model fleet.ModelVersion, zone fleet.Zone, replicas int) int {
	shares := record.Models[model].Zones
	zones := sortedZones(shares)
	assigned := make(map[fleet.Zone]int, len(zones))
	for replicas > 0 {
		progress := false
		for _, name := range zones {
			if replicas > 0 && assigned[name] < shares[name].Limit {
				assigned[name]++
				replicas--
				progress = true
			}
		}
		if !progress {
			break
		}
	}
	return assigned[zone]
}
