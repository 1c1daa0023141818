package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/spec"
)

const defaultColdStartWeight = 0.5

type selector struct {
	name string
	spec.Selector
	deadline time.Duration
	// targets index the deployments that it leads to, in order of name.
	targets []int
	regions locality.Regions
}

type service struct {
	name string
	spec.Service
	deadline  time.Duration
	keyWindow time.Duration
	regions   locality.Regions
}

// linker makes one snapshot of the stages and resolves what is chosen by
// labels.
type linker struct {
	snapshot *Snapshot
	byLabel  map[labelPair][]int
	problems []Problem
}

func newLinker(version uint64, models modelStage, adapters adapterStage, deployments deploymentStage) *linker {
	return &linker{
		byLabel: deployments.byLabel,
		snapshot: &Snapshot{
			version:         version,
			models:          slices.Clone(models.facts),
			modelIndex:      models.index,
			adapters:        adapters.facts,
			adapterIndex:    adapters.index,
			deployments:     deployments.infos,
			modelNames:      deployments.names,
			deploymentIndex: deployments.index,
			preferences:     spec.Preferences{ColdStartWeight: defaultColdStartWeight},
		},
	}
}

func (l *linker) takeSelectors(set *kindSet) {
	for _, object := range set.usable(&l.problems) {
		declared := object.value.(spec.Selector)
		targets := l.matching(declared.Deployments)
		l.eachModel(targets, func(facts *ModelInfo) { facts.Priority = max(facts.Priority, declared.Priority) })
		l.snapshot.selectors = append(l.snapshot.selectors, selector{
			name:     object.key.Name,
			Selector: declared,
			deadline: cmp.Or(time.Duration(declared.Deadline), DefaultModelDeadline),
			targets:  targets,
			regions:  allowedRegions(declared.Regions),
		})
	}
	slices.SortFunc(l.snapshot.selectors, func(a, b selector) int {
		return cmp.Or(
			cmp.Compare(b.Precedence, a.Precedence),
			cmp.Compare(b.Match.Conditions(), a.Match.Conditions()),
			strings.Compare(a.name, b.name),
		)
	})
	l.fileSelectors()
}

func (l *linker) takeCapacities(set *kindSet) {
	for _, object := range set.usable(&l.problems) {
		capacity := object.value.(spec.Capacity)
		l.eachModel(l.matching(capacity.Deployments), func(facts *ModelInfo) {
			facts.StandingReplicas = max(facts.StandingReplicas, capacity.Replicas)
		})
	}
}

func (l *linker) takeServices(set *kindSet) {
	for _, object := range set.usable(&l.problems) {
		declared := object.value.(spec.Service)
		if !strings.HasPrefix(declared.PathPrefix, "/") {
			reason := fmt.Sprintf("path prefix %q does not begin with a slash", declared.PathPrefix)
			l.problems = append(l.problems, object.problem(reason))
			continue
		}
		l.snapshot.services = append(l.snapshot.services, service{
			name:      object.key.Name,
			Service:   declared,
			deadline:  cmp.Or(time.Duration(declared.Deadline), defaultServiceDeadline),
			keyWindow: cmp.Or(time.Duration(declared.KeyWindow), defaultKeyWindow),
			regions:   allowedRegions(declared.Regions),
		})
	}
	slices.SortStableFunc(l.snapshot.services, func(a, b service) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
}

// takePreferences takes the last by name, so that all nodes choose alike.
func (l *linker) takePreferences(set *kindSet) {
	for _, object := range set.usable(&l.problems) {
		l.snapshot.preferences = object.value.(spec.Preferences)
	}
}

// takeRegions maps zones to regions; of two regions that name a zone the last by
// name has it, so that all nodes choose alike.
func (l *linker) takeRegions(set *kindSet) {
	regionOf := make(map[string]string)
	for _, object := range set.usable(&l.problems) {
		for _, zone := range object.value.(spec.Region).Zones {
			regionOf[zone] = object.key.Name
		}
	}
	l.snapshot.places = locality.NewMap(regionOf)
}

// allowedRegions is the set that a declaration binds requests to. A list that is there
// and names none lets nothing run: a bound that is lost must not set requests free.
func allowedRegions(names []string) locality.Regions {
	if names == nil {
		return locality.Regions{}
	}
	return locality.Only(names...)
}

// takeEvacuations goes by the names alone: an evacuation whose spec cannot be
// read holds all the same, since serving a zone that is to be empty is the worse
// mistake.
func (l *linker) takeEvacuations(set *kindSet) {
	set.usable(&l.problems)
	for _, object := range set.sorted {
		l.snapshot.evacuated = append(l.snapshot.evacuated, object.key.Name)
	}
}

// fileSelectors files each selector under the label that the fewest others ask
// for, so that a request looks at few.
func (l *linker) fileSelectors() {
	asked := make(map[labelPair]int)
	for index := range l.snapshot.selectors {
		for key, value := range l.snapshot.selectors[index].Match.MatchLabels {
			asked[labelPair{key: key, value: value}]++
		}
	}
	l.snapshot.selectorsByLabel = make(map[labelPair][]int)
	l.snapshot.selectorIndex = make(map[string]int, len(l.snapshot.selectors))
	for index := range l.snapshot.selectors {
		l.snapshot.selectorIndex[l.snapshot.selectors[index].name] = index
		labels := l.snapshot.selectors[index].Match.MatchLabels
		if len(labels) == 0 {
			l.snapshot.anySelectors = append(l.snapshot.anySelectors, index)
			continue
		}
		rarest := rarestLabel(labels, asked)
		l.snapshot.selectorsByLabel[rarest] = append(l.snapshot.selectorsByLabel[rarest], index)
	}
}

func rarestLabel(labels map[string]string, asked map[labelPair]int) labelPair {
	var rarest labelPair
	first := true
	for key, value := range labels {
		pair := labelPair{key: key, value: value}
		byRarity := cmp.Or(cmp.Compare(asked[pair], asked[rarest]), strings.Compare(key, rarest.key))
		if first || byRarity < 0 {
			rarest, first = pair, false
		}
	}
	return rarest
}

// eachModel visits each model version that the deployments name once.
func (l *linker) eachModel(targets []int, visit func(*ModelInfo)) {
	seen := make(map[int]bool)
	for _, target := range targets {
		for _, version := range l.snapshot.deployments[target].Versions {
			index := l.snapshot.modelIndex[version.Model]
			if !seen[index] {
				seen[index] = true
				visit(&l.snapshot.models[index])
			}
		}
	}
}

// matching lists the deployments whose labels the selector matches. It looks
// only at those that carry the rarest of the labels asked for.
func (l *linker) matching(labels spec.LabelSelector) []int {
	var targets []int
	candidates, narrowed := l.candidates(labels)
	if narrowed {
		for _, index := range candidates {
			if labels.Matches(l.snapshot.deployments[index].Labels) {
				targets = append(targets, index)
			}
		}
		return targets
	}
	for index := range l.snapshot.deployments {
		if labels.Matches(l.snapshot.deployments[index].Labels) {
			targets = append(targets, index)
		}
	}
	return targets
}

func (l *linker) candidates(labels spec.LabelSelector) (fewest []int, narrowed bool) {
	for key, value := range labels.MatchLabels {
		carrying := l.byLabel[labelPair{key: key, value: value}]
		if !narrowed || len(carrying) < len(fewest) {
			fewest, narrowed = carrying, true
		}
	}
	return fewest, narrowed
}
