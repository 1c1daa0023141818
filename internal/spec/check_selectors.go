package spec

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

func (c *checker) selector(object *Object, selector *Selector) {
	c.required(object, "spec.match", "give the conditions on request labels; {} matches every request")
	if c.required(object, "spec.deployments", "give the conditions on labels of deployments") {
		c.selectsDeployments(object, selector.Deployments)
	}
	c.labelSelector(object, "spec.match", selector.Match)
	c.span(object, "spec.deadline", selector.Deadline)
	c.limits(object, selector.Limits)
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
	for _, deployment := range c.selected(capacity.Deployments) {
		c.capacityWithinBounds(object, capacity, deployment)
	}
}

func (c *checker) capacityWithinBounds(object *Object, capacity *Capacity, deployment *Object) {
	name := deployment.Spec.(*Deployment).Model
	model := c.set.find(KindModel, name)
	if model == nil {
		return
	}
	most := max(model.Spec.(*Model).Replicas.Max, 1)
	if capacity.Replicas > most {
		c.report(object, "spec.replicas", fmt.Sprintf("spec.replicas is %d, but model %q may have %d", capacity.Replicas, name, most),
			fmt.Sprintf("lower it or raise spec.replicas.max of the model at %s", model.Place("spec.replicas.max")))
	}
}

func (c *checker) selected(selector LabelSelector) []*Object {
	var found []*Object
	for _, deployment := range c.set.byKind(KindDeployment) {
		if holds(selector, deployment.Metadata.Labels) {
			found = append(found, deployment)
		}
	}
	return found
}

func (c *checker) selectsDeployments(object *Object, selector LabelSelector) {
	c.labelSelector(object, "spec.deployments", selector)
	if len(c.selected(selector)) > 0 || c.faultyUnder(object, "spec.deployments") || c.unreadDeployments() {
		return
	}
	c.report(object, "spec.deployments", "no declared deployment has these labels", "labels in use: "+c.deploymentLabels())
}

// faultyUnder reports whether something at or below the path was unreadable.
func (c *checker) faultyUnder(object *Object, path string) bool {
	for written, position := range object.places {
		if strings.HasPrefix(written, path) && object.faulty[position] {
			return true
		}
	}
	return false
}

func (c *checker) unreadDeployments() bool {
	for unread := range c.set.unread {
		if unread.kind == KindDeployment {
			return true
		}
	}
	return false
}

func (c *checker) deploymentLabels() string {
	var labels []string
	for _, deployment := range c.set.byKind(KindDeployment) {
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
	if !c.faultyUnder(object, path) && !satisfiable(conditions(selector)) {
		c.report(object, path, "no labels fulfil these conditions together", "remove the conditions that exclude each other")
	}
}

func (c *checker) requirement(object *Object, path string, requirement Requirement) {
	c.required(object, path+".key", "give the label's key")
	switch requirement.Operator {
	case OperatorIn, OperatorNotIn:
		if len(requirement.Values) == 0 && !c.faultyUnder(object, path+".values") {
			c.report(object, path, fmt.Sprintf("%s has no values", requirement.Operator), "give values: with at least one")
		}
	case OperatorExists, OperatorDoesNotExist:
		if len(requirement.Values) > 0 {
			c.report(object, path+".values", fmt.Sprintf("%s takes no values", requirement.Operator), "remove values: or take In or NotIn")
		}
	default:
		if !c.reportedAt(object, path+".operator") {
			c.report(object, path+".operator", fmt.Sprintf("unknown operator %q", requirement.Operator), "give In, NotIn, Exists or DoesNotExist")
		}
	}
}

// ambiguousSelectors reports pairs of which neither goes before the other
// though one request can match both and they would treat it differently.
func (c *checker) ambiguousSelectors() {
	selectors := c.set.byKind(KindSelector)
	for index, object := range selectors {
		for _, earlier := range selectors[:index] {
			if object.Metadata.Name == earlier.Metadata.Name {
				continue
			}
			left, right := object.Spec.(*Selector), earlier.Spec.(*Selector)
			if c.faultyUnder(object, "spec") || c.faultyUnder(earlier, "spec") || !ambiguous(left, right) {
				continue
			}
			c.report(object, "spec.match", fmt.Sprintf("a request can match this and %s, and neither goes first", earlier.Title()),
				fmt.Sprintf("give them a different precedence or conditions that exclude each other; the other is at %s", earlier.Place("spec.match")))
		}
	}
}

func ambiguous(left, right *Selector) bool {
	if left.Precedence != right.Precedence || conditionCount(left.Match) != conditionCount(right.Match) {
		return false
	}
	if sameEffect(left, right) {
		return false
	}
	return satisfiable(append(conditions(left.Match), conditions(right.Match)...))
}

func conditionCount(selector LabelSelector) int {
	return len(selector.MatchLabels) + len(selector.MatchExpressions)
}

// sameEffect reports whether it makes no difference which of two selectors is
// taken. Limits count per selector, so selectors with limits always differ.
func sameEffect(left, right *Selector) bool {
	return left.Limits == Limits{} && right.Limits == Limits{} &&
		left.Priority == right.Priority && left.Deadline == right.Deadline &&
		reflect.DeepEqual(left.Deployments, right.Deployments)
}

// conditions returns a selector's conditions in one form.
func conditions(selector LabelSelector) []Requirement {
	all := slices.Clone(selector.MatchExpressions)
	for key, value := range selector.MatchLabels {
		all = append(all, Requirement{Key: key, Operator: OperatorIn, Values: []string{value}})
	}
	return all
}

// satisfiable reports whether some labels fulfil all conditions. Keys do not
// depend on each other, so each is looked at alone.
func satisfiable(all []Requirement) bool {
	byKey := make(map[string][]Requirement)
	for _, condition := range all {
		byKey[condition.Key] = append(byKey[condition.Key], condition)
	}
	for _, conditions := range byKey {
		if !keySatisfiable(conditions) {
			return false
		}
	}
	return true
}

// keySatisfiable tries an absent label, each value that a condition names, and
// one value that none names; no other value behaves differently.
func keySatisfiable(conditions []Requirement) bool {
	const unnamed = "\x00"
	key := conditions[0].Key
	candidates := []map[string]string{{}, {key: unnamed}}
	for _, condition := range conditions {
		for _, value := range condition.Values {
			candidates = append(candidates, map[string]string{key: value})
		}
	}
	for _, labels := range candidates {
		if holds(LabelSelector{MatchExpressions: conditions}, labels) {
			return true
		}
	}
	return false
}
