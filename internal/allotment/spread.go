package allotment

import (
	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// spread breaks ties by model, so that models with one replica do not all go
// to the same zone. It is below engineWeight.
func spread(model fleet.ModelVersion, zone fleet.Zone) int {
	return int(xxhash.Sum64String(model.String()+"/"+string(zone)) % engineWeight)
}
