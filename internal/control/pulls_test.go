package control

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// pullsOf steps the core by ticks until the time is up and returns its pulls;
// each second it is given a heartbeat of the zone's leader, if any is wanted.
func pullsOf(core *Core, from time.Time, length time.Duration, heartbeat func() Message) []PullTables {
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
	beat := func() Message {
		update := TableUpdate{BaseSequence: table.Sequence}
		table.Sequence++
		update.Table = table
		return TableReceived{From: "a", Update: update}
	}
	if pulls := pullsOf(core, start, 10*time.Second, beat); len(pulls) != 0 {
		t.Errorf("pulled %d times though every update came", len(pulls))
	}
	table.Sequence++
	lost := pullsOf(core, start.Add(10*time.Second), 100*time.Millisecond, beat)
	held := []TableStamp{{Zone: "z", Fence: 9, Sequence: 10}}
	if want := []PullTables{{From: member("a"), Held: held}}; !cmp.Equal(want, lost) {
		t.Errorf("after a lost update: %s", cmp.Diff(want, lost))
	}
	if pulls := pullsOf(core, start.Add(20*time.Second), 4*time.Second, nil); len(pulls) < 2 {
		t.Errorf("pulled %d times in four seconds of silence", len(pulls))
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
