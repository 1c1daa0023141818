package placement

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Policy judges how long models stay and which are loaded ahead. The core's
// own is used where Options name none; others serve to compare with it.
type Policy interface {
	// RequestsArrived says that requests for the model came since it was last said.
	RequestsArrived(now time.Time, model fleet.ModelVersion)
	// ShouldUnload reports whether a replica that has been idle since then goes.
	ShouldUnload(now, idleSince time.Time, model fleet.ModelVersion) bool
	// EvictionCost ranks what goes first under need of memory, and weighs it
	// against the cost of a slower tier, where 1 is a read from the weight store.
	EvictionCost(now, idleSince time.Time, model fleet.ModelVersion) float64
	// LikelyToWake reports whether a model that is not loaded is worth loading
	// ahead of its next request.
	LikelyToWake(now time.Time, model fleet.ModelVersion) bool
}

// DisabledMechanisms turns single mechanisms off, so that the worth of each can be
// measured. Only tests and the laboratory set it.
type DisabledMechanisms struct {
	// Preload loads nothing ahead.
	Preload bool
	// IdleTimes keeps every model for Settings.KeepAlive.
	IdleTimes bool
	// EvictionCost evicts the least recently used.
	EvictionCost bool
	// Tiers chooses engines as if all checkpoints were equally far.
	Tiers bool
	// Coalescing loads one replica for each node that wants a model.
	Coalescing bool
}
