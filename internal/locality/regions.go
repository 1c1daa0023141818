package locality

import (
	"slices"
	"strings"
)

// Regions is a set of allowed regions. The zero value is unbounded: it allows any region. Sets of
// the same regions are equal by ==, so a set may be part of a map key.
type Regions struct {
	// names are the regions, sorted, each preceded by a separator.
	names     string
	isBounded bool
}

// separator precedes each name of a set. A name that contains it is ignored.
const separator = "\n"

// Only returns the set of the regions. Empty names are ignored; without any name the set allows
// nothing.
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

// IsBounded reports whether the set excludes any region.
func (r Regions) IsBounded() bool { return r.isBounded }

// IsEmpty reports whether the set allows no region at all.
func (r Regions) IsEmpty() bool { return r.isBounded && r.names == "" }

// Allows reports whether the set contains the region. An unknown region (empty) is in no bounded
// set.
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

// Names returns the regions of a bounded set in sorted order; nil if it is unbounded or empty.
func (r Regions) Names() []string {
	if r.names == "" {
		return nil
	}
	return strings.Split(r.names[len(separator):], separator)
}

// Intersect returns the regions that both sets allow.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.isBounded:
		return other
	case !other.isBounded:
		return r
	}
	return Only(slices.DeleteFunc(r.Names(), func(name string) bool { return !other.Allows(name) })...)
}

// Equal reports whether both sets allow the same regions.
func (r Regions) Equal(other Regions) bool { return r == other }

// String describes the set in logs: its regions, "any" if unbounded, "none" if empty.
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
