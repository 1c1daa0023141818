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

// evacuationStore is a store that holds only evacuations. While unavailable is set, all calls
// fail.
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

// change replaces the list.
func (s *evacuationStore) change(events []evacuation.Event, revision int64, zones ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot, s.events = evacuation.Snapshot{Zones: zones, Position: storepos.At(0, revision)}, events
	close(s.changed)
	s.changed = make(chan struct{})
}

// newEvacuationNode returns a node with a configuration and a server in each of the zones a and
// b, on a platform that evacuates zones.
func newEvacuationNode(t *testing.T, store Store) *Node {
	t.Helper()
	node := newTestNode(t)
	node.options.EvacuateWithin, node.options.Store, node.options.Zones = evacuateWithin, store, []string{"a", "b"}
	node.evacuations = newEvacuations(node)
	node.firstRead = 0
	node.handler.SetTable(routetable.New(7, nil, nil, routetable.Limits{}))
	node.applyPeerServerList(inventory.PeerList{Servers: []inventory.Server{{ID: "in-a", Zone: "a", Position: storepos.At(0, 1)}, {ID: "in-b", Zone: "b", Position: storepos.At(0, 1)}}, Position: storepos.At(0, 2)})
	return node
}

// shareEvacuations delivers one node's evacuations to another as datagrams do.
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
			t.Fatalf("condition not met within %v: %s", bound, what)
		}
	}
}

// TestNodeTurnedAwayHearsOfEvacuationsFromPeers checks that a node without access to the store
// learns of an evacuation and of its end from a peer.
func TestNodeTurnedAwayHearsOfEvacuationsFromPeers(t *testing.T) {
	store, unavailableStore := newEvacuationStore(5), newEvacuationStore(5)
	unavailableStore.unavailable = true
	reader, cutOff := newEvacuationNode(t, store), newEvacuationNode(t, unavailableStore)
	reader.evacuations.run(t)
	cutOff.evacuations.run(t)
	eventually(t, evacuateWithin, "the reader has the list", reader.evacuations.isInitialized)
	store.change([]evacuation.Event{{Zone: "a"}}, 6, "a")
	eventually(t, evacuateWithin, "the reader evacuates a", func() bool { return !isAvailable(reader, "in-a") })
	shareEvacuations(reader, cutOff)
	if isAvailable(cutOff, "in-a") || !isAvailable(cutOff, "in-b") {
		t.Error("the node without store access does not apply its peer's list")
	}
	store.change([]evacuation.Event{{Zone: "a", Ended: true}}, 9)
	eventually(t, evacuateWithin, "the reader ends the evacuation of a", func() bool { return isAvailable(reader, "in-a") })
	shareEvacuations(reader, cutOff)
	if !isAvailable(cutOff, "in-a") {
		t.Error("the node without store access does not learn of the end")
	}
}

// TestOldWordOfEvacuationsRevertsNothing checks that neither a peer's older list nor a late
// response of the store undoes a newer list, including a list from between two that name the
// same zones.
func TestOldWordOfEvacuationsRevertsNothing(t *testing.T) {
	node := newEvacuationNode(t, newEvacuationStore(1))
	receive := func(revision int64, zones ...string) {
		node.evacuations.receive(clock.Now(), "126.0.0.1:1", &peerpb.Evacuations{Revision: revision, Zones: zones, AgeMs: 1})
	}
	steps := []struct {
		name string
		take func()
		want []string
	}{
		{"first", func() { receive(5, "a") }, []string{"a"}},
		{"an older list", func() { receive(4) }, []string{"a"}},
		{"the same zones later", func() { receive(9, "a") }, []string{"a"}},
		{"a list from between", func() { receive(7, "b") }, []string{"a"}},
		{"a late response of the store", func() { node.evacuations.applyPeerList(evacuation.Snapshot{Position: storepos.At(0, 8)}, "read", 0) }, []string{"a"}},
		{"late events of a watch", func() { node.evacuations.applyEvents([]evacuation.Event{{Zone: "a", Ended: true}}, storepos.At(0, 8)) }, []string{"a"}},
		{"a digest of the same zones", func() {
			digest := evacuation.Snapshot{Zones: []string{"a"}}.Digest()
			node.evacuations.receive(clock.Now(), "126.0.0.1:1", &peerpb.Evacuations{Revision: 12, Abridged: digest, AgeMs: 1})
		}, []string{"a"}},
		{"a list from before that", func() { receive(11) }, []string{"a"}},
		{"a newer list", func() { receive(13, "b") }, []string{"b"}},
	}
	for _, step := range steps {
		step.take()
		if got := node.evacuations.zones(); !slices.Equal(got, step.want) {
			t.Errorf("%s: %q evacuated, want %q", step.name, got, step.want)
		}
		if isAvailable(node, "in-a") == slices.Contains(step.want, "a") {
			t.Errorf("%s: in-a available: %v", step.name, isAvailable(node, "in-a"))
		}
	}
}

