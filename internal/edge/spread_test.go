package edge

import (
	"net"
	"slices"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// fakePeer keeps the datagrams of leaders that come to a socket.
type fakePeer struct {
	address string
	states  chan *peerpb.NodeState
}

func newFakePeer(t *testing.T) *fakePeer {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	peer := &fakePeer{address: conn.LocalAddr().String(), states: make(chan *peerpb.NodeState, 64)}
	go func() {
		buffer := make([]byte, maxDatagram)
		for {
			count, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			state := &peerpb.NodeState{}
			if proto.Unmarshal(buffer[:count], state) == nil && state.Leader != nil {
				peer.states <- state
			}
		}
	}()
	return peer
}

// next is the next datagram; nil where none comes soon.
func (p *fakePeer) next() *peerpb.NodeState {
	select {
	case state := <-p.states:
		return state
	case <-time.After(300 * time.Millisecond):
		return nil
	}
}

// newZonedNode is a node in a zone of two regions.
func newZonedNode(t *testing.T, zone string) *Node {
	t.Helper()
	node := newTestNode(t)
	node.options.Zone = zone
	node.options.Topology = locality.NewMap(map[string]string{"n": "north", "s1": "south", "s2": "south"})
	node.peers.roster.SetLocation(zone, node.options.Topology)
	return node
}

func (n *Node) observePeer(zone string, peer *fakePeer, sequence uint64) {
	n.peers.handleState(&peerpb.NodeState{Node: peer.address, Address: peer.address, Life: 1, Sequence: sequence, Zone: zone, Strength: 5})
}

// TestViewsGoOnceToARegionAndOnFromThere: the leader sends one datagram to a region, and
// who gets it sends it on as it is, without the order to do so.
func TestViewsGoOnceToARegionAndOnFromThere(t *testing.T) {
	leader, spreader := newZonedNode(t, "n"), newZonedNode(t, "s1")
	var south []*fakePeer
	for i := range 4 {
		peer := newFakePeer(t)
		south = append(south, peer)
		leader.observePeer("s"+strconv.Itoa(i%2+1), peer, 1)
		spreader.observePeer("s"+strconv.Itoa(i%2+1), peer, 1)
	}
	view := dispatch.View{ServerID: "i", Sequence: 1, Held: map[string][]string{"m": nil}}
	view.Digest = viewDigest(view.ServerID, viewSignature(view))
	leader.peers.publishViews(7, 0, []dispatch.View{view}, nil)
	var sent *peerpb.NodeState
	count := 0
	for _, peer := range south {
		for state := peer.next(); state != nil; state = peer.next() {
			sent = state
			count++
		}
	}
	if count != 1 || sent.Spread == nil || len(sent.Spread.Zones) != 2 {
		t.Fatalf("%d datagrams crossed, the last %v; want one to be sent on in both zones", count, sent)
	}
	datagram, err := proto.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	sent.Address, sent.Spread = "127.0.0.1:9", nil
	spreader.peers.handleDatagram(datagram)
	for _, peer := range south {
		state := peer.next()
		if state == nil || state.Spread != nil || state.Leader == nil || state.Leader.Term != 7 || len(state.Leader.Views) != 1 || state.Sequence != sent.Sequence {
			t.Errorf("%s got %v, want the leader's datagram as it was", peer.address, state)
		}
	}
	if got := leader.peers.sentBytes[trafficViews][locality.OtherRegion].Load(); got == 0 || got != leader.peers.sentBytes.byKind(trafficViews) {
		t.Errorf("%d bytes are counted as sent to another region, of %d", got, leader.peers.sentBytes.byKind(trafficViews))
	}
}

// TestOvertakenViewsAreTaken: a datagram that came over another node is not lost where one
// that the leader sent later came straight.
func TestOvertakenViewsAreTaken(t *testing.T) {
	node := newZonedNode(t, "s1")
	node.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "i", Service: "s", Address: "127.0.0.1:1", Zone: "s1"}}})
	})
	later := &peerpb.NodeState{Node: "l", Address: "126.0.0.1:1", Life: 3, Sequence: 9, Zone: "n", Leader: &peerpb.LeaderState{Term: 7}}
	node.peers.handleState(later)
	node.peers.handleState(&peerpb.NodeState{Node: "l", Address: "126.0.0.1:1", Life: 3, Sequence: 8, Zone: "n", Leader: &peerpb.LeaderState{
		Term: 7, Views: []*peerpb.ServerView{{Server: "i", Sequence: 1, Held: []*peerpb.HeldModel{{Model: "m"}}}},
	}})
	node.dispatch.Do(func(core *dispatch.Core) {
		if !core.CanPick(clock.Now(), dispatch.Request{Service: "s", Model: "m"}) {
			t.Error("the view was dropped")
		}
	})
}

