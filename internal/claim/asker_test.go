package claim

import (
	"fmt"
	"testing"
	"time"
)

// TestSplitGrantsEndWithOneAttempt lets three attempts take one keeper each
// before any of them reaches another.
func TestSplitGrantsEndWithOneAttempt(t *testing.T) {
	slot := slotOf(1, "a", "b", "c")
	keepers := make(map[Seat]*Keeper)
	for _, seat := range slot.Seats {
		keepers[seat] = NewKeeper(KeeperOptions{Self: seat})
	}
	now := start
	askers := make([]*Asker, len(slot.Seats))
	queues := make([][]AskerEffect, len(askers))
	granted, refused := 0, 0
	for index := range askers {
		askers[index] = NewAsker(AskerOptions{
			Attempt:    fmt.Sprint("attempt-", index),
			Request:    Request{Key: "key", Fingerprint: []byte("body"), Window: window},
			Deadline:   start.Add(2 * time.Second),
			RandomSeed: uint64(index),
		})
		queues[index] = askers[index].Step(now, Begin{Slot: slot})
		// Each attempt reaches its own keeper first.
		queues[index][0], queues[index][index] = queues[index][index], queues[index][0]
	}
	for range 1000 {
		for index, asker := range askers {
			if len(queues[index]) == 0 {
				queues[index] = asker.Step(now, Tick{})
				continue
			}
			effect := queues[index][0]
			queues[index] = queues[index][1:]
			switch effect := effect.(type) {
			case RequestGrant:
				reply := grantReply(t, keepers[effect.To].Step(now, effect.Grant))
				voted := VoteReceived{From: effect.To, Version: effect.Grant.Slot.Version, Reply: reply}
				queues[index] = append(queues[index], asker.Step(now, voted)...)
			case Release:
				for _, to := range effect.To {
					keepers[to].Step(now, effect.Complete)
				}
			case Finish:
				if effect.Decision.Verdict == Granted {
					granted++
				} else if effect.Decision.Verdict == InProgress {
					refused++
				}
			}
		}
		now = now.Add(2 * time.Millisecond)
	}
	if granted != 1 || refused != 2 {
		t.Fatalf("%d granted and %d in progress of 3 attempts", granted, refused)
	}
}

func TestAskerTakesNewerKeepers(t *testing.T) {
	old, next := slotOf(1, "a", "b", "c"), slotOf(2, "a", "b", "d")
	asker := NewAsker(AskerOptions{Attempt: "one", Deadline: start.Add(time.Second)})
	asker.Step(start, Begin{Slot: old})
	asker.Step(start, VoteReceived{From: seat("c"), Version: 1, Reply: GrantReply{Vote: VoteGranted, Slot: old}})
	effects := asker.Step(start, VoteReceived{From: seat("a"), Version: 1, Reply: GrantReply{Vote: VoteStale, Slot: next}})
	if len(effects) != len(next.Seats) {
		t.Fatalf("asked %d keepers of the newer version", len(effects))
	}
	// A vote of the older version must not count beside one of the newer.
	asker.Step(start, VoteReceived{From: seat("b"), Version: 1, Reply: GrantReply{Vote: VoteGranted, Slot: old}})
	effects = asker.Step(start, VoteReceived{From: seat("a"), Version: 2, Reply: GrantReply{Vote: VoteGranted, Slot: next}})
	if len(effects) != 0 {
		t.Fatalf("decided on votes of two versions: %+v", effects)
	}
	effects = asker.Step(start, VoteReceived{From: seat("d"), Version: 2, Reply: GrantReply{Vote: VoteGranted, Slot: next}})
	finish, found := effects[len(effects)-1].(Finish)
	if !found || finish.Decision.Verdict != Granted {
		t.Fatalf("majority of the newer version: %+v", effects)
	}
}

func TestAskerGivesUpWhatItWasGranted(t *testing.T) {
	asker := NewAsker(AskerOptions{Attempt: "one", Deadline: start.Add(time.Second)})
	slot := slotOf(1, "a", "b", "c")
	asker.Step(start, Begin{Slot: slot})
	asker.Step(start, VoteReceived{From: seat("a"), Version: 1, Reply: GrantReply{Vote: VoteGranted, Slot: slot}})
	effects := asker.Step(start.Add(time.Second), Tick{})
	if len(effects) != 2 {
		t.Fatalf("at the deadline: %+v", effects)
	}
	release, released := effects[0].(Release)
	finish, finished := effects[1].(Finish)
	if !released || len(release.To) != 3 || release.Complete.Outcome != NotRun {
		t.Errorf("release: %+v", effects[0])
	}
	if !finished || finish.Decision.Verdict != NoMajority || finish.Decision.RetryAfter <= 0 {
		t.Errorf("decision: %+v", effects[1])
	}
}

// TestGrantsOnBothSidesOfAPauseAreNoMajority: the first grant may have expired
// while the asker was paused, and another attempt may hold that keeper since.
func TestGrantsOnBothSidesOfAPauseAreNoMajority(t *testing.T) {
	slot := slotOf(1, "a", "b", "c")
	asker := NewAsker(AskerOptions{Attempt: "one", Deadline: start.Add(time.Second)})
	asker.Step(start, Begin{Slot: slot})
	asker.Step(start, VoteReceived{From: seat("a"), Version: 1, Reply: GrantReply{Vote: VoteGranted, Slot: slot}})
	late := VoteReceived{From: seat("b"), Version: 1, Reply: GrantReply{Vote: VoteGranted, Slot: slot}}
	for _, effect := range asker.Step(start.Add(window), late) {
		if finish, found := effect.(Finish); found && finish.Decision.Verdict == Granted {
			t.Fatal("a grant from before the pause was counted with one from after it")
		}
	}
}
