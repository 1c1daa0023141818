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
	// countDigests returns how many object digests the core sends within a second, beginning with
	// its first one. The answer, unless nil, arrives right after the first digest.
	countDigests := func(answer Message) int {
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
	if got := countDigests(nil); got != 1 {
		t.Errorf("%d digests were sent while waiting for the first answer, want 1", got)
	}
	if got := countDigests(DigestAnswered{From: "a"}); got < 2 {
		t.Error("no digest to another peer after one without objects answered")
	}
	if got := countDigests(DigestFailed{To: "a"}); got < 2 {
		t.Error("no digest to another peer after one failed")
	}
}