// TestNodeWithoutViewsAsksForThem: who sends on may not reach it. What it has already is
// only confirmed to it.
func TestNodeWithoutViewsAsksForThem(t *testing.T) {
	node := newZonedNode(t, "s1")
	now := clock.Now()
	node.peers.handleState(&peerpb.NodeState{Node: "l", Address: "126.0.0.1:1", Life: 3, Sequence: 9, Zone: "n", Leader: &peerpb.LeaderState{Term: 7}})
	if node.peers.shouldRequestViews(now.Add(maxViewsSilence / 2)) {
		t.Error("asks before they are due")
	}
	node.peers.viewsDigestAt = now.Add(-2 * maxViewsSilence)
	if !node.peers.state(now).ViewsWanted {
		t.Error("does not ask for views though a leader lives")
	}
	node.peers.handleState(&peerpb.NodeState{Node: "l", Address: "126.0.0.1:1", Life: 3, Sequence: 10, Zone: "n", Leader: &peerpb.LeaderState{Term: 7, ViewsDigest: 5}})
	if node.peers.shouldRequestViews(clock.Now()) {
		t.Error("asks though it heard of the views just now")
	}
}

// TestAnswersGoOnceToARegion that asks from several nodes at once, and what an asker has
// is only confirmed.
func TestAnswersGoOnceToARegion(t *testing.T) {
	leader := newZonedNode(t, "n")
	var south []*fakePeer
	for range 4 {
		peer := newFakePeer(t)
		south = append(south, peer)
		leader.observePeer("s1", peer, 1)
	}
	view := dispatch.View{ServerID: "i", Sequence: 1, Held: map[string][]string{"m": nil}}
	view.Digest = viewDigest(view.ServerID, viewSignature(view))
	leader.peers.published.record("i", view.Digest)
	asked := 0
	views := func(wanted func(string) bool) []dispatch.View {
		asked++
		return filterViews([]dispatch.View{view}, wanted)
	}
	for _, peer := range south {
		leader.peers.replyViews(&peerpb.NodeState{Address: peer.address}, 7, 0, views)
	}
	direct, spread := 0, 0
	for _, peer := range south {
		for state := peer.next(); state != nil; state = peer.next() {
			if state.Spread != nil {
				spread++
			} else {
				direct++
			}
		}
	}
	if direct != 1 || spread != 1 || asked != 2 {
		t.Errorf("%d answers to one node and %d to the region for %d askers, want one of each", direct, spread, len(south))
	}
	var has dispatch.ViewDigests
	has.Add("i", view.Digest)
	leader.peers.replyViews(&peerpb.NodeState{Address: south[0].address, ViewsDigests: has[:]}, 7, 0, views)
	if state := south[0].next(); state == nil || len(state.Leader.Views) != 0 || state.Leader.ViewsDigest != view.Digest || asked != 2 {
		t.Errorf("answered %v to a node that has all views, want their digest alone", state)
	}
}

// filterViews are those of the servers that an answer needs.
func filterViews(views []dispatch.View, wanted func(serverID string) bool) []dispatch.View {
	return slices.DeleteFunc(slices.Clone(views), func(view dispatch.View) bool { return !wanted(view.ServerID) })
}

// TestOnlyWhatDiffersIsAnswered: of many servers a node misses the view of one.
func TestOnlyWhatDiffersIsAnswered(t *testing.T) {
	leader := newZonedNode(t, "n")
	peer := newFakePeer(t)
	leader.observePeer("s1", peer, 1)
	var has dispatch.ViewDigests
	var views []dispatch.View
	for i := range 400 {
		view := dispatch.View{ServerID: "server-" + strconv.Itoa(i), Sequence: 1, Held: map[string][]string{"m": nil}}
		view.Digest = viewDigest(view.ServerID, viewSignature(view))
		views = append(views, view)
		leader.peers.published.record(view.ServerID, view.Digest)
		if i > 0 {
			has.Add(view.ServerID, view.Digest)
		}
	}
	leader.peers.replyViews(&peerpb.NodeState{Address: peer.address, ViewsDigests: has[:]}, 7, 0, func(wanted func(string) bool) []dispatch.View {
		return filterViews(views, wanted)
	})
	answered := make(map[string]bool)
	for state := peer.next(); state != nil; state = peer.next() {
		for _, view := range state.Leader.Views {
			answered[view.Server] = true
		}
	}
	if !answered["server-0"] || len(answered) > 30 {
		t.Errorf("%d views answered, the missing one among them: %v", len(answered), answered["server-0"])
	}
}

