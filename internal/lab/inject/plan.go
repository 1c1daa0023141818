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

// longestWindow keeps faults of the store within the time in which an accepted
// change has to be in force.
const longestWindow = 3 * time.Second

// Target is a stand-in that takes faults.
type Target struct {
	Name string
	URL  string
	Zone fleet.Zone
	role role
}

// Targets are the platform and the back ends that it lists.
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

// window is one fault at its targets, from the start of the run on.
type window struct {
	kind Kind
	// name is the target's name, or the zone's.
	name string
	// sets are by the URL of the target.
	sets map[string]faults.Set
	from time.Duration
	to   time.Duration
	once bool
}

// plan gives each kind one window; each window overlaps the next one, so that
// faults come by pairs. Order and targets are drawn from the seed.
func plan(kinds []Kind, targets []Target, duration time.Duration, seed uint64) []window {
	random := rand.New(rand.NewPCG(seed, 0x696e6a656374))
	shuffled := slices.Clone(kinds)
	random.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	slot := duration / time.Duration(len(shuffled)+1)
	var windows []window
	for index, kind := range shuffled {
		next := window{kind: kind, from: slot * time.Duration(index), once: definitions[kind].once}
		next.to = next.from + min(2*slot, longestWindow)
		if kind == ZoneCut {
			next.name, next.sets = cutZone(targets, random)
		} else {
			next.name, next.sets = atOne(definitions[kind], targets, random)
		}
		if len(next.sets) > 0 {
			windows = append(windows, next)
		}
	}
	return windows
}

func atOne(definition definition, targets []Target, random *rand.Rand) (string, map[string]faults.Set) {
	var fitting []Target
	for _, target := range targets {
		if target.role == definition.role {
			fitting = append(fitting, target)
		}
	}
	if len(fitting) == 0 {
		return "", nil
	}
	chosen := fitting[random.IntN(len(fitting))]
	return chosen.Name, map[string]faults.Set{chosen.URL: definition.set}
}

// cutZone parts one zone from all that lies outside, both ways.
func cutZone(targets []Target, random *rand.Rand) (string, map[string]faults.Set) {
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
