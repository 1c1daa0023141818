package sim

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	ruleCounted = RuleName("counted")
	ruleIdle    = RuleName("idle")
	kindPause   = FaultKind("pause")
	kindKill    = FaultKind("kill")
)

// runTwoProcesses simulates process a sending messages to process b. It has a
// planted defect: the rule is violated once b was killed while a was paused.
func runTwoProcesses(seed uint64, plan Plan) Report {
	scheduler := NewScheduler()
	trace := NewTrace(scheduler, nil)
	streams := NewStreams(seed)
	rules := NewRules(scheduler, trace, ruleCounted, ruleIdle)
	network := NewNetwork(scheduler, trace, streams, quickLink, LinkOptions{Most: time.Second, Loss: 0.1, Duplicate: 0.1})
	wrong := false
	var a, b *Process
	a = NewProcess(scheduler, trace, ProcessOptions{Name: "a", Zone: "north", Start: func(uint64) {}})
	b = NewProcess(scheduler, trace, ProcessOptions{Name: "b", Zone: "south", Start: func(uint64) {
		b.OnDeath(func() { wrong = wrong || a.State() == ProcessPaused })
	}})
	a.Start()
	b.Start()
	if plan == nil {
		plan = DrawPlan(streams, testFaults(), time.Second, 50*time.Second)
	}
	counts := make(map[FaultKind]int)
	Inject(scheduler, trace, plan, testInjector{a: a, b: b}, counts)
	scheduler.Every(100*time.Millisecond, func() bool {
		network.Send(Message{From: a, To: b, Kind: "number", Size: 1, Deliver: func() {
			rules.Check(ruleCounted, !wrong, "b was killed while a was paused")
		}})
		return true
	})
	scheduler.Run(time.Minute)
	return Report{Seed: seed, Hash: trace.Hash(), Events: scheduler.Executed(), Faults: counts, Rules: rules.Results(), Plan: plan}
}

func testFaults() []FaultSpec {
	aim := func(target string) func(*rand.Rand, *Fault) {
		return func(_ *rand.Rand, fault *Fault) { fault.Target = target }
	}
	return []FaultSpec{
		{Kind: kindPause, Most: 5, Least: time.Second, Longest: 5 * time.Second, Aim: aim("a")},
		{Kind: kindKill, Most: 5, Least: time.Second, Longest: 5 * time.Second, Aim: aim("b")},
	}
}

type testInjector struct{ a, b *Process }

func (i testInjector) Begin(fault Fault) func() {
	if fault.Kind == kindPause {
		i.a.Pause()
		return i.a.Resume
	}
	i.b.Die()
	return i.b.Start
}

func runSeed(seed uint64) Report { return runTwoProcesses(seed, nil) }

func TestSameSeedSameHashWithAnyNumberOfWorkers(t *testing.T) {
	one := Summarize(RunBatch(1, 100, 1, runSeed, nil))
	four := Summarize(RunBatch(1, 100, 4, runSeed, nil))
	if one.Hash != four.Hash || one.Events != four.Events {
		t.Errorf("1 worker %016x (%d events), 4 workers %016x (%d events)", one.Hash, one.Events, four.Hash, four.Events)
	}
	if other := Summarize(RunBatch(2, 100, 4, runSeed, nil)); other.Hash == one.Hash {
		t.Error("other seeds gave the same hash")
	}
}

// TestHashIsStable pins the hash of a seed, to detect a dependence on the
// machine, the Go version or map iteration order.
func TestHashIsStable(t *testing.T) {
	const want = 0x00fb4aff9074e46b
	if got := runSeed(42).Hash; got != want {
		t.Errorf("hash = %#016x; want %#016x", got, uint64(want))
	}
}

func TestPrintingDoesNotChangeTheHash(t *testing.T) {
	scheduler := NewScheduler()
	var out bytes.Buffer
	quiet, printing := NewTrace(scheduler, nil), NewTrace(scheduler, &out)
	for _, trace := range []*Trace{quiet, printing} {
		trace.Record("kind", "a", "b", 1)
		trace.Note("only printed %d", 1)
		trace.Record("kind", "a", "b", 2)
	}
	if quiet.Hash() != printing.Hash() || !strings.Contains(out.String(), "only printed 1") {
		t.Errorf("quiet %x, printing %x, printed:\n%s", quiet.Hash(), printing.Hash(), out.String())
	}
	swapped := NewTrace(scheduler, nil)
	swapped.Record("kind", "a", "b", 2)
	swapped.Record("kind", "a", "b", 1)
	if swapped.Hash() == quiet.Hash() {
		t.Error("the hash does not depend on the order of events")
	}
}

func TestBatchFindsAndShrinksThePlantedDefect(t *testing.T) {
	summary := Summarize(RunBatch(1, 50, 4, runSeed, nil))
	if len(summary.Failed) == 0 || summary.Passed() {
		t.Fatal("none of 50 seeds triggered the planted defect")
	}
	failed := summary.Failed[0]
	fails := func(plan Plan) bool { return len(runTwoProcesses(failed.Seed, plan).Violated()) > 0 }
	smallest := Shrink(failed.Plan, 200, fails)
	if !fails(smallest) {
		t.Errorf("the shrunk plan passes: %v", smallest)
	}
	if difference := cmp.Diff(map[FaultKind]int{kindPause: 1, kindKill: 1}, smallest.Counts()); difference != "" {
		t.Errorf("shrunk plan (-want +got):\n%s", difference)
	}
}

func TestRuleThatIsNeverExercisedFailsTheBatch(t *testing.T) {
	summary := Summarize([]Report{runTwoProcesses(1, Plan{})})
	if len(summary.Failed) != 0 {
		t.Fatalf("without faults: %v", summary.Failed)
	}
	if summary.Passed() || !slices.Equal(summary.NeverExercised(), []RuleName{ruleIdle}) {
		t.Errorf("passed=%t never exercised=%v", summary.Passed(), summary.NeverExercised())
	}
}

func TestShrinkKeepsItsLimit(t *testing.T) {
	plan := make(Plan, 64)
	calls := 0
	Shrink(plan, 10, func(Plan) bool { calls++; return false })
	if calls != 10 {
		t.Errorf("%d calls; want 10", calls)
	}
}
