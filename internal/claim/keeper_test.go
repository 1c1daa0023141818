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
	if reply := grantReply(t, keeper.Step(start, grantOf("one", slot))); reply.Vote != VoteIncompleteHistory {
		t.Fatalf("got %+v", reply)
	}
}

// successor returns keeper d of version 2 after a and b handed over.
func successor(t *testing.T, from ...string) *Keeper {
	t.Helper()
	slot := slotOf(2, "a", "b", "d")
	slot.Previous = [][]Seat{slotOf(1, "a", "b", "c").Seats}
	keeper := NewKeeper(KeeperOptions{Self: seat("d")})
	keeper.Step(start, SlotUpdate{Slot: slot})
	for _, name := range from {
		older := NewKeeper(KeeperOptions{Self: seat(name)})
		grantReply(t, older.Step(start, grantOf("one", slotOf(1, "a", "b", "c"))))
		for _, effect := range older.Step(start, Seal{Slot: slot}) {
			if reply, found := effect.(SealReply); found {
				keeper.Step(start, SealAnswered{Version: 2, From: seat(name), Reply: reply})
			}
		}
		if reply := grantReply(t, older.Step(start, grantOf("two", slotOf(1, "a", "b", "c")))); reply.Vote != VoteStale {
			t.Fatalf("%s granted in a closed version: %+v", name, reply)
		}
	}
	return keeper
}

func TestRecordsOfAnOverlapAreEnough(t *testing.T) {
	slot := slotOf(2, "a", "b", "d")
	other := Grant{Key: "other", Attempt: "two", Window: window, Slot: slot}
	keeper := successor(t, "a")
	if reply := grantReply(t, keeper.Step(start, other)); reply.Vote != VoteIncompleteHistory {
		t.Fatalf("after one hand-over: %+v", reply)
	}
	keeper = successor(t, "a", "b")
	if reply := grantReply(t, keeper.Step(start, other)); reply.Vote != VoteGranted {
		t.Fatalf("a fresh key after two: %+v", reply)
	}
	if reply := grantReply(t, keeper.Step(start, grantOf("two", slot))); reply.Vote != VoteInProgress {
		t.Fatalf("a key that was handed over: %+v", reply)
	}
}

func TestKeeperWaitsTheWindowWhereTheRecordsAreLost(t *testing.T) {
	keeper := successor(t, "a")
	keeper.Step(start, ProcessEnded{Seat: seat("b")})
	slot := slotOf(2, "a", "b", "d")
	ask := Grant{Key: "other", Attempt: "two", Window: window, Slot: slot}
	retention := KeeperOptions{}.withDefaults().retention(window)
	for _, moment := range []struct {
		after time.Duration
		vote  Vote
	}{{0, VoteIncompleteHistory}, {window, VoteIncompleteHistory}, {retention, VoteGranted}} {
		if reply := grantReply(t, keeper.Step(start.Add(moment.after), ask)); reply.Vote != moment.vote {
			t.Errorf("after %v: %+v", moment.after, reply)
		}
	}
}

func TestFullKeeperRefusesAndForgetsNothing(t *testing.T) {
	slot := slotOf(1, "a")
	keeper := NewKeeper(KeeperOptions{Self: seat("a"), MaxRecords: 1, MaxAnswerBytes: 4})
	grantReply(t, keeper.Step(start, grantOf("one", slot)))
	ask := Grant{Key: "other", Attempt: "two", Window: window, Slot: slot}
	if reply := grantReply(t, keeper.Step(start, ask)); reply.Vote != VoteFull {
		t.Fatalf("got %+v", reply)
	}
	keeper.Step(start, Complete{
		Key: "key", Fingerprint: []byte("body"), Attempt: "one", Window: window, Slot: slot,
		Outcome: Ran, Answer: &Answer{Status: 200, Body: []byte("too long")},
	})
	reply := grantReply(t, keeper.Step(start.Add(window), grantOf("three", slot)))
	if reply.Vote != VoteDone || !reply.Answer.BodyOmitted || reply.Answer.Status != 200 {
		t.Fatalf("the record at the end of the window: %+v", reply)
	}
	mismatch := grantOf("four", slot)
	mismatch.Fingerprint = []byte("another body")
	if reply := grantReply(t, keeper.Step(start.Add(window), mismatch)); reply.Vote != VoteMismatch {
		t.Fatalf("another request: %+v", reply)
	}
	if reply := grantReply(t, keeper.Step(start.Add(2*window), ask)); reply.Vote != VoteGranted {
		t.Fatalf("after the record's time: %+v", reply)
	}
}

