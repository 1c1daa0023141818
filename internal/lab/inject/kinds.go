package inject

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// Kind is the name of a fault.
type Kind string

// All selects every kind of fault.
const All Kind = "all"

// role is the type of target that a fault is injected into.
type role string

const (
	rolePlatform role = "platform"
	roleEngine   role = "engine"
	roleService  role = "service"
	// roleZone is a zone: its back ends and everything they communicate with.
	roleZone role = "zone"
)

// definition describes a kind of fault.
type definition struct {
	role role
	set  faults.Set
	// oneShot marks a fault that is injected at the start of its window and
	// not cleared at its end.
	oneShot bool
}

const (
	slowStoreDelay    = 800 * time.Millisecond
	weightsSlowFactor = 4
	engineSlowFactor  = 5
	breakAfterTokens  = 3
	dieInLoadAfter    = 300 * time.Millisecond
	loseAllAnswers    = -1
)

// ZoneCut isolates one zone from the store and from the back ends of other
// zones.
const ZoneCut Kind = "zone-cut"

// definitions has every kind of fault. ZoneCut has no set here, because its sets
// differ by target.
var definitions = map[Kind]definition{
	"store-down":            {role: rolePlatform, set: faults.Set{Unavailable: true}},
	"store-slow":            {role: rolePlatform, set: faults.Set{Delay: slowStoreDelay}},
	"store-loses-answers":   {role: rolePlatform, set: faults.Set{LoseAnswers: loseAllAnswers}},
	"store-stale":           {role: rolePlatform, set: faults.Set{StaleReads: true}},
	"weights-slow":          {role: rolePlatform, set: faults.Set{WeightsSlowFactor: weightsSlowFactor}},
	"engine-unreachable":    {role: roleEngine, set: faults.Set{Down: true}},
	"engine-loses-answers":  {role: roleEngine, set: faults.Set{LoseAnswers: loseAllAnswers}},
	"engine-slow":           {role: roleEngine, set: faults.Set{Engine: engine.Faults{SlowFactor: engineSlowFactor}}},
	"engine-breaks-streams": {role: roleEngine, set: faults.Set{Engine: engine.Faults{BreakAfterTokens: breakAfterTokens}}},
	"engine-crosses-chunks": {role: roleEngine, set: faults.Set{Engine: engine.Faults{CrossChunks: true, DuplicateChunks: true, LateChunks: true}}},
	"engine-dies-in-load":   {role: roleEngine, set: faults.Set{Engine: engine.Faults{DieInLoad: dieInLoadAfter}}},
	"engine-restart":        {role: roleEngine, set: faults.Set{Restart: true}, oneShot: true},
	"engine-leaving":        {role: roleEngine, set: faults.Set{Leaving: true}, oneShot: true},
	"service-unreachable":   {role: roleService, set: faults.Set{Down: true}},
	"service-loses-answers": {role: roleService, set: faults.Set{LoseAnswers: loseAllAnswers}},
	"service-leaving":       {role: roleService, set: faults.Set{Leaving: true}, oneShot: true},
	ZoneCut:                 {role: roleZone},
}

// Kinds returns every kind of fault in alphabetical order.
func Kinds() []Kind {
	return slices.Sorted(maps.Keys(definitions))
}

// ParseKinds converts fault names to kinds. "all" selects every kind, and "none"
// is ignored.
func ParseKinds(names []string) ([]Kind, error) {
	var kinds []Kind
	for _, name := range names {
		switch _, known := definitions[Kind(name)]; {
		case Kind(name) == All:
			return Kinds(), nil
		case name == "none":
		case known:
			kinds = append(kinds, Kind(name))
		default:
			return nil, fmt.Errorf("fault %q is not known; there are all, none and %v", name, Kinds())
		}
	}
	return kinds, nil
}

// merge combines the fault sets that are in force at a target at the same time.
func merge(sets []faults.Set) faults.Set {
	var merged faults.Set
	for _, set := range sets {
		merged.Delay = max(merged.Delay, set.Delay)
		merged.Down = merged.Down || set.Down
		merged.Unavailable = merged.Unavailable || set.Unavailable
		merged.LoseAnswers = min(merged.LoseAnswers, set.LoseAnswers)
		merged.Cuts = append(merged.Cuts, set.Cuts...)
		merged.StaleReads = merged.StaleReads || set.StaleReads
		merged.WeightsSlowFactor = max(merged.WeightsSlowFactor, set.WeightsSlowFactor)
		merged.Leaving = merged.Leaving || set.Leaving
		merged.Restart = merged.Restart || set.Restart
		merged.Engine = mergeEngine(merged.Engine, set.Engine)
	}
	return merged
}

func mergeEngine(one, other engine.Faults) engine.Faults {
	return engine.Faults{
		BreakAfterTokens:    max(one.BreakAfterTokens, other.BreakAfterTokens),
		DuplicateChunks:     one.DuplicateChunks || other.DuplicateChunks,
		CrossChunks:         one.CrossChunks || other.CrossChunks,
		LateChunks:          one.LateChunks || other.LateChunks,
		TruncateAfterTokens: max(one.TruncateAfterTokens, other.TruncateAfterTokens),
		DieInLoad:           max(one.DieInLoad, other.DieInLoad),
		StuckLoads:          one.StuckLoads || other.StuckLoads,
		FreezeReport:        one.FreezeReport || other.FreezeReport,
		SlowFactor:          max(one.SlowFactor, other.SlowFactor),
	}
}
