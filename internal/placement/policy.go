package placement

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Policy decides how long models stay loaded and which are preloaded. The core
// uses its own unless Options set one; others serve as a baseline for comparison.
type Policy interface {
	// RequestsArrived reports that requests for the model arrived since its last call.
	RequestsArrived(now time.Time, model fleet.ModelVersion)
	// ShouldUnload reports whether to unload a replica that has been idle since idleSince.
	ShouldUnload(now, idleSince time.Time, model fleet.ModelVersion) bool
	// EvictionCost returns the cost of evicting the model. Models with the lowest cost
	// are evicted first. The cost is comparable to that of loading from a slower
	// tier, where 1 is a load from the weight store.
	EvictionCost(now, idleSince time.Time, model fleet.ModelVersion) float64
	// LikelyToWake reports whether a model that is not loaded is worth preloading
	// before its next request.
	LikelyToWake(now time.Time, model fleet.ModelVersion) bool
}

// DisabledMechanisms disables individual mechanisms, so that the benefit of each can be
// measured. Only tests and simulations set it.
type DisabledMechanisms struct {
	// Preload disables preloading.
	Preload bool
	// IdleTimes disables the use of models' idle times: each is kept for Settings.KeepAlive.
	IdleTimes bool
	// EvictionCost disables the cost estimate: the least recently used model is evicted first.
	EvictionCost bool
	// Tiers ignores which storage tier of an engine holds the checkpoint.
	Tiers bool
	// Coalescing disables the merging of wants: one replica is loaded for each node that wants
	// a model.
	Coalescing bool
}
