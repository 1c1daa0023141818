package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// datagramOverheadBytes is the size of the IP and UDP headers.
const datagramOverheadBytes = 28

// network runs cores on a virtual clock over a faulty network.
type network struct {
	now      time.Time
	random   *rand.Rand
	nodes    map[string]*testNode
	inFlight []inFlightPacket
	latency  time.Duration
	loss     float64
	// cut reports whether packets from one address to the other are lost.
	cut     func(from, to string) bool
	options func(*Options)
	boots   uint64
	// skew is the clock offset of each node.
	skew map[string]time.Duration
}

type testNode struct {
	core   *Core
	paused bool
	// inbox holds the packets received during a pause.
	inbox     []Receive
	sentBytes int
	largest   int
}

type inFlightPacket struct {
	deliverAt time.Time
	order     int
	from, to  string
	packet    []byte
}

func newNetwork(seed uint64) *network {
	return &network{
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		random:  rand.New(rand.NewPCG(seed, seed)),
		nodes:   make(map[string]*testNode),
		skew:    make(map[string]time.Duration),
		latency: time.Millisecond,
		cut:     func(string, string) bool { return false },
		options: func(*Options) {},
	}
}

func address(zone, index int) string { return fmt.Sprintf("10.0.%d.%d:7001", zone, index) }

// start starts a node, or restarts it under the same name and address.
func (n *network) start(zone, index int, seeds ...string) *testNode {
	n.boots++
	gossip := address(zone, index)
	host := gossip[:len(gossip)-len("7001")]
	options := Options{
		Self: fleet.Member{
			Name:   fleet.NodeName(fmt.Sprintf("node-%02d-%03d", zone, index)),
			Zone:   fleet.Zone(fmt.Sprintf("zone-%02d", zone)),
			BootID: n.boots,
			Addresses: fleet.Addresses{
				Gossip: gossip, Caller: host + "7002", Operator: host + "7003", Peer: host + "7004",
			},
		},
		Seeds:      seeds,
		RandomSeed: n.random.Uint64(),
	}
	n.options(&options)
	node := &testNode{core: New(options)}
	n.nodes[gossip] = node
	n.step(gossip, Tick{})
	return node
}

func (n *network) step(at string, message Message) {
	node := n.nodes[at]
	for _, effect := range node.core.Step(n.now.Add(n.skew[at]), message) {
		send, found := effect.(Send)
		if !found {
			continue
		}
		node.sentBytes += len(send.Packet) + datagramOverheadBytes
		node.largest = max(node.largest, len(send.Packet))
		if n.cut(at, send.To) || n.random.Float64() < n.loss {
			continue
		}
		jitter := time.Duration(n.random.Int64N(int64(n.latency)))
		n.inFlight = append(n.inFlight, inFlightPacket{
			deliverAt: n.now.Add(n.latency + jitter), order: len(n.inFlight), from: at, to: send.To, packet: send.Packet,
		})
	}
}

// run advances the clock in small steps.
func (n *network) run(duration time.Duration) {
	const tick = 5 * time.Millisecond
	for end := n.now.Add(duration); n.now.Before(end); n.now = n.now.Add(tick) {
		due := n.inFlight
		n.inFlight = nil
		slices.SortFunc(due, func(first, second inFlightPacket) int {
			return cmp.Or(first.deliverAt.Compare(second.deliverAt), cmp.Compare(first.order, second.order))
		})
		for _, packet := range due {
			if packet.deliverAt.After(n.now) {
				n.inFlight = append(n.inFlight, packet)
				continue
			}
			n.deliver(packet)
		}
		for _, at := range n.addresses() {
			if node := n.nodes[at]; !node.paused && !n.now.Add(n.skew[at]).Before(node.core.NextWake()) {
				n.step(at, Tick{})
			}
		}
	}
}

func (n *network) deliver(packet inFlightPacket) {
	node := n.nodes[packet.to]
	if node == nil {
		return
	}
	received := Receive{From: packet.from, Packet: packet.packet}
	if node.paused {
		node.inbox = append(node.inbox, received)
		return
	}
	n.step(packet.to, received)
}

func (n *network) resume(at string) {
	node := n.nodes[at]
	node.paused = false
	for _, received := range node.inbox {
		n.step(at, received)
	}
	node.inbox = nil
}

func (n *network) addresses() []string {
	addresses := make([]string, 0, len(n.nodes))
	for at := range n.nodes {
		addresses = append(addresses, at)
	}
	slices.Sort(addresses)
	return addresses
}

// state returns the state of one node as held by another.
func (n *network) state(at, of string) fleet.MemberState {
	for _, member := range n.nodes[at].core.Members() {
		if member.Addresses.Gossip == of {
			return member.State
		}
	}
	return ""
}

// record returns the member record of one node as held by another.
func (n *network) record(at, of string) fleet.Member {
	for _, held := range n.nodes[at].core.records {
		if held.member.Addresses.Gossip == of {
			return held.member
		}
	}
	return fleet.Member{}
}

func (n *network) boot(at, of string) uint64 {
	return n.record(at, of).BootID
}

// countDeadViews runs for the duration and counts, every 100 ms, how many running nodes each
// running node holds as dead.
func (n *network) countDeadViews(duration time.Duration) int {
	deadViews := 0
	for end := n.now.Add(duration); n.now.Before(end); {
		n.run(100 * time.Millisecond)
		for _, at := range n.addresses() {
			for _, held := range n.nodes[at].core.records {
				if held.member.State == fleet.MemberDead && n.nodes[held.member.Addresses.Gossip] != nil {
					deadViews++
				}
			}
		}
	}
	return deadViews
}

// measure runs for the duration and returns the mean and the highest bytes per second sent by a
// node, headers included, and the size of the largest packet.
func (n *network) measure(duration time.Duration) (float64, float64, int) {
	for _, node := range n.nodes {
		node.sentBytes = 0
	}
	n.run(duration)
	var total, highest float64
	largest := 0
	for _, node := range n.nodes {
		rate := float64(node.sentBytes) / duration.Seconds()
		total += rate
		highest = max(highest, rate)
		largest = max(largest, node.largest)
	}
	return total / float64(len(n.nodes)), highest, largest
}

// statePacket encodes a packet with one member.
func statePacket(member fleet.Member) []byte {
	packet, _ := proto.Marshal(&peerpb.GossipPacket{
		Kind:    peerpb.GossipPacket_STATE,
		Members: []*peerpb.GossipMember{encodeMember(member)},
	})
	return packet
}

// runUntil runs until the condition is true and returns how long it took.
func (n *network) runUntil(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	const step = 50 * time.Millisecond
	startTime := n.now
	for n.now.Sub(startTime) < limit {
		if condition() {
			return n.now.Sub(startTime)
		}
		n.run(step)
	}
	t.Fatalf("%s: not within %v", what, limit)
	return 0
}

// converged reports whether every running node holds all others as alive.
func (n *network) converged() bool {
	for _, node := range n.nodes {
		alive := 0
		for _, held := range node.core.records {
			if node.core.view(held.member).State == fleet.MemberAlive {
				alive++
			}
		}
		if alive != len(n.nodes) {
			return false
		}
	}
	return true
}

// startZones starts zones of the given size, all joining through one seed.
func (n *network) startZones(zones, size int) {
	seed := address(0, 1)
	for zone := range zones {
		for index := 1; index <= size; index++ {
			n.start(zone, index, seed)
		}
	}
}
