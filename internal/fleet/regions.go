package fleet

import (
	"strings"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// Regions is the wire form of the regions in which a request may run: their names in order,
// separated by commas. The empty string means any region.
type Regions string

// noRegions is the wire form of the set that allows no region: a separator without names.
const noRegions Regions = ","

// RegionsOf returns the wire form of a set.
func RegionsOf(set locality.Regions) Regions {
	if set.IsEmpty() {
		return noRegions
	}
	return Regions(strings.Join(set.Names(), ","))
}

// Set returns the set of the named regions.
func (r Regions) Set() locality.Regions {
	if r == "" {
		return locality.Regions{}
	}
	return locality.Only(strings.Split(string(r), ",")...)
}
