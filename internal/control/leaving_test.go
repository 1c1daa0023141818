package control

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// TestBackEndThatComesBackGetsWorkAgain: a service back end leaves and is
// started anew under its name, so soon that the machine list never shows it
// gone.
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
		t.Fatal("the service is not shown")
		return false
	}
	heard := LeavingNoticeReceived{From: "n2", Backends: []fleet.BackendName{"stops"}}
	if leaving(MachinesChanged{List: list(objectstore.MachineLive)}) {
		t.Error("a live back end counts as leaving")
	}
	if !leaving(heard, MachinesChanged{List: list(objectstore.MachineLive)}) {
		t.Error("a list that lags took back what a peer said")
	}
	if !leaving(MachinesChanged{List: list(objectstore.MachineLeaving)}) {
		t.Error("a leaving back end gets work")
	}
	if leaving(MachinesChanged{List: list(objectstore.MachineLive)}) {
		t.Error("a back end that came back gets no work")
	}
}
