package fleet

import (
	"strings"

	"github.com/spanlanding/spanlanding/internal/locality"
)

// Regions names the regions in which a request may run, as nodes tell it to each
// other: their names in order, with commas between them. Empty is without a bound.
type Regions string

// RegionsOf names a set that allows something. What may run nowhere is refused where
// it comes in, and told to nobody.
func RegionsOf(set locality.Regions) Regions {
	return Regions(strings.Join(set.Names(), ","))
}

// Set is the set that the names stand for.
func (r Regions) Set() locality.Regions {
	if r == "" {
		return locality.Regions{}
	}
	return locality.Only(strings.Split(string(r), ",")...)
}
