package control

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// pullsDuring steps the core by ticks for the given time and returns its pulls.
// If heartbeat is not nil, the core receives one from the zone's leader every
// second.
func pullsDuring(core *Core, from time.Time, length time.Duration, heartbeat func() Message) []PullTables {
	var pulls []PullTables
	for at := from; at.Before(from.Add(length)); at = at.Add(tickInterval) {
		var message Message = Tick{}
		if heartbeat != nil && at.Sub(from)%time.Second == 0 {
			message = heartbeat()
		}
		for _, effect := range core.Step(at, message) {
			if pull, found := effect.(PullTables); found {
				pulls = append(pulls, pull)
			}
		}
	}
	return pulls
}

func TestTablesArePulledOnlyWhileSilentAndNewerThanHeld(t *testing.T) {
	start := time.Unix(1000, 0)
	member := func(name fleet.NodeName) fleet.Member {
		return fleet.Member{Name: name, Zone: "z", State: fleet.MemberAlive}
	}
	core := New(Options{Self: "b", Zone: "z", Settings: DefaultSettings()})
	core.Step(start, MembersChanged{Members: []fleet.Member{member("a"), member("b")}})
	table := fleet.RouteTable{Zone: "z", Leader: "a", Fence: 9}
	heartbeat := func() Message {
		update := TableUpdate{BaseSequence: table.Sequence}
		table.Sequence++
		update.Table = table
		return TableReceived{From: "a", Update: update}
	}
	if pulls := pullsDuring(core, start, 10*time.Second, heartbeat); len(pulls) != 0 {
		t.Errorf("pulled %d times although no update was lost", len(pulls))
	}
	table.Sequence++
	lost := pullsDuring(core, start.Add(10*time.Second), 100*time.Millisecond, heartbeat)
	held := []TableStamp{{Zone: "z", Fence: 9, Sequence: 10}}
	if want := []PullTables{{From: member("a"), Held: held}}; !cmp.Equal(want, lost) {
		t.Errorf("after a lost update: %s", cmp.Diff(want, lost))
	}
	if pulls := pullsDuring(core, start.Add(20*time.Second), 4*time.Second, nil); len(pulls) < 2 {
		t.Errorf("pulled %d times in four seconds without updates", len(pulls))
	}
	for stamp, want := range map[TableStamp]int{
		{Zone: "z", Fence: 9, Sequence: 10}: 0,
		{Zone: "z", Fence: 9, Sequence: 9}:  1,
		{Zone: "y", Fence: 9, Sequence: 10}: 1,
	} {
		if got := len(core.TablesNewerThan([]TableStamp{stamp})); got != want {
			t.Errorf("%v is answered with %d tables, want %d", stamp, got, want)
		}
	}
}
