package control

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// TestBackEndThatComesBackGetsWorkAgain: a service back end leaves and restarts
// under the same name so soon that the machine list never shows it as gone.
func TestBackEndThatComesBackGetsWorkAgain(t *testing.T) {
	core := New(Options{Self: "n1", Zone: "z", Settings: DefaultSettings()})
	list := func(state objectstore.MachineState) objectstore.MachineList {
		return objectstore.MachineList{Machines: []objectstore.Machine{
			{Role: roleService, Name: "stops", Zone: "z", State: state, Service: "turbines"},
			{Role: roleService, Name: "other", Zone: "z", State: objectstore.MachineLive, Service: "turbines"},
		}}
	}
	leaving := func(messages ...Message) bool {
		for _, message := range messages {
			core.Step(testStart, message)
		}
		for _, service := range core.view()["z"].Services {
			if service.Name == "stops" {
				return service.Leaving
			}
		}
		t.Fatal("the service is missing from the view")
		return false
	}
	notice := LeavingNoticeReceived{From: "n2", Backends: []fleet.BackendName{"stops"}}
	if leaving(MachinesChanged{List: list(objectstore.MachineLive)}) {
		t.Error("a live back end is marked as leaving")
	}
	if !leaving(notice, MachinesChanged{List: list(objectstore.MachineLive)}) {
		t.Error("an outdated machine list cleared the mark set by a peer's notice")
	}
	if !leaving(MachinesChanged{List: list(objectstore.MachineLeaving)}) {
		t.Error("a leaving back end is not marked as leaving")
	}
	if leaving(MachinesChanged{List: list(objectstore.MachineLive)}) {
		t.Error("a back end that came back is still marked as leaving")
	}
}
