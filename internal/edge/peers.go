package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/placer"
)

const (
	// gossipPeriod is the time between a node's datagrams.
	gossipPeriod = 200 * time.Millisecond
	// gossipFanout is the number of nodes that get each of them, beside the
	// leader; a node's cost does not grow with the fleet beyond it.
	gossipFanout = 8
	// wantedAge is how long a count is told after its last change.
	wantedAge = 2 * time.Second
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
	told     map[string]uint64
	toldAll  map[string]time.Time
	// staleSince is when the views of this node began to differ from the
	// leader's; zero while they do not.
	staleSince time.Time
	alive      map[string]bool
}

func newPeers(node *Node) (*peers, error) {
	address, err := net.ResolveUDPAddr("udp4", node.options.PeerAddress)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, err
	}
	life := rand.Uint64()
	return &peers{
		node:    node,
		conn:    conn,
		life:    life,
		address: node.options.PeerAddress,
		roster:  gossip.New(node.options.PeerAddress, node.options.Tunables.PeerSeeds, life),
		told:    make(map[string]uint64),
		toldAll: make(map[string]time.Time),
		alive:   make(map[string]bool),
	}, nil
}

// count is the number of other nodes heard from lately.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.roster.Alive(time.Now()))
}

// addSeeds tries further addresses.
func (p *peers) addSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.AddSeeds(seeds)
}

// isSentinel reports whether this node watches the store for the others.
func (p *peers) isSentinel() bool {
	term, _ := p.node.leader.standing()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.IsSentinel(time.Now(), term != 0, p.node.storeFailing.Load())
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
		state := &peerpb.NodeState{}
		if proto.Unmarshal(buffer[:count], state) == nil {
			p.take(state)
		}
	}
}

func (p *peers) take(state *peerpb.NodeState) {
	now := time.Now()
	p.mu.Lock()
	fresh := p.roster.Observe(now, state)
	count := p.roster.Count(now)
	p.mu.Unlock()
	if !fresh {
		return
	}
	p.node.handler.SetNodes(count)
	p.node.dispatch.Do(func(core *dispatch.Core) {
		core.SetPeerLoads(now, state.Address, peerLoads(state.Loads))
		for _, going := range state.Going {
			core.SetGoing(going.Server, going.BeforeRevision)
		}
		if state.Leader != nil && len(state.Leader.Views) > 0 {
			core.SetViews(now, state.Leader.Term, viewsOf(state.Leader.Views))
		}
	})
	if state.Leader != nil {
		p.confirmViews(now, state.Leader)
	}
	if table := p.node.handler.Table(); table != nil && state.ConfigVersion > table.Version {
		send(p.node.configNudge)
	}
	p.node.compareServers(now, state.ServersDigest, state.ServersRevision)
	p.node.leader.post(func() { p.node.leader.takeState(state) })
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
	now := time.Now()
	p.mu.Lock()
	targets := p.roster.Targets(now, gossipFanout)
	p.noteAlive(now)
	if leader := p.roster.Leader(now); leader != nil {
		targets = append(targets, leader.Address)
	}
	p.mu.Unlock()
	p.send(targets, p.state(now))
}

// noteAlive logs the peers that came and went. The lock is held.
func (p *peers) noteAlive(now time.Time) {
	alive := make(map[string]bool, len(p.alive))
	for _, peer := range p.roster.Alive(now) {
		alive[peer.Address] = true
		if !p.alive[peer.Address] {
			p.node.options.Logger.Info().Str("peer", peer.Name).Str("address", peer.Address).Msg("peer_alive")
		}
	}
	for address := range p.alive {
		if !alive[address] {
			p.node.options.Logger.Info().Str("address", address).Msg("peer_silent")
		}
	}
	p.alive = alive
}

// tellWanted sends the leader at once what waits here.
func (p *peers) tellWanted() {
	now := time.Now()
	p.mu.Lock()
	leader := p.roster.Leader(now)
	early := now.Sub(p.lastWant) < wantedPause
	if !early {
		p.lastWant = now
	}
	p.mu.Unlock()
	p.node.leader.post(func() {})
	if leader != nil && !early {
		p.send([]string{leader.Address}, p.state(now))
	}
}

