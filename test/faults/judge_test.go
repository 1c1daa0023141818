package faults

import (
	"syscall"
	"testing"

	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/lab/report"
	"github.com/spanlanding/spanlanding/internal/lab/scenario"
)

// TestJudgeFindsWhatIsBroken proves that the checks can fail. A node is killed without a
// record in the fault log, so that nothing explains the interrupted answers, and a
// planned stop is cut short by a second signal while streams run.
func TestJudgeFindsWhatIsBroken(t *testing.T) {
	f := startFleet(t)
	killed, cut := f.nodes[1], f.nodes[3]
	summary := f.runLoad(loadRun{script: func(moment momentSignals) {
		<-moment[scenario.MomentStopNode]
		killed.kill()
		f.recordFault(history.NodeStopped, cut.caller(), string(cut.settings.Name))
		cut.signal(t, syscall.SIGTERM)
		eventually(t, "the node drains", func() bool {
			status, _ := f.status(cut)
			return status.Draining
		})
		cut.signal(t, syscall.SIGTERM)
		f.recordExit(cut)
	}})
	f.requireBroken(summary, check.RuleEnded)
	f.requireBroken(summary, check.RulePlannedStop)
}

// requireBroken requires that the checks found a violation of the rule.
func (f *testFleet) requireBroken(summary report.Summary, rule check.Rule) {
	f.Helper()
	found := 0
	for _, verdict := range summary.Verdicts {
		if verdict.Rule != rule {
			continue
		}
		for _, finding := range verdict.Findings {
			found++
			f.Logf("violation found: %s: %s", rule, finding.Detail)
		}
	}
	if found == 0 {
		f.Errorf("no violation of %s was found", rule)
	}
}