func TestReleasedAttemptIsNotGrantedLate(t *testing.T) {
	slot := slotOf(1, "a", "b", "c")
	keeper := NewKeeper(KeeperOptions{Self: seat("a")})
	keeper.Step(start, Complete{Key: "key", Attempt: "one", Window: window, Slot: slot, Outcome: NotRun})
	if reply := grantReply(t, keeper.Step(start, grantOf("one", slot))); reply.Vote == VoteGranted {
		t.Fatal("granted to an attempt that gave up")
	}
	if reply := grantReply(t, keeper.Step(start, grantOf("two", slot))); reply.Vote != VoteGranted {
		t.Fatalf("another attempt: %+v", reply)
	}
}

// TestOwnRecordIsNotEnoughBeforeSettling holds what a drawn schedule found: an
// attempt that a minority had granted was granted again in the next version by
// a keeper that had not yet gathered the records of the others.
func TestOwnRecordIsNotEnoughBeforeSettling(t *testing.T) {
	older, slot := slotOf(1, "a", "b", "c"), slotOf(2, "a", "b", "d")
	slot.Previous = [][]Seat{older.Seats}
	keeper := NewKeeper(KeeperOptions{Self: seat("a")})
	if reply := grantReply(t, keeper.Step(start, grantOf("one", older))); reply.Vote != VoteGranted {
		t.Fatalf("in the older version: %+v", reply)
	}
	if reply := grantReply(t, keeper.Step(start, grantOf("one", slot))); reply.Vote != VoteIncompleteHistory {
		t.Fatalf("in the newer version: %+v", reply)
	}
}

// TestVersionsNeverHaveTwoMajorities lets one asker count on an older version
// and another on the newer one. The planted defect proves that it can fail.
func TestVersionsNeverHaveTwoMajorities(t *testing.T) {
	older, newer := slotOf(1, "a", "b", "c"), slotOf(2, "a", "b", "d")
	newer.Previous = [][]Seat{older.Seats}
	for _, defects := range []Defects{{}, {IgnoresVersion: true}} {
		keepers := make(map[string]*Keeper)
		for _, name := range []string{"a", "b", "c", "d"} {
			keepers[name] = NewKeeper(KeeperOptions{Self: seat(name), Defects: defects})
			keepers[name].Step(start, SlotUpdate{Slot: older})
		}
		for _, from := range []string{"a", "b"} {
			for _, effect := range keepers[from].Step(start, Seal{Slot: newer}) {
				if reply, found := effect.(SealReply); found {
					keepers["d"].Step(start, SlotUpdate{Slot: newer})
					keepers["d"].Step(start, SealAnswered{Version: 2, From: seat(from), Reply: reply})
					keepers["a"].Step(start, SealAnswered{Version: 2, From: seat(from), Reply: reply})
					keepers["b"].Step(start, SealAnswered{Version: 2, From: seat(from), Reply: reply})
				}
			}
		}
		keepers["b"].Step(start, SealAnswered{Version: 2, From: seat("a"), Reply: SealReply{Settled: true, KnowsAll: true}})
		majorities := 0
		for _, asked := range []struct {
			attempt string
			slot    Slot
			names   []string
		}{{"one", older, []string{"a", "c"}}, {"two", newer, []string{"b", "d"}}} {
			votes := 0
			for _, name := range asked.names {
				if grantReply(t, keepers[name].Step(start, grantOf(asked.attempt, asked.slot))).Vote == VoteGranted {
					votes++
				}
			}
			if votes >= Majority(asked.slot.Seats) {
				majorities++
			}
		}
		if planted := defects.IgnoresVersion; planted != (majorities == 2) {
			t.Errorf("with the defect %v: %d majorities", planted, majorities)
		}
	}
}
