package claim

import (
	"fmt"
	"testing"
	"time"
)

// Three attempts obtain one keeper's grant each before any of them reaches another
// keeper: exactly one must win.
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
		// Each attempt reaches a different keeper first.
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
				received := VoteReceived{From: effect.To, Version: effect.Grant.Slot.Version, Reply: reply}
				queues[index] = append(queues[index], asker.Step(now, received)...)
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
		t.Fatalf("%d attempts granted and %d refused as in progress, want 1 and 2", granted, refused)
	}
}

func TestAskerTakesNewerKeepers(t *testing.T) {
	old, next := slotOf(1, "a", "b", "c"), slotOf(2, "a", "b", "d")
	asker := NewAsker(AskerOptions{Attempt: "one", Deadline: start.Add(time.Second)})
	asker.Step(start, Begin{Slot: old})
	asker.Step(start, VoteReceived{From: seat("c"), Version: 1, Reply: GrantReply{Vote: VoteGranted, Slot: old}})
	effects := asker.Step(start, VoteReceived{From: seat("a"), Version: 1, Reply: GrantReply{Vote: VoteStale, Slot: next}})
	if len(effects) != len(next.Seats) {
		t.Fatalf("asked %d keepers of the newer version, want all", len(effects))
	}
	// A vote of the older version must not count together with one of the newer.
	asker.Step(start, VoteReceived{From: seat("b"), Version: 1, Reply: GrantReply{Vote: VoteGranted, Slot: old}})
	effects = asker.Step(start, VoteReceived{From: seat("a"), Version: 2, Reply: GrantReply{Vote: VoteGranted, Slot: next}})
	if len(effects) != 0 {
		t.Fatalf("votes of two versions were counted together: %+v", effects)
	}
	effects = asker.Step(start, VoteReceived{From: seat("d"), Version: 2, Reply: GrantReply{Vote: VoteGranted, Slot: next}})
	finish, found := effects[len(effects)-1].(Finish)
	if !found || finish.Decision.Verdict != Granted {
		t.Fatalf("not granted by a majority of the newer version: %+v", effects)
	}
}

func TestAskerGivesUpWhatItWasGranted(t *testing.T) {
	asker := NewAsker(AskerOptions{Attempt: "one", Deadline: start.Add(time.Second)})
	slot := slotOf(1, "a", "b", "c")
	asker.Step(start, Begin{Slot: slot})
	asker.Step(start, VoteReceived{From: seat("a"), Version: 1, Reply: GrantReply{Vote: VoteGranted, Slot: slot}})
	effects := asker.Step(start.Add(time.Second), Tick{})
	if len(effects) != 2 {
		t.Fatalf("effects at the deadline: %+v", effects)
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

// Guards against counting a grant from before a pause of the asker together with one
// from after it: the first may have expired during the pause, and its keeper may have
// granted another attempt since.
func TestGrantsOnBothSidesOfAPauseAreNoMajority(t *testing.T) {
	slot := slotOf(1, "a", "b", "c")
	asker := NewAsker(AskerOptions{Attempt: "one", Deadline: start.Add(time.Second)})
	asker.Step(start, Begin{Slot: slot})
	asker.Step(start, VoteReceived{From: seat("a"), Version: 1, Reply: GrantReply{Vote: VoteGranted, Slot: slot}})
	late := VoteReceived{From: seat("b"), Version: 1, Reply: GrantReply{Vote: VoteGranted, Slot: slot}}
	for _, effect := range asker.Step(start.Add(window), late) {
		if finish, found := effect.(Finish); found && finish.Decision.Verdict == Granted {
			t.Fatal("a grant from before the pause was counted together with one from after it")
		}
	}
}
