package machines

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	engine = objectstore.Machine{Role: "engine", Name: "engine-0", Zone: "a", State: objectstore.MachineLive, Address: "127.0.0.1:9"}
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func state(core *Core, now time.Time) objectstore.MachineState {
	for _, machine := range core.List(now).Machines {
		return machine.State
	}
	return ""
}

func TestListLags(t *testing.T) {
	core := New(Options{Lag: time.Second})
	core.Step(at(0), Report{Machines: []objectstore.Machine{engine}})
	leaving := engine
	leaving.State = objectstore.MachineLeaving
	core.Step(at(1.5), Report{Machines: []objectstore.Machine{leaving}})
	shown := []objectstore.MachineState{state(core, at(0.9)), state(core, at(1)), state(core, at(2.4)), state(core, at(2.5))}
	want := []objectstore.MachineState{"", objectstore.MachineLive, objectstore.MachineLive, objectstore.MachineLeaving}
	if diff := cmp.Diff(want, shown); diff != "" {
		t.Error(diff)
	}
}

func TestSilentMachineIsGoneOnlyWhenNothingListensThere(t *testing.T) {
	core := New(Options{Lag: time.Nanosecond, Silence: 2 * time.Second})
	core.Step(at(0), Report{Machines: []objectstore.Machine{engine}})
	if probes := core.Step(at(1.9), Tick{}); len(probes) != 0 {
		t.Fatalf("probed before the silence has passed: %v", probes)
	}
	if wake := core.NextWake(); wake != at(2) {
		t.Fatalf("the next wake is at %v, want 2 s after the start", wake)
	}
	want := []Probe{{Name: "engine-0", Address: engine.Address}}
	if diff := cmp.Diff(want, core.Step(at(2), Tick{})); diff != "" {
		t.Fatal(diff)
	}
	core.Step(at(2.1), ProbeDone{Name: "engine-0", Refused: false})
	if got := state(core, at(60)); got != objectstore.MachineLive {
		t.Errorf("a paused machine is listed %s", got)
	}
	core.Step(at(60), ProbeDone{Name: "engine-0", Refused: true})
	if got := state(core, at(61)); got != objectstore.MachineGone {
		t.Errorf("a dead machine is listed %s", got)
	}
	core.Step(at(62), Report{Machines: []objectstore.Machine{engine}})
	if got := state(core, at(63)); got != objectstore.MachineLive {
		t.Errorf("a machine that came back is listed %s", got)
	}
}

func TestLateProbeOfAMachineThatIsHeardAgainCountsForNothing(t *testing.T) {
	core := New(Options{Lag: time.Nanosecond, Silence: 2 * time.Second})
	core.Step(at(0), Report{Machines: []objectstore.Machine{engine}})
	core.Step(at(2), Tick{})
	core.Step(at(2.1), Report{Machines: []objectstore.Machine{engine}})
	core.Step(at(2.2), ProbeDone{Name: "engine-0", Refused: true})
	if got := state(core, at(3)); got != objectstore.MachineLive {
		t.Errorf("a machine with a later heartbeat is listed %s", got)
	}
}

func TestGoneMachineLeavesTheListInTheEnd(t *testing.T) {
	core := New(Options{Lag: time.Nanosecond, KeepGone: time.Minute})
	core.Step(at(0), Report{Machines: []objectstore.Machine{engine}})
	core.Step(at(5), ProbeDone{Name: "engine-0", Refused: true})
	core.Step(at(61), Tick{})
	if list := core.List(at(61)); len(list.Machines) != 0 {
		t.Errorf("list is %v, want no machines", list)
	}
}
