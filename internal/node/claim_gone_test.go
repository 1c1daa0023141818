package node

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// TestListThatLagsEndsNoNewProcess: the machine list still shows the end of the
// process before. A seat taken for ended lets the keepers of a newer version
// vouch while it may still grant in the older one.
func TestListThatLagsEndsNoNewProcess(t *testing.T) {
	start := time.Unix(1000, 0)
	seat := claim.Seat{Name: "n1", Boot: 2, Address: "10.0.0.1:7"}
	listOf := func(state objectstore.MachineState, address string) objectstore.MachineList {
		return objectstore.MachineList{Machines: []objectstore.Machine{{
			Role: "node", Name: "n1", State: state, Node: fleet.Addresses{Peer: address},
		}}}
	}
	tests := map[string]struct {
		after []func(*goneMachines, time.Time)
		gone  bool
	}{
		"just listed":     {nil, false},
		"listed for long": {[]func(*goneMachines, time.Time){wait}, true},
		"listed again": {[]func(*goneMachines, time.Time){
			func(gone *goneMachines, now time.Time) { gone.note(listOf(objectstore.MachineGone, seat.Address), now) }, wait}, true},
		"of another address": {[]func(*goneMachines, time.Time){
			func(gone *goneMachines, now time.Time) { gone.note(listOf(objectstore.MachineGone, "10.0.0.1:8"), now) }, wait}, false},
		"answers meanwhile": {[]func(*goneMachines, time.Time){wait,
			func(gone *goneMachines, now time.Time) { gone.answered(seat, now) }}, false},
		"live again": {[]func(*goneMachines, time.Time){wait,
			func(gone *goneMachines, now time.Time) { gone.note(listOf(objectstore.MachineLive, seat.Address), now) }}, false},
		"gone, live, gone": {[]func(*goneMachines, time.Time){wait,
			func(gone *goneMachines, now time.Time) { gone.note(listOf(objectstore.MachineLive, seat.Address), now) },
			func(gone *goneMachines, now time.Time) { gone.note(listOf(objectstore.MachineGone, seat.Address), now) }}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			gone := &goneMachines{}
			gone.note(listOf(objectstore.MachineGone, seat.Address), start)
			now := start
			for _, event := range test.after {
				event(gone, now)
				now = now.Add(listedGoneAge)
			}
			if len(test.after) > 0 && !test.gone {
				now = now.Add(-time.Nanosecond)
			}
			if got := gone.has(seat, now); got != test.gone {
				t.Errorf("gone: %v", got)
			}
		})
	}
}

// wait lets listedGoneAge pass.
func wait(*goneMachines, time.Time) {}

// TestMachineListAloneEndsNoSeat runs the shell: a list that calls a living
// keeper gone must not make the others take it for ended.
func TestMachineListAloneEndsNoSeat(t *testing.T) {
	shell := &Claims{coordinator: newCoordinator()}
	seat := claim.Seat{Name: "n1", Boot: 2, Address: "10.0.0.1:7"}
	shell.watchMachines(objectstore.MachineList{Machines: []objectstore.Machine{{
		Role: "node", Name: "n1", State: objectstore.MachineGone, Node: fleet.Addresses{Peer: "10.0.0.1:6"},
	}}})
	if shell.knownGone()(seat) {
		t.Error("a process was taken for ended since the list shows the one before it")
	}
}
