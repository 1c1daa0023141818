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

// declared are the declarations that make traffic. Which targets a request may
// reach is worked out here anew and not by the product's own catalog, which it
// is to judge.
type declared struct {
	models      map[string]spec.Model
	deployments []named[spec.Deployment]
	selectors   []named[spec.Selector]
	services    []named[spec.Service]
	capacities  []named[spec.Capacity]
}

// named is one declared object.
type named[T any] struct {
	name   string
	labels map[string]string
	spec   T
}

func decode[T any](into []named[T], object objectstore.Object) ([]named[T], error) {
	entry := named[T]{name: object.Name, labels: object.Labels}
	if err := json.Unmarshal(object.Spec, &entry.spec); err != nil {
		return nil, fmt.Errorf("%s %s: %w", object.Kind, object.Name, err)
	}
	return append(into, entry), nil
}

func readDeclared(objects []objectstore.Object) (declared, error) {
	read := declared{models: make(map[string]spec.Model)}
	for _, object := range objects {
		if object.Deleted {
			continue
		}
		if err := read.add(object); err != nil {
			return declared{}, err
		}
	}
	slices.SortFunc(read.selectors, bySelectorOrder)
	slices.SortFunc(read.deployments, func(a, b named[spec.Deployment]) int { return cmp.Compare(a.name, b.name) })
	return read, nil
}

func (d *declared) add(object objectstore.Object) (err error) {
	switch spec.Kind(object.Kind) {
	case spec.KindModel:
		var models []named[spec.Model]
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

// bySelectorOrder puts the selector that is taken first in front.
func bySelectorOrder(a, b named[spec.Selector]) int {
	conditions := func(selector spec.LabelSelector) int {
		return len(selector.MatchLabels) + len(selector.MatchExpressions)
	}
	return cmp.Or(
		cmp.Compare(b.spec.Precedence, a.spec.Precedence),
		cmp.Compare(conditions(b.spec.Match), conditions(a.spec.Match)),
		cmp.Compare(a.name, b.name),
	)
}

// modelClass is the traffic with the given request labels.
func (d *declared) modelClass(name string, labels map[string]string) Class {
	class := Class{Name: name, Model: labels[modelLabel], Deadline: defaultModelDeadline}
	class.Labels = maps.Clone(labels)
	delete(class.Labels, modelLabel)
	for _, selector := range d.selectors {
		if selects(selector.spec.Match, labels) {
			class.Deadline = cmp.Or(time.Duration(selector.spec.Deadline), defaultModelDeadline)
			d.reach(&class, selector.spec.Deployments)
			return class
		}
	}
	d.reach(&class, spec.LabelSelector{})
	if !d.namesDeployment(class.Model) {
		class.Targets = nil
	}
	return class
}

func (d *declared) namesDeployment(name string) bool {
	return slices.ContainsFunc(d.deployments, func(deployment named[spec.Deployment]) bool {
		return deployment.name == name
	})
}

// reach adds the targets of the deployments that the selector names; only of
// the one that the request itself names, if that is among them.
func (d *declared) reach(class *Class, selector spec.LabelSelector) {
	var reached []named[spec.Deployment]
	for _, deployment := range d.deployments {
		if !selects(selector, deployment.labels) {
			continue
		}
		if deployment.name == class.Model {
			reached = []named[spec.Deployment]{deployment}
			break
		}
		reached = append(reached, deployment)
	}
	for _, deployment := range reached {
		class.Targets = append(class.Targets, d.targets(deployment.spec)...)
		class.Standing = class.Standing || d.isStanding(deployment)
	}
}

// targets are the versions that the deployment offers: those with a weight, or
// all if none has one, or the model's last if none is listed.
func (d *declared) targets(deployment spec.Deployment) []history.Target {
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

// isStanding reports whether replicas are kept ready for the deployment.
func (d *declared) isStanding(deployment named[spec.Deployment]) bool {
	return d.models[deployment.spec.Model].Replicas.Min > 0 ||
		slices.ContainsFunc(d.capacities, func(capacity named[spec.Capacity]) bool {
			return selects(capacity.spec.Deployments, deployment.labels)
		})
}

// selects is the matching of labels, as the operators of spec say.
func selects(selector spec.LabelSelector, labels map[string]string) bool {
	for key, value := range selector.MatchLabels {
		if labels[key] != value {
			return false
		}
	}
	for _, requirement := range selector.MatchExpressions {
		if !holds(requirement, labels) {
			return false
		}
	}
	return true
}

func holds(requirement spec.Requirement, labels map[string]string) bool {
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
