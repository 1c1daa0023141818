package operator

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// raceOutcome is what Apply returned to one operator in one round.
type raceOutcome struct {
	result ApplyResult
	err    error
}

// applyConcurrently applies the plans concurrently, each as a different
// operator. All plans were made before any of them was applied.
func applyConcurrently(t *testing.T, store testStore, plans []Plan, round int) []raceOutcome {
	t.Helper()
	outcomes := make([]raceOutcome, len(plans))
	var group sync.WaitGroup
	for index, plan := range plans {
		group.Go(func() {
			writer := Writer{By: fmt.Sprintf("operator-%d", index), RunID: fmt.Sprintf("%d-%d", round, index)}
			outcomes[index].result, outcomes[index].err = Apply(t.Context(), store, plan, writer)
		})
	}
	group.Wait()
	return outcomes
}

// TestRacingOperators has three operators change the same objects concurrently
// for ten rounds, with and without lost responses. Each accepted write must
// increment the store version exactly once, exactly one operator may win the
// first object of a round, and every other operator must get a conflict error
// that names another operator.
func TestRacingOperators(t *testing.T) {
	for _, lost := range []int{0, -1} {
		t.Run(fmt.Sprintf("lost answers %d", lost), func(t *testing.T) {
			store := newTestStore(t)
			store.injectFaults(faults.Set{LoseAnswers: lost})
			for round := range 10 {
				before := store.list().Version
				outcomes := applyConcurrently(t, store, concurrentPlans(t, store, round), round)
				accepted, winners := 0, 0
				for index, outcome := range outcomes {
					accepted += outcome.result.Changed()
					if outcome.result.Objects[0].Outcome != OutcomeConflict {
						winners++
					}
					checkConflictReport(t, index, outcome)
				}
				if after := store.list().Version; int(after-before) != accepted {
					t.Errorf("round %d: %d writes reported as accepted, store version rose by %d", round, accepted, after-before)
				}
				if winners != 1 {
					t.Errorf("round %d: %d operators won the first object, want 1", round, winners)
				}
			}
		})
	}
}

func concurrentPlans(t *testing.T, store testStore, round int) []Plan {
	t.Helper()
	stored := store.list().Objects
	var plans []Plan
	for index := range 3 {
		memory := fmt.Sprintf("memory: %dMiB", 1+round*10+index)
		declared := declare(t, strings.Replace(modelA+separator+modelB, "memory: 1GiB", memory, 1))
		plans = append(plans, mustPlan(t, declared, stored))
	}
	return plans
}

func mustPlan(t *testing.T, declared []spec.Declared, stored []objectstore.Object) Plan {
	t.Helper()
	plan, err := NewPlan(declared, stored, PlanOptions{Owner: "set"})
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

func checkConflictReport(t *testing.T, index int, outcome raceOutcome) {
	t.Helper()
	first := outcome.result.Objects[0]
	if first.Outcome != OutcomeConflict {
		if outcome.err != nil {
			t.Errorf("error of the winner: %v", outcome.err)
		}
		return
	}
	own := fmt.Sprintf("operator-%d", index)
	if CodeOf(outcome.err) != ExitConflict || first.ChangedBy == own || !strings.Contains(Message(outcome.err), first.ChangedBy) {
		t.Errorf("%s lost to %q: error %v", own, first.ChangedBy, outcome.err)
	}
}