// TestStartingNodeServesNothingBeforeItKnowsEvacuations checks that a node is not ready, and so
// no candidate for the lease, before it knows the evacuations.
func TestStartingNodeServesNothingBeforeItKnowsEvacuations(t *testing.T) {
	peer, node := newEvacuationNode(t, newEvacuationStore(5)), newEvacuationNode(t, newEvacuationStore(5))
	if node.isReady() || node.hasRequiredState() {
		t.Error("ready before the evacuations are known")
	}
	peer.evacuations.applyPeerList(evacuation.Snapshot{Zones: []string{"a"}, Position: storepos.At(0, 5)}, "read", 0)
	if !node.snapshots.fetch(context.Background(), serveSnapshots(t, peer), node.knownState()) || !node.isReady() {
		t.Error("not ready with the peer's complete state")
	}
	if isAvailable(node, "in-a") {
		t.Error("the peer's snapshot did not contain the evacuation")
	}
}

// TestConfirmedEvacuationsLeaveTheStoreAlone checks that confirmed evacuations are not queried
// from the store before a fraction of their bound has passed.
func TestConfirmedEvacuationsLeaveTheStoreAlone(t *testing.T) {
	node := newEvacuationNode(t, newEvacuationStore(5))
	for i := range 3 {
		node.peers.roster.Observe(clock.Now(), &peerpb.NodeState{Node: fmt.Sprint(i), Address: fmt.Sprintf("126.0.0.%d:1", i+1), Life: 1, Sequence: 1, Strength: strongStrength})
	}
	node.evacuations.receive(clock.Now(), "126.0.0.1:1", &peerpb.Evacuations{Revision: 5, AgeMs: 1})
	queries := func(after time.Duration) bool {
		return node.shouldQueryStore(clock.Now().Add(after), &node.evacuations.confirmed)
	}
	if queries(2 * time.Second) {
		t.Error("queries the store for data confirmed 2 s ago, with a bound of 5 s")
	}
	if !queries(evacuateWithin * 3 / 4) {
		t.Error("does not query the store within the bound without confirmations")
	}
	node.evacuations.receive(clock.Now(), "126.0.0.1:1", &peerpb.Evacuations{Revision: 4, Zones: []string{"b"}, AgeMs: 1})
	if got := node.evacuations.zones(); len(got) != 0 {
		t.Errorf("%q evacuated by an older list", got)
	}
}

// TestManyZonesAreToldByDigest checks that a long list is sent as a digest, upon which the
// receiver requests it.
func TestManyZonesAreToldByDigest(t *testing.T) {
	var zones []string
	for i := range 100 {
		zones = append(zones, fmt.Sprintf("zone-%03d", i))
	}
	peer, node := newEvacuationNode(t, newEvacuationStore(5)), newEvacuationNode(t, newEvacuationStore(5))
	peer.evacuations.applyPeerList(evacuation.Snapshot{Zones: zones, Position: storepos.At(0, 5)}, "read", 0)
	encoded := peer.evacuations.encode(clock.Now())
	if len(encoded.Zones) != 0 || encoded.Abridged == 0 {
		t.Fatalf("%d zones in a datagram, want a digest", len(encoded.Zones))
	}
	shareEvacuations(peer, node)
	if node.evacuations.isInitialized() || len(node.snapshots.pending) != 1 {
		t.Error("the peer's list is not requested")
	}
	node.snapshots.fetch(context.Background(), serveSnapshots(t, peer), node.knownState())
	if got := node.evacuations.zones(); len(got) != len(zones) {
		t.Errorf("%d zones known, want all", len(got))
	}
	shareEvacuations(peer, node)
	if len(node.snapshots.pending) != 1 {
		t.Error("the peer is asked again for a known list")
	}
}

// TestUnknownZoneIsReportedOnceAndStaysInForce checks the log line, with its place and reason,
// for an evacuated zone that nothing else names.
func TestUnknownZoneIsReportedOnceAndStaysInForce(t *testing.T) {
	node := newEvacuationNode(t, newEvacuationStore(5))
	lines := &strings.Builder{}
	node.options.Logger = logging.New(lines, logging.Levels["info"])
	node.evacuations.applyPeerList(evacuation.Snapshot{Zones: []string{"a", "nowhere"}, Position: storepos.At(0, 5)}, "read", 0)
	for range 3 {
		node.evacuations.reportUnknown()
	}
	if got := strings.Count(lines.String(), "place=evacuations/nowhere"); got != 1 || strings.Contains(lines.String(), "place=evacuations/a") {
		t.Errorf("reported %d times, want once and only for zone nowhere:\n%s", got, lines)
	}
	if !node.evacuations.isEvacuated("nowhere") {
		t.Error("the evacuation is not in force")
	}
	node.applyServerChanges([]inventory.Change{{Server: inventory.Server{ID: "n", Zone: "nowhere", Position: storepos.At(0, 9)}}}, "list")
	if isAvailable(node, "n") {
		t.Error("a server added later in the zone is available")
	}
	node.dispatch.Do(func(core *dispatch.Core) {
		if got := core.CountServers(clock.Now(), dispatch.StateEvacuated); got != 2 {
			t.Errorf("%d servers evacuated, want 2", got)
		}
	})
}
