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

func runReference(t *testing.T, wrong defects) report.Summary {
	t.Helper()
	nodes, platformURL := startReference(t, wrong)
	var seen []Moment
	summary, err := Run(t.Context(), Options{
		Nodes: nodes, Operators: nodes, Platform: platformURL, Profile: "fjordkurv", Backends: 3, Ready: time.Minute,
		Rate: 60, Duration: 2 * time.Second, Seed: 1,
		HistoryFile: filepath.Join(t.TempDir(), "history.jsonl"),
		Announce:    func(moment Moment) { seen = append(seen, moment) },
	})
	if err != nil {
		t.Fatal(err)
	}
	if seen[0] != MomentStart || seen[len(seen)-1] != MomentEnd || !slices.Contains(seen, MomentStopNode) {
		t.Errorf("the moments were %v", seen)
	}
	return summary
}

// TestReferenceFleetKeepsTheRules runs the whole laboratory over real sockets
// against a fleet that does everything right but is never disturbed.
func TestReferenceFleetKeepsTheRules(t *testing.T) {
	t.Parallel()
	summary := runReference(t, defects{})
	if broken := summary.Broken(); len(broken) > 0 {
		t.Errorf("broken: %v", summary.Verdicts)
	}
	// Whether a change grew old enough to be judged hangs on how long the run
	// took, so the rule of configuration may be in either state.
	missing := slices.DeleteFunc(summary.NotExercised(), func(rule check.Rule) bool { return rule == check.RuleConfig })
	if difference := cmp.Diff([]check.Rule{check.RuleLeaving, check.RulePlannedStop}, missing); difference != "" {
		t.Errorf("rules that did not come into play:\n%s", difference)
	}
	if summary.Times[report.TimeColdStart].Count == 0 || summary.Loads.Ordered != 5 {
		t.Errorf("cold starts %s, %d loads", summary.Times[report.TimeColdStart], summary.Loads.Ordered)
	}
	if len(summary.Problems) > 0 {
		t.Errorf("not read: %v", summary.Problems)
	}
}

// TestDefectsOfTheReferenceFleetAreFound plants each defect over real sockets.
func TestDefectsOfTheReferenceFleetAreFound(t *testing.T) {
	cases := map[check.Rule]defects{
		check.RuleAtMostOnce: {forgetKeys: true},
		check.RuleNotRun:     {lie: true},
		check.RuleOwnAnswer:  {crossAnswers: true},
		check.RuleReplicas:   {loadTwice: true},
	}
	for rule, wrong := range cases {
		t.Run(string(rule), func(t *testing.T) {
			t.Parallel()
			if broken := runReference(t, wrong).Broken(); !slices.Contains(broken, rule) {
				t.Errorf("broken: %v", broken)
			}
		})
	}
}

// TestFaultsReachTheBackEnds demands that faults come to the listed back ends
// too, and that the reference fleet's command server is found down by callers.
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
