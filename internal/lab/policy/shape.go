package policy

import (
	"fmt"
	"time"
)

const gib = int64(1) << 30

// Shape describes the fleet and the traffic of one profile.
type Shape struct {
	Name     string
	Zones    int
	Engines  int
	Models   int
	Adapters int
	// StoreRate is the weight store's limit of loads a second; StoreConcurrency is
	// how many concurrent reads it serves at full speed.
	StoreRate        float64
	StoreConcurrency int
	// ColdStartWeight is the declared weight of cold starts against idle memory.
	ColdStartWeight float64
	// NodesPerZone is how many nodes of a zone receive requests; bursts of first
	// requests spread over them.
	NodesPerZone int
	// The shares of the models by arrival pattern, in the order of the kinds; the
	// rest is rare.
	Steady, Office, Periodic, Daily float64
}

// Engine sizes: 80 GiB a server, of which a part is reserved for the KV cache of
// long contexts, and the checkpoint caches in host memory and on disk.
const (
	engineMemory   = 80 * gib
	engineReserve  = 24 * gib
	hostCacheBytes = 64 * gib
	diskCacheBytes = 128 * gib
)

// Load speeds by the tier of the checkpoint, in bytes a second: 14 GiB take 20 s
// from the weight store, 5 s from disk and 1 s from host memory.
const (
	remoteSpeed = 14 * float64(gib) / 20
	diskSpeed   = 14 * float64(gib) / 5
	hostSpeed   = 14 * float64(gib) / 1
)

// Durations of the other engine operations.
const (
	adapterLoad  = 200 * time.Millisecond
	unloadTime   = 50 * time.Millisecond
	orderLatency = 2 * time.Millisecond
)

var shapes = []Shape{
	{
		Name: "holmgaard", Zones: 4, Engines: 18, Models: 60, Adapters: 95,
		StoreRate: 3, StoreConcurrency: 6, ColdStartWeight: 0.8, NodesPerZone: 3,
		Steady: 0.08, Office: 0.35, Periodic: 0.25, Daily: 0.12,
	},
	{
		Name: "fjordkurv", Zones: 3, Engines: 18, Models: 40, Adapters: 95,
		StoreRate: 4, StoreConcurrency: 13, ColdStartWeight: 0.2, NodesPerZone: 3,
		Steady: 0.08, Office: 0.35, Periodic: 0.15, Daily: 0.25,
	},
}

// FindShape returns the shape of the named profile.
func FindShape(name string) (Shape, error) {
	for _, shape := range shapes {
		if shape.Name == name {
			return shape, nil
		}
	}
	return Shape{}, fmt.Errorf("profile %q is not known", name)
}
