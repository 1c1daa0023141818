package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/platform"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// labelPair is one label with its value.
type labelPair struct {
	key   string
	value string
}

func (b *builder) takeDeployments(objects []decodedObject) {
	b.snapshot.deployments = make([]deployment, 0, len(objects))
	b.snapshot.deploymentIndex = make(map[string]int, len(objects))
	b.labelIndex = make(map[labelPair][]int)
	for _, object := range objects {
		declared := object.value.(spec.Deployment)
		versions, reason := b.weightedVersions(declared)
		if reason != "" {
			b.fail(platform.Key{Kind: string(spec.KindDeployment), Name: object.name}, object.version, reason)
			continue
		}
		index := len(b.snapshot.deployments)
		b.snapshot.deploymentIndex[object.name] = index
		b.snapshot.modelNames = append(b.snapshot.modelNames, object.name)
		b.snapshot.deployments = append(b.snapshot.deployments, deployment{DeploymentInfo{
			Name:           fleet.DeploymentName(object.name),
			Labels:         object.labels,
			Adapter:        fleet.AdapterName(declared.Adapter),
			Versions:       versions,
			ContextTokens:  b.models[declared.Model].ContextTokens,
			CreatedVersion: object.version,
		}})
		for key, value := range object.labels {
			pair := labelPair{key: key, value: value}
			b.labelIndex[pair] = append(b.labelIndex[pair], index)
		}
	}
}

// weightedVersions checks what a deployment refers to. Without versions the
// model's last declared one takes all traffic; where no weight is positive,
// all versions weigh the same.
func (b *builder) weightedVersions(declared spec.Deployment) ([]WeightedModel, string) {
	model, found := b.models[declared.Model]
	if !found || len(model.Versions) == 0 {
		return nil, fmt.Sprintf("model %q is not declared", declared.Model)
	}
	if reason := b.checkAdapter(declared); reason != "" {
		return nil, reason
	}
	weighted := declared.Versions
	if len(weighted) == 0 {
		weighted = []spec.WeightedVersion{{Name: model.Versions[len(model.Versions)-1].Name, Weight: 1}}
	}
	weightless := !slices.ContainsFunc(weighted, func(version spec.WeightedVersion) bool { return version.Weight > 0 })
	versions := make([]WeightedModel, 0, len(weighted))
	for _, version := range weighted {
		name := fleet.ModelVersion{Model: declared.Model, Version: version.Name}
		if _, known := b.snapshot.modelIndex[name]; !known {
			return nil, fmt.Sprintf("model version %q is not declared", name)
		}
		switch {
		case weightless:
			versions = append(versions, WeightedModel{Model: name, Weight: 1})
		case version.Weight > 0:
			versions = append(versions, WeightedModel{Model: name, Weight: version.Weight})
		}
	}
	return versions, ""
}

func (b *builder) checkAdapter(declared spec.Deployment) string {
	if declared.Adapter == "" {
		return ""
	}
	index, found := b.snapshot.adapterIndex[fleet.AdapterName(declared.Adapter)]
	if !found {
		return fmt.Sprintf("adapter %q is not declared", declared.Adapter)
	}
	if adapter := b.snapshot.adapters[index]; adapter.Model != declared.Model {
		return fmt.Sprintf("adapter %q belongs to model %q", declared.Adapter, adapter.Model)
	}
	return ""
}

func (b *builder) takeSelectors(objects []decodedObject) {
	for _, object := range objects {
		declared := object.value.(spec.Selector)
		b.snapshot.selectors = append(b.snapshot.selectors, selector{
			name:     object.name,
			Selector: declared,
			deadline: cmp.Or(time.Duration(declared.Deadline), DefaultModelDeadline),
		})
	}
	slices.SortFunc(b.snapshot.selectors, func(a, c selector) int {
		return cmp.Or(
			cmp.Compare(c.Precedence, a.Precedence),
			cmp.Compare(c.Match.Conditions(), a.Match.Conditions()),
			strings.Compare(a.name, c.name),
		)
	})
	b.fileSelectors()
}

// fileSelectors files each selector under the label that the fewest others ask
// for, so that a request looks at few.
func (b *builder) fileSelectors() {
	asked := make(map[labelPair]int)
	for index := range b.snapshot.selectors {
		for key, value := range b.snapshot.selectors[index].Match.MatchLabels {
			asked[labelPair{key: key, value: value}]++
		}
	}
	b.snapshot.selectorsByLabel = make(map[labelPair][]int)
	for index := range b.snapshot.selectors {
		var rarest labelPair
		for key, value := range b.snapshot.selectors[index].Match.MatchLabels {
			pair := labelPair{key: key, value: value}
			byRarity := cmp.Or(cmp.Compare(asked[pair], asked[rarest]), strings.Compare(key, rarest.key))
			if rarest == (labelPair{}) || byRarity < 0 {
				rarest = pair
			}
		}
		if rarest == (labelPair{}) {
			b.snapshot.anySelectors = append(b.snapshot.anySelectors, index)
			continue
		}
		b.snapshot.selectorsByLabel[rarest] = append(b.snapshot.selectorsByLabel[rarest], index)
	}
}

// link resolves what selectors and capacities choose by labels.
func (b *builder) link() {
	for index := range b.snapshot.selectors {
		declared := &b.snapshot.selectors[index]
		declared.targets = b.matching(declared.Deployments)
		b.eachModel(declared.targets, func(facts *ModelFacts) {
			facts.Priority = max(facts.Priority, declared.Priority)
		})
	}
	for _, capacity := range b.capacities {
		b.eachModel(b.matching(capacity.Deployments), func(facts *ModelFacts) {
			facts.StandingReplicas = max(facts.StandingReplicas, capacity.Replicas)
		})
	}
}

func (b *builder) eachModel(targets []int, visit func(*ModelFacts)) {
	seen := make(map[int]bool)
	for _, target := range targets {
		for _, version := range b.snapshot.deployments[target].Versions {
			index := b.snapshot.modelIndex[version.Model]
			if seen[index] {
				continue
			}
			seen[index] = true
			visit(&b.snapshot.models[index])
		}
	}
}

// matching lists the deployments whose labels the selector matches. It looks
// only at those that carry the rarest of the labels asked for.
func (b *builder) matching(labels spec.LabelSelector) []int {
	var targets []int
	candidates, narrowed := b.rarest(labels)
	if !narrowed {
		for index := range b.snapshot.deployments {
			if labels.Matches(b.snapshot.deployments[index].Labels) {
				targets = append(targets, index)
			}
		}
		return targets
	}
	for _, index := range candidates {
		if labels.Matches(b.snapshot.deployments[index].Labels) {
			targets = append(targets, index)
		}
	}
	return targets
}

func (b *builder) rarest(labels spec.LabelSelector) ([]int, bool) {
	var candidates []int
	narrowed := false
	for key, value := range labels.MatchLabels {
		carrying := b.labelIndex[labelPair{key: key, value: value}]
		if !narrowed || len(carrying) < len(candidates) {
			candidates, narrowed = carrying, true
		}
	}
	return candidates, narrowed
}
