package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// declarations are the declared objects that determine the traffic. The targets
// of a request are computed here independently of the system's own catalog,
// because the results are used to check the system.
type declarations struct {
	models      map[string]spec.Model
	deployments []namedObject[spec.Deployment]
	selectors   []namedObject[spec.Selector]
	services    []namedObject[spec.Service]
	capacities  []namedObject[spec.Capacity]
}

// namedObject is one declared object with its decoded spec.
type namedObject[T any] struct {
	name   string
	labels map[string]string
	spec   T
}

func decode[T any](into []namedObject[T], object objectstore.Object) ([]namedObject[T], error) {
	entry := namedObject[T]{name: object.Name, labels: object.Labels}
	if err := json.Unmarshal(object.Spec, &entry.spec); err != nil {
		return nil, fmt.Errorf("%s %s: %w", object.Kind, object.Name, err)
	}
	return append(into, entry), nil
}

func readDeclarations(objects []objectstore.Object) (declarations, error) {
	declared := declarations{models: make(map[string]spec.Model)}
	for _, object := range objects {
		if object.Deleted {
			continue
		}
		if err := declared.add(object); err != nil {
			return declarations{}, err
		}
	}
	slices.SortFunc(declared.selectors, bySelectorOrder)
	slices.SortFunc(declared.deployments, func(a, b namedObject[spec.Deployment]) int { return cmp.Compare(a.name, b.name) })
	return declared, nil
}

func (d *declarations) add(object objectstore.Object) (err error) {
	switch spec.Kind(object.Kind) {
	case spec.KindModel:
		var models []namedObject[spec.Model]
		if models, err = decode(models, object); err == nil {
			d.models[object.Name] = models[0].spec
		}
	case spec.KindDeployment:
		d.deployments, err = decode(d.deployments, object)
	case spec.KindSelector:
		d.selectors, err = decode(d.selectors, object)
	case spec.KindService:
		d.services, err = decode(d.services, object)
	case spec.KindCapacity:
		d.capacities, err = decode(d.capacities, object)
	}
	return err
}

// bySelectorOrder sorts selectors by priority: higher precedence first, then more
// conditions, then name.
func bySelectorOrder(a, b namedObject[spec.Selector]) int {
	conditions := func(selector spec.LabelSelector) int {
		return len(selector.MatchLabels) + len(selector.MatchExpressions)
	}
	return cmp.Or(
		cmp.Compare(b.spec.Precedence, a.spec.Precedence),
		cmp.Compare(conditions(b.spec.Match), conditions(a.spec.Match)),
		cmp.Compare(a.name, b.name),
	)
}

// modelClass returns the class of requests with the given labels. The first
// selector that matches them decides the targets and the deadline.
func (d *declarations) modelClass(name string, labels map[string]string) Class {
	class := Class{Name: name, Model: labels[modelLabel], Deadline: defaultModelDeadline}
	class.Labels = maps.Clone(labels)
	delete(class.Labels, modelLabel)
	for _, selector := range d.selectors {
		if selectorMatches(selector.spec.Match, labels) {
			class.Deadline = cmp.Or(time.Duration(selector.spec.Deadline), defaultModelDeadline)
			d.addTargets(&class, selector.spec.Deployments)
			return class
		}
	}
	d.addTargets(&class, spec.LabelSelector{})
	if !d.namesDeployment(class.Model) {
		class.Targets = nil
	}
	return class
}

func (d *declarations) namesDeployment(name string) bool {
	return slices.ContainsFunc(d.deployments, func(deployment namedObject[spec.Deployment]) bool {
		return deployment.name == name
	})
}

// addTargets adds the targets of the deployments that match the selector. If the
// deployment that the request names is among them, only its targets are added.
func (d *declarations) addTargets(class *Class, selector spec.LabelSelector) {
	var selected []namedObject[spec.Deployment]
	for _, deployment := range d.deployments {
		if !selectorMatches(selector, deployment.labels) {
			continue
		}
		if deployment.name == class.Model {
			selected = []namedObject[spec.Deployment]{deployment}
			break
		}
		selected = append(selected, deployment)
	}
	for _, deployment := range selected {
		class.Targets = append(class.Targets, d.targets(deployment.spec)...)
		class.Standing = class.Standing || d.isStanding(deployment)
	}
}

// targets returns the model versions that the deployment may use: those with a
// weight, or all listed versions if none has a weight, or the model's last
// version if none is listed.
func (d *declarations) targets(deployment spec.Deployment) []history.Target {
	versions := slices.Clone(deployment.Versions)
	if weighted := func(v spec.WeightedVersion) bool { return v.Weight > 0 }; slices.ContainsFunc(versions, weighted) {
		versions = slices.DeleteFunc(versions, func(v spec.WeightedVersion) bool { return v.Weight <= 0 })
	}
	if all := d.models[deployment.Model].Versions; len(versions) == 0 && len(all) > 0 {
		versions = []spec.WeightedVersion{{Name: all[len(all)-1].Name}}
	}
	targets := make([]history.Target, 0, len(versions))
	for _, version := range versions {
		targets = append(targets, history.Target{
			Model:   fleet.ModelVersion{Model: deployment.Model, Version: version.Name},
			Adapter: fleet.AdapterName(deployment.Adapter),
		})
	}
	return targets
}

// isStanding reports whether replicas are always kept ready for the deployment.
func (d *declarations) isStanding(deployment namedObject[spec.Deployment]) bool {
	return d.models[deployment.spec.Model].Replicas.Min > 0 ||
		slices.ContainsFunc(d.capacities, func(capacity namedObject[spec.Capacity]) bool {
			return selectorMatches(capacity.spec.Deployments, deployment.labels)
		})
}

// selectorMatches reports whether the labels satisfy the selector, as defined by
// the operators of package spec.
func selectorMatches(selector spec.LabelSelector, labels map[string]string) bool {
	for key, value := range selector.MatchLabels {
		if labels[key] != value {
			return false
		}
	}
	for _, requirement := range selector.MatchExpressions {
		if !requirementMatches(requirement, labels) {
			return false
		}
	}
	return true
}

func requirementMatches(requirement spec.Requirement, labels map[string]string) bool {
	value, present := labels[requirement.Key]
	listed := present && slices.Contains(requirement.Values, value)
	switch requirement.Operator {
	case spec.OperatorIn:
		return listed
	case spec.OperatorNotIn:
		return !listed
	case spec.OperatorExists:
		return present
	case spec.OperatorDoesNotExist:
		return !present
	}
	return false
}
