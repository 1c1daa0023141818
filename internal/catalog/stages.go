package catalog

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// defaultMaxReplicas is used for a model that declares no bounds of replicas.
const defaultMaxReplicas = 1

// modelStage is the result of compiling the declared models. Like the other stages
// it is immutable, and shared by snapshots until its input changes.
type modelStage struct {
	declared map[string]spec.Model
	// facts does not include the values that selectors and capacities add.
	facts    []ModelInfo
	index    map[fleet.ModelVersion]int
	problems []Problem
}

func compileModels(set *kindSet) modelStage {
	stage := modelStage{declared: make(map[string]spec.Model), index: make(map[fleet.ModelVersion]int)}
	for _, object := range set.usable(&stage.problems) {
		model := object.value.(spec.Model)
		stage.declared[object.key.Name] = model
		for _, version := range model.Versions {
			stage.facts = append(stage.facts, ModelInfo{
				Model:           fleet.ModelVersion{Model: object.key.Name, Version: version.Name},
				MemoryBytes:     int64(version.Memory),
				CheckpointBytes: int64(version.Checkpoint),
				MinReplicas:     model.Replicas.Min,
				MaxReplicas:     cmp.Or(model.Replicas.Max, max(model.Replicas.Min, defaultMaxReplicas)),
			})
		}
	}
	slices.SortFunc(stage.facts, func(a, b ModelInfo) int { return a.Model.Compare(b.Model) })
	for index, facts := range stage.facts {
		stage.index[facts.Model] = index
	}
	return stage
}

// adapterStage is the result of compiling the declared adapters.
type adapterStage struct {
	facts    []AdapterInfo
	index    map[fleet.AdapterName]int
	problems []Problem
}

func compileAdapters(set *kindSet, models modelStage) adapterStage {
	var stage adapterStage
	objects := set.usable(&stage.problems)
	stage.facts = make([]AdapterInfo, 0, len(objects))
	stage.index = make(map[fleet.AdapterName]int, len(objects))
	for _, object := range objects {
		adapter := object.value.(spec.Adapter)
		if _, found := models.declared[adapter.Model]; !found {
			stage.problems = append(stage.problems, object.problem(fmt.Sprintf("model %q is not declared", adapter.Model)))
			continue
		}
		name := fleet.AdapterName(object.key.Name)
		stage.index[name] = len(stage.facts)
		stage.facts = append(stage.facts, AdapterInfo{
			Adapter:     name,
			Model:       adapter.Model,
			MemoryBytes: int64(adapter.Memory),
		})
	}
	return stage
}

// labelPair is one label with its value.
type labelPair struct {
	key   string
	value string
}

// deploymentStage is the result of compiling the declared deployments.
type deploymentStage struct {
	infos []DeploymentInfo
	names []string
	index map[string]int
	// byLabel lists the deployments with a label, in order of name.
	byLabel  map[labelPair][]int
	problems []Problem
}

func compileDeployments(set *kindSet, models modelStage, adapters adapterStage) deploymentStage {
	var stage deploymentStage
	objects := set.usable(&stage.problems)
	stage.infos = make([]DeploymentInfo, 0, len(objects))
	stage.names = make([]string, 0, len(objects))
	stage.index = make(map[string]int, len(objects))
	stage.byLabel = make(map[labelPair][]int)
	for _, object := range objects {
		declared := object.value.(spec.Deployment)
		versions, reason := weightedVersions(declared, models, adapters)
		if reason != "" {
			stage.problems = append(stage.problems, object.problem(reason))
			continue
		}
		stage.add(object, DeploymentInfo{
			Name:           fleet.DeploymentName(object.key.Name),
			Labels:         object.labels,
			Adapter:        fleet.AdapterName(declared.Adapter),
			Versions:       versions,
			ContextTokens:  models.declared[declared.Model].ContextTokens,
			CreatedVersion: object.version,
		})
	}
	return stage
}

func (s *deploymentStage) add(object decodedObject, info DeploymentInfo) {
	index := len(s.infos)
	s.infos = append(s.infos, info)
	s.names = append(s.names, object.key.Name)
	s.index[object.key.Name] = index
	for key, value := range object.labels {
		pair := labelPair{key: key, value: value}
		s.byLabel[pair] = append(s.byLabel[pair], index)
	}
}

// weightedVersions returns the versions of a deployment with their weights, or the reason
// why one of its references is invalid. A deployment without versions uses the model's
// last declared version; if no weight is positive, all versions have the same weight.
func weightedVersions(declared spec.Deployment, models modelStage, adapters adapterStage) ([]WeightedModel, string) {
	model, found := models.declared[declared.Model]
	if !found || len(model.Versions) == 0 {
		return nil, fmt.Sprintf("model %q is not declared", declared.Model)
	}
	if reason := checkAdapter(declared, adapters); reason != "" {
		return nil, reason
	}
	weighted := declared.Versions
	if len(weighted) == 0 {
		weighted = []spec.WeightedVersion{{Name: model.Versions[len(model.Versions)-1].Name, Weight: 1}}
	}
	hasNoWeights := !slices.ContainsFunc(weighted, func(version spec.WeightedVersion) bool { return version.Weight > 0 })
	versions := make([]WeightedModel, 0, len(weighted))
	for _, version := range weighted {
		name := fleet.ModelVersion{Model: declared.Model, Version: version.Name}
		if _, known := models.index[name]; !known {
			return nil, fmt.Sprintf("model version %q is not declared", name)
		}
		switch {
		case hasNoWeights:
			versions = append(versions, WeightedModel{Model: name, Weight: 1})
		case version.Weight > 0:
			versions = append(versions, WeightedModel{Model: name, Weight: version.Weight})
		}
	}
	return versions, ""
}

// checkAdapter returns why the deployment's adapter is invalid; empty if it is valid.
func checkAdapter(declared spec.Deployment, adapters adapterStage) string {
	if declared.Adapter == "" {
		return ""
	}
	index, found := adapters.index[fleet.AdapterName(declared.Adapter)]
	if !found {
		return fmt.Sprintf("adapter %q is not declared", declared.Adapter)
	}
	if adapter := adapters.facts[index]; adapter.Model != declared.Model {
		return fmt.Sprintf("adapter %q belongs to model %q", declared.Adapter, adapter.Model)
	}
	return ""
}
