package spec

import "slices"

// holds reports whether the labels fulfil all conditions of the selector.
func holds(selector LabelSelector, labels map[string]string) bool {
	for _, condition := range conditions(selector) {
		if !conditionHolds(condition, labels) {
			return false
		}
	}
	return true
}

func conditionHolds(condition Requirement, labels map[string]string) bool {
	value, present := labels[condition.Key]
	listed := present && slices.Contains(condition.Values, value)
	switch condition.Operator {
	case OperatorIn:
		return listed
	case OperatorNotIn:
		return !listed
	case OperatorExists:
		return present
	case OperatorDoesNotExist:
		return !present
	default:
		return false
	}
}
