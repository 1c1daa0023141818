package configsync

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

func TestAFirstDigestIsAwaitedAndPutAgainSoonWhereItBroughtNothing(t *testing.T) {
	member := func(name fleet.NodeName) fleet.Member {
		return fleet.Member{Name: name, Zone: "z", State: fleet.MemberAlive}
	}
	members := MembersChanged{Members: []fleet.Member{member("a"), member("b"), member("c"), member("d")}}
	start := time.Unix(1000, 0)
	const second = time.Second
	// sent counts the digests of objects in the second after the first one,
	// which is answered by the message.
	sent := func(answer Message) int {
		core := New(Options{Self: member("d"), Seed: 7})
		core.Step(start, members)
		count := 0
		var first time.Time
		for at := start; first.IsZero() || at.Before(first.Add(second)); at = at.Add(10 * time.Millisecond) {
			for _, effect := range core.Step(at, Tick{}) {
				digest, found := effect.(SendDigest)
				if !found || digest.Digest.Space == SpaceMachines {
					continue
				}
				count++
				if first.IsZero() && answer != nil {
					core.Step(at, answer)
				}
				if first.IsZero() {
					first = at
				}
			}
		}
		return count
	}
	if got := sent(nil); got != 1 {
		t.Errorf("%d digests went out while the answer to the first was awaited", got)
	}
	if got := sent(DigestAnswered{From: "a"}); got < 2 {
		t.Error("no other peer was asked after one that holds nothing itself")
	}
	if got := sent(DigestFailed{To: "a"}); got < 2 {
		t.Error("no other peer was asked after one that failed")
	}
}
