package claim

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const window = 10 * time.Minute

func seat(name string) Seat {
	return Seat{Name: fleet.NodeName(name), Boot: 1, Address: name}
}

func slotOf(version uint64, names ...string) Slot {
	slot := Slot{Version: version}
	for _, name := range names {
		slot.Seats = append(slot.Seats, seat(name))
	}
	return slot
}

func grantOf(attempt string, slot Slot) Grant {
	return Grant{Key: "key", Fingerprint: []byte("body"), Attempt: attempt, Window: window, Slot: slot}
}

// grantReply returns the answer among the effects.
func grantReply(t *testing.T, effects []KeeperEffect) GrantReply {
	t.Helper()
	for _, effect := range effects {
		if reply, found := effect.(GrantReply); found {
			return reply
		}
	}
	t.Fatal("no answer to a grant")
	return GrantReply{}
}

func TestFirstKeeperGrantsOneAttempt(t *testing.T) {
	keeper := NewKeeper(KeeperOptions{Self: seat("a")})
	slot := slotOf(1, "a", "b", "c")
	if reply := grantReply(t, keeper.Step(start, grantOf("one", slot))); reply.Vote != VoteGranted {
		t.Fatalf("first attempt: %+v", reply)
	}
	if reply := grantReply(t, keeper.Step(start, grantOf("two", slot))); reply.Vote != VoteInProgress || reply.Holder != "one" {
		t.Fatalf("second attempt: %+v", reply)
	}
	later := start.Add(time.Minute)
	if reply := grantReply(t, keeper.Step(later, grantOf("two", slot))); reply.Vote != VoteUnknown {
		t.Fatalf("after the attempt's time: %+v", reply)
	}
}

func TestLaterKeeperDoesNotVouchBeforeItKnows(t *testing.T) {
	keeper := NewKeeper(KeeperOptions{Self: seat("d")})
	slot := slotOf(2, "a", "b", "d")
	slot.Previous = [][]Seat{slotOf(1, "a", "b", "c").Seats}
	if reply := grantReply(t, keeper.Step(start, grantOf("one", slot))); reply.Vote != VoteTooYoung {
		t.Fatalf("got %+v", reply)
	}
}
