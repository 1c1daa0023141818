package scenario

import (
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/lab/inject"
	"github.com/spanlanding/spanlanding/internal/lab/report"
)

func runReference(t *testing.T, injected defects) report.Summary {
	t.Helper()
	nodes, platformURL := startReference(t, injected)
	var announced []Moment
	summary, err := Run(t.Context(), Options{
		Nodes: nodes, Operators: nodes, Platform: platformURL, Profile: "fjordkurv", Backends: 3, Ready: time.Minute,
		Rate: 60, Duration: 2 * time.Second, Seed: 1,
		HistoryFile: filepath.Join(t.TempDir(), "history.jsonl"),
		Announce:    func(moment Moment) { announced = append(announced, moment) },
	})
	if err != nil {
		t.Fatal(err)
	}
	if announced[0] != MomentStart || announced[len(announced)-1] != MomentEnd || !slices.Contains(announced, MomentStopNode) {
		t.Errorf("announced moments are %v, expected start first, stop-node between and end last", announced)
	}
	return summary
}

// TestReferenceFleetKeepsTheRules runs all lab packages over real sockets against
// a correct fleet without faults. No rule may be broken.
func TestReferenceFleetKeepsTheRules(t *testing.T) {
	t.Parallel()
	summary := runReference(t, defects{})
	if broken := summary.Broken(); len(broken) > 0 {
		t.Errorf("broken rules: %v", summary.Verdicts)
	}
	// A configuration change is judged only after a minimum age, which depends on
	// how long the run took, so the rule may or may not be exercised.
	missing := slices.DeleteFunc(summary.NotExercised(), func(rule check.Rule) bool { return rule == check.RuleConfig })
	if difference := cmp.Diff([]check.Rule{check.RuleLeaving, check.RulePlannedStop}, missing); difference != "" {
		t.Errorf("unexpected set of rules not exercised:\n%s", difference)
	}
	if summary.Times[report.TimeColdStart].Count == 0 || summary.Loads.Ordered != 5 {
		t.Errorf("cold starts: %s, expected some; %d loads, expected 5", summary.Times[report.TimeColdStart], summary.Loads.Ordered)
	}
	if len(summary.Problems) > 0 {
		t.Errorf("sources with read errors: %v", summary.Problems)
	}
}

// TestDefectsOfTheReferenceFleetAreFound builds the fleet with one defect at a
// time. The rule that the defect breaks must be reported as broken.
func TestDefectsOfTheReferenceFleetAreFound(t *testing.T) {
	cases := map[check.Rule]defects{
		check.RuleAtMostOnce: {ignoreKeys: true},
		check.RuleNotRun:     {falseNotRun: true},
		check.RuleOwnAnswer:  {crossAnswers: true},
		check.RuleReplicas:   {loadTwice: true},
	}
	for rule, injected := range cases {
		t.Run(string(rule), func(t *testing.T) {
			t.Parallel()
			if broken := runReference(t, injected).Broken(); !slices.Contains(broken, rule) {
				t.Errorf("the defect was not found; broken rules: %v", broken)
			}
		})
	}
}

// TestFaultsReachTheBackEnds injects an engine and a service fault. Both must be
// injected at the listed back ends, cleared again and listed in the summary.
func TestFaultsReachTheBackEnds(t *testing.T) {
	t.Parallel()
	nodes, platformURL := startReference(t, defects{})
	summary, err := Run(t.Context(), Options{
		Nodes: nodes, Operators: nodes, Platform: platformURL, Profile: "fjordkurv", Backends: 3, Ready: time.Minute,
		Rate: 20, Duration: time.Second, Seed: 1, Faults: []inject.Kind{"engine-slow", "service-loses-answers"},
	})
	if err != nil {
		t.Fatal(err)
	}
	var seen []string
	for _, fault := range summary.Faults {
		seen = append(seen, string(fault.Kind)+" "+fault.Detail)
	}
	slices.Sort(seen)
	expected := []string{
		"cleared engine-slow", "cleared service-loses-answers", "injected engine-slow", "injected service-loses-answers",
	}
	if difference := cmp.Diff(expected, seen); difference != "" {
		t.Error(difference)
	}
}
