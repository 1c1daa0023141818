package policy

import (
	"fmt"
	"time"
)

const gib = int64(1) << 30

// Shape is the fleet and the traffic of one user.
type Shape struct {
	Name     string
	Zones    int
	Engines  int
	Models   int
	Adapters int
	// StoreRate and StoreConcurrency are the weight store's loads a second and
	// reads at once at full speed.
	StoreRate        float64
	StoreConcurrency int
	// ColdStartWeight is the declared preference.
	ColdStartWeight float64
	// NodesPerZone see the bursts of first requests.
	NodesPerZone int
	// Kinds are the shares of the models by what wakes them, in the order of
	// the kinds; the rest is rare.
	Steady, Office, Periodic, Daily float64
}

// Engine sizes: 80 GiB a server, of which the KV cache of long contexts takes
// a part; checkpoints in host memory and on the server's disk.
const (
	engineMemory   = 80 * gib
	engineReserve  = 24 * gib
	hostCacheBytes = 64 * gib
	diskCacheBytes = 128 * gib
)

// Speeds of a load by where the checkpoint lies, in bytes a second: 14 GiB take
// 20 s from the weight store, 5 s from disk and 1 s from host memory.
const (
	remoteSpeed = 14 * float64(gib) / 20
	diskSpeed   = 14 * float64(gib) / 5
	hostSpeed   = 14 * float64(gib) / 1
)

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

// FindShape returns the shape of a profile.
func FindShape(name string) (Shape, error) {
	for _, shape := range shapes {
		if shape.Name == name {
			return shape, nil
		}
	}
	return Shape{}, fmt.Errorf("profile %q is not known", name)
}
