package gossip

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/storepos"
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
)

// Peer is another node.
type Peer struct {
	Name          string
	Address       string
	Incarnation   uint64
	Leaving       bool
	ConfigVersion int64
	// Term is the fencing token of a leader, 0 of others.
	Term int64
	// LeaseExpiredFor is how long the leader's lease had ended when it sent.
	LeaseExpiredFor time.Duration
	// LeasePosition is where the leader last wrote its lease.
	LeasePosition storepos.Position
	// StoreFailing is set while the node's last call to the store failed.
	StoreFailing bool
	// Strength tells strong machines from weak ones.
	Strength uint32
	// Zone is where the node's machine stands; empty where it does not tell.
	Zone     string
	LastSeen time.Time
	sequence uint64
}

// Roster is the table of nodes. It is not safe for concurrent use.
type Roster struct {
	self     string
	zone     string
	places   locality.Map
	strength uint32
	random   *rand.Rand
	peers    map[string]*Peer
	// order are the peers by address.
	order []*Peer
	// hints are addresses of which no node is known yet.
	hints map[string]time.Time
	// near and far are the living nodes of this region, and of others, that are still
	// to be sent to in this round.
	near, far turn
	// summary is what was last worked out of all nodes.
	summary summary
}

// SetStrength tells how strong this node's machine is.
func (r *Roster) SetStrength(strength uint32) {
	r.strength = strength
	r.summary = summary{}
}

// SetLocation tells where this node's machine stands.
func (r *Roster) SetLocation(zone string, places locality.Map) {
	r.zone, r.places = zone, places
	r.summary = summary{}
}

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
	if ok && known.Incarnation == state.Life && state.Sequence <= known.sequence {
		return false
	}
	if !ok {
		known = &Peer{Address: state.Address}
		r.add(known)
	}
	before, wasSeen := known.standing(), known.LastSeen
	known.Name = state.Node
	known.Incarnation = state.Life
	known.sequence = state.Sequence
	known.Leaving = state.Leaving
	known.ConfigVersion = state.ConfigVersion
	known.StoreFailing = state.StoreFailing
	known.Strength = state.Strength
	known.Zone = state.Zone
	known.LastSeen = now
	known.Term, known.LeaseExpiredFor, known.LeasePosition = 0, 0, storepos.Position{}
	if state.Leader != nil {
		known.Term = state.Leader.Term
		known.LeasePosition = storepos.At(state.Leader.LeaseEra, state.Leader.LeaseRevision)
		known.LeaseExpiredFor = time.Duration(state.Leader.LapsedMs) * time.Millisecond
	}
	if known.standing() != before || now.Sub(wasSeen) >= r.windowOf(known) {
		r.summary = summary{}
	}
	delete(r.hints, state.Address)
	r.AddCandidates(now, state.Peers)
	return true
}

// Knows reports whether the node at the address was heard from in this life of its.
func (r *Roster) Knows(address string, life uint64) bool {
	known, ok := r.peers[address]
	return ok && known.Incarnation == life
}

// HasHeardFrom reports whether a node was ever heard from at the address, or it is this one's.
func (r *Roster) HasHeardFrom(address string) bool {
	_, ok := r.peers[address]
	return ok || address == r.self
}

// AddCandidates tries addresses that a peer named, for a while, where no node is known
// there yet.
func (r *Roster) AddCandidates(now time.Time, addresses []string) {
	for _, address := range addresses {
		if _, ok := r.peers[address]; !ok && address != r.self {
			r.hints[address] = now
		}
	}
}

func (r *Roster) add(peer *Peer) {
	r.peers[peer.Address] = peer
	at, _ := slices.BinarySearchFunc(r.order, peer.Address, byAddress)
	r.order = slices.Insert(r.order, at, peer)
}

func (r *Roster) remove(peer *Peer) {
	delete(r.peers, peer.Address)
	if at, ok := slices.BinarySearchFunc(r.order, peer.Address, byAddress); ok {
		r.order = slices.Delete(r.order, at, at+1)
	}
	r.summary = summary{}
}

func byAddress(peer *Peer, address string) int { return strings.Compare(peer.Address, address) }

