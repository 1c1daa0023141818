package faults

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/spanlanding/spanlanding/internal/lab/check"
	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/standin/books"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// raceResult is the result that one operator got for one change.
type raceResult struct {
	by       string
	code     operator.ExitCode
	result   operator.ApplyResult
	problems string
}

// requiredConflicts is the number of lost races required for each state of the store,
// maxRaces the total number of races that a run may take.
const (
	requiredConflicts = 2
	maxRaces          = 30
)

// TestOperatorsRace has two operators change the same object concurrently under load.
// The store is slow, so that both read the object before either writes, and later loses
// answers too. The loser must be told who won, no accepted change may be lost, and the
// last accepted change must be in force at all nodes at the end.
func TestOperatorsRace(t *testing.T) {
	f := startFleet(t)
	folders := []string{f.copyExamples("first"), f.copyExamples("second")}
	var last uint64
	f.loadAndCheck(loadRun{duration: changeDuration, script: func(momentSignals) {
		f.setStoreFaults(faults.Set{Delay: slowStoreDelay / 4}, "slow store")
		f.raceUntilConflicts(folders)
		f.setStoreFaults(faults.Set{Delay: slowStoreDelay / 4, LoseAnswers: -1}, "slow store that loses its answers")
		last = f.raceUntilConflicts(folders)
		f.setStoreFaults(faults.Set{}, "")
	}, requiredRules: []check.Rule{check.RuleConfig}})
	f.awaitVersion(f.nodes[0], last)
}

// raceUntilConflicts runs races until enough changes were rejected with a conflict, and
// returns the version of the last accepted change.
func (f *testFleet) raceUntilConflicts(folders []string) uint64 {
	f.Helper()
	var last uint64
	lost, accepted := 0, 0
	for lost < requiredConflicts {
		race := f.raceCount
		f.raceCount++
		if race == maxRaces {
			f.Fatalf("%d races did not cause enough conflicts", race)
		}
		before := f.preferenceChanges(0)
		outcomes := f.runRace(folders, race)
		stored := f.preferenceChanges(before[len(before)-1].Object.Version)
		for _, outcome := range outcomes {
			if outcome.code == operator.ExitDone {
				accepted++
				f.checkWinner(outcome, stored)
				last = max(last, outcome.result.Version)
				continue
			}
			lost++
			f.checkLoser(outcome, outcomes)
		}
		if kept := len(stored); kept != countAccepted(outcomes) {
			f.Errorf("race %d: the store applied %d changes, %d were accepted", race, kept, countAccepted(outcomes))
		}
	}
	f.Logf("operators: %d changes accepted, %d rejected with a conflict", accepted, lost)
	return last
}

// runRace has one operator per folder change the same number concurrently.
func (f *testFleet) runRace(folders []string, race int) []raceResult {
	f.Helper()
	outcomes := make([]raceResult, len(folders))
	for index, folder := range folders {
		f.setWeight(folder, float64(index+1)/10+float64(race+1)/1000)
	}
	var operators sync.WaitGroup
	for index, folder := range folders {
		operators.Go(func() {
			by := fmt.Sprintf("operator-%d-%d", race, index)
			code, result, problems := f.tryApply(folder, by)
			outcomes[index] = raceResult{by: by, code: code, result: result, problems: problems}
		})
	}
	operators.Wait()
	return outcomes
}

func countAccepted(outcomes []raceResult) int {
	count := 0
	for _, outcome := range outcomes {
		if outcome.code == operator.ExitDone {
			count++
		}
	}
	return count
}

// checkWinner requires that the store applied the accepted change.
func (f *testFleet) checkWinner(outcome raceResult, stored []books.StoreChange) {
	f.Helper()
	for _, change := range stored {
		if change.Object.ChangedBy == outcome.by && change.Object.Version == outcome.result.Version {
			return
		}
	}
	f.Errorf("%s was told that it wrote version %d; the store applied %v", outcome.by, outcome.result.Version, stored)
}

// checkLoser requires that the losing operator was told of the conflict and who won.
func (f *testFleet) checkLoser(outcome raceResult, all []raceResult) {
	f.Helper()
	if outcome.code != operator.ExitConflict {
		f.Errorf("%s ended with %d: %s", outcome.by, outcome.code, outcome.problems)
		return
	}
	for _, other := range all {
		if other.code == operator.ExitDone && strings.Contains(outcome.problems, other.by) {
			return
		}
	}
	f.Errorf("%s lost and was told %q", outcome.by, outcome.problems)
}

// preferenceChanges lists the changes to preferences that the store applied after a version.
func (f *testFleet) preferenceChanges(since uint64) []books.StoreChange {
	f.Helper()
	var all, changes []books.StoreChange
	if !get(fmt.Sprintf("%s/lab/journal?since=%d", f.platform, since), &all) {
		f.Fatal("cannot read the journal")
	}
	for _, change := range all {
		if change.Object.Kind == string(spec.KindPreferences) {
			changes = append(changes, change)
		}
	}
	return changes
}
