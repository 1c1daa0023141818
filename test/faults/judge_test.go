package faults

import (
	"slices"
	"syscall"
	"testing"

	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/lab/report"
	"github.com/spanlanding/spanlanding/internal/lab/scenario"
)

// TestJudgeFindsAKillThatNobodyNoted proves that a run over processes can
// fail: answers that break without a fault that explains it break the rule.
func TestJudgeFindsAKillThatNobodyNoted(t *testing.T) {
	f := startFleet(t)
	summary := f.load(run{script: func(moment reached) {
		<-moment[scenario.MomentStopNode]
		f.nodes[1].kill()
	}})
	f.mustBreak(summary, check.RuleEnded)
}

// TestJudgeFindsAStopThatCuts ends a planned stop by a second signal while
// streams run, which is not to pass for a stop that cut nothing.
func TestJudgeFindsAStopThatCuts(t *testing.T) {
	f := startFleet(t)
	node := f.nodes[3]
	summary := f.load(run{script: func(moment reached) {
		<-moment[scenario.MomentStopNode]
		f.note(history.NodeStopped, node.caller(), string(node.settings.Name))
		node.signal(t, syscall.SIGTERM)
		eventually(t, "the node drains", func() bool {
			status, _ := f.status(node)
			return status.Draining
		})
		node.signal(t, syscall.SIGTERM)
		f.noteExit(node)
	}})
	f.mustBreak(summary, check.RulePlannedStop)
}

// mustBreak demands that a rule was found broken.
func (f *testFleet) mustBreak(summary report.Summary, rule check.Rule) {
	f.Helper()
	for _, verdict := range summary.Verdicts {
		for _, finding := range verdict.Findings {
			f.Logf("found: %s: %s", verdict.Rule, finding.Detail)
		}
	}
	if broken := summary.Broken(); !slices.Contains(broken, rule) {
		f.Errorf("%s is not among the broken rules %v", rule, broken)
	}
}
