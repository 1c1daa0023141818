package edge

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// newFleetNode is a node of a fleet of so many nodes; it is the strongest where isStrong.
func newFleetNode(t *testing.T, nodes int, isStrong bool) *Node {
	t.Helper()
	node := newTestNode(t)
	strength := uint32(weakStrength)
	if isStrong {
		strength = strongStrength
	}
	node.peers.roster.SetStrength(strength)
	for i := range nodes - 1 {
		node.peers.roster.Observe(clock.Now(), &peerpb.NodeState{
			Node: fmt.Sprint("peer-", i), Address: fmt.Sprintf("127.0.1.%d:9", i+1), Life: 1, Sequence: 1, Strength: (weakStrength + strongStrength) / 2,
		})
	}
	return node
}

// TestWhoIsToldOfCrashes: in a small fleet all; in a large one the coordinators, which tell
// all from the second server of a request on, and of good ends.
func TestWhoIsToldOfCrashes(t *testing.T) {
	const small, large = 7, 2 * maxLoadSharingNodes
	now := clock.Now()
	if got := len(newFleetNode(t, small, false).suspects.targets(now)); got != small-1 {
		t.Errorf("a node of %d tells %d others", small, got)
	}
	if got := len(newFleetNode(t, large, false).suspects.targets(now)); got != greetingCoordinators {
		t.Errorf("a node of %d tells %d others, want the coordinators", large, got)
	}
	coordinator := newFleetNode(t, large, true)
	if got := len(coordinator.suspects.targets(now)); got != large-1 {
		t.Errorf("a coordinator of %d tells %d others, want all", large, got)
	}
	fingerprint := poison.NewFingerprint(poison.Identity{Target: "/x"})
	hears := func(at time.Time, report poison.Report) int {
		report.Fingerprint = fingerprint
		return len(coordinator.suspects.recordReports(at, "peer", []poison.Report{report}))
	}
	if told := hears(now, poison.Report{ServerID: "a"}); told != 0 {
		t.Errorf("tells %d reports of the first server", told)
	}
	if told := hears(now.Add(time.Second), poison.Report{ServerID: "b"}); told != 2 {
		t.Errorf("tells %d reports of the second server, want both", told)
	}
	if told := hears(now.Add(2*time.Second), poison.Report{Acquitted: true}); told != 1 {
		t.Errorf("tells %d reports of a good end, want one", told)
	}
	if coordinator.suspects.Status(fingerprint) != poison.StatusClear {
		t.Error("suspects what ended well")
	}
}

// TestBadReportsAreDropped: what is no fingerprint is nobody's.
func TestBadReportsAreDropped(t *testing.T) {
	node := newTestNode(t)
	node.peers.handleDatagram(mustMarshal(t, &peerpb.NodeState{Node: "x", Crashes: []*peerpb.CrashReport{{Fingerprint: []byte("short"), Server: "a"}, {}}}))
	if node.suspects.Any() {
		t.Error("remembers a report without a fingerprint")
	}
}

func mustMarshal(t *testing.T, state *peerpb.NodeState) []byte {
	t.Helper()
	datagram, err := proto.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	return datagram
}
