package spec

import "fmt"

// maxReasonBytes bounds the reason of an evacuation, which every node keeps in memory
// and the status command shows on one line.
const maxReasonBytes = 200

// evacuation checks that the zone exists if the fleet's zones are known: with a misspelt
// name the intended zone would stay in service.
func (c *checker) evacuation(object *Object, evacuation *Evacuation) {
	c.zone(object, "metadata.name", object.Metadata.Name)
	if len(evacuation.Reason) > maxReasonBytes {
		c.report(object, "spec.reason", fmt.Sprintf("spec.reason has %d bytes", len(evacuation.Reason)),
			fmt.Sprintf("give at most %d", maxReasonBytes))
	}
}
