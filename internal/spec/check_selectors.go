package spec

import (
	"fmt"
	"slices"
	"strings"
)

func (c *checker) selector(object *Object, selector *Selector) {
	c.required(object, "spec.match", "give the conditions on request labels; {} matches every request")
	if c.required(object, "spec.deployments", "give the conditions on labels of deployments") {
		c.selectsDeployments(object, selector.Deployments)
	}
	c.labelSelector(object, "spec.match", selector.Match)
	c.duration(object, "spec.deadline", selector.Deadline)
	c.limits(object, selector.Limits)
	c.regions(object, selector.Regions)
}

func (c *checker) capacity(object *Object, capacity *Capacity) {
	if c.required(object, "spec.deployments", "give the conditions on labels of deployments") {
		c.selectsDeployments(object, capacity.Deployments)
	}
	if !c.required(object, "spec.replicas", "give the replicas to keep ready") {
		return
	}
	if capacity.Replicas < 0 {
		c.report(object, "spec.replicas", "spec.replicas is below 0", "give 0 or more")
	}
	for _, deployment := range c.selectedDeployments(capacity.Deployments) {
		c.capacityWithinBounds(object, capacity, deployment)
	}
}

func (c *checker) capacityWithinBounds(object *Object, capacity *Capacity, deployment *Object) {
	name := deployment.Spec.(*Deployment).Model
	model := c.index.find(KindModel, name)
	if model == nil {
		return
	}
	maximum := max(model.Spec.(*Model).Replicas.Max, 1)
	if capacity.Replicas > maximum {
		c.report(object, "spec.replicas", fmt.Sprintf("spec.replicas is %d, but model %q may have %d", capacity.Replicas, name, maximum),
			fmt.Sprintf("lower it or raise spec.replicas.max of the model at %s", model.Place("spec.replicas.max")))
	}
}

func (c *checker) selectedDeployments(selector LabelSelector) []*Object {
	var found []*Object
	for _, deployment := range c.index.candidates(selector) {
		if selector.Matches(deployment.Metadata.Labels) {
			found = append(found, deployment)
		}
	}
	return found
}

func (c *checker) selectsDeployments(object *Object, selector LabelSelector) {
	c.labelSelector(object, "spec.deployments", selector)
	if len(c.selectedDeployments(selector)) > 0 || c.invalidUnder(object, "spec.deployments") || c.hasUnreadableDeployments() {
		return
	}
	c.report(object, "spec.deployments", "no declared deployment has these labels", "labels in use: "+c.deploymentLabels())
}

// invalidUnder reports whether decoding reported a value at or below the path.
func (c *checker) invalidUnder(object *Object, path string) bool {
	for invalidPath := range object.invalid {
		if strings.HasPrefix(invalidPath, path) {
			return true
		}
	}
	return false
}

func (c *checker) hasUnreadableDeployments() bool {
	for document := range c.set.unreadable {
		if document.kind == KindDeployment {
			return true
		}
	}
	return false
}

func (c *checker) deploymentLabels() string {
	var labels []string
	for _, deployment := range c.index.ofKind(KindDeployment) {
		for key, value := range deployment.Metadata.Labels {
			labels = append(labels, key+"="+value)
		}
	}
	slices.Sort(labels)
	labels = slices.Compact(labels)
	if len(labels) == 0 {
		return "none"
	}
	const shown = 12
	if len(labels) > shown {
		return strings.Join(labels[:shown], ", ") + " and others"
	}
	return strings.Join(labels, ", ")
}

func (c *checker) labelSelector(object *Object, path string, selector LabelSelector) {
	for key, value := range selector.MatchLabels {
		c.label(object, path+".matchLabels."+key, key, value)
	}
	for index, requirement := range selector.MatchExpressions {
		c.requirement(object, fmt.Sprintf("%s.matchExpressions[%d]", path, index), requirement)
	}
	if !c.invalidUnder(object, path) && !satisfiable(conditions(selector)) {
		c.report(object, path, "no labels fulfil these conditions together", "remove the conditions that exclude each other")
	}
}

func (c *checker) requirement(object *Object, path string, requirement Requirement) {
	c.required(object, path+".key", "give the label's key")
	switch requirement.Operator {
	case OperatorIn, OperatorNotIn:
		if len(requirement.Values) == 0 && !c.invalidUnder(object, path+".values") {
			c.report(object, path, fmt.Sprintf("%s has no values", requirement.Operator), "give values: with at least one")
		}
	case OperatorExists, OperatorDoesNotExist:
		if len(requirement.Values) > 0 {
			c.report(object, path+".values", fmt.Sprintf("%s takes no values", requirement.Operator), "remove values: or take In or NotIn")
		}
	default:
		if !c.isInvalid(object, path+".operator") {
			c.report(object, path+".operator", fmt.Sprintf("unknown operator %q", requirement.Operator), "give In, NotIn, Exists or DoesNotExist")
		}
	}
}
