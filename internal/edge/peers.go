package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

const (
	// gossipPeriod is the interval between a node's datagrams.
	gossipPeriod = 200 * time.Millisecond
	// gossipFanout is the number of nodes that receive each datagram, in addition to the leader
	// and potential leaders. It bounds a node's cost in large fleets. Above largeFleetNodes it
	// is largeFleetFanout: changes reach all nodes one period later, and nodes of different
	// zones exchange less traffic, which is billed.
	gossipFanout     = 8
	largeFleetNodes  = 64
	largeFleetFanout = 6
	// maxLoadSharingNodes is the number of nodes up to which each hears from all others within
	// the time that a peer's load is considered valid.
	maxLoadSharingNodes = gossipFanout * int(time.Second/gossipPeriod)
	// sampledPeers is the number of other nodes that a datagram names, and
	// largeFleetSampledPeers the number above largeFleetNodes.
	sampledPeers           = 6
	largeFleetSampledPeers = 2
	// demandWindow is how long a count is sent after its last change. The nodes that use it
	// receive it in each period, so several datagrams may be lost.
	demandWindow = 2 * time.Second
	// aliveLogPeriod is the interval between log lines on live peers.
	aliveLogPeriod = time.Second
	// minDemandInterval is the minimum interval between datagrams to the leader that report
	// requests without a server.
	minDemandInterval = 10 * time.Millisecond
	// viewsRequestDelay is how long a node's views may differ from the leader's before it
	// requests them all, and the minimum interval between two replies.
	viewsRequestDelay = 400 * time.Millisecond
	// maxViewsBytes bounds the views of one datagram.
	maxViewsBytes = 1200
	maxDatagram   = 64 << 10
	// budgetLogPeriod is the minimum interval between log lines on a service's retry budget.
	budgetLogPeriod = time.Second
)

// packetConn is what peers need of a UDP socket.
type packetConn interface {
	ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error)
	WriteToUDP(payload []byte, to *net.UDPAddr) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// peers is the node's UDP socket to the other nodes, with what it knows of them.
type peers struct {
	node        *Node
	conn        packetConn
	incarnation uint64
	address     string
	// ticking is held during a tick.
	ticking        sync.Mutex
	mu             sync.Mutex
	roster         *gossip.Roster
	sequence       uint64
	lastDemandSent time.Time
	published      *publishedViews
	viewsSentAt    map[string]time.Time
	// viewsDifferSince is when this node's views began to differ from the leader's; zero while
	// they match.
	viewsDifferSince time.Time
	// viewsDigestAt is when a leader's digest of its views last arrived.
	viewsDigestAt time.Time
	// standbysSentAt is when demand was last sent to potential next leaders. demandLeader is the
	// leader that demand is sent to, since demandLeaderSince.
	standbysSentAt    time.Time
	demandLeader      string
	demandLeaderSince time.Time
	// spreaders holds the last spreader and viewsRequests the last request for views per region
	// or zone, while this node leads.
	spreaders     map[string]string
	viewsRequests map[string]viewsRequest
	alive         map[string]bool
	// aliveCheckedAt is when alive was last updated.
	aliveCheckedAt  time.Time
	trafficLoggedAt time.Time
	sentBytes       sentBytes
	// unreadable counts datagrams dropped because they could not be decoded.
	unreadable atomic.Int64
	// wasSentinel records whether this node was a sentinel at its last datagram.
	wasSentinel bool
	// greetings counts the nodes greeted in this period.
	greetings int
}

func newPeers(node *Node) (*peers, error) {
	address, err := net.ResolveUDPAddr("udp4", node.options.PeerListenAddress)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	incarnation := rand.Uint64()
	roster := gossip.New(node.options.PeerAddress, node.options.Tunables.PeerSeeds, incarnation)
	roster.SetStrength(node.options.Strength)
	roster.SetLocation(node.options.Zone, node.options.Topology)
	return &peers{
		node:        node,
		conn:        conn,
		incarnation: incarnation,
		address:     node.options.PeerAddress,
		roster:      roster,
		published:   newPublishedViews(),
		viewsSentAt: make(map[string]time.Time),
		alive:       make(map[string]bool),

		viewsDigestAt: clock.Now(),
		spreaders:     make(map[string]string),
		viewsRequests: make(map[string]viewsRequest),
		// A new node is alone at first and watches for itself; its watches are fresh.
		wasSentinel: true,
	}, nil
}

// receive handles datagrams until ctx ends.
func (p *peers) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		count, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			sleep(ctx, minDemandInterval)
			continue
		}
		p.handleDatagram(buffer[:count])
	}
}

// handleDatagram handles one datagram. An undecodable one is counted and dropped.
func (p *peers) handleDatagram(datagram []byte) {
	state := &peerpb.NodeState{}
	if err := proto.Unmarshal(datagram, state); err != nil {
		p.unreadable.Add(1)
		return
	}
	if state.Quota != nil {
		p.node.quotas.handleCall(state.Quota)
		return
	}
	if state.Trial != nil {
		p.node.suspects.handleTrial(state.Trial)
		return
	}
	if state.OriginCall != nil {
		p.node.origins.handleCall(state.OriginCall)
		return
	}
	p.node.origins.receive(clock.Now(), state.Origins)
	if state.Spread != nil {
		p.relay(clock.Now(), state)
	}
	p.node.suspects.receive(cmp.Or(state.Address, state.Node), state.Crashes)
	if state.Address != "" {
		p.handleState(state)
	}
}