// TestViewsGoOutInBursts that a receiver's socket holds, all in the end, and each once; the
// digest never covers what was not told yet.
func TestViewsGoOutInBursts(t *testing.T) {
	leader := newZonedNode(t, "n")
	peer := newFakePeer(t)
	leader.observePeer("n", peer, 1)
	var views []dispatch.View
	for i := range 1500 {
		view := dispatch.View{ServerID: "server-" + strconv.Itoa(i), Sequence: 1, Held: map[string][]string{"a-model-of-some-name": nil}}
		view.Digest = viewDigest(view.ServerID, viewSignature(view))
		views = append(views, view)
	}
	told := make(map[string]int)
	all := uint64(0)
	for bursts, rest := 0, true; rest; bursts++ {
		before := leader.peers.sentBytes.byKind(trafficViews)
		rest = leader.peers.publishViews(7, 0, views, nil)
		if sent := leader.peers.sentBytes.byKind(trafficViews) - before; sent > 3*maxBurstBytes/2 || bursts > 10 {
			t.Fatalf("burst %d has %d bytes", bursts, sent)
		}
		for state := peer.next(); state != nil; state = peer.next() {
			for _, view := range decodeViews(state.Leader.Views) {
				told[view.ServerID]++
				all ^= view.Digest
			}
			if state.Leader.ViewsDigest != 0 && state.Leader.ViewsDigest != all {
				t.Fatal("the digest is not that of the views told")
			}
		}
	}
	if len(told) != len(views) {
		t.Errorf("%d of %d views were told", len(told), len(views))
	}
	for id, times := range told {
		if times != 1 {
			t.Errorf("%s was told %d times", id, times)
		}
	}
}

// TestReplacedLeaderHidesNothing: one that goes on telling its views, which all have, must
// not hide that those of the new leader are missing.
func TestReplacedLeaderHidesNothing(t *testing.T) {
	node := newZonedNode(t, "s1")
	hear := func(address string, sequence uint64, term int64, digest uint64, views ...*peerpb.ServerView) {
		node.peers.handleState(&peerpb.NodeState{Node: address, Address: address, Life: 1, Sequence: sequence, Zone: "n", Leader: &peerpb.LeaderState{
			Term: term, ViewsDigest: digest, Views: views,
		}})
	}
	hear("126.0.0.1:1", 1, 8, 77, &peerpb.ServerView{Server: "i", Sequence: 1})
	hear("126.0.0.2:1", 1, 7, 5)
	if !node.peers.shouldRequestViews(clock.Now().Add(2 * viewsRequestDelay)) {
		t.Error("the word of a leader that was replaced hides that views are missing")
	}
}

// TestFewAskOtherRegions for what they know: the first of a region, and others only where
// these do not hand it on.
func TestFewAskOtherRegions(t *testing.T) {
	node := newZonedNode(t, "s1")
	node.options.Strength = 1
	far, near := newFakePeer(t), []*fakePeer{newFakePeer(t), newFakePeer(t)}
	node.observePeer("n", far, 1)
	now := clock.Now()
	if !node.snapshots.mayRequest(now, far.address) {
		t.Error("the first of its region does not ask")
	}
	for _, peer := range near {
		node.observePeer("s2", peer, 1)
	}
	node.peers.roster.SetStrength(1)
	now = clock.Now()
	if node.snapshots.mayRequest(now, far.address) || node.snapshots.mayRequest(now.Add(otherRegionDelay/2), far.address) {
		t.Error("asks though stronger nodes of its region do")
	}
	if !node.snapshots.mayRequest(now.Add(otherRegionDelay/2), near[0].address) || !node.snapshots.mayRequest(now.Add(otherRegionDelay+time.Millisecond), far.address) {
		t.Error("does not ask near, or not after a while")
	}
}
