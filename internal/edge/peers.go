package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
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
	// gossipPeriod is the time between a node's datagrams.
	gossipPeriod = 200 * time.Millisecond
	// gossipFanout is the number of nodes that get each of them, beside those that
	// decide; a node's cost does not grow with the fleet beyond it. Beyond manyNodes
	// it is manyFanout: news reach all a period later, and nodes of unlike zones
	// tell each other less, which is priced.
	gossipFanout = 8
	manyNodes    = 64
	manyFanout   = 6
	// loadedNodes is the number of nodes up to which each hears from all others
	// within the time that a peer's load is believed.
	loadedNodes = gossipFanout * int(time.Second/gossipPeriod)
	// toldPeers is the number of other nodes that a datagram names, and
	// manyToldPeers that beyond manyNodes.
	toldPeers     = 6
	manyToldPeers = 2
	// wantedAge is how long a count is told after its last change. The nodes that
	// go by it hear it in each period, so several datagrams may be lost.
	wantedAge = 2 * time.Second
	// noteAlivePeriod is the time between log lines on who lives.
	noteAlivePeriod = time.Second
	// wantedPause is the least time between datagrams to the leader that tell
	// of requests without a server.
	wantedPause = 10 * time.Millisecond
	// viewsLag is how long a node has other views than the leader told until it
	// asks for all, and the least time between two answers.
	viewsLag = 400 * time.Millisecond
	// datagramBytes bounds the views of one datagram.
	datagramBytes = 1200
	maxDatagram   = 64 << 10
)

// peers is the node's socket to the others.
type peers struct {
	node     *Node
	conn     *net.UDPConn
	life     uint64
	address  string
	mu       sync.Mutex
	roster   *gossip.Roster
	sequence uint64
	lastWant time.Time
	told     *toldViews
	toldAll  map[string]time.Time
	// staleSince is when the views of this node began to differ from the
	// leader's; zero while they do not.
	staleSince time.Time
	// viewsHeard is when a leader's digest of its views came last.
	viewsHeard time.Time
	// standbysTold is when nodes that may lead next were told last what is wanted;
	// toldLeader is the leader that is told, and since when.
	standbysTold   time.Time
	toldLeader     string
	toldLeaderFrom time.Time
	// spreaders are who sent on last, and asked when all views were asked for last, by
	// region, while this node leads.
	spreaders map[string]string
	asked     map[string]askedViews
	alive     map[string]bool
	// notedAt is when alive was last brought up to date.
	notedAt       time.Time
	trafficLogged time.Time
	sentBytes     sentBytes
	// unreadable counts datagrams that were dropped as they could not be read.
	unreadable atomic.Int64
	// wasSentinel is whether this node watched the store for the others at its
	// last datagram.
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
	life := rand.Uint64()
	roster := gossip.New(node.options.PeerAddress, node.options.Tunables.PeerSeeds, life)
	roster.SetStrength(node.options.Strength)
	roster.SetLocation(node.options.Zone, node.options.Topology)
	return &peers{
		node:    node,
		conn:    conn,
		life:    life,
		address: node.options.PeerAddress,
		roster:  roster,
		told:    newToldViews(),
		toldAll: make(map[string]time.Time),
		alive:   make(map[string]bool),

		viewsHeard: clock.Now(),
		spreaders:  make(map[string]string),
		asked:      make(map[string]askedViews),
		// Alone at first, the node watches for itself; its watches are new.
		wasSentinel: true,
	}, nil
}

// receive takes datagrams until ctx ends.
func (p *peers) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		count, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			sleep(ctx, wantedPause)
			continue
		}
		p.takeDatagram(buffer[:count])
	}
}

