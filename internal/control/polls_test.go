package control

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

func TestOnlyEnginesAtWhichSomethingIsUnderWayAreReadOften(t *testing.T) {
	start := time.Unix(1000, 0)
	core := New(Options{Self: "a", Zone: "z", Settings: DefaultSettings()})
	core.now = start
	loaded := func(state fleet.LoadState) fleet.EngineState {
		return fleet.EngineState{Models: []fleet.LoadedModel{{State: fleet.LoadReady}, {State: state}}}
	}
	core.tables.zones["z"] = &zoneTable{engines: map[fleet.BackendName]fleet.EngineState{
		"ready": loaded(fleet.LoadReady), "loading": loaded(fleet.LoadLoading), "unloading": loaded(fleet.LoadUnloading),
	}}
	core.polls.noteOrder(start, "ordered", 1)
	core.polls.noteOrder(start.Add(-busyAfterOrder), "ordered long ago", 1)
	for name, want := range map[fleet.BackendName]time.Duration{
		"ready":            core.settings().IdlePollInterval,
		"loading":          core.settings().BusyPollInterval,
		"unloading":        core.settings().BusyPollInterval,
		"ordered":          core.settings().BusyPollInterval,
		"ordered long ago": core.settings().IdlePollInterval,
		"unknown":          core.settings().IdlePollInterval,
	} {
		if got := core.pollInterval(name, core.polls.engine(name), core.tables.zones["z"]); got != want {
			t.Errorf("%s is read every %s, want %s", name, got, want)
		}
	}
}
