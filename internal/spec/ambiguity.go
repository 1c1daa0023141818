package spec

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// rank determines which of two matching selectors applies.
type rank struct {
	precedence int
	conditions int
}

func rankOf(selector *Selector) rank {
	return rank{precedence: selector.Precedence, conditions: selector.Match.Conditions()}
}

// ambiguousSelectors reports pairs of selectors of the same rank that can match the same
// request and would treat it differently.
func (c *checker) ambiguousSelectors() {
	byRank := make(map[rank][]*Object)
	for _, object := range c.index.ofKind(KindSelector) {
		if c.invalidUnder(object, "spec.match") || c.isInvalid(object, "spec.precedence") || !object.isSet("spec.match") {
			continue
		}
		rank := rankOf(object.Spec.(*Selector))
		byRank[rank] = append(byRank[rank], object)
	}
	for _, selectors := range byRank {
		c.ambiguousInRank(selectors)
	}
}

// ambiguousInRank compares selectors of the same rank. A large fleet has many thousands,
// nearly all distinguished by one label; only selectors that require the same value of
// that label, or none, are compared.
func (c *checker) ambiguousInRank(selectors []*Object) {
	key := mostSelectiveLabel(selectors)
	byValue := make(map[string][]*Object)
	var withoutKey []*Object
	for _, object := range selectors {
		value, found := matchOf(object).MatchLabels[key]
		if !found {
			withoutKey = append(withoutKey, object)
			continue
		}
		for _, earlier := range byValue[value] {
			c.ambiguousPair(object, earlier)
		}
		byValue[value] = append(byValue[value], object)
	}
	for index, object := range withoutKey {
		for _, earlier := range withoutKey[:index] {
			c.ambiguousPair(object, earlier)
		}
	}
	for _, same := range byValue {
		for _, object := range same {
			for _, other := range withoutKey {
				c.ambiguousPair(object, other)
			}
		}
	}
}

func matchOf(selector *Object) LabelSelector {
	return selector.Spec.(*Selector).Match
}

// mostSelectiveLabel returns the label key that leaves the fewest pairs to compare.
func mostSelectiveLabel(selectors []*Object) string {
	counts := make(map[string]map[string]int)
	for _, object := range selectors {
		for key, value := range matchOf(object).MatchLabels {
			if counts[key] == nil {
				counts[key] = make(map[string]int)
			}
			counts[key][value]++
		}
	}
	best, fewest := "", len(selectors)*len(selectors)
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		pairs, labelled := 0, 0
		for _, count := range counts[key] {
			pairs += count * count
			labelled += count
		}
		pairs += (len(selectors) - labelled) * len(selectors)
		if pairs < fewest {
			best, fewest = key, pairs
		}
	}
	return best
}

// ambiguousPair reports the pair at the selector whose name sorts last, so that the
// finding does not depend on the order of comparison.
func (c *checker) ambiguousPair(left, right *Object) {
	if left.Metadata.Name == right.Metadata.Name || !ambiguous(left.Spec.(*Selector), right.Spec.(*Selector)) {
		return
	}
	if left.Metadata.Name < right.Metadata.Name {
		left, right = right, left
	}
	c.report(left, "spec.match", fmt.Sprintf("a request can match this and %s, and neither goes first", right.Title()),
		fmt.Sprintf("give them a different precedence or conditions that exclude each other; the other is at %s", right.Place("spec.match")))
}

// ambiguous reports whether two selectors of the same rank are ambiguous.
func ambiguous(left, right *Selector) bool {
	return !sameEffect(left, right) && satisfiable(append(conditions(left.Match), conditions(right.Match)...))
}

// sameEffect reports whether two selectors treat requests identically. Limits count per
// selector, so selectors with limits always differ.
func sameEffect(left, right *Selector) bool {
	return left.Limits == Limits{} && right.Limits == Limits{} &&
		left.Priority == right.Priority && left.Deadline == right.Deadline &&
		slices.Equal(slices.Sorted(slices.Values(left.Regions)), slices.Sorted(slices.Values(right.Regions))) &&
		reflect.DeepEqual(left.Deployments, right.Deployments)
}

// conditions returns all conditions of a selector as requirements.
func conditions(selector LabelSelector) []Requirement {
	all := slices.Clone(selector.MatchExpressions)
	for key, value := range selector.MatchLabels {
		all = append(all, Requirement{Key: key, Operator: OperatorIn, Values: []string{value}})
	}
	return all
}

// satisfiable reports whether some set of labels meets all conditions. Keys are
// independent of each other, so each is checked separately.
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

// keySatisfiable tries an absent label, each value that a condition names, and one
// value that none names; all other values behave like the last one.
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
		if (LabelSelector{MatchExpressions: conditions}).Matches(labels) {
			return true
		}
	}
	return false
}
