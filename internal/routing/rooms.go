package routing

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// ReplicaCapacity is what one ready replica can take.
type ReplicaCapacity struct {
	Name      fleet.BackendName
	FreeSlots int
	Adapters  []fleet.AdapterName
}

// ModelCapacity is what the replicas of one model can take.
type ModelCapacity struct {
	// Ready counts the replicas that attempts may begin at, Slots what those that may
	// be sent to now run at a time.
	Ready    int
	Slots    int
	Replicas []ReplicaCapacity
}

// Capacity returns the room at each replica of the model.
func (c *Core) Capacity(now time.Time, model fleet.ModelVersion) ModelCapacity {
	return c.CapacityIn(now, model, locality.Regions{})
}

// CapacityIn returns the room at each replica of the model in the regions.
func (c *Core) CapacityIn(now time.Time, model fleet.ModelVersion, regions locality.Regions) ModelCapacity {
	var rooms ModelCapacity
	for _, target := range c.byModel[model] {
		if !c.isClosed(target, regions) {
			rooms.Ready++
		}
	}
	candidates, _ := c.filter(now, model, regions, c.byModel[model])
	for _, target := range candidates {
		rooms.Slots += target.slots
		free := c.free(now, target)
		if _, probe := target.circuit.allows(now); probe {
			free = min(free, 1)
		}
		rooms.Replicas = append(rooms.Replicas, ReplicaCapacity{Name: target.backend.Name, FreeSlots: free,
			Adapters: target.engine.Find(model).Adapters})
	}
	return rooms
}

// staleShare is the part of its slots that a node may use of an engine whose
// report is old: a report that no longer comes must not keep requests waiting.
const staleShare = 4

func (c *Core) free(now time.Time, target *target) int {
	free := max(0, target.slots-target.load(c.options))
	if c.isStale(now, target) {
		free = max(free, max(1, target.slots/staleShare)-len(target.starts))
	}
	return free
}

// WeightedVersion is one choice with its share.
type WeightedVersion struct {
	Model  fleet.ModelVersion
	Weight int
}

// ChooseVersion draws one of the versions by weight.
func (c *Core) ChooseVersion(versions []WeightedVersion) fleet.ModelVersion {
	total := 0
	for _, version := range versions {
		total += max(0, version.Weight)
	}
	if total == 0 {
		if len(versions) == 0 {
			return fleet.ModelVersion{}
		}
		return versions[0].Model
	}
	drawn := c.random.IntN(total)
	for _, version := range versions {
		drawn -= max(0, version.Weight)
		if drawn < 0 {
			return version.Model
		}
	}
	return versions[len(versions)-1].Model
}