// aliveWindow is how long a node is alive after its last datagram.
func (r *Roster) aliveWindow() time.Duration {
	return aliveTime + time.Duration(max(0, len(r.peers)-heardByAll))*rareTime
}

// Alive returns the nodes that were heard from lately, by address.
func (r *Roster) Alive(now time.Time) []*Peer { return r.summarize(now).alive }

// Count is the number of nodes, this one included, that may share a budget.
func (r *Roster) Count(now time.Time) int { return r.summarize(now).counted }

// Leader is the node with the highest term that was heard from lately, or nil.
func (r *Roster) Leader(now time.Time) *Peer {
	var leader *Peer
	window := aliveTime + time.Duration(max(0, len(r.peers)-heardByAll))*leaderTime
	for _, peer := range r.summarize(now).leaders {
		if now.Sub(peer.LastSeen) < window && (leader == nil || peer.Term > leader.Term) {
			leader = peer
		}
	}
	return leader
}

// Rank is the number of nodes that come before this one as candidates.
func (r *Roster) Rank(now time.Time) int { return r.summarize(now).rank }

// LeaderCandidates are the addresses of the leader and of the nodes that would lead
// next: who needs to know all that a leader goes by.
func (r *Roster) LeaderCandidates(now time.Time) []string {
	var deciders []string
	leader := r.Leader(now)
	if leader != nil {
		deciders = append(deciders, leader.Address)
	}
	next := 0
	for _, peer := range r.summarize(now).first {
		if peer != leader && next < standbys {
			deciders = append(deciders, peer.Address)
			next++
		}
	}
	return deciders
}

// muchStronger is the ratio of strengths from which a node leaves to another what
// one has to do for all, though it does it already.
const muchStronger = 2

// HasMuchStrongerPeer reports whether a living node is much stronger than this one
// and can do what one has to do for all.
func (r *Roster) HasMuchStrongerPeer(now time.Time) bool {
	return r.strength > 0 && r.summarize(now).strongest >= muchStronger*r.strength
}

const (
	// leastSentinels is the number of nodes that watch the store for all, the
	// leader among them; where there are nodesPerSentinel and more, one more does,
	// as the others notice later that one is silent. Any node stands in for them
	// where nobody confirms to it what it knows.
	leastSentinels   = 2
	nodesPerSentinel = 32
	mostSentinels    = 3
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
	known := r.summarize(now)
	return known.watching < sentinels(len(known.alive))
}

// hintTries is how long an address without a node is tried.
const hintTries = 20 * time.Second

func (r *Roster) silent(now time.Time) []string {
	var silent []string
	for address, since := range r.hints {
		if !since.IsZero() && now.Sub(since) > hintTries {
			delete(r.hints, address)
			continue
		}
		silent = append(silent, address)
	}
	var gone []*Peer
	for _, peer := range r.order {
		age := now.Sub(peer.LastSeen)
		if age > 2*r.countedFor(peer) {
			gone = append(gone, peer)
		} else if age >= r.windowOf(peer) {
			silent = append(silent, peer.Address)
		}
	}
	for _, peer := range gone {
		r.remove(peer)
	}
	slices.Sort(silent)
	if len(silent) > 3 {
		r.random.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
		silent = silent[:3]
	}
	return silent
}

// SampleAddresses draws up to most addresses of living nodes to tell others of.
func (r *Roster) SampleAddresses(now time.Time, most int) []string { return r.draw(r.Alive(now), most) }

// RandomNearby draws the address of a living node to ask for much: of this region, if there is
// one; empty where none lives.
func (r *Roster) RandomNearby(now time.Time) string {
	living := r.summarize(now)
	near := living.near
	if len(near) == 0 {
		near = living.alive
	}
	if drawn := r.draw(near, 1); len(drawn) > 0 {
		return drawn[0]
	}
	return ""
}

func (r *Roster) draw(peers []*Peer, most int) []string {
	most = min(most, len(peers))
	sample := make([]string, 0, most)
	// Three draws a place are enough but for small fleets, where most know all.
	for range 3 * most {
		address := peers[r.random.IntN(len(peers))].Address
		if len(sample) < most && !slices.Contains(sample, address) {
			sample = append(sample, address)
		}
	}
	return sample
}
