package spec

import "testing"

func TestLabelSelectorMatches(t *testing.T) {
	labels := map[string]string{"tier": "gold", "site": "oslo"}
	require := func(key string, operator Operator, values ...string) LabelSelector {
		return LabelSelector{MatchExpressions: []Requirement{{Key: key, Operator: operator, Values: values}}}
	}
	cases := []struct {
		name     string
		selector LabelSelector
		want     bool
	}{
		{"empty", LabelSelector{}, true},
		{"equal label", LabelSelector{MatchLabels: map[string]string{"tier": "gold"}}, true},
		{"other value", LabelSelector{MatchLabels: map[string]string{"tier": "basic"}}, false},
		{"missing label is not the empty value", LabelSelector{MatchLabels: map[string]string{"cell": ""}}, false},
		{"one of two labels", LabelSelector{MatchLabels: map[string]string{"tier": "gold", "site": "bergen"}}, false},
		{"in", require("tier", OperatorIn, "basic", "gold"), true},
		{"in without the key", require("cell", OperatorIn, "", "a"), false},
		{"not in", require("tier", OperatorNotIn, "gold"), false},
		{"not in without the key", require("cell", OperatorNotIn, "a"), true},
		{"exists", require("site", OperatorExists), true},
		{"exists without the key", require("cell", OperatorExists), false},
		{"does not exist", require("site", OperatorDoesNotExist), false},
		{"unknown operator", require("site", Operator("Like"), "oslo"), false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			if got := testCase.selector.Matches(labels); got != testCase.want {
				t.Errorf("got %v, want %v", got, testCase.want)
			}
		})
	}
}
