package node

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// TestListThatLagsEndsNoNewProcess guards against a machine list that still shows the end of
// a seat's previous process. If the seat counted as ended, keepers of a newer slot version
// would answer while it can still grant in the older one.
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
			func(gone *goneMachines, now time.Time) {
				gone.update(listOf(objectstore.MachineGone, seat.Address), now)
			}, wait}, true},
		"at another address": {[]func(*goneMachines, time.Time){
			func(gone *goneMachines, now time.Time) {
				gone.update(listOf(objectstore.MachineGone, "10.0.0.1:8"), now)
			}, wait}, false},
		"answers meanwhile": {[]func(*goneMachines, time.Time){wait,
			func(gone *goneMachines, now time.Time) { gone.recordAnswer(seat, now) }}, false},
		"live again": {[]func(*goneMachines, time.Time){wait,
			func(gone *goneMachines, now time.Time) {
				gone.update(listOf(objectstore.MachineLive, seat.Address), now)
			}}, false},
		"gone, live, gone": {[]func(*goneMachines, time.Time){wait,
			func(gone *goneMachines, now time.Time) {
				gone.update(listOf(objectstore.MachineLive, seat.Address), now)
			},
			func(gone *goneMachines, now time.Time) {
				gone.update(listOf(objectstore.MachineGone, seat.Address), now)
			}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			gone := &goneMachines{}
			gone.update(listOf(objectstore.MachineGone, seat.Address), start)
			now := start
			for _, event := range test.after {
				event(gone, now)
				now = now.Add(goneConfirmationPeriod)
			}
			if len(test.after) > 0 && !test.gone {
				now = now.Add(-time.Nanosecond)
			}
			if got := gone.isGone(seat, now); got != test.gone {
				t.Errorf("isGone returned %v", got)
			}
		})
	}
}

// wait does nothing: after each step the test lets goneConfirmationPeriod pass.
func wait(*goneMachines, time.Time) {}

// TestMachineListAloneEndsNoSeat checks the same in the shell: a list that shows a live
// keeper as gone must not mark its seat as ended.
func TestMachineListAloneEndsNoSeat(t *testing.T) {
	shell := &Claims{seatTracker: newSeatTracker()}
	seat := claim.Seat{Name: "n1", Boot: 2, Address: "10.0.0.1:7"}
	shell.watchMachines(objectstore.MachineList{Machines: []objectstore.Machine{{
		Role: "node", Name: "n1", State: objectstore.MachineGone, Node: fleet.Addresses{Peer: "10.0.0.1:6"},
	}}})
	if shell.hasEndedFunc()(seat) {
		t.Error("a running process counts as ended because the list shows its predecessor")
	}
}
