package edge

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

const evacuateWithin = 5 * time.Second

// evacuationStore is a store that holds evacuations alone; while it turns nodes away all
// calls fail.
type evacuationStore struct {
	sourceStore
	mu          sync.Mutex
	snapshot    evacuation.Snapshot
	unavailable bool
	calls       int
	changed     chan struct{}
	events      []evacuation.Event
}

func newEvacuationStore(revision int64, zones ...string) *evacuationStore {
	return &evacuationStore{snapshot: evacuation.Snapshot{Zones: zones, Position: storepos.At(0, revision)}, changed: make(chan struct{})}
}

func (s *evacuationStore) Evacuations(context.Context) (evacuation.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.unavailable {
		return evacuation.Snapshot{}, errNoAnswer
	}
	return s.snapshot, nil
}

func (s *evacuationStore) WatchEvacuations(ctx context.Context, from storepos.Position, wait time.Duration) ([]evacuation.Event, storepos.Position, error) {
	s.mu.Lock()
	s.calls++
	changed, events, at, turnsAway := s.changed, s.events, s.snapshot.Position, s.unavailable
	s.mu.Unlock()
	switch {
	case turnsAway:
		return nil, from, errNoAnswer
	case at.IsAfter(from):
		return events, at, nil
	}
	select {
	case <-changed:
		return s.WatchEvacuations(ctx, from, wait)
	case <-time.After(wait):
		return nil, at, nil
	case <-ctx.Done():
		return nil, from, ctx.Err()
	}
}

// change puts a list in place of the one before.
func (s *evacuationStore) change(events []evacuation.Event, revision int64, zones ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot, s.events = evacuation.Snapshot{Zones: zones, Position: storepos.At(0, revision)}, events
	close(s.changed)
	s.changed = make(chan struct{})
}

// newEvacuationNode is a node that knows a configuration and a server in each of the zones a
// and b, on a platform that evacuates zones.
func newEvacuationNode(t *testing.T, store Store) *Node {
	t.Helper()
	node := newTestNode(t)
	node.options.EvacuateWithin, node.options.Store, node.options.Zones = evacuateWithin, store, []string{"a", "b"}
	node.evacuations = newEvacuations(node)
	node.firstRead = 0
	node.handler.SetTable(routetable.New(7, nil, nil, routetable.Limits{}))
	node.applyPeerServerList([]inventory.Server{{ID: "in-a", Zone: "a", Position: storepos.At(0, 1)}, {ID: "in-b", Zone: "b", Position: storepos.At(0, 1)}}, storepos.At(0, 2))
	return node
}

// shareEvacuations lets one node hear of the other's evacuations as datagrams tell them.
func shareEvacuations(from, to *Node) {
	to.evacuations.receive(clock.Now(), from.options.PeerAddress, from.peers.state(clock.Now()).Evacuations)
}

