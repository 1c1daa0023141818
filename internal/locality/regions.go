package locality

import (
	"slices"
	"strings"
)

// Regions is a set of regions in which something may be. The zero value is without a
// bound: anywhere. Sets of the same regions are equal by ==, so a set may be part of a
// map's key.
type Regions struct {
	// names are the regions, sorted, each behind a separator.
	names     string
	isBounded bool
}

// separator stands before each name of a set; a name with it in it is none.
const separator = "\n"

// Only returns the set of the regions. Empty names are left out; without any name the
// set allows nothing.
func Only(names ...string) Regions {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	var joined strings.Builder
	for _, name := range slices.Compact(sorted) {
		if name != "" && !strings.Contains(name, separator) {
			joined.WriteString(separator + name)
		}
	}
	return Regions{names: joined.String(), isBounded: true}
}

// IsBounded reports whether there are regions that the set does not hold.
func (r Regions) IsBounded() bool { return r.isBounded }

// IsEmpty reports whether the set holds no region at all.
func (r Regions) IsEmpty() bool { return r.isBounded && r.names == "" }

// Allows reports whether the set holds the region. A place whose region is not known
// (empty) is in no bounded set.
func (r Regions) Allows(region string) bool {
	if !r.isBounded {
		return true
	}
	if region == "" {
		return false
	}
	for name := range strings.SplitSeq(r.names, separator) {
		if name == region {
			return true
		}
	}
	return false
}

// Names are the regions of a bounded set, in their order; nil without a bound.
func (r Regions) Names() []string {
	if r.names == "" {
		return nil
	}
	return strings.Split(r.names[len(separator):], separator)
}

// Intersect returns the regions that both sets hold.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.isBounded:
		return other
	case !other.isBounded:
		return r
	}
	return Only(slices.DeleteFunc(r.Names(), func(name string) bool { return !other.Allows(name) })...)
}

// Equal reports whether both sets hold the same.
func (r Regions) Equal(other Regions) bool { return r == other }

// String names the set in logs: its regions, "any" without a bound, "none" where empty.
func (r Regions) String() string {
	switch {
	case !r.isBounded:
		return "any"
	case r.names == "":
		return "none"
	default:
		return strings.Join(r.Names(), ",")
	}
}
