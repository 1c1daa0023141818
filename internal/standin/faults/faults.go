// Package faults holds the faults that can be switched on at a stand-in by
// POST /lab/faults, and the HTTP middleware that carries out those of them
// that lie between a caller and the stand-in.
//
// It may import fleet and standin/engine.
package faults

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// Path is where each stand-in takes a Set by POST and shows it by GET.
const Path = "/lab/faults"

// HeaderZone carries the caller's zone, so that a cut between zones can be
// brought about.
const HeaderZone = "X-Zone"

// PlatformZone is the zone that a cut names for the platform itself.
const PlatformZone fleet.Zone = "platform"

// Set is all faults of one stand-in; a new set replaces the former one as a
// whole. Durations are in nanoseconds.
type Set struct {
	// Delay is added before a call is taken.
	Delay time.Duration `json:"delay,omitempty"`
	// Down closes each connection without an answer.
	Down bool `json:"down,omitempty"`
	// Unavailable answers each call with 503.
	Unavailable bool `json:"unavailable,omitempty"`
	// LoseAnswers is how many of the next changes (calls other than GET) are
	// carried out and then left without an answer; -1 is all.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// Cuts refuses the callers of zones that are cut off.
	Cuts []Cut `json:"cuts,omitempty"`
	// StaleReads freezes what the object API shows by reads and watches.
	StaleReads bool `json:"staleReads,omitempty"`
	// RestoreTo sets the object API back to an earlier version, once.
	RestoreTo uint64 `json:"restoreTo,omitempty"`
	// StaleMachines freezes what the list of machines shows.
	StaleMachines bool `json:"staleMachines,omitempty"`
	// WeightsSlowFactor divides the weight store's speed; 0 and 1 are off.
	WeightsSlowFactor float64 `json:"weightsSlowFactor,omitempty"`
	// Leaving makes the back end say that it goes away; it can't be taken back.
	Leaving bool `json:"leaving,omitempty"`
	// Restart makes an engine forget everything, once.
	Restart bool `json:"restart,omitempty"`
	// Engine holds the faults within an engine.
	Engine engine.Faults `json:"engine,omitzero"`
}

// Cut stops calls in one direction between two zones.
type Cut struct {
	From fleet.Zone `json:"from"`
	To   fleet.Zone `json:"to"`
}

// CutsOff reports whether a call from one zone to the other is refused.
func (s Set) CutsOff(from, to fleet.Zone) bool {
	for _, cut := range s.Cuts {
		if cut.From == from && cut.To == to {
			return true
		}
	}
	return false
}