// takeDatagram takes what came; what cannot be read is counted and dropped.
func (p *peers) takeDatagram(datagram []byte) {
	state := &peerpb.NodeState{}
	if err := proto.Unmarshal(datagram, state); err != nil {
		p.unreadable.Add(1)
		return
	}
	if state.Quota != nil {
		p.node.quotas.take(state.Quota)
		return
	}
	if state.Trial != nil {
		p.node.suspects.takeTrial(state.Trial)
		return
	}
	if state.Spread != nil {
		p.sendOn(clock.Now(), state)
	}
	p.node.suspects.hear(cmp.Or(state.Address, state.Node), state.Crashes)
	if state.Address != "" {
		p.take(state)
	}
}

func (p *peers) take(state *peerpb.NodeState) {
	now := clock.Now()
	p.mu.Lock()
	isNew := !p.roster.Knows(state.Address, state.Life)
	fresh := p.roster.Observe(now, state)
	isOlder := !fresh && p.roster.Knows(state.Address, state.Life)
	count := p.roster.Count(now)
	p.mu.Unlock()
	if isOlder {
		p.takeLateViews(now, state.Leader)
	}
	if !fresh {
		return
	}
	p.greet(now, state, isNew)
	p.node.handler.SetNodes(count)
	p.node.quotas.heardSize(now, int(state.FleetNodes))
	if state.FleetKnown {
		p.node.admissions.learnFleet(int(state.FleetNodes))
	}
	p.node.hearServers(now, newsOf(state.News))
	p.node.hints.receivePeer(now, state.Words)
	p.node.dispatch.Do(func(core *dispatch.Core) {
		core.SetPeerLoads(now, state.Address, peerLoads(state.Loads))
		if state.Leader != nil {
			core.SetLeader(now, state.Leader.Term, state.Leader.LapsedMs > 0, time.Duration(state.Leader.OrderInMs)*time.Millisecond)
		}
		if state.Leader != nil && len(state.Leader.Loads) > 0 {
			core.SetFleetLoads(now, state.Leader.Term, peerLoads(state.Leader.Loads))
		}
		if state.Leader != nil && len(state.Leader.Views) > 0 {
			core.SetViews(now, state.Leader.Term, viewsOf(state.Leader.Views))
		}
	})
	if state.Leader != nil {
		p.confirmViews(now, state.Leader)
	}
	p.node.compareConfiguration(now, state.Address, state.ConfigVersion, state.ConfigAgeMs)
	p.node.compareServers(now, state)
	p.node.evacuations.hear(now, state.Address, state.Evacuations)
	if state.TellsWanted || state.ViewsWanted {
		p.node.leader.post(func() { p.node.leader.takeState(state) })
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

func (p *peers) tick() {
	now := clock.Now()
	p.noteSentinel()
	p.mu.Lock()
	p.greetings = 0
	p.mu.Unlock()
	p.node.endLapses(now)
	p.node.evacuations.settle(now)
	p.node.quotas.observe(now)
	p.node.admissions.observe(now)
	p.node.suspects.tick(now)
	p.logTraffic(now)
	p.mu.Lock()
	nodes := len(p.roster.Alive(now))
	fanout := gossipFanout
	if nodes > manyNodes {
		fanout = manyFanout
	}
	targets := p.roster.Targets(now, fanout)
	leader, standbys := p.deciders(now, nodes)
	if p.node.needsCoordinator() {
		// A coordinator has to know how many nodes it gives for.
		targets = union(targets, p.roster.Coordinators(now, true))
	}
	p.noteAlive(now)
	p.mu.Unlock()
	state := p.state(now)
	news := p.node.directory.tell(now)
	state.News = encodeNews(news)
	state.Crashes = p.node.suspects.bars(now)
	state.Words = p.node.hints.wire(now)
	loads, digests := state.Loads, state.ViewsDigests
	state.ViewsDigests = nil
	if nodes > loadedNodes {
		state.Loads = nil
	}
	near, far := p.split(without(targets, append(leader, standbys...)))
	p.send(trafficGossip, near, state)
	state.News = encodeNews(p.farNews(news))
	p.send(trafficGossip, far, state)
	// Those that decide watch the store for servers that come.
	state.News = encodeNews(slices.DeleteFunc(news, func(item gossip.ServerChange) bool { return !item.Server.Draining }))
	state.Loads, state.ViewsDigests, state.TellsWanted = loads, digests, true
	state.Wanted = p.wanted(now, p.leaderAge(now, leader))
	p.send(trafficWanted, leader, state)
	if len(standbys) > 0 {
		state.Wanted = p.wanted(now, wantedAge)
		p.send(trafficWanted, standbys, state)
	}
}

// farNews are the news that this node tells in other regions.
func (p *peers) farNews(news []gossip.ServerChange) []gossip.ServerChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	teller := p.roster.CrossRegionFilter()
	var told []gossip.ServerChange
	for _, item := range news {
		if item.Server.Draining || item.CrossRegion && teller.ShouldForward(item.Server.ID) {
			told = append(told, item)
		}
	}
	return told
}

// split divides addresses into those of this region and of others.
func (p *peers) split(addresses []string) (near, far []string) {
	for _, address := range addresses {
		if p.isFar(address) {
			far = append(far, address)
		} else {
			near = append(near, address)
		}
	}
	return near, far
}

// union adds the coordinators that are not among the addresses.
func union(addresses []string, coordinators []gossip.Coordinator) []string {
	for _, coordinator := range coordinators {
		if !slices.Contains(addresses, coordinator.Address) {
			addresses = append(addresses, coordinator.Address)
		}
	}
	return addresses
}

// without returns the addresses that are not among the others.
func without(addresses, others []string) []string {
	return slices.DeleteFunc(addresses, func(address string) bool { return slices.Contains(others, address) })
}

// noteSentinel begins the watches anew where this node becomes a sentinel: those
// that it has may be deaf for seconds more.
func (p *peers) noteSentinel() {
	is := p.isSentinel()
	p.mu.Lock()
	became := is && !p.wasSentinel
	p.wasSentinel = is
	p.mu.Unlock()
	if became {
		send(p.node.configNudge)
		send(p.node.serversNudge)
		send(p.node.evacuations.nudge)
	}
}

func (p *peers) state(now time.Time) *peerpb.NodeState {
	state := &peerpb.NodeState{
		Node:     p.node.options.Name,
		Address:  p.address,
		Life:     p.life,
		Strength: p.node.options.Strength,
		Zone:     p.node.options.Zone,
		Leaving:  p.node.stopping.Load(),

		StoreFailing: p.node.storeFailing.Load(),
		ViewsWanted:  p.wantsViews(now),
	}
	if state.ViewsWanted {
		state.ViewsDigests = p.ownViewDigests()
	}
	state.ConfigVersion = p.node.configVersion()
	if p.node.needsCoordinator() {
		size, _ := p.node.quotas.fleetSize(now)
		state.FleetNodes, state.FleetKnown = uint32(size), p.node.admissions.knowsFleet(now)
	}
	state.Evacuations = p.node.evacuations.wire(now)
	state.ConfigAgeMs = p.node.configConfirmed.wire(now)
	state.ServersAgeMs = p.node.serversConfirmed.wire(now)
	digest, at := p.node.directory.standing()
	state.ServersDigest, state.ServersEra, state.ServersRevision = digest, at.Era, at.Revision
	p.node.dispatch.Do(func(core *dispatch.Core) {
		state.Loads = encodeLoads(core.OwnLoads())
	})
	if term, lapsed := p.node.leader.standing(); term != 0 {
		leaseAt := p.node.leader.leaseAt()
		state.Leader = &peerpb.LeaderState{
			Term: term, LapsedMs: uint32(lapsed.Milliseconds()), LeaseEra: leaseAt.Era, LeaseRevision: leaseAt.Revision,
			OrderInMs: uint32(p.node.leader.orderIn().Milliseconds()),
		}
	}
	return state
}
