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

// defaultColdStartWeight weighs cold starts and idle accelerators equally.
const defaultColdStartWeight = 0.5

// selector is a declared selector with its resolved deployments.
type selector struct {
	name string
	spec.Selector
	deadline time.Duration
	// targets are the indexes of the matching deployments, in order of name.
	targets []int
	regions locality.Regions
}

// service is a declared service with defaults applied.
type service struct {
	name string
	spec.Service
	deadline  time.Duration
	keyWindow time.Duration
	regions   locality.Regions
}

// linker builds one snapshot from the stages and resolves references by label.
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

func (l *linker) linkSelectors(set *kindSet) {
	for _, object := range set.usable(&l.problems) {
		declared := object.value.(spec.Selector)
		targets := l.matchingDeployments(declared.Deployments)
		l.forEachModel(targets, func(info *ModelInfo) { info.Priority = max(info.Priority, declared.Priority) })
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
	l.indexSelectors()
}

func (l *linker) linkCapacities(set *kindSet) {
	for _, object := range set.usable(&l.problems) {
		capacity := object.value.(spec.Capacity)
		l.forEachModel(l.matchingDeployments(capacity.Deployments), func(info *ModelInfo) {
			info.StandingReplicas = max(info.StandingReplicas, capacity.Replicas)
		})
	}
}

func (l *linker) linkServices(set *kindSet) {
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

// linkPreferences uses the last preferences by name, so that all nodes choose the same.
func (l *linker) linkPreferences(set *kindSet) {
	for _, object := range set.usable(&l.problems) {
		l.snapshot.preferences = object.value.(spec.Preferences)
	}
}

// linkRegions maps zones to regions. A zone named by two regions belongs to the last by
// name, so that all nodes choose the same.
func (l *linker) linkRegions(set *kindSet) {
	regionOf := make(map[string]string)
	for _, object := range set.usable(&l.problems) {
		for _, zone := range object.value.(spec.Region).Zones {
			regionOf[zone] = object.key.Name
		}
	}
	l.snapshot.topology = locality.NewMap(regionOf)
}

// allowedRegions returns the regions to which a declaration restricts requests; nil is no
// restriction. A list that is present but empty allows no region: the loss of its entries
// must not lift the restriction.
func allowedRegions(names []string) locality.Regions {
	if names == nil {
		return locality.Regions{}
	}
	return locality.Only(names...)
}

// linkEvacuations uses only the objects' names: an evacuation with an invalid spec is in
// force too, since serving requests in an evacuated zone is worse than not using a zone.
func (l *linker) linkEvacuations(set *kindSet) {
	set.usable(&l.problems)
	for _, object := range set.sorted {
		l.snapshot.evacuated = append(l.snapshot.evacuated, object.key.Name)
	}
}

// indexSelectors indexes each selector by the one of its labels that the fewest selectors
// require, so that few candidates are evaluated for a request.
func (l *linker) indexSelectors() {
	labelCounts := make(map[labelPair]int)
	for index := range l.snapshot.selectors {
		for key, value := range l.snapshot.selectors[index].Match.MatchLabels {
			labelCounts[labelPair{key: key, value: value}]++
		}
	}
	l.snapshot.selectorsByLabel = make(map[labelPair][]int)
	l.snapshot.selectorIndex = make(map[string]int, len(l.snapshot.selectors))
	for index := range l.snapshot.selectors {
		l.snapshot.selectorIndex[l.snapshot.selectors[index].name] = index
		labels := l.snapshot.selectors[index].Match.MatchLabels
		if len(labels) == 0 {
			l.snapshot.unlabeledSelectors = append(l.snapshot.unlabeledSelectors, index)
			continue
		}
		rarest := rarestLabel(labels, labelCounts)
		l.snapshot.selectorsByLabel[rarest] = append(l.snapshot.selectorsByLabel[rarest], index)
	}
}

// rarestLabel returns the label with the lowest count, the first by key among equals.
func rarestLabel(labels map[string]string, labelCounts map[labelPair]int) labelPair {
	var rarest labelPair
	first := true
	for key, value := range labels {
		pair := labelPair{key: key, value: value}
		byRarity := cmp.Or(cmp.Compare(labelCounts[pair], labelCounts[rarest]), strings.Compare(key, rarest.key))
		if first || byRarity < 0 {
			rarest, first = pair, false
		}
	}
	return rarest
}

// forEachModel calls visit once for each model version of the deployments.
func (l *linker) forEachModel(targets []int, visit func(*ModelInfo)) {
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

// matchingDeployments returns the deployments whose labels match. It evaluates only the
// deployments with the rarest of the required labels.
func (l *linker) matchingDeployments(labels spec.LabelSelector) []int {
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

// candidates returns the deployments with the rarest of the required labels; narrowed is false
// where no label value is required.
func (l *linker) candidates(labels spec.LabelSelector) (fewest []int, narrowed bool) {
	for key, value := range labels.MatchLabels {
		labeled := l.byLabel[labelPair{key: key, value: value}]
		if !narrowed || len(labeled) < len(fewest) {
			fewest, narrowed = labeled, true
		}
	}
	return fewest, narrowed
}
