package control

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

func TestAChangedReportIsSentAloneAndTaken(t *testing.T) {
	now := time.Unix(1000, 0)
	engine := func(name fleet.BackendName, running int, models ...fleet.LoadedModel) fleet.EngineState {
		return fleet.EngineState{
			Backend: fleet.Backend{Name: name}, Models: models, Report: fleet.LoadReport{Running: running},
		}
	}
	ready := fleet.LoadedModel{Model: fleet.ModelVersion{Model: "m", Version: "1"}, State: fleet.LoadReady}
	table := &zoneTable{fence: 9, leader: "a", sequence: 1, engines: map[fleet.BackendName]fleet.EngineState{
		"e1": engine("e1", 0), "e2": engine("e2", 0), "e3": engine("e3", 0),
	}}
	leader := New(Options{Self: "a", Zone: "z", Settings: DefaultSettings()})
	sent := newPendingUpdate()
	sent.sendWhole = true
	whole := leader.tableUpdate(table, &sent)
	for _, state := range []fleet.EngineState{engine("e1", 7), engine("e2", 8, ready)} {
		sent.noteChange(table.engines[state.Name], state)
		table.engines[state.Name] = state
	}
	table.sequence++
	change := leader.tableUpdate(table, &sent)
	want := []EngineReport{{Engine: "e1", Report: fleet.LoadReport{Running: 7}}}
	if !cmp.Equal(want, change.Reports) || len(change.Table.Engines) != 1 || change.Table.Engines[0].Name != "e2" {
		t.Errorf("reports %v, complete engines %v; want the report of e1 and all of e2", change.Reports, change.Table.Engines)
	}
	other := New(Options{Self: "b", Zone: "z", Settings: DefaultSettings()})
	other.Step(now, TableReceived{From: "a", Update: whole})
	other.Step(now, TableReceived{From: "a", Update: change})
	taken := other.Tables()["z"].Engines
	if exported := table.routeTable("z").Engines; !cmp.Equal(exported, taken) {
		t.Errorf("the other node holds a different table: %s", cmp.Diff(exported, taken))
	}
}
