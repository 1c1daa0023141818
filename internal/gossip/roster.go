package gossip

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

const (
	// aliveTime is how long a node is alive after its last datagram, in a fleet
	// where each hears all in each period.
	aliveTime = 1500 * time.Millisecond
	// Beyond heardByAll nodes each hears from another the more rarely the more
	// there are: a few periods more are allowed for each.
	heardByAll = 16
	rareTime   = 75 * time.Millisecond
	// leaderTime is added for each node to how long a leader is taken to live:
	// it speaks to all, the more rarely the more there are.
	leaderTime = 6 * time.Millisecond
	// countedTime is how long a node counts among those that share a budget.
	countedTime = 30 * time.Second
	// tellPeers is the number of other nodes that a datagram names.
	tellPeers = 6
)

// Peer is another node.
type Peer struct {
	Name          string
	Address       string
	Life          uint64
	Leaving       bool
	ConfigVersion int64
	// Term is the fencing token of a leader, 0 of others.
	Term int64
	// Lapsed is how long the leader's lease had ended when it sent.
	Lapsed time.Duration
	// LeaseRevision is the revision at which the leader last wrote its lease.
	LeaseRevision int64
	// StoreFailing is set while the node's last call to the store failed.
	StoreFailing bool
	// Strength tells strong machines from weak ones.
	Strength uint32
	LastSeen time.Time
	sequence uint64
}

// Roster is the table of nodes. It is not safe for concurrent use.
type Roster struct {
	self     string
	strength uint32
	random   *rand.Rand
	peers    map[string]*Peer
	// hints are addresses of which no node is known yet.
	hints map[string]time.Time
	// turn are the living nodes that are still to be sent to in this round, in
	// an order drawn anew for each.
	turn []string
}

// SetStrength tells how strong this node's machine is.
func (r *Roster) SetStrength(strength uint32) { r.strength = strength }

// precedes reports whether a peer comes before this node where one has to do
// something for all: the stronger machine, then the lower address.
func (r *Roster) precedes(peer *Peer) bool {
	if peer.Strength != r.strength {
		return peer.Strength > r.strength
	}
	return peer.Address < r.self
}

// New returns a roster of the node at the address self.
func New(self string, seeds []string, seed uint64) *Roster {
	roster := &Roster{
		self:   self,
		random: rand.New(rand.NewPCG(seed, seed>>1)),
		peers:  make(map[string]*Peer),
		hints:  make(map[string]time.Time),
	}
	roster.AddSeeds(seeds)
	return roster
}

// AddSeeds tries further addresses until a node is known there.
func (r *Roster) AddSeeds(seeds []string) {
	for _, address := range seeds {
		if _, ok := r.peers[address]; !ok && address != r.self && address != "" {
			r.hints[address] = time.Time{}
		}
	}
}

// Observe takes a datagram. It returns false for one that is older than what
// is known of its sender.
func (r *Roster) Observe(now time.Time, state *peerpb.NodeState) bool {
	if state.Address == r.self || state.Address == "" {
		return false
	}
	known, ok := r.peers[state.Address]
	if ok && known.Life == state.Life && state.Sequence <= known.sequence {
		return false
	}
	if !ok {
		known = &Peer{Address: state.Address}
		r.peers[state.Address] = known
	}
	known.Name = state.Node
	known.Life = state.Life
	known.sequence = state.Sequence
	known.Leaving = state.Leaving
	known.ConfigVersion = state.ConfigVersion
	known.StoreFailing = state.StoreFailing
	known.Strength = state.Strength
	known.LastSeen = now
	known.Term, known.Lapsed, known.LeaseRevision = 0, 0, 0
	if state.Leader != nil {
		known.Term = state.Leader.Term
		known.LeaseRevision = state.Leader.LeaseRevision
		known.Lapsed = time.Duration(state.Leader.LapsedMs) * time.Millisecond
	}
	delete(r.hints, state.Address)
	for _, address := range state.Peers {
		if _, ok := r.peers[address]; !ok && address != r.self {
			r.hints[address] = now
		}
	}
	return true
}

// aliveWindow is how long a node is alive after its last datagram.
func (r *Roster) aliveWindow() time.Duration {
	return aliveTime + time.Duration(max(0, len(r.peers)-heardByAll))*rareTime
}

