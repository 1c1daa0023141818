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

// raced is what one operator was told of one change.
type raced struct {
	by       string
	code     operator.ExitCode
	result   operator.ApplyResult
	problems string
}

// conflictsWanted is how many lost races each state of the store has to see,
// racesAtMost how many races a run may take to see them.
const (
	conflictsWanted = 2
	racesAtMost     = 30
)

// TestOperatorsRace lets two operators change the same object at the same
// time under load, through a store that is slow, so that both have read the
// object before either writes, and then loses answers too. The loser must be
// told who won, no accepted change may be lost, and all nodes end with the
// last one in force.
func TestOperatorsRace(t *testing.T) {
	f := startFleet(t)
	folders := []string{f.declared("first"), f.declared("second")}
	var last uint64
	f.underLoad(run{duration: changeTime, script: func(reached) {
		f.store(faults.Set{Delay: slowStore / 4}, "slow store")
		f.raceUntilLost(folders)
		f.store(faults.Set{Delay: slowStore / 4, LoseAnswers: -1}, "slow store that loses its answers")
		last = f.raceUntilLost(folders)
		f.store(faults.Set{}, "")
	}, rules: []check.Rule{check.RuleConfig}})
	f.awaitVersion(f.nodes[0], last)
}

// raceUntilLost races until enough changes lost, and returns the version of
// the last accepted one.
func (f *testFleet) raceUntilLost(folders []string) uint64 {
	f.Helper()
	var last uint64
	lost, accepted := 0, 0
	for lost < conflictsWanted {
		race := f.races
		f.races++
		if race == racesAtMost {
			f.Fatalf("%d races were not enough", race)
		}
		before := f.changes(0)
		outcomes := f.race(folders, race)
		made := f.changes(before[len(before)-1].Object.Version)
		for _, outcome := range outcomes {
			if outcome.code == operator.ExitDone {
				accepted++
				f.checkWinner(outcome, made)
				last = max(last, outcome.result.Version)
				continue
			}
			lost++
			f.checkLoser(outcome, outcomes)
		}
		if kept := len(made); kept != wins(outcomes) {
			f.Errorf("race %d: the store took %d changes, %d were accepted", race, kept, wins(outcomes))
		}
	}
	f.Logf("operators: %d changes accepted, %d lost to another's", accepted, lost)
	return last
}

// race lets one operator for each folder change the same number.
func (f *testFleet) race(folders []string, race int) []raced {
	f.Helper()
	outcomes := make([]raced, len(folders))
	for index, folder := range folders {
		f.setWeight(folder, float64(index+1)/10+float64(race+1)/1000)
	}
	var operators sync.WaitGroup
	for index, folder := range folders {
		operators.Go(func() {
			by := fmt.Sprintf("operator-%d-%d", race, index)
			code, result, problems := f.tryApply(folder, by)
			outcomes[index] = raced{by: by, code: code, result: result, problems: problems}
		})
	}
	operators.Wait()
	return outcomes
}

func wins(outcomes []raced) int {
	count := 0
	for _, outcome := range outcomes {
		if outcome.code == operator.ExitDone {
			count++
		}
	}
	return count
}

// checkWinner demands that the store took the accepted change.
func (f *testFleet) checkWinner(outcome raced, made []books.StoreChange) {
	f.Helper()
	for _, change := range made {
		if change.Object.ChangedBy == outcome.by && change.Object.Version == outcome.result.Version {
			return
		}
	}
	f.Errorf("%s was told that version %d is its own; the store took %v", outcome.by, outcome.result.Version, made)
}

// checkLoser demands that a loser was told of a conflict and who won.
func (f *testFleet) checkLoser(outcome raced, all []raced) {
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

// changes lists the changes of the preferences after a version, as the store
// took them.
func (f *testFleet) changes(since uint64) []books.StoreChange {
	f.Helper()
	var all, changes []books.StoreChange
	if !get(fmt.Sprintf("%s/lab/journal?since=%d", f.platform, since), &all) {
		f.Fatal("the journal cannot be read")
	}
	for _, change := range all {
		if change.Object.Kind == string(spec.KindPreferences) {
			changes = append(changes, change)
		}
	}
	return changes
}
