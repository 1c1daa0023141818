package inject

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// longestWindow keeps faults of the store shorter than the time within which an
// accepted change must be in force.
const longestWindow = 3 * time.Second

// Target is a stand-in into which faults can be injected.
type Target struct {
	Name string
	URL  string
	Zone fleet.Zone
	role role
}

// Targets returns the platform and the live back ends of its machine list, by
// name.
func Targets(platformURL string, machines []objectstore.Machine) []Target {
	targets := []Target{{Name: "platform", URL: platformURL, Zone: faults.PlatformZone, role: rolePlatform}}
	for _, machine := range machines {
		if machine.State != objectstore.MachineLive || (machine.Role != string(roleEngine) && machine.Role != string(roleService)) {
			continue
		}
		targets = append(targets, Target{
			Name: machine.Name, URL: "http://" + machine.Address, Zone: machine.Zone, role: role(machine.Role),
		})
	}
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.Name, b.Name) })
	return targets
}

// window schedules one fault at its targets. Its times are relative to the start
// of the run.
type window struct {
	kind Kind
	// target is the name of the stand-in or of the zone.
	target string
	// sets has the faults by target URL.
	sets    map[string]faults.Set
	from    time.Duration
	to      time.Duration
	oneShot bool
}

// plan schedules one window for each kind. Each window overlaps the next one, so
// that two faults are in force at the same time. The order and the targets are
// chosen at random from the seed. Kinds without a suitable target are left out.
func plan(kinds []Kind, targets []Target, duration time.Duration, seed uint64) []window {
	random := rand.New(rand.NewPCG(seed, 0x696e6a656374))
	shuffled := slices.Clone(kinds)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	slot := duration / time.Duration(len(shuffled)+1)
	var windows []window
	for index, kind := range shuffled {
		next := window{kind: kind, from: slot * time.Duration(index), oneShot: definitions[kind].oneShot}
		next.to = next.from + min(2*slot, longestWindow)
		if kind == ZoneCut {
			next.target, next.sets = isolateZone(targets, random)
		} else {
			next.target, next.sets = chooseTarget(definitions[kind], targets, random)
		}
		if len(next.sets) > 0 {
			windows = append(windows, next)
		}
	}
	return windows
}

// chooseTarget picks a random target of the role that the fault applies to.
func chooseTarget(definition definition, targets []Target, random *rand.Rand) (string, map[string]faults.Set) {
	var candidates []Target
	for _, target := range targets {
		if target.role == definition.role {
			candidates = append(candidates, target)
		}
	}
	if len(candidates) == 0 {
		return "", nil
	}
	chosen := candidates[random.IntN(len(candidates))]
	return chosen.Name, map[string]faults.Set{chosen.URL: definition.set}
}

// isolateZone picks a random zone and blocks the traffic between it and
// everything outside it in both directions.
func isolateZone(targets []Target, random *rand.Rand) (string, map[string]faults.Set) {
	var zones []fleet.Zone
	for _, target := range targets {
		if target.role != rolePlatform && !slices.Contains(zones, target.Zone) {
			zones = append(zones, target.Zone)
		}
	}
	if len(zones) < 2 {
		return "", nil
	}
	slices.Sort(zones)
	cut := zones[random.IntN(len(zones))]
	sets := make(map[string]faults.Set)
	for _, target := range targets {
		var set faults.Set
		if target.Zone != cut {
			set.Cuts = []faults.Cut{{From: cut, To: target.Zone}}
		} else {
			for _, zone := range zones {
				if zone != cut {
					set.Cuts = append(set.Cuts, faults.Cut{From: zone, To: cut})
				}
			}
		}
		sets[target.URL] = set
	}
	return string(cut), sets
}
