package policy

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// setup configures the placement cores for one policy.
type setup struct {
	// weight is the cold-start weight: at 0 only idle hours count, at 1 only cold
	// starts.
	weight   float64
	settings placement.Settings
	disabled placement.DisabledMechanisms
	// preloadEvicts lets preloaded models evict others.
	preloadEvicts bool
	// policy replaces the core's own policy, if not nil.
	policy func(w *simulation, z *zone) placement.Policy
}

func (s setup) options(w *simulation, z *zone) placement.Options {
	options := placement.Options{Settings: s.settings, Disabled: s.disabled, PreloadEvicts: s.preloadEvicts}
	options.Settings.StoreLoadsPerSecond = w.trace.shape.StoreRate
	options.Settings.StoreConcurrency = w.trace.shape.StoreConcurrency
	if s.policy != nil {
		options.Policy = s.policy(w, z)
	}
	return options
}

// Names of policies. ownPrefix is followed by a cold-start weight, the fixed
// prefixes by a keep-alive duration and withoutPrefix by a mechanism.
const (
	ownName                  = "own"
	ownPrefix                = "own-"
	fixedPrefix              = "fixed-"
	fixedAnyEnginePrefix     = "fixed-any-engine-"
	neverUnloadName          = "never-unload"
	clairvoyantName          = "clairvoyant"
	clairvoyantNoPreloadName = "clairvoyant-no-preload"
	withoutPrefix            = "own-without-"
)

// disableableMechanisms are the mechanisms that a policy name can turn off.
var disableableMechanisms = map[string]placement.DisabledMechanisms{
	"preload":       {Preload: true},
	"idle-times":    {IdleTimes: true},
	"eviction-cost": {EvictionCost: true},
	"tiers":         {Tiers: true},
	"coalescing":    {Coalescing: true},
}

// parseSetup parses the name of a policy, such as own-0.8, fixed-10m or
// own-without-tiers.
func parseSetup(name string, shape Shape) (setup, error) {
	found := setup{weight: shape.ColdStartWeight, settings: placement.DefaultSettings()}
	unknown := fmt.Errorf("policy %q is not known", name)
	switch {
	case name == ownName:
	case name == neverUnloadName:
		found.policy = fixedPolicy(never)
	case name == clairvoyantName, name == clairvoyantNoPreloadName:
		found.settings.MinResidence = 0
		found.preloadEvicts = true
		found.policy = func(w *simulation, z *zone) placement.Policy {
			return clairvoyant{simulation: w, zone: z, preloads: name == clairvoyantName}
		}
	case strings.HasPrefix(name, withoutPrefix):
		mechanisms, known := disableableMechanisms[strings.TrimPrefix(name, withoutPrefix)]
		if !known {
			return setup{}, unknown
		}
		found.disabled = mechanisms
	case strings.HasPrefix(name, ownPrefix):
		weight, err := strconv.ParseFloat(strings.TrimPrefix(name, ownPrefix), 64)
		if err != nil || weight < 0 || weight > 1 {
			return setup{}, unknown
		}
		found.weight = weight
	case strings.HasPrefix(name, fixedPrefix):
		span, anyEngine := strings.CutPrefix(name, fixedAnyEnginePrefix)
		if !anyEngine {
			span = strings.TrimPrefix(name, fixedPrefix)
		}
		keepAlive, err := time.ParseDuration(span)
		if err != nil {
			return setup{}, unknown
		}
		found.disabled.Tiers = anyEngine
		found.policy = fixedPolicy(keepAlive)
	default:
		return setup{}, unknown
	}
	return found, nil
}

// fixedPolicy keeps every idle model for a fixed time and evicts the least
// recently used.
func fixedPolicy(keepAlive time.Duration) func(*simulation, *zone) placement.Policy {
	return func(*simulation, *zone) placement.Policy { return fixedKeepAlive(keepAlive) }
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
