package spec

import "slices"

// Matches reports whether all conditions hold for the labels. A selector
// without conditions matches every label set. NotIn holds where the key is
// missing; an unknown operator never holds.
func (s LabelSelector) Matches(labels map[string]string) bool {
	for key, value := range s.MatchLabels {
		if actual, found := labels[key]; !found || actual != value {
			return false
		}
	}
	for _, requirement := range s.MatchExpressions {
		if !requirement.matches(labels) {
			return false
		}
	}
	return true
}

// Conditions counts the conditions of the selector.
func (s LabelSelector) Conditions() int {
	return len(s.MatchLabels) + len(s.MatchExpressions)
}

func (r Requirement) matches(labels map[string]string) bool {
	value, found := labels[r.Key]
	switch r.Operator {
	case OperatorIn:
		return found && slices.Contains(r.Values, value)
	case OperatorNotIn:
		return !found || !slices.Contains(r.Values, value)
	case OperatorExists:
		return found
	case OperatorDoesNotExist:
		return !found
	default:
		return false
	}
}
