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

// newFleetNode returns a node in a fleet of the given size; it is the strongest if isStrong is
// set.
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

// TestWhoIsToldOfCrashes checks who receives crash reports: all nodes in a small fleet; the
// coordinators in a large one, which notify all nodes of acquittals, and of crashes from a
// request's second server on.
func TestWhoIsToldOfCrashes(t *testing.T) {
	const small, large = 7, 2 * maxLoadSharingNodes
	now := clock.Now()
	if got := len(newFleetNode(t, small, false).suspects.targets(now)); got != small-1 {
		t.Errorf("a node in a fleet of %d reports to %d others, want all", small, got)
	}
	if got := len(newFleetNode(t, large, false).suspects.targets(now)); got != greetingCoordinators {
		t.Errorf("a node in a fleet of %d reports to %d others, want the coordinators", large, got)
	}
	coordinator := newFleetNode(t, large, true)
	if got := len(coordinator.suspects.targets(now)); got != large-1 {
		t.Errorf("a coordinator in a fleet of %d reports to %d others, want all", large, got)
	}
	fingerprint := poison.NewFingerprint(poison.Identity{Target: "/x"})
	record := func(at time.Time, report poison.Report) int {
		report.Fingerprint = fingerprint
		return len(coordinator.suspects.recordReports(at, "peer", []poison.Report{report}))
	}
	if sent := record(now, poison.Report{ServerID: "a"}); sent != 0 {
		t.Errorf("sent %d reports for the first server, want 0", sent)
	}
	if sent := record(now.Add(time.Second), poison.Report{ServerID: "b"}); sent != 2 {
		t.Errorf("sent %d reports for the second server, want both", sent)
	}
	if sent := record(now.Add(2*time.Second), poison.Report{Acquitted: true}); sent != 1 {
		t.Errorf("sent %d reports for an acquittal, want one", sent)
	}
	if coordinator.suspects.Status(fingerprint) != poison.StatusClear {
		t.Error("an acquitted request is still suspect")
	}
}

// TestBadReportsAreDropped checks that reports without a valid fingerprint are ignored.
func TestBadReportsAreDropped(t *testing.T) {
	node := newTestNode(t)
	node.peers.handleDatagram(mustMarshal(t, &peerpb.NodeState{Node: "x", Crashes: []*peerpb.CrashReport{{Fingerprint: []byte("short"), Server: "a"}, {}}}))
	if node.suspects.Any() {
		t.Error("a report without a valid fingerprint was recorded")
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

// TestStartedNodeTriesARequestThatOnlyLooksAlike guards against a node that starts within a bar, and refuses the
// callers of a harmless request for all of it: it did not know which servers had crashed under both requests.
func TestStartedNodeTriesARequestThatOnlyLooksAlike(t *testing.T) {
	for _, serversOfDeadly := range []int{3, 4} {
		t.Run(fmt.Sprint(serversOfDeadly, " servers"), func(t *testing.T) { testStartedNodeTries(t, serversOfDeadly) })
	}
}

// testStartedNodeTries has so many servers end under the deadly request, of which the fourth bars it, too.
func testStartedNodeTries(t *testing.T, serversOfDeadly int) {
	const refusals = 10
	deadly, alike := poison.NewFingerprint(poison.Identity{Target: "/deadly"}), poison.NewFingerprint(poison.Identity{Target: "/alike"})
	now := clock.Now()
	known := newTestNode(t)
	var reports []poison.Report
	for number, age := range []time.Duration{8 * time.Second, 6 * time.Second, 4 * time.Second} {
		for _, fingerprint := range []poison.Fingerprint{alike, deadly} {
			reports = append(reports, poison.Report{Fingerprint: fingerprint, ServerID: fmt.Sprint("i-", number), Age: age})
		}
	}
	if serversOfDeadly > 3 {
		reports = append(reports, poison.Report{Fingerprint: deadly, ServerID: "i-3", Age: 2 * time.Second})
	}
	known.suspects.recordReports(now, "peer", reports)
	started := newTestNode(t)
	started.suspects.receive("peer", known.suspects.greetingReports(now))
	for _, node := range []*Node{known, started} {
		if status := node.suspects.Status(alike); status != poison.StatusBarred {
			t.Fatalf("status %v before any caller was refused, want barred", status)
		}
		for range refusals {
			node.suspects.ReportRefusal(alike)
		}
		if status := node.suspects.Status(alike); status != poison.StatusOnTrial {
			t.Errorf("status %v after %d callers were refused, want on trial", status, refusals)
		}
	}
}