func (p *peers) handleState(state *peerpb.NodeState) {
	now := clock.Now()
	p.mu.Lock()
	isNew := !p.roster.Knows(state.Address, state.Life)
	isNewer := p.roster.Observe(now, state)
	isOlder := !isNewer && p.roster.Knows(state.Address, state.Life)
	p.mu.Unlock()
	if isOlder {
		p.applyLateViews(now, state.Leader, state.Sequence)
	}
	if !isNewer {
		return
	}
	p.greet(now, state, isNew)
	p.node.quotas.receiveFleetSize(now, int(state.FleetNodes))
	if state.FleetKnown {
		p.node.admissions.learnFleetSize(int(state.FleetNodes))
	}
	p.node.receivePeerChanges(now, decodeChanges(state.News))
	p.node.hints.receiveFromPeer(now, state.Words)
	p.node.dispatch.Do(func(core *dispatch.Core) {
		core.SetPeerLoads(now, state.Address, decodeLoads(state.Loads))
		if state.Leader != nil {
			core.SetLeader(now, state.Leader.Term, state.Leader.LapsedMs > 0, time.Duration(state.Leader.OrderInMs)*time.Millisecond)
		}
		if state.Leader != nil && len(state.Leader.Loads) > 0 {
			core.SetFleetLoads(now, state.Leader.Term, decodeLoads(state.Leader.Loads))
		}
		if state.Leader != nil && len(state.Leader.Views) > 0 {
			core.SetViews(now, state.Leader.Term, decodeViews(state.Leader.Views, state.Sequence))
		}
	})
	if state.Leader != nil {
		p.confirmViews(now, state.Leader)
	}
	p.node.compareConfiguration(now, state.Address, state.ConfigVersion, state.ConfigAgeMs)
	p.node.compareServers(now, state)
	p.node.evacuations.receive(now, state.Address, state.Evacuations)
	if state.TellsWanted || state.ViewsWanted {
		p.node.leader.post(func() { p.node.leader.handleState(state) })
	}
}

// run sends the node's state in each period.
func (p *peers) run(ctx context.Context) {
	ticker := time.NewTicker(gossipPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.tick()
		}
	}
}

// tick sends the node's state and does what is due. Changes that others have to learn at once make it come before the
// period is over.
func (p *peers) tick() {
	p.ticking.Lock()
	defer p.ticking.Unlock()
	now := clock.Now()
	p.refreshOnSentinel()
	p.mu.Lock()
	p.greetings = 0
	p.mu.Unlock()
	p.node.finishExpiryGrace(now)
	p.node.evacuations.expireOverrides(now)
	p.node.quotas.observe(now)
	p.node.admissions.observe(now)
	p.node.suspects.tick(now)
	p.node.origins.tick(now)
	p.logTraffic(now)
	p.shareRetryBudget(now)
	p.mu.Lock()
	p.roster.SetCannotOrder(p.node.reachable.cannotOrder())
	nodes := len(p.roster.Alive(now))
	fanout := gossipFanout
	if nodes > largeFleetNodes {
		fanout = largeFleetFanout
	}
	targets := p.roster.Targets(now, fanout)
	leader, standbys := p.demandTargets(now, nodes)
	if p.node.needsCoordinator() {
		// A coordinator has to know how many nodes it grants for.
		targets = addCoordinators(targets, p.roster.Coordinators(now, true))
	}
	p.logAliveChanges(now)
	p.mu.Unlock()
	state := p.state(now)
	changes := p.node.directory.takeDue(now)
	state.News = encodeChanges(changes)
	state.Crashes = p.node.suspects.encodeDueBars(now)
	state.Words = p.node.hints.takeDue(now)
	loads, digests := state.Loads, state.ViewsDigests
	state.ViewsDigests = nil
	if nodes > maxLoadSharingNodes {
		state.Loads = nil
	}
	gossiped, others := splitByMembership(standbys, targets)
	p.sendWithChanges(trafficGossip, exclude(targets, append(leader, standbys...)), state, changes)
	state.Loads, state.ViewsDigests = loads, digests
	// The leader learns of new servers from the store, and potential leaders as others do.
	draining := slices.DeleteFunc(slices.Clone(changes), func(item gossip.ServerChange) bool { return !item.Server.Draining })
	p.setDemand(state, now, p.demandWindowFor(now, leader))
	p.sendWithChanges(trafficDemand, leader, state, draining)
	if len(standbys) > 0 {
		p.setDemand(state, now, demandWindow)
		p.sendWithChanges(trafficDemand, gossiped, state, changes)
		p.sendWithChanges(trafficDemand, others, state, draining)
	}
}

