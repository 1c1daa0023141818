package locality

import "maps"

// Distance is how far apart two places are, the nearest first.
type Distance int

const (
	// SameZone places share a zone.
	SameZone Distance = iota
	// SameRegion places lie in two zones of one region.
	SameRegion
	// OtherRegion places lie in two regions.
	OtherRegion

	// DistanceCount is the number of distances, for tables by distance.
	DistanceCount
)

// String names the distance in logs and metrics.
func (d Distance) String() string {
	return [...]string{"same_zone", "same_region", "other_region"}[d]
}

// Map tells the region of each zone. The zero value knows none: all zones lie in one
// region then, which has no name.
type Map struct {
	regions map[string]string
}

// NewMap returns the map of zones to the names of their regions.
func NewMap(regionOf map[string]string) Map { return Map{regions: maps.Clone(regionOf)} }

// Region is the region of a zone; empty where none is known.
func (m Map) Region(zone string) string { return m.regions[zone] }

// HasMultipleRegions reports whether there is more than one region.
func (m Map) HasMultipleRegions() bool {
	first, seen := "", false
	for _, region := range m.regions {
		if seen && region != first {
			return true
		}
		first, seen = region, true
	}
	return false
}

// HasRegion reports whether some zone lies in the region.
func (m Map) HasRegion(name string) bool {
	for _, region := range m.regions {
		if region == name {
			return true
		}
	}
	return false
}

// Distance is how far apart two zones are. Zones whose region is not known lie in one.
func (m Map) Distance(zone, other string) Distance {
	switch {
	case zone == other:
		return SameZone
	case m.regions[zone] == m.regions[other]:
		return SameRegion
	default:
		return OtherRegion
	}
}

// HasAnyRegion reports whether some zone's region is known.
func (m Map) HasAnyRegion() bool { return len(m.regions) > 0 }
