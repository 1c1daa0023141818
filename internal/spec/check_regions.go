package spec

import (
	"fmt"
	"slices"
	"strings"
)

// region checks that a region has zones, and that they exist if the fleet's zones are
// known.
func (c *checker) region(object *Object, region *Region) {
	if c.required(object, "spec.zones", "name the zones of the region") && len(region.Zones) == 0 && !c.isInvalid(object, "spec.zones") {
		c.report(object, "spec.zones", "spec.zones is empty, so nothing can run in the region", "name at least one zone")
	}
	for index, zone := range region.Zones {
		path := fmt.Sprintf("spec.zones[%d]", index)
		c.name(object, path, zone)
		c.zone(object, path, zone)
	}
}

// zone reports a zone that does not exist in the fleet, if the fleet's zones are known.
func (c *checker) zone(object *Object, path, zone string) {
	if zone == "" || len(c.options.Zones) == 0 || slices.Contains(c.options.Zones, zone) {
		return
	}
	c.report(object, path, fmt.Sprintf("the fleet has no zone %q", zone),
		"its zones are: "+strings.Join(slices.Sorted(slices.Values(c.options.Zones)), ", "))
}

// uniqueZones reports zones that are listed twice in a region or in two regions.
func (c *checker) uniqueZones() {
	first := make(map[string]Position)
	for _, object := range c.index.ofKind(KindRegion) {
		for index, zone := range object.Spec.(*Region).Zones {
			path := fmt.Sprintf("spec.zones[%d]", index)
			if earlier, found := first[zone]; found && zone != "" {
				c.report(object, path, fmt.Sprintf("zone %q lies in two regions, or twice in one", zone),
					fmt.Sprintf("keep one; the other is at %s", earlier))
				continue
			}
			first[zone] = object.Place(path)
		}
	}
}

// regions checks a restriction to regions. With an empty list nothing could run.
func (c *checker) regions(object *Object, names []string) {
	if object.isSet("spec.regions") && len(names) == 0 && !c.isInvalid(object, "spec.regions") {
		c.report(object, "spec.regions", "spec.regions is empty, so nothing may run", "name a Region, or leave it out for all")
	}
	for index, name := range names {
		path := fmt.Sprintf("spec.regions[%d]", index)
		if c.isInvalid(object, path) {
			continue
		}
		if slices.Contains(names[:index], name) {
			c.report(object, path, fmt.Sprintf("region %q stands twice", name), "remove one")
			continue
		}
		c.resolve(object, path, KindRegion, name)
	}
}
