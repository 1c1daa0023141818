package allotment

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// spreadScale converts the scores to integers, which maxSpreadScore keeps below
// emptyWeight.
const (
	spreadScale    = 1 << 10
	maxSpreadScore = emptyWeight - 1
)

// spreadScore ranks a zone for a model by weighted rendezvous hashing: models are
// distributed in proportion to a zone's engines per replica it holds of the model.
func spreadScore(model fleet.ModelVersion, zone fleet.Zone, engines, limit int) int {
	hash := xxhash.Sum64String(model.String() + "/" + string(zone))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	weight := float64(engines) / float64(limit+1)
	return int(min(-weight/math.Log(uniform)*spreadScale, maxSpreadScore))
}
