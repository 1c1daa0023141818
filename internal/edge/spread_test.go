package edge

import (
	"net"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/standin/memnet"
)

// fakePeer collects the leaders' datagrams that arrive at a socket.
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
	return newFakePeerAt(t, conn)
}

func newFakePeerAt(t *testing.T, conn packetConn) *fakePeer {
	t.Helper()
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

// next returns the next datagram, or nil if none arrives soon.
func (p *fakePeer) next() *peerpb.NodeState {
	select {
	case state := <-p.states:
		return state
	case <-time.After(300 * time.Millisecond):
		return nil
	}
}

// newZonedNode returns a node in one of the zones of two regions.
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

// TestViewsGoOnceToARegionAndOnFromThere checks that the leader sends one datagram to a region,
// and that its receiver relays it unchanged but for the relaying instructions.
func TestViewsGoOnceToARegionAndOnFromThere(t *testing.T) {
	defer clock.FollowStandard()()
	synctest.Test(t, playViewsAcrossRegions)
}

func playViewsAcrossRegions(t *testing.T) {
	network := new(memnet.Network)
	leader, spreader := newZonedNode(t, "n"), newZonedNode(t, "s1")
	for _, node := range []*Node{leader, spreader} {
		_ = node.peers.conn.Close()
		node.peers.conn = network.ListenPacket()
	}
	var south []*fakePeer
	for i := range 4 {
		peer := newFakePeerAt(t, network.ListenPacket())
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
		t.Fatalf("%d datagrams crossed regions, the last %v; want one to be relayed in both zones", count, sent)
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
			t.Errorf("%s got %v, want the leader's datagram unchanged", peer.address, state)
		}
	}
	if got := leader.peers.sentBytes[trafficViews][locality.OtherRegion].Load(); got == 0 || got != leader.peers.sentBytes.byKind(trafficViews) {
		t.Errorf("%d bytes are counted as sent to another region, of %d", got, leader.peers.sentBytes.byKind(trafficViews))
	}
}

// TestOvertakenViewsAreTaken checks that a relayed datagram is not lost if a later one arrived
// directly before it.
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

// TestNodeWithoutViewsAsksForThem checks that a node requests views if they do not arrive, as
// when the spreader cannot reach it, and no longer once their digest is confirmed.
func TestNodeWithoutViewsAsksForThem(t *testing.T) {
	node := newZonedNode(t, "s1")
	now := clock.Now()
	node.peers.handleState(&peerpb.NodeState{Node: "l", Address: "126.0.0.1:1", Life: 3, Sequence: 9, Zone: "n", Leader: &peerpb.LeaderState{Term: 7}})
	if node.peers.shouldRequestViews(now.Add(maxViewsSilence / 2)) {
		t.Error("requests views before they are overdue")
	}
	node.peers.viewsDigestAt = now.Add(-2 * maxViewsSilence)
	if !node.peers.state(now).ViewsWanted {
		t.Error("does not request views although there is a live leader")
	}
	node.peers.handleState(&peerpb.NodeState{Node: "l", Address: "126.0.0.1:1", Life: 3, Sequence: 10, Zone: "n", Leader: &peerpb.LeaderState{Term: 7, ViewsDigest: 5}})
	if node.peers.shouldRequestViews(clock.Now()) {
		t.Error("requests views although they were just confirmed")
	}
}

// TestAnswersGoOnceToARegion checks that requests from several nodes of a region are answered by
// one reply to the region, and that a node which has all views receives only a confirmation.
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
	calls := 0
	views := func(wanted func(string) bool) []dispatch.View {
		calls++
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
	if direct != 1 || spread != 1 || calls != 2 {
		t.Errorf("%d replies to one node and %d to the region for %d requesters, want one of each", direct, spread, len(south))
	}
	var held dispatch.ViewDigests
	held.Add("i", view.Digest)
	leader.peers.replyViews(&peerpb.NodeState{Address: south[0].address, ViewsDigests: held[:]}, 7, 0, views)
	if state := south[0].next(); state == nil || len(state.Leader.Views) != 0 || state.Leader.ViewsDigest != view.Digest || calls != 2 {
		t.Errorf("replied %v to a node that has all views, want only their digest", state)
	}
}

// filterViews returns the views of the wanted servers.
func filterViews(views []dispatch.View, wanted func(serverID string) bool) []dispatch.View {
	return slices.DeleteFunc(slices.Clone(views), func(view dispatch.View) bool { return !wanted(view.ServerID) })
}

