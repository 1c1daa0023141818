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

// grantReply returns the GrantReply among the effects.
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
		t.Fatalf("after AttemptTimeout: %+v", reply)
	}
}

func TestLaterKeeperDoesNotVouchBeforeItKnows(t *testing.T) {
	keeper := NewKeeper(KeeperOptions{Self: seat("d")})
	slot := slotOf(2, "a", "b", "d")
	slot.Previous = [][]Seat{slotOf(1, "a", "b", "c").Seats}
	if reply := grantReply(t, keeper.Step(start, grantOf("one", slot))); reply.Vote != VoteIncompleteHistory {
		t.Fatalf("vote without the older records: %+v", reply)
	}
}

// successor returns keeper d of version 2 after the named keepers have transferred
// their records.
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
			t.Fatalf("%s granted in a sealed version: %+v", name, reply)
		}
	}
	return keeper
}

func TestRecordsOfAnOverlapAreEnough(t *testing.T) {
	slot := slotOf(2, "a", "b", "d")
	other := Grant{Key: "other", Attempt: "two", Window: window, Slot: slot}
	keeper := successor(t, "a")
	if reply := grantReply(t, keeper.Step(start, other)); reply.Vote != VoteIncompleteHistory {
		t.Fatalf("after the records of one keeper: %+v", reply)
	}
	keeper = successor(t, "a", "b")
	if reply := grantReply(t, keeper.Step(start, other)); reply.Vote != VoteGranted {
		t.Fatalf("unused key after the records of two keepers: %+v", reply)
	}
	if reply := grantReply(t, keeper.Step(start, grantOf("two", slot))); reply.Vote != VoteInProgress {
		t.Fatalf("key with a transferred record: %+v", reply)
	}
}

func TestKeeperWaitsTheWindowWhereTheRecordsAreLost(t *testing.T) {
	keeper := successor(t, "a")
	keeper.Step(start, ProcessEnded{Seat: seat("b")})
	slot := slotOf(2, "a", "b", "d")
	ask := Grant{Key: "other", Attempt: "two", Window: window, Slot: slot}
	retention := KeeperOptions{}.withDefaults().retention(window)
	for _, test := range []struct {
		after time.Duration
		vote  Vote
	}{{0, VoteIncompleteHistory}, {window, VoteIncompleteHistory}, {retention, VoteGranted}} {
		if reply := grantReply(t, keeper.Step(start.Add(test.after), ask)); reply.Vote != test.vote {
			t.Errorf("after %v: %+v", test.after, reply)
		}
	}
}

func TestFullKeeperRefusesAndForgetsNothing(t *testing.T) {
	slot := slotOf(1, "a")
	keeper := NewKeeper(KeeperOptions{Self: seat("a"), MaxRecords: 1, MaxAnswerBytes: 4})
	grantReply(t, keeper.Step(start, grantOf("one", slot)))
	ask := Grant{Key: "other", Attempt: "two", Window: window, Slot: slot}
	if reply := grantReply(t, keeper.Step(start, ask)); reply.Vote != VoteFull {
		t.Fatalf("vote of a full keeper: %+v", reply)
	}
	keeper.Step(start, Complete{
		Key: "key", Fingerprint: []byte("body"), Attempt: "one", Window: window, Slot: slot,
		Outcome: Ran, Answer: &Answer{Status: 200, Body: []byte("too long")},
	})
	reply := grantReply(t, keeper.Step(start.Add(window), grantOf("three", slot)))
	if reply.Vote != VoteDone || !reply.Answer.BodyOmitted || reply.Answer.Status != 200 {
		t.Fatalf("record at the end of the window: %+v", reply)
	}
	mismatch := grantOf("four", slot)
	mismatch.Fingerprint = []byte("another body")
	if reply := grantReply(t, keeper.Step(start.Add(window), mismatch)); reply.Vote != VoteMismatch {
		t.Fatalf("same key with another request: %+v", reply)
	}
	if reply := grantReply(t, keeper.Step(start.Add(2*window), ask)); reply.Vote != VoteGranted {
		t.Fatalf("after the record expired: %+v", reply)
	}
}

func TestReleasedAttemptIsNotGrantedLate(t *testing.T) {
	slot := slotOf(1, "a", "b", "c")
	keeper := NewKeeper(KeeperOptions{Self: seat("a")})
	keeper.Step(start, Complete{Key: "key", Attempt: "one", Window: window, Slot: slot, Outcome: NotRun})
	if reply := grantReply(t, keeper.Step(start, grantOf("one", slot))); reply.Vote == VoteGranted {
		t.Fatal("granted a released attempt")
	}
	if reply := grantReply(t, keeper.Step(start, grantOf("two", slot))); reply.Vote != VoteGranted {
		t.Fatalf("vote on another attempt: %+v", reply)
	}
}

// Guards against a keeper granting an attempt on the strength of its own record alone:
// an attempt that a minority had granted was granted again in the next version by a
// keeper that had not collected the other keepers' records yet.
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

// One asker uses an older version of the slot and another the newer one: only one of
// them may obtain a majority. The run with IgnoresVersion shows that the test can fail.
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
		for _, request := range []struct {
			attempt string
			slot    Slot
			names   []string
		}{{"one", older, []string{"a", "c"}}, {"two", newer, []string{"b", "d"}}} {
			votes := 0
			for _, name := range request.names {
				if grantReply(t, keepers[name].Step(start, grantOf(request.attempt, request.slot))).Vote == VoteGranted {
					votes++
				}
			}
			if votes >= Majority(request.slot.Seats) {
				majorities++
			}
		}
		if injected := defects.IgnoresVersion; injected != (majorities == 2) {
			t.Errorf("with the fault %v: %d majorities", injected, majorities)
		}
	}
}
