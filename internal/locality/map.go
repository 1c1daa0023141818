package locality

import "maps"

// Distance is how far apart two zones are, the nearest first.
type Distance int

const (
	// SameZone means that both are the same zone.
	SameZone Distance = iota
	// SameRegion means two zones of one region.
	SameRegion
	// OtherRegion means two zones of different regions.
	OtherRegion

	// DistanceCount is the number of distances, to size arrays that are indexed by distance.
	DistanceCount
)

// String returns the name of the distance in logs and metrics.
func (d Distance) String() string {
	return [...]string{"same_zone", "same_region", "other_region"}[d]
}

// Map gives the region of each zone. In the zero value all zones are in one region without a name.
type Map struct {
	regionByZone map[string]string
}

// NewMap returns a map from the zones to the names of their regions.
func NewMap(regionOf map[string]string) Map { return Map{regionByZone: maps.Clone(regionOf)} }

// Region returns the region of a zone; empty if unknown.
func (m Map) Region(zone string) string { return m.regionByZone[zone] }

// HasMultipleRegions reports whether there is more than one region.
func (m Map) HasMultipleRegions() bool {
	previous, seen := "", false
	for _, region := range m.regionByZone {
		if seen && region != previous {
			return true
		}
		previous, seen = region, true
	}
	return false
}

// HasRegion reports whether some zone is in the region.
func (m Map) HasRegion(name string) bool {
	for _, region := range m.regionByZone {
		if region == name {
			return true
		}
	}
	return false
}

// Distance returns how far apart two zones are. All zones with an unknown region count as one
// region.
func (m Map) Distance(zone, other string) Distance {
	switch {
	case zone == other:
		return SameZone
	case m.regionByZone[zone] == m.regionByZone[other]:
		return SameRegion
	default:
		return OtherRegion
	}
}

// HasAnyRegion reports whether the region of any zone is known.
func (m Map) HasAnyRegion() bool { return len(m.regionByZone) > 0 }
