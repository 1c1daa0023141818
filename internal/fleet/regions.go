package fleet

import (
	"strings"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// Regions names the regions in which a request may run, as nodes tell it to each
// other: their names in order, with commas between them. Empty is without a bound.
type Regions string

// noRegions names the set that allows nothing: a separator with no name around it.
const noRegions Regions = ","

// RegionsOf names a set.
func RegionsOf(set locality.Regions) Regions {
	if set.IsEmpty() {
		return noRegions
	}
	return Regions(strings.Join(set.Names(), ","))
}

// Set is the set that the names stand for.
func (r Regions) Set() locality.Regions {
	if r == "" {
		return locality.Regions{}
	}
	return locality.Only(strings.Split(string(r), ",")...)
}
