package spec

import "fmt"

// maxReasonBytes bounds the reason of an evacuation, which each node holds and
// status shows on one line.
const maxReasonBytes = 200

// evacuation checks that the zone is one of the fleet, where its zones are
// known: an evacuation of a misspelt zone would leave the one meant in service.
func (c *checker) evacuation(object *Object, evacuation *Evacuation) {
	c.zone(object, "metadata.name", object.Metadata.Name)
	if len(evacuation.Reason) > maxReasonBytes {
		c.report(object, "spec.reason", fmt.Sprintf("spec.reason has %d bytes", len(evacuation.Reason)),
			fmt.Sprintf("give at most %d", maxReasonBytes))
	}
}