// TestOnlyWhatDiffersIsAnswered checks that a node which lacks one of many views is sent few of
// them.
func TestOnlyWhatDiffersIsAnswered(t *testing.T) {
	leader := newZonedNode(t, "n")
	peer := newFakePeer(t)
	leader.observePeer("s1", peer, 1)
	var held dispatch.ViewDigests
	var views []dispatch.View
	for i := range 400 {
		view := dispatch.View{ServerID: "server-" + strconv.Itoa(i), Sequence: 1, Held: map[string][]string{"m": nil}}
		view.Digest = viewDigest(view.ServerID, viewSignature(view))
		views = append(views, view)
		leader.peers.published.record(view.ServerID, view.Digest)
		if i > 0 {
			held.Add(view.ServerID, view.Digest)
		}
	}
	leader.peers.replyViews(&peerpb.NodeState{Address: peer.address, ViewsDigests: held[:]}, 7, 0, func(wanted func(string) bool) []dispatch.View {
		return filterViews(views, wanted)
	})
	answered := make(map[string]bool)
	for state := peer.next(); state != nil; state = peer.next() {
		for _, view := range state.Leader.Views {
			answered[view.Server] = true
		}
	}
	if !answered["server-0"] || len(answered) > 30 {
		t.Errorf("%d views sent, including the missing one: %v", len(answered), answered["server-0"])
	}
}

// TestViewsGoOutInBursts checks that views are sent in bursts that fit a receiver's socket
// buffer, each view exactly once, and that the digest never covers unpublished views.
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
	received := make(map[string]int)
	all := uint64(0)
	for bursts, more := 0, true; more; bursts++ {
		before := leader.peers.sentBytes.byKind(trafficViews)
		more = leader.peers.publishViews(7, 0, views, nil)
		if sent := leader.peers.sentBytes.byKind(trafficViews) - before; sent > 3*maxBurstBytes/2 || bursts > 10 {
			t.Fatalf("burst %d has %d bytes", bursts, sent)
		}
		for state := peer.next(); state != nil; state = peer.next() {
			for _, view := range decodeViews(state.Leader.Views, state.Sequence) {
				received[view.ServerID]++
				all ^= view.Digest
			}
			if state.Leader.ViewsDigest != 0 && state.Leader.ViewsDigest != all {
				t.Fatal("the digest does not match the published views")
			}
		}
	}
	if len(received) != len(views) {
		t.Errorf("%d of %d views were published", len(received), len(views))
	}
	for id, times := range received {
		if times != 1 {
			t.Errorf("%s was published %d times", id, times)
		}
	}
}

// TestReplacedLeaderHidesNothing checks that a replaced leader which keeps publishing views that
// all nodes have does not hide that the new leader's views are missing.
func TestReplacedLeaderHidesNothing(t *testing.T) {
	node := newZonedNode(t, "s1")
	receive := func(address string, sequence uint64, term int64, digest uint64, views ...*peerpb.ServerView) {
		node.peers.handleState(&peerpb.NodeState{Node: address, Address: address, Life: 1, Sequence: sequence, Zone: "n", Leader: &peerpb.LeaderState{
			Term: term, ViewsDigest: digest, Views: views,
		}})
	}
	receive("126.0.0.1:1", 1, 8, 77, &peerpb.ServerView{Server: "i", Sequence: 1})
	receive("126.0.0.2:1", 1, 7, 5)
	if !node.peers.shouldRequestViews(clock.Now().Add(2 * viewsRequestDelay)) {
		t.Error("a replaced leader's digest hides that views are missing")
	}
}

// TestFewAskOtherRegions checks that only the first nodes of a region request data from other
// regions, and further ones only if these do not pass it on.
func TestFewAskOtherRegions(t *testing.T) {
	node := newZonedNode(t, "s1")
	node.options.Strength = 1
	remote, local := newFakePeer(t), []*fakePeer{newFakePeer(t), newFakePeer(t)}
	node.observePeer("n", remote, 1)
	now := clock.Now()
	if !node.snapshots.mayRequest(now, remote.address) {
		t.Error("the first node of its region does not request data")
	}
	for _, peer := range local {
		node.observePeer("s2", peer, 1)
	}
	node.peers.roster.SetStrength(1)
	now = clock.Now()
	if node.snapshots.mayRequest(now, remote.address) || node.snapshots.mayRequest(now.Add(otherRegionDelay/2), remote.address) {
		t.Error("requests data although stronger nodes of its region do")
	}
	if !node.snapshots.mayRequest(now.Add(otherRegionDelay/2), local[0].address) || !node.snapshots.mayRequest(now.Add(otherRegionDelay+time.Millisecond), remote.address) {
		t.Error("does not request data in its region, or from other regions after the delay")
	}
}
