// Package faults defines the faults that can be injected into a stand-in, that is,
// a simulated external system, by POST /lab/faults. Its HTTP middleware injects
// the faults between a caller and the stand-in; standin/httpdriver wraps its
// handlers in it and applies the other faults itself.
//
// It may import fleet and standin/engine.
package faults

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// Path is the path at which each stand-in accepts a Set by POST and returns the
// active one by GET.
const Path = "/lab/faults"

// HeaderZone carries the caller's zone, which the Cuts fault needs to partition
// zones.
const HeaderZone = "X-Zone"

// PlatformZone is the zone of the platform itself in a Cut.
const PlatformZone fleet.Zone = "platform"

// Set holds all faults of one stand-in. A new set replaces the previous one
// completely. Durations are in nanoseconds.
type Set struct {
	// Delay is added before a call is processed.
	Delay time.Duration `json:"delay,omitempty"`
	// Down closes each connection without a response.
	Down bool `json:"down,omitempty"`
	// Unavailable answers every call with 503.
	Unavailable bool `json:"unavailable,omitempty"`
	// LoseAnswers is the number of further changes (calls other than GET and
	// HEAD) that are executed but get no response; -1 means all.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// Cuts drops the connections of callers from zones that are cut off.
	Cuts []Cut `json:"cuts,omitempty"`
	// StaleReads freezes the state that reads and watches of the object API show.
	StaleReads bool `json:"staleReads,omitempty"`
	// RestoreTo resets the object API once to an earlier version; 0 is off.
	RestoreTo uint64 `json:"restoreTo,omitempty"`
	// StaleMachines freezes the machine list.
	StaleMachines bool `json:"staleMachines,omitempty"`
	// WeightsSlowFactor divides the weight store's speed; 0 and 1 are off.
	WeightsSlowFactor float64 `json:"weightsSlowFactor,omitempty"`
	// Leaving makes the back end announce its shutdown. It can't be undone.
	Leaving bool `json:"leaving,omitempty"`
	// Restart restarts an engine once, so that it loses all its state.
	Restart bool `json:"restart,omitempty"`
	// Engine holds the faults inside an engine.
	Engine engine.Faults `json:"engine,omitzero"`
}

// Cut blocks calls in one direction between two zones.
type Cut struct {
	From fleet.Zone `json:"from"`
	To   fleet.Zone `json:"to"`
}

// CutsOff reports whether calls from one zone to the other are blocked.
func (s Set) CutsOff(from, to fleet.Zone) bool {
	for _, cut := range s.Cuts {
		if cut.From == from && cut.To == to {
			return true
		}
	}
	return false
}