// sendWithChanges sends the state with the changes of servers that concern each target's region.
func (p *peers) sendWithChanges(kind trafficKind, targets []string, state *peerpb.NodeState, changes []gossip.ServerChange) {
	sameRegion, otherRegion := p.splitByRegion(targets)
	state.News = encodeChanges(changes)
	p.send(kind, sameRegion, state)
	if len(otherRegion) > 0 {
		state.News = encodeChanges(p.crossRegionChanges(changes))
		p.send(kind, otherRegion, state)
	}
}

// splitByMembership divides addresses into those that are in the set and the others.
func splitByMembership(addresses, set []string) (in, out []string) {
	for _, address := range addresses {
		if slices.Contains(set, address) {
			in = append(in, address)
		} else {
			out = append(out, address)
		}
	}
	return in, out
}

// announceStop tells all nodes at once that this one is stopping: those that ask it, and those that take over
// from it, would otherwise learn of it one after the other.
func (p *peers) announceStop() {
	now := clock.Now()
	p.broadcast(trafficGossip, p.planBroadcast(now), p.state(now))
}

// shareRetryBudget tells the request path by how many nodes to divide the retry budget.
func (p *peers) shareRetryBudget(now time.Time) {
	nodes, _ := p.node.quotas.fleetSize(now)
	p.node.handler.SetNodes(nodes, p.node.admissions.isSingleNode() || p.node.admissions.knowsFleetSize(now))
	p.node.handler.LogRetryBudget(now, budgetLogPeriod)
}

// crossRegionChanges returns the changes that this node sends to other regions.
func (p *peers) crossRegionChanges(changes []gossip.ServerChange) []gossip.ServerChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	filter := p.roster.CrossRegionFilter()
	var forwarded []gossip.ServerChange
	for _, item := range changes {
		if item.Server.Draining || item.CrossRegion && filter.ShouldForward(item.Server.ID) {
			forwarded = append(forwarded, item)
		}
	}
	return forwarded
}

// splitByRegion divides addresses into those of this region and of others.
func (p *peers) splitByRegion(addresses []string) (sameRegion, otherRegion []string) {
	for _, address := range addresses {
		if p.isInOtherRegion(address) {
			otherRegion = append(otherRegion, address)
		} else {
			sameRegion = append(sameRegion, address)
		}
	}
	return sameRegion, otherRegion
}

// addCoordinators adds the coordinators that are not among the addresses.
func addCoordinators(addresses []string, coordinators []gossip.Coordinator) []string {
	for _, coordinator := range coordinators {
		if !slices.Contains(addresses, coordinator.Address) {
			addresses = append(addresses, coordinator.Address)
		}
	}
	return addresses
}

// exclude returns the addresses that are not among the others.
func exclude(addresses, others []string) []string {
	return slices.DeleteFunc(addresses, func(address string) bool { return slices.Contains(others, address) })
}

// refreshOnSentinel restarts the watches when this node becomes a sentinel: the existing ones
// may have stalled and would remain so for seconds.
func (p *peers) refreshOnSentinel() {
	isSentinel := p.isSentinel()
	p.mu.Lock()
	became := isSentinel && !p.wasSentinel
	p.wasSentinel = isSentinel
	p.mu.Unlock()
	if became {
		signal(p.node.configRefresh)
		signal(p.node.serversRefresh)
		signal(p.node.evacuations.refresh)
	}
}

func (p *peers) state(now time.Time) *peerpb.NodeState {
	unreachable := p.node.reachable.unreachable()
	state := &peerpb.NodeState{
		Node:     p.node.options.Name,
		Address:  p.address,
		Life:     p.incarnation,
		Strength: p.node.options.Strength,
		Zone:     p.node.options.Zone,
		Leaving:  p.node.stopping.Load(),

		StoreFailing: p.node.storeFailing.Load(),
		Unreachable:  unreachable,
		CannotOrder:  p.node.reachable.includesModels(unreachable),

		AcceptsForwarded: true,

		ViewsWanted: p.shouldRequestViews(now),
	}
	if state.ViewsWanted {
		state.ViewsDigests = p.ownViewDigests()
	}
	state.ConfigVersion = p.node.configVersion()
	size, _ := p.node.quotas.fleetSize(now)
	state.FleetNodes, state.FleetKnown = uint32(size), p.node.admissions.knowsFleetSize(now)
	state.Evacuations = p.node.evacuations.encode(now)
	state.ConfigAgeMs = p.node.configConfirmed.encodedAge(now)
	state.ServersAgeMs = p.node.serversConfirmed.encodedAge(now)
	digest, at := p.node.directory.digestAndPosition()
	state.ServersDigest, state.ServersEra, state.ServersRevision = digest, at.Era, at.Revision
	p.node.dispatch.Do(func(core *dispatch.Core) {
		state.Loads = encodeLoads(core.OwnLoads())
	})
	if term, expiredFor := p.node.leader.leadership(); term != 0 {
		leasePosition := p.node.leader.leasePosition()
		state.Leader = &peerpb.LeaderState{
			Term: term, LapsedMs: uint32(expiredFor.Milliseconds()), LeaseEra: leasePosition.Era, LeaseRevision: leasePosition.Revision,
			OrderInMs: uint32(p.node.leader.untilFirstOrder().Milliseconds()),
		}
	}
	return state
}
