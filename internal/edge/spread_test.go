package edge

import (
	"net"
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

// standinPeer keeps the datagrams of leaders that come to a socket.
type standinPeer struct {
	address string
	states  chan *peerpb.NodeState
}

func newStandinPeer(t *testing.T) *standinPeer {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	peer := &standinPeer{address: conn.LocalAddr().String(), states: make(chan *peerpb.NodeState, 64)}
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
func (p *standinPeer) next() *peerpb.NodeState {
	select {
	case state := <-p.states:
		return state
	case <-time.After(300 * time.Millisecond):
		return nil
	}
}

// newPlacedNode is a node in a zone of two regions.
func newPlacedNode(t *testing.T, zone string) *Node {
	t.Helper()
	node := newTestNode(t)
	node.options.Zone = zone
	node.options.Places = locality.NewMap(map[string]string{"n": "north", "s1": "south", "s2": "south"})
	node.peers.roster.SetPlace(zone, node.options.Places)
	return node
}

func (n *Node) hearPeer(zone string, peer *standinPeer, sequence uint64) {
	n.peers.take(&peerpb.NodeState{Node: peer.address, Address: peer.address, Life: 1, Sequence: sequence, Zone: zone, Strength: 5})
}

// TestViewsGoOnceToARegionAndOnFromThere: the leader sends one datagram to a region, and
// who gets it sends it on as it is, without the order to do so.
func TestViewsGoOnceToARegionAndOnFromThere(t *testing.T) {
	leader, spreader := newPlacedNode(t, "n"), newPlacedNode(t, "s1")
	var south []*standinPeer
	for i := range 4 {
		peer := newStandinPeer(t)
		south = append(south, peer)
		leader.hearPeer("s"+strconv.Itoa(i%2+1), peer, 1)
		spreader.hearPeer("s"+strconv.Itoa(i%2+1), peer, 1)
	}
	view := dispatch.View{ServerID: "i", Sequence: 1, Held: map[string][]string{"m": nil}}
	view.Digest = digest(view.ServerID, signature(view))
	leader.peers.tellViews(7, 0, []dispatch.View{view}, nil)
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
	spreader.peers.takeDatagram(datagram)
	for _, peer := range south {
		state := peer.next()
		if state == nil || state.Spread != nil || state.Leader == nil || state.Leader.Term != 7 || len(state.Leader.Views) != 1 || state.Sequence != sent.Sequence {
			t.Errorf("%s got %v, want the leader's datagram as it was", peer.address, state)
		}
	}
	if got := leader.peers.sentBytes[trafficViews][locality.OtherRegion].Load(); got == 0 || got != leader.peers.sentBytes.of(trafficViews) {
		t.Errorf("%d bytes are counted as sent to another region, of %d", got, leader.peers.sentBytes.of(trafficViews))
	}
}

// TestOvertakenViewsAreTaken: a datagram that came over another node is not lost where one
// that the leader sent later came straight.
func TestOvertakenViewsAreTaken(t *testing.T) {
	node := newPlacedNode(t, "s1")
	node.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "i", Service: "s", Address: "127.0.0.1:1", Zone: "s1"}}})
	})
	later := &peerpb.NodeState{Node: "l", Address: "126.0.0.1:1", Life: 3, Sequence: 9, Zone: "n", Leader: &peerpb.LeaderState{Term: 7}}
	node.peers.take(later)
	node.peers.take(&peerpb.NodeState{Node: "l", Address: "126.0.0.1:1", Life: 3, Sequence: 8, Zone: "n", Leader: &peerpb.LeaderState{
		Term: 7, Views: []*peerpb.ServerView{{Server: "i", Sequence: 1, Held: []*peerpb.HeldModel{{Model: "m"}}}},
	}})
	node.dispatch.Do(func(core *dispatch.Core) {
		if !core.CanPick(clock.Now(), dispatch.Ask{Service: "s", Model: "m"}) {
			t.Error("the view was dropped")
		}
	})
}

// TestNodeWithoutViewsAsksForThem: who sends on may not reach it. What it has already is
// only confirmed to it.
func TestNodeWithoutViewsAsksForThem(t *testing.T) {
	node := newPlacedNode(t, "s1")
	now := clock.Now()
	node.peers.take(&peerpb.NodeState{Node: "l", Address: "126.0.0.1:1", Life: 3, Sequence: 9, Zone: "n", Leader: &peerpb.LeaderState{Term: 7}})
	if node.peers.wantsViews(now.Add(viewsSilence / 2)) {
		t.Error("asks before they are due")
	}
	node.peers.viewsHeard = now.Add(-2 * viewsSilence)
	if !node.peers.state(now).ViewsWanted {
		t.Error("does not ask for views though a leader lives")
	}
	node.peers.take(&peerpb.NodeState{Node: "l", Address: "126.0.0.1:1", Life: 3, Sequence: 10, Zone: "n", Leader: &peerpb.LeaderState{Term: 7, ViewsDigest: 5}})
	if node.peers.wantsViews(clock.Now()) {
		t.Error("asks though it heard of the views just now")
	}
}

// TestAnswersGoOnceToARegion that asks from several nodes at once, and what an asker has
// is only confirmed.
func TestAnswersGoOnceToARegion(t *testing.T) {
	leader := newPlacedNode(t, "n")
	var south []*standinPeer
	for range 4 {
		peer := newStandinPeer(t)
		south = append(south, peer)
		leader.hearPeer("s1", peer, 1)
	}
	view := dispatch.View{ServerID: "i", Sequence: 1, Held: map[string][]string{"m": nil}}
	view.Digest = digest(view.ServerID, signature(view))
	leader.peers.told["i"] = view.Digest
	asked := 0
	views := func() []dispatch.View { asked++; return []dispatch.View{view} }
	for _, peer := range south {
		leader.peers.answerViews(&peerpb.NodeState{Address: peer.address}, 7, 0, views)
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
	leader.peers.answerViews(&peerpb.NodeState{Address: south[0].address, ViewsDigest: view.Digest}, 7, 0, views)
	if state := south[0].next(); state == nil || len(state.Leader.Views) != 0 || state.Leader.ViewsDigest != view.Digest || asked != 2 {
		t.Errorf("answered %v to a node that has all views, want their digest alone", state)
	}
}
