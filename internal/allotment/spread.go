package allotment

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// spreadScale turns the weights into whole numbers; the largest possible one
// stays below emptyWeight.
const (
	spreadScale   = 1 << 10
	largestSpread = emptyWeight - 1
)

// spread ranks zones for a model by weighted rendezvous: models are dealt out
// in proportion to the engines that a zone has for each replica it holds.
func spread(model fleet.ModelVersion, zone fleet.Zone, engines, limit int) int {
	hash := xxhash.Sum64String(model.String() + "/" + string(zone))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	weight := float64(engines) / float64(limit+1)
	return int(min(-weight/math.Log(uniform)*spreadScale, largestSpread))
}
