package policy

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// setup is one policy under which the fleet runs.
type setup struct {
	// weight is the preference from 0, only idle hours count, to 1.
	weight   float64
	settings placement.Settings
	without  placement.DisabledMechanisms
	// preloadEvicts lets models that are loaded ahead evict others.
	preloadEvicts bool
	// policy replaces the core's own; nil for none.
	policy func(w *world, z *zone) placement.Policy
}

func (s setup) options(w *world, z *zone) placement.Options {
	options := placement.Options{Settings: s.settings, Disabled: s.without, PreloadEvicts: s.preloadEvicts}
	options.Settings.StoreLoadsPerSecond = w.trace.shape.StoreRate
	options.Settings.StoreConcurrency = w.trace.shape.StoreConcurrency
	if s.policy != nil {
		options.Policy = s.policy(w, z)
	}
	return options
}

// Names of policies; ownPrefix and fixedPrefix take a number.
const (
	ownName         = "own"
	ownPrefix       = "own-"
	fixedPrefix     = "fixed-"
	fixedAnyPrefix  = "fixed-any-engine-"
	neverName       = "never-unload"
	clairvoyantName = "clairvoyant"
	clairvoyantKeep = "clairvoyant-no-preload"
	withoutPrefix   = "own-without-"
)

// withouts are the mechanisms that can be turned off.
var withouts = map[string]placement.DisabledMechanisms{
	"preload":       {Preload: true},
	"idle-times":    {IdleTimes: true},
	"eviction-cost": {EvictionCost: true},
	"tiers":         {Tiers: true},
	"coalescing":    {Coalescing: true},
}

// findSetup reads the name of a policy, such as own-0.8, fixed-10m or
// own-without-tiers.
func findSetup(name string, shape Shape) (setup, error) {
	found := setup{weight: shape.ColdStartWeight, settings: placement.DefaultSettings()}
	unknown := fmt.Errorf("policy %q is not known", name)
	switch {
	case name == ownName:
	case name == neverName:
		found.policy = fixed(never)
	case name == clairvoyantName, name == clairvoyantKeep:
		found.settings.MinResidence = 0
		found.preloadEvicts = true
		found.policy = func(w *world, z *zone) placement.Policy {
			return clairvoyant{world: w, zone: z, preloads: name == clairvoyantName}
		}
	case strings.HasPrefix(name, withoutPrefix):
		without, known := withouts[strings.TrimPrefix(name, withoutPrefix)]
		if !known {
			return setup{}, unknown
		}
		found.without = without
	case strings.HasPrefix(name, ownPrefix):
		weight, err := strconv.ParseFloat(strings.TrimPrefix(name, ownPrefix), 64)
		if err != nil || weight < 0 || weight > 1 {
			return setup{}, unknown
		}
		found.weight = weight
	case strings.HasPrefix(name, fixedPrefix):
		span, anyEngine := strings.CutPrefix(name, fixedAnyPrefix)
		if !anyEngine {
			span = strings.TrimPrefix(name, fixedPrefix)
		}
		keepAlive, err := time.ParseDuration(span)
		if err != nil {
			return setup{}, unknown
		}
		found.without.Tiers = anyEngine
		found.policy = fixed(keepAlive)
	default:
		return setup{}, unknown
	}
	return found, nil
}

// fixed keeps every model for a time and evicts the least recently used.
func fixed(keepAlive time.Duration) func(*world, *zone) placement.Policy {
	return func(*world, *zone) placement.Policy { return fixedKeepAlive(keepAlive) }
}

type fixedKeepAlive time.Duration

func (fixedKeepAlive) RequestsArrived(time.Time, fleet.ModelVersion) {}

func (k fixedKeepAlive) ShouldUnload(now, idleSince time.Time, _ fleet.ModelVersion) bool {
	return now.Sub(idleSince) > time.Duration(k)
}

func (fixedKeepAlive) EvictionCost(now, idleSince time.Time, _ fleet.ModelVersion) float64 {
	return 1 / (1 + now.Sub(idleSince).Minutes())
}

func (fixedKeepAlive) LikelyToWake(time.Time, fleet.ModelVersion) bool { return false }