// Alive returns the nodes that were heard from lately, by address.
func (r *Roster) Alive(now time.Time) []*Peer {
	var alive []*Peer
	window := r.aliveWindow()
	for _, peer := range r.peers {
		if now.Sub(peer.LastSeen) < window {
			alive = append(alive, peer)
		}
	}
	slices.SortFunc(alive, func(a, b *Peer) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return alive
}

// Count is the number of nodes, this one included, that may share a budget.
func (r *Roster) Count(now time.Time) int {
	count := 1 + len(r.hints)
	for _, peer := range r.peers {
		if now.Sub(peer.LastSeen) < countedTime {
			count++
		}
	}
	return count
}

// Leader is the node with the highest term that was heard from lately, or nil.
func (r *Roster) Leader(now time.Time) *Peer {
	var leader *Peer
	window := aliveTime + time.Duration(max(0, len(r.peers)-heardByAll))*leaderTime
	for _, peer := range r.Alive(now) {
		if peer.Term > 0 && now.Sub(peer.LastSeen) < window && (leader == nil || peer.Term > leader.Term) {
			leader = peer
		}
	}
	return leader
}

// Rank is the number of nodes that come before this one as candidates.
func (r *Roster) Rank(now time.Time) int {
	rank := 0
	for _, peer := range r.Alive(now) {
		if r.precedes(peer) && !peer.Leaving {
			rank++
		}
	}
	return rank
}

// muchStronger is the ratio of strengths from which a node leaves to another what
// one has to do for all, though it does it already.
const muchStronger = 2

// HasMuchStronger reports whether a living node is much stronger than this one
// and can do what one has to do for all.
func (r *Roster) HasMuchStronger(now time.Time) bool {
	for _, peer := range r.Alive(now) {
		if peer.Strength >= muchStronger*r.strength && !peer.StoreFailing && !peer.Leaving && r.strength > 0 {
			return true
		}
	}
	return false
}

const (
	// leastSentinels is the number of nodes that watch the store for all, beside
	// the leader; in a fleet whose nodes call it rarely by themselves there is one
	// more for each nodesPerSentinel, up to mostSentinels.
	leastSentinels   = 2
	nodesPerSentinel = 32
	mostSentinels    = 6
)

// sentinels is how many of the living nodes watch the store for all.
func sentinels(alive int) int {
	return min(mostSentinels, leastSentinels+alive/nodesPerSentinel)
}

// IsSentinel reports whether this node is one of those that watch the store for
// the others: the leader and then the first ones, left out those that the store
// does not answer.
func (r *Roster) IsSentinel(now time.Time, isLeader, storeFailing bool) bool {
	if isLeader {
		return true
	}
	if storeFailing {
		return false
	}
	before := 0
	alive := r.Alive(now)
	for _, peer := range alive {
		if peer.StoreFailing || peer.Leaving {
			continue
		}
		if peer.Term > 0 || r.precedes(peer) {
			before++
		}
	}
	return before < sentinels(len(alive))
}

// hintTries is how long an address without a node is tried.
const hintTries = 20 * time.Second

// Targets are up to most addresses to send to: all living nodes come in turn, so
// that each hears from this node within a known time. Nodes that are silent and
// addresses without a known node are added now and then, so that cut parts find
// each other again.
func (r *Roster) Targets(now time.Time, most int) []string {
	alive := make(map[string]bool)
	for _, peer := range r.Alive(now) {
		alive[peer.Address] = true
	}
	most = min(most, len(alive))
	targets := make([]string, 0, most)
	for len(targets) < most {
		if len(r.turn) == 0 {
			r.drawTurn(alive)
		}
		next := r.turn[0]
		r.turn = r.turn[1:]
		if alive[next] && !slices.Contains(targets, next) {
			targets = append(targets, next)
		}
	}
	return append(targets, r.silent(now)...)
}

// drawTurn begins a round over all living nodes.
func (r *Roster) drawTurn(alive map[string]bool) {
	r.turn = slices.Sorted(maps.Keys(alive))
	r.random.Shuffle(len(r.turn), func(i, j int) { r.turn[i], r.turn[j] = r.turn[j], r.turn[i] })
}

func (r *Roster) silent(now time.Time) []string {
	var silent []string
	for address, since := range r.hints {
		if !since.IsZero() && now.Sub(since) > hintTries {
			delete(r.hints, address)
			continue
		}
		silent = append(silent, address)
	}
	for address, peer := range r.peers {
		age := now.Sub(peer.LastSeen)
		if age > 2*countedTime {
			delete(r.peers, address)
		} else if age >= r.aliveWindow() {
			silent = append(silent, address)
		}
	}
	slices.Sort(silent)
	if len(silent) > 3 {
		r.random.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
		silent = silent[:3]
	}
	return silent
}

// Sample draws addresses of living nodes to tell others of.
func (r *Roster) Sample(now time.Time) []string {
	var sample []string
	for _, peer := range r.Alive(now) {
		sample = append(sample, peer.Address)
	}
	r.random.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample[:min(tellPeers, len(sample))]
}