// tellViews sends all nodes what changed of the leader's views, and a digest of
// all by which they see whether they have missed some.
func (p *peers) tellViews(term int64, lapsed time.Duration, views []dispatch.View) {
	now := time.Now()
	p.mu.Lock()
	var targets []string
	for _, peer := range p.roster.Alive(now) {
		targets = append(targets, peer.Address)
	}
	var changed []dispatch.View
	for _, view := range views {
		if p.told[view.ServerID] != view.Digest {
			p.told[view.ServerID] = view.Digest
			changed = append(changed, view)
		}
	}
	p.mu.Unlock()
	p.sendViews(targets, term, lapsed, changed)
}

// forgetViews drops what was told of servers that are gone, or of all.
func (p *peers) forgetViews(keep func(serverID string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.told {
		if !keep(id) {
			delete(p.told, id)
		}
	}
}

// sendViews sends views in as many datagrams as they need, one at the least.
func (p *peers) sendViews(targets []string, term int64, lapsed time.Duration, views []dispatch.View) {
	encoded := make([]*peerpb.ServerView, 0, len(views))
	for _, view := range views {
		encoded = append(encoded, encodeView(view))
	}
	p.mu.Lock()
	all := uint64(0)
	for _, digest := range p.told {
		all ^= digest
	}
	p.mu.Unlock()
	for first := true; first || len(encoded) > 0; first = false {
		state := p.state(time.Now())
		state.Leader = &peerpb.LeaderState{
			Term: term, LapsedMs: uint32(lapsed.Milliseconds()), LeaseRevision: p.node.leader.leaseRevision(),
		}
		encoded = fillViews(state.Leader, encoded)
		if len(encoded) == 0 {
			state.Leader.ViewsDigest = all
		}
		p.send(targets, state)
	}
}

// answerViews sends all views to a node that asked for them.
func (p *peers) answerViews(address string, term int64, lapsed time.Duration, views []dispatch.View) {
	now := time.Now()
	p.mu.Lock()
	early := now.Sub(p.toldAll[address]) < viewsLag
	if !early {
		p.toldAll[address] = now
	}
	p.mu.Unlock()
	if !early {
		p.sendViews([]string{address}, term, lapsed, views)
	}
}

// confirmViews compares the views of this node with the leader's digest.
func (p *peers) confirmViews(now time.Time, leader *peerpb.LeaderState) {
	if leader.ViewsDigest == 0 {
		return
	}
	same := false
	p.node.dispatch.Do(func(core *dispatch.Core) { same = core.ConfirmViews(now, leader.Term, leader.ViewsDigest) })
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case same:
		p.staleSince = time.Time{}
	case p.staleSince.IsZero():
		p.staleSince = now
	}
}

// fillViews moves as many views into a datagram as it may hold.
func fillViews(leader *peerpb.LeaderState, views []*peerpb.ServerView) []*peerpb.ServerView {
	size := 0
	for len(views) > 0 {
		size += proto.Size(views[0])
		if size > datagramBytes && len(leader.Views) > 0 {
			break
		}
		leader.Views = append(leader.Views, views[0])
		views = views[1:]
	}
	return views
}

