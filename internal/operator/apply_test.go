package operator

import (
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

func outcomes(result ApplyResult) []Outcome {
	var all []Outcome
	for _, object := range result.Objects {
		all = append(all, object.Outcome)
	}
	return all
}

func apply(t *testing.T, store testStore, plan Plan, by string) (ApplyResult, error) {
	t.Helper()
	return Apply(t.Context(), store, plan, Writer{By: by, RunID: by + "-run"})
}

func mustApply(t *testing.T, store testStore, plan Plan, by string) ApplyResult {
	t.Helper()
	result, err := apply(t, store, plan, by)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func TestApplyAgainWritesNothing(t *testing.T) {
	store := newTestStore(t)
	set, findings := spec.Load([]string{"../../examples/fjordkurv"})
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	options := PlanOptions{Owner: "fjordkurv", Prune: true}
	first := mustApply(t, store, store.plan(set.Objects(), options), "anna")
	if first.Changed() != len(set.Objects()) || first.Version != store.list().Version {
		t.Fatalf("first apply: %d of %d objects written, result version %d, store version %d", first.Changed(), len(set.Objects()), first.Version, store.list().Version)
	}
	again := mustApply(t, store, store.plan(set.Objects(), options), "bo")
	if again.Changed() != 0 || again.Version != first.Version || store.list().Version != first.Version {
		t.Errorf("second apply: %d objects written, version %d, version of the first %d", again.Changed(), again.Version, first.Version)
	}
}

func TestPruneLeavesOtherSetsAlone(t *testing.T) {
	store := newTestStore(t)
	mustApply(t, store, store.plan(declare(t, modelA+separator+adapterOfA), PlanOptions{Owner: "first"}), "anna")
	mustApply(t, store, store.plan(declare(t, modelB), PlanOptions{Owner: "second"}), "bo")
	result := mustApply(t, store, store.plan(declare(t, modelA), PlanOptions{Owner: "first", Prune: true}), "anna")
	if difference := cmp.Diff([]Outcome{OutcomeUnchanged, OutcomeDeleted}, outcomes(result)); difference != "" {
		t.Errorf("outcomes (-want +got):\n%s", difference)
	}
	var left []string
	for _, object := range store.list().Objects {
		left = append(left, object.Kind+"/"+object.Name)
	}
	if difference := cmp.Diff([]string{"Model/a", "Model/b"}, left); difference != "" {
		t.Errorf("objects left (-want +got):\n%s", difference)
	}
}

func TestObjectsOfAnotherSetAreNotTaken(t *testing.T) {
	store := newTestStore(t)
	mustApply(t, store, store.plan(declare(t, modelA), PlanOptions{Owner: "first"}), "anna")
	stored := store.list().Objects
	if _, err := NewPlan(declare(t, modelA), stored, PlanOptions{Owner: "second"}); CodeOf(err) != ExitConflict {
		t.Errorf("plan for an object of another set: error %v, want a conflict", err)
	}
	plan, err := NewPlan(declare(t, modelA), stored, PlanOptions{Owner: "second", TakeOver: true})
	if err != nil || len(plan.Pending()) != 1 {
		t.Errorf("plan with TakeOver: pending %v, error %v, want one change", plan.Pending(), err)
	}
}

func TestConflictNamesTheWinner(t *testing.T) {
	store := newTestStore(t)
	options := PlanOptions{Owner: "set"}
	mustApply(t, store, store.plan(declare(t, modelA+separator+modelB), options), "anna")
	larger := strings.Replace(modelA, "memory: 1GiB", "memory: 3GiB", 1)
	smaller := strings.Replace(modelA, "memory: 1GiB", "memory: 512MiB", 1)
	stalePlan := store.plan(declare(t, smaller+separator+modelB+separator+adapterOfA), options)
	won := mustApply(t, store, store.plan(declare(t, larger), options), "bo")
	result, err := apply(t, store, stalePlan, "carl")
	if CodeOf(err) != ExitConflict || !strings.Contains(Message(err), "version 3 by bo won") {
		t.Errorf("error %v, want a conflict with version 3 by bo", err)
	}
	want := []Applied{
		{Kind: "Model", Name: "a", Outcome: OutcomeConflict, Version: won.Version, ChangedBy: "bo", ChangeID: "bo-run/Model/a"},
		{Kind: "Model", Name: "b", Outcome: OutcomeNotTried},
		{Kind: "Adapter", Name: "x", Outcome: OutcomeNotTried},
	}
	if difference := cmp.Diff(want, result.Objects); difference != "" {
		t.Errorf("result (-want +got):\n%s", difference)
	}
}

func TestSameChangeByTwoOperatorsIsNoConflict(t *testing.T) {
	store := newTestStore(t)
	options := PlanOptions{Owner: "set"}
	first, second := store.plan(declare(t, modelA), options), store.plan(declare(t, modelA), options)
	won := mustApply(t, store, first, "anna")
	result := mustApply(t, store, second, "bo")
	if result.Objects[0].Outcome != OutcomeUnchanged || result.Version != won.Version {
		t.Errorf("result of the second operator: %+v, want unchanged", result)
	}
}

func TestLostAnswersAreResolvedWithoutASecondWrite(t *testing.T) {
	store := newTestStore(t)
	set, _ := spec.Load([]string{"../../examples/holmgaard"})
	plan := store.plan(set.Objects(), PlanOptions{Owner: "holmgaard"})
	store.injectFaults(faults.Set{LoseAnswers: -1})
	result := mustApply(t, store, plan, "anna")
	store.injectFaults(faults.Set{})
	// Each write increments the store's version by one.
	if written := store.list().Version; int(written) != len(set.Objects()) || result.Version != written {
		t.Errorf("%d objects: store version %d, result version %d, want all equal", len(set.Objects()), written, result.Version)
	}
}

// failingStore fails write number failAt without passing it on.
type failingStore struct {
	Store
	writes int
	failAt int
	err    error
}

func (f *failingStore) Put(ctx context.Context, object objectstore.Object, expected uint64) (objectstore.Object, error) {
	f.writes++
	if f.writes == f.failAt {
		return objectstore.Object{}, f.err
	}
	return f.Store.Put(ctx, object, expected)
}

func TestApplyGoesOnWhereItWasBroken(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want Outcome
	}{
		{"no answer", objectstore.Unavailable.New("no answer"), OutcomeUnknown},
		{"not sent", objectstore.NotSent.New("refused"), OutcomeNotTried},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			store := newTestStore(t)
			options := PlanOptions{Owner: "set"}
			declared := declare(t, modelA+separator+modelB+separator+adapterOfA)
			interrupted := &failingStore{Store: store, failAt: 2, err: test.err}
			result, err := Apply(t.Context(), interrupted, store.plan(declared, options), Writer{By: "anna", RunID: "1"})
			if CodeOf(err) != ExitUnreachable {
				t.Errorf("error %v, want one with ExitUnreachable", err)
			}
			if difference := cmp.Diff([]Outcome{OutcomeCreated, test.want, OutcomeNotTried}, outcomes(result)); difference != "" {
				t.Errorf("interrupted run (-want +got):\n%s", difference)
			}
			resumed := mustApply(t, store, store.plan(declared, options), "anna")
			if difference := cmp.Diff([]Outcome{OutcomeUnchanged, OutcomeCreated, OutcomeCreated}, outcomes(resumed)); difference != "" {
				t.Errorf("resumed run (-want +got):\n%s", difference)
			}
		})
	}
}
