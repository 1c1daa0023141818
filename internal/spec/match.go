package spec

import "slices"

// Matches reports whether the labels meet all conditions. A selector without
// conditions matches all labels. NotIn also matches if the key is missing; an
// unknown operator never matches.
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

// Conditions returns the number of conditions of the selector.
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