func (p *peers) state(now time.Time) *peerpb.NodeState {
	state := &peerpb.NodeState{
		Node:    p.node.options.Name,
		Address: p.address,
		Life:    p.life,
		Leaving: p.node.stopping.Load(),

		StoreFailing: p.node.storeFailing.Load(),
		ViewsWanted:  p.wantsViews(now),
	}
	if table := p.node.handler.Table(); table != nil {
		state.ConfigVersion = table.Version
	}
	p.node.viewMu.Lock()
	state.ServersDigest, state.ServersRevision = p.node.serversDigest, p.node.serversRevision
	for id, known := range p.node.going {
		if now.Sub(known.learned) < goingTold {
			state.Going = append(state.Going, &peerpb.ServerGoing{Server: id, BeforeRevision: known.beforeRevision})
		}
	}
	p.node.viewMu.Unlock()
	p.node.dispatch.Do(func(core *dispatch.Core) {
		for _, load := range core.OwnLoads() {
			state.Loads = append(state.Loads, &peerpb.ServerLoad{
				Server: load.ServerID, Running: uint32(load.Running), PendingTokens: uint32(load.PendingTokens),
			})
		}
		for _, count := range core.Demand(now.Add(-wantedAge)) {
			state.Wanted = append(state.Wanted, &peerpb.WantedCount{
				Service: count.Wanted.Service, Model: count.Wanted.Model, Adapter: count.Wanted.Adapter,
				Asked: uint64(count.Asked), Waiting: uint32(count.Waiting), PromptTokens: uint64(count.PromptTokens),
				GoalMs: uint32(count.Goal.Milliseconds()),
			})
		}
	})
	if term, lapsed := p.node.leader.standing(); term != 0 {
		state.Leader = &peerpb.LeaderState{Term: term, LapsedMs: uint32(lapsed.Milliseconds()), LeaseRevision: p.node.leader.leaseRevision()}
	}
	return state
}

func (p *peers) wantsViews(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.staleSince.IsZero() && now.Sub(p.staleSince) > viewsLag
}

func (p *peers) send(targets []string, state *peerpb.NodeState) {
	p.mu.Lock()
	p.sequence++
	state.Sequence = p.sequence
	state.Peers = p.roster.Sample(time.Now())
	p.mu.Unlock()
	datagram, err := proto.Marshal(state)
	if err != nil {
		return
	}
	sent := make(map[string]bool, len(targets))
	for _, target := range targets {
		if sent[target] {
			continue
		}
		sent[target] = true
		if address, err := net.ResolveUDPAddr("udp4", target); err == nil {
			_, _ = p.conn.WriteToUDP(datagram, address)
		}
	}
}

func peerLoads(wire []*peerpb.ServerLoad) []dispatch.PeerLoad {
	loads := make([]dispatch.PeerLoad, 0, len(wire))
	for _, load := range wire {
		loads = append(loads, dispatch.PeerLoad{
			ServerID: load.Server, Running: int(load.Running), PendingTokens: float64(load.PendingTokens),
		})
	}
	return loads
}

func viewsOf(wire []*peerpb.ServerView) []dispatch.View {
	views := make([]dispatch.View, 0, len(wire))
	for _, encoded := range wire {
		view := dispatch.View{
			ServerID: encoded.Server,
			Sequence: encoded.Sequence,
			Held:     make(map[string][]string, len(encoded.Held)),
			Loading:  make(map[string]time.Duration, len(encoded.Loading)),
		}
		for _, model := range encoded.Held {
			view.Held[model.Model] = model.Adapters
		}
		for _, loading := range encoded.Loading {
			name := loading.Model
			if loading.Adapter != "" {
				name += "/" + loading.Adapter
			}
			view.Loading[name] = time.Duration(loading.LeftMs) * time.Millisecond
		}
		view.Digest = digest(view.ServerID, signature(view))
		views = append(views, view)
	}
	return views
}

func encodeView(view dispatch.View) *peerpb.ServerView {
	encoded := &peerpb.ServerView{Server: view.ServerID, Sequence: view.Sequence}
	for model, adapters := range view.Held {
		encoded.Held = append(encoded.Held, &peerpb.HeldModel{Model: model, Adapters: adapters})
	}
	for name, left := range view.Loading {
		model, adapter, _ := strings.Cut(name, "/")
		encoded.Loading = append(encoded.Loading, &peerpb.LoadingModel{
			Model: model, Adapter: adapter, LeftMs: uint32(left.Milliseconds()),
		})
	}
	return encoded
}

func countsOf(wire []*peerpb.WantedCount) []placer.Count {
	counts := make([]placer.Count, 0, len(wire))
	for _, count := range wire {
		counts = append(counts, placer.Count{
			Wanted:       dispatch.Wanted{Service: count.Service, Model: count.Model, Adapter: count.Adapter},
			Asked:        count.Asked,
			Waiting:      int(count.Waiting),
			PromptTokens: count.PromptTokens,
			Goal:         time.Duration(count.GoalMs) * time.Millisecond,
		})
	}
	return counts
}
