package routing

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// ReplicaCapacity is the free capacity of one replica.
type ReplicaCapacity struct {
	Name      fleet.BackendName
	FreeSlots int
	Adapters  []fleet.AdapterName
}

// ModelCapacity is the capacity of the replicas of one model.
type ModelCapacity struct {
	// Ready is the number of replicas at which attempts may start. Slots is the number of
	// concurrent requests of those replicas to which attempts may be sent now.
	Ready    int
	Slots    int
	Replicas []ReplicaCapacity
}

// Capacity returns the capacity of the model's replicas.
func (c *Core) Capacity(now time.Time, model fleet.ModelVersion) ModelCapacity {
	return c.CapacityIn(now, model, locality.Regions{})
}

// CapacityIn returns the capacity of the model's replicas in the regions.
func (c *Core) CapacityIn(now time.Time, model fleet.ModelVersion, regions locality.Regions) ModelCapacity {
	var capacity ModelCapacity
	for _, target := range c.byModel[model] {
		if !c.isClosed(target, regions) {
			capacity.Ready++
		}
	}
	candidates, _ := c.filter(now, model, regions, c.byModel[model])
	for _, target := range candidates {
		capacity.Slots += target.slots
		free := c.freeSlots(now, target)
		if _, probe := target.circuit.allows(now); probe {
			free = min(free, 1)
		}
		capacity.Replicas = append(capacity.Replicas, ReplicaCapacity{Name: target.backend.Name, FreeSlots: free,
			Adapters: target.engine.Find(model).Adapters})
	}
	return capacity
}

// staleSlotDivisor divides an engine's slots: if the engine's report is stale, a node may use that
// part of them, since a missing report must not block requests.
const staleSlotDivisor = 4

func (c *Core) freeSlots(now time.Time, target *target) int {
	freeSlots := max(0, target.slots-target.load(c.options))
	if c.isStale(now, target) {
		freeSlots = max(freeSlots, max(1, target.slots/staleSlotDivisor)-len(target.starts))
	}
	return freeSlots
}

// WeightedVersion is a model version and its share of the traffic.
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
