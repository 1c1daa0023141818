package faults

import (
	"syscall"
	"testing"

	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/lab/report"
	"github.com/spanlanding/spanlanding/internal/lab/scenario"
)

// TestJudgeFindsWhatIsBroken proves that a run over processes can fail. A node
// is killed and nobody notes it, so that nothing explains the answers that
// break; a planned stop is cut short by a second signal while streams run.
func TestJudgeFindsWhatIsBroken(t *testing.T) {
	f := startFleet(t)
	killed, cut := f.nodes[1], f.nodes[3]
	summary := f.load(run{script: func(moment reached) {
		<-moment[scenario.MomentStopNode]
		killed.kill()
		f.note(history.NodeStopped, cut.caller(), string(cut.settings.Name))
		cut.signal(t, syscall.SIGTERM)
		eventually(t, "the node drains", func() bool {
			status, _ := f.status(cut)
			return status.Draining
		})
		cut.signal(t, syscall.SIGTERM)
		f.noteExit(cut)
	}})
	f.mustBreak(summary, check.RuleEnded)
	f.mustBreak(summary, check.RulePlannedStop)
}

// mustBreak demands that a rule was found broken.
func (f *testFleet) mustBreak(summary report.Summary, rule check.Rule) {
	f.Helper()
	found := 0
	for _, verdict := range summary.Verdicts {
		if verdict.Rule != rule {
			continue
		}
		for _, finding := range verdict.Findings {
			found++
			f.Logf("found: %s: %s", rule, finding.Detail)
		}
	}
	if found == 0 {
		f.Errorf("%s was not found broken", rule)
	}
}