// run follows the store until the test ends.
func (e *evacuations) run(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { e.follow(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

func eventually(t *testing.T, bound time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(bound); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", bound, what)
		}
	}
}

// TestNodeTurnedAwayHearsOfEvacuationsFromPeers, and of their end, within the bound.
func TestNodeTurnedAwayHearsOfEvacuationsFromPeers(t *testing.T) {
	store, closed := newEvacuationStore(5), newEvacuationStore(5)
	closed.unavailable = true
	reader, away := newEvacuationNode(t, store), newEvacuationNode(t, closed)
	reader.evacuations.run(t)
	away.evacuations.run(t)
	eventually(t, evacuateWithin, "the reader knows", reader.evacuations.isInitialized)
	store.change([]evacuation.Event{{Zone: "a"}}, 6, "a")
	eventually(t, evacuateWithin, "the reader evacuates a", func() bool { return !isAvailable(reader, "in-a") })
	shareEvacuations(reader, away)
	if isAvailable(away, "in-a") || !isAvailable(away, "in-b") {
		t.Error("the node that is turned away does not go by its peer's word")
	}
	store.change([]evacuation.Event{{Zone: "a", Ended: true}}, 9)
	eventually(t, evacuateWithin, "the reader takes a back", func() bool { return isAvailable(reader, "in-a") })
	shareEvacuations(reader, away)
	if !isAvailable(away, "in-a") {
		t.Error("the node that is turned away does not hear of the end")
	}
}

// TestOldWordOfEvacuationsRevertsNothing: neither that of a peer nor the store's late
// answer; also not one from between two lists that name the same zones.
func TestOldWordOfEvacuationsRevertsNothing(t *testing.T) {
	node := newEvacuationNode(t, newEvacuationStore(1))
	hear := func(revision int64, zones ...string) {
		node.evacuations.receive(clock.Now(), "126.0.0.1:1", &peerpb.Evacuations{Revision: revision, Zones: zones, AgeMs: 1})
	}
	steps := []struct {
		name string
		take func()
		want []string
	}{
		{"first", func() { hear(5, "a") }, []string{"a"}},
		{"an older word", func() { hear(4) }, []string{"a"}},
		{"the same zones later", func() { hear(9, "a") }, []string{"a"}},
		{"a word from between", func() { hear(7, "b") }, []string{"a"}},
		{"a late answer of the store", func() { node.evacuations.applyPeerList(evacuation.Snapshot{Position: storepos.At(0, 8)}, "read", 0) }, []string{"a"}},
		{"late events of a watch", func() { node.evacuations.applyEvents([]evacuation.Event{{Zone: "a", Ended: true}}, storepos.At(0, 8)) }, []string{"a"}},
		{"a digest of the same zones", func() {
			digest := evacuation.Snapshot{Zones: []string{"a"}}.Digest()
			node.evacuations.receive(clock.Now(), "126.0.0.1:1", &peerpb.Evacuations{Revision: 12, Abridged: digest, AgeMs: 1})
		}, []string{"a"}},
		{"a word from before that", func() { hear(11) }, []string{"a"}},
		{"a newer word", func() { hear(13, "b") }, []string{"b"}},
	}
	for _, step := range steps {
		step.take()
		if got := node.evacuations.zones(); !slices.Equal(got, step.want) {
			t.Errorf("%s: %q evacuated, want %q", step.name, got, step.want)
		}
		if isAvailable(node, "in-a") == slices.Contains(step.want, "a") {
			t.Errorf("%s: in-a takes work: %v", step.name, isAvailable(node, "in-a"))
		}
	}
}

// TestStartingNodeServesNothingBeforeItKnowsEvacuations, and takes no lead.
func TestStartingNodeServesNothingBeforeItKnowsEvacuations(t *testing.T) {
	peer, node := newEvacuationNode(t, newEvacuationStore(5)), newEvacuationNode(t, newEvacuationStore(5))
	if node.isReady() || node.hasRequiredState() {
		t.Error("ready before it knows the evacuations")
	}
	peer.evacuations.applyPeerList(evacuation.Snapshot{Zones: []string{"a"}, Position: storepos.At(0, 5)}, "read", 0)
	if !node.snapshots.fetch(context.Background(), serveSnapshots(t, peer), node.knownState()) || !node.isReady() {
		t.Error("not ready with all that its peer knows")
	}
	if isAvailable(node, "in-a") {
		t.Error("the evacuation did not come with the peer's snapshot")
	}
}

// TestConfirmedEvacuationsLeaveTheStoreAlone as long as a share of their bound.
func TestConfirmedEvacuationsLeaveTheStoreAlone(t *testing.T) {
	node := newEvacuationNode(t, newEvacuationStore(5))
	for i := range 3 {
		node.peers.roster.Observe(clock.Now(), &peerpb.NodeState{Node: fmt.Sprint(i), Address: fmt.Sprintf("126.0.0.%d:1", i+1), Life: 1, Sequence: 1, Strength: strongStrength})
	}
	node.evacuations.receive(clock.Now(), "126.0.0.1:1", &peerpb.Evacuations{Revision: 5, AgeMs: 1})
	asks := func(after time.Duration) bool {
		return node.shouldQueryStore(clock.Now().Add(after), &node.evacuations.confirmed)
	}
	if asks(2 * time.Second) {
		t.Error("asks the store for what was confirmed 2 s ago, of 5 s")
	}
	if !asks(evacuateWithin * 3 / 4) {
		t.Error("does not ask the store within the bound where nobody confirms")
	}
	node.evacuations.receive(clock.Now(), "126.0.0.1:1", &peerpb.Evacuations{Revision: 4, Zones: []string{"b"}, AgeMs: 1})
	if got := node.evacuations.zones(); len(got) != 0 {
		t.Errorf("%q evacuated by an older word", got)
	}
}

// TestManyZonesAreToldByDigest, and asked for.
func TestManyZonesAreToldByDigest(t *testing.T) {
	var zones []string
	for i := range 100 {
		zones = append(zones, fmt.Sprintf("zone-%03d", i))
	}
	peer, node := newEvacuationNode(t, newEvacuationStore(5)), newEvacuationNode(t, newEvacuationStore(5))
	peer.evacuations.applyPeerList(evacuation.Snapshot{Zones: zones, Position: storepos.At(0, 5)}, "read", 0)
	told := peer.evacuations.encode(clock.Now())
	if len(told.Zones) != 0 || told.Abridged == 0 {
		t.Fatalf("told %d zones in a datagram", len(told.Zones))
	}
	shareEvacuations(peer, node)
	if node.evacuations.isInitialized() || len(node.snapshots.pending) != 1 {
		t.Error("the peer is not asked for its list")
	}
	node.snapshots.fetch(context.Background(), serveSnapshots(t, peer), node.knownState())
	if got := node.evacuations.zones(); len(got) != len(zones) {
		t.Errorf("%d zones known, want all", len(got))
	}
	shareEvacuations(peer, node)
	if len(node.snapshots.pending) != 1 {
		t.Error("the peer is asked once more for what is known")
	}
}

// TestUnknownZoneIsReportedOnceAndStaysInForce with its place and reason.
func TestUnknownZoneIsReportedOnceAndStaysInForce(t *testing.T) {
	node := newEvacuationNode(t, newEvacuationStore(5))
	lines := &strings.Builder{}
	node.options.Logger = logging.New(lines, logging.Levels["info"])
	node.evacuations.applyPeerList(evacuation.Snapshot{Zones: []string{"a", "nowhere"}, Position: storepos.At(0, 5)}, "read", 0)
	for range 3 {
		node.evacuations.reportUnknown()
	}
	if got := strings.Count(lines.String(), "place=evacuations/nowhere"); got != 1 || strings.Contains(lines.String(), "place=evacuations/a") {
		t.Errorf("reported %d times, want once and for nowhere alone:\n%s", got, lines)
	}
	if !node.evacuations.isEvacuated("nowhere") {
		t.Error("the evacuation is not in force")
	}
	node.applyServerChanges([]inventory.Change{{Server: inventory.Server{ID: "n", Zone: "nowhere", Position: storepos.At(0, 9)}}}, "list")
	if isAvailable(node, "n") {
		t.Error("a server that came later in the zone takes work")
	}
	node.dispatch.Do(func(core *dispatch.Core) {
		if got := core.CountServers(clock.Now(), dispatch.StateEvacuated); got != 2 {
			t.Errorf("%d servers closed, want 2", got)
		}
	})
}
