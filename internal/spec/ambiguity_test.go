package spec

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

func drawRequirement(t *rapid.T) Requirement {
	operators := []Operator{OperatorIn, OperatorNotIn, OperatorExists, OperatorDoesNotExist}
	requirement := Requirement{
		Key:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
		Operator: rapid.SampledFrom(operators).Draw(t, "operator"),
	}
	if requirement.Operator == OperatorIn || requirement.Operator == OperatorNotIn {
		requirement.Values = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"1", "2", "3"}), 1, 3, rapid.ID).Draw(t, "values")
	}
	return requirement
}

// TestSatisfiableAgreesWithTrial tries every combination of two keys, each absent or with
// one of four values, which is enough for conditions that name three values.
func TestSatisfiableAgreesWithTrial(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(drawRequirement), 0, 5).Draw(t, "conditions")
		found := false
		values := []string{"", "1", "2", "3", "4"}
		for _, first := range values {
			for _, second := range values {
				labels := make(map[string]string)
				if first != "" {
					labels["a"] = first
				}
				if second != "" {
					labels["b"] = second
				}
				found = found || LabelSelector{MatchExpressions: all}.Matches(labels)
			}
		}
		if got := satisfiable(all); got != found {
			t.Fatalf("satisfiable(%v) = %v, exhaustive search says %v", all, got, found)
		}
	})
}

// TestAmbiguousPairsAreAllFound compares the number of reported pairs with the result of
// comparing all pairs.
func TestAmbiguousPairsAreAllFound(t *testing.T) {
	labels := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.SampledFrom([]string{"1", "2", "3"}), 0, 3)
	rapid.Check(t, func(t *rapid.T) {
		var selectors []*Object
		for index := range rapid.IntRange(0, 8).Draw(t, "count") {
			selectors = append(selectors, &Object{
				Kind:      KindSelector,
				Metadata:  Metadata{Name: string(rune('a' + index))},
				Spec:      &Selector{Match: LabelSelector{MatchLabels: labels.Draw(t, "labels")}, Priority: index},
				positions: map[string]Position{"spec.match": {Line: index + 1}},
			})
		}
		want := 0
		for index, left := range selectors {
			for _, right := range selectors[:index] {
				first, second := left.Spec.(*Selector), right.Spec.(*Selector)
				if rankOf(first) == rankOf(second) && ambiguous(first, second) {
					want++
				}
			}
		}
		checker := &checker{index: newIndex(selectors)}
		checker.ambiguousSelectors()
		if len(checker.findings) != want {
			t.Fatalf("%d pairs were reported, %d are ambiguous", len(checker.findings), want)
		}
	})
}
