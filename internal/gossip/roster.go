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
	// baseLivenessTimeout is how long a node counts as alive after its last datagram, in a fleet
	// where every node receives from all others in each period.
	baseLivenessTimeout = 1500 * time.Millisecond
	// With more than fullFanoutNodes nodes each receives from a given other node less often: every
	// further node extends the timeout by livenessTimeoutPerNode, a few periods in all.
	fullFanoutNodes        = 16
	livenessTimeoutPerNode = 75 * time.Millisecond
	// leaderTimeoutPerNode extends the leader's timeout for every further node: the leader sends to
	// all nodes, less often the more there are.
	leaderTimeoutPerNode = 6 * time.Millisecond
	// budgetTimeout is how long after its last datagram a node counts among those that share a
	// budget.
	budgetTimeout = 30 * time.Second
)

// Peer is the last known state of another node.
type Peer struct {
	Name          string
	Address       string
	Incarnation   uint64
	Leaving       bool
	ConfigVersion int64
	// Term is the leader's fencing token, 0 for other nodes.
	Term int64
	// LeaseExpiredFor is how long the leader's lease had been expired when it sent the datagram.
	LeaseExpiredFor time.Duration
	// LeasePosition is the store position of the leader's last lease write.
	LeasePosition storepos.Position
	// StoreFailing is set while the node's last call to the store failed.
	StoreFailing bool
	// Strength ranks machines by capacity.
	Strength uint32
	// Zone is the zone of the node's machine; empty if unknown.
	Zone     string
	LastSeen time.Time
	// Unreachable are the services to whose servers the node can open no connection, and CannotOrder
	// is set if some of these run models.
	Unreachable []string
	CannotOrder bool
	// AcceptsForwarded is set if the node takes requests that others forward.
	AcceptsForwarded bool
	// sequence is the number of the datagram, and former the last one of the process before.
	sequence uint64
	former   datagramNumber
}

// datagramNumber identifies a datagram of one address.
type datagramNumber struct{ incarnation, sequence uint64 }

// isKnown reports whether a datagram of the peer, or a later one of the same process, was applied before.
// Which of two processes is the later one their incarnations don't tell.
func (p *Peer) isKnown(number datagramNumber) bool {
	for _, known := range []datagramNumber{{p.Incarnation, p.sequence}, p.former} {
		if known.incarnation == number.incarnation {
			return number.sequence <= known.sequence
		}
	}
	return false
}

// Roster is the table of known nodes. It is not safe for concurrent use.
type Roster struct {
	self     string
	zone     string
	topology locality.Map
	strength uint32
	// cannotOrder is set while this node reaches no server of some service with models.
	cannotOrder bool
	random      *rand.Rand
	peers       map[string]*Peer
	// peersByAddress holds the peers sorted by address.
	peersByAddress []*Peer
	// candidates are addresses at which no node is known yet, with the time a peer named them;
	// seeds have the zero time.
	candidates map[string]time.Time
	// nearRound and farRound hold the living nodes of this region and of other regions that are yet
	// to be sent to in the current round.
	nearRound, farRound targetRound
	// summary caches what was last computed over all nodes.
	summary summary
}

// SetStrength sets the strength of this node's machine.
func (r *Roster) SetStrength(strength uint32) {
	r.strength = strength
	r.summary = summary{}
}

// SetCannotOrder sets whether this node reaches no server of some service with models.
func (r *Roster) SetCannotOrder(cannotOrder bool) {
	if r.cannotOrder != cannotOrder {
		r.cannotOrder = cannotOrder
		r.summary = summary{}
	}
}

// SetLocation sets the zone of this node's machine and the topology of zones.
func (r *Roster) SetLocation(zone string, topology locality.Map) {
	r.zone, r.topology = zone, topology
	r.summary = summary{}
}

// precedes reports whether a peer ranks before this node for duties that one node performs for all:
// the stronger machine first, then the lower address.
func (r *Roster) precedes(peer *Peer) bool {
	if peer.Strength != r.strength {
		return peer.Strength > r.strength
	}
	return peer.Address < r.self
}

// New returns the roster of the node at the address self.
func New(self string, seeds []string, seed uint64) *Roster {
	roster := &Roster{
		self:       self,
		random:     rand.New(rand.NewPCG(seed, seed>>1)),
		peers:      make(map[string]*Peer),
		candidates: make(map[string]time.Time),
	}
	roster.AddSeeds(seeds)
	return roster
}

// AddSeeds adds addresses to try until a node is known there.
func (r *Roster) AddSeeds(seeds []string) {
	for _, address := range seeds {
		if _, ok := r.peers[address]; !ok && address != r.self && address != "" {
			r.candidates[address] = time.Time{}
		}
	}
}

// Observe applies a datagram. It returns false if the datagram is older than the sender's known
// state.
func (r *Roster) Observe(now time.Time, state *peerpb.NodeState) bool {
	if state.Address == r.self || state.Address == "" {
		return false
	}
	known, ok := r.peers[state.Address]
	number := datagramNumber{state.Life, state.Sequence}
	if ok && known.isKnown(number) {
		return false
	}
	if !ok {
		known = &Peer{Address: state.Address, Incarnation: state.Life}
		r.add(known)
	}
	if known.Incarnation != state.Life {
		known.former = datagramNumber{known.Incarnation, known.sequence}
	}
	previousInputs, previousLastSeen := known.summaryInputs(), known.LastSeen
	known.Name = state.Node
	known.Incarnation = state.Life
	known.sequence = state.Sequence
	known.Leaving = state.Leaving
	known.ConfigVersion = state.ConfigVersion
	known.StoreFailing = state.StoreFailing
	known.Strength = state.Strength
	known.Zone = state.Zone
	known.LastSeen = now
	known.Unreachable, known.CannotOrder, known.AcceptsForwarded = state.Unreachable, state.CannotOrder, state.AcceptsForwarded
	known.Term, known.LeaseExpiredFor, known.LeasePosition = 0, 0, storepos.Position{}
	if state.Leader != nil {
		known.Term = state.Leader.Term
		known.LeasePosition = storepos.At(state.Leader.LeaseEra, state.Leader.LeaseRevision)
		known.LeaseExpiredFor = time.Duration(state.Leader.LapsedMs) * time.Millisecond
	}
	if known.summaryInputs() != previousInputs || now.Sub(previousLastSeen) >= r.livenessTimeoutOf(known) {
		r.summary = summary{}
	}
	delete(r.candidates, state.Address)
	r.AddCandidates(now, state.Peers)
	return true
}

// Knows reports whether the node at the address was heard from in this incarnation.
func (r *Roster) Knows(address string, incarnation uint64) bool {
	known, ok := r.peers[address]
	return ok && known.Incarnation == incarnation
}

// HasHeardFrom reports whether the address is this node's or a node was ever heard from there.
func (r *Roster) HasHeardFrom(address string) bool {
	_, ok := r.peers[address]
	return ok || address == r.self
}

// AddCandidates adds addresses named by a peer at which no node is known yet. They are tried for
// candidateRetention.
func (r *Roster) AddCandidates(now time.Time, addresses []string) {
	for _, address := range addresses {
		if _, ok := r.peers[address]; !ok && address != r.self {
			r.candidates[address] = now
		}
	}
}

func (r *Roster) add(peer *Peer) {
	r.peers[peer.Address] = peer
	at, _ := slices.BinarySearchFunc(r.peersByAddress, peer.Address, compareAddress)
	r.peersByAddress = slices.Insert(r.peersByAddress, at, peer)
}

func (r *Roster) remove(peer *Peer) {
	delete(r.peers, peer.Address)
	if at, ok := slices.BinarySearchFunc(r.peersByAddress, peer.Address, compareAddress); ok {
		r.peersByAddress = slices.Delete(r.peersByAddress, at, at+1)
	}
	r.summary = summary{}
}

func compareAddress(peer *Peer, address string) int { return strings.Compare(peer.Address, address) }

// regionLivenessTimeout is how long a node of this region counts as alive after its last datagram.
func (r *Roster) regionLivenessTimeout() time.Duration {
	return baseLivenessTimeout + time.Duration(max(0, len(r.peers)-fullFanoutNodes))*livenessTimeoutPerNode
}

// Alive returns the nodes that were heard from recently, sorted by address.
func (r *Roster) Alive(now time.Time) []*Peer { return r.summarize(now).alive }

// Count returns the number of nodes, this one included, that may share a budget.
func (r *Roster) Count(now time.Time) int { return r.summarize(now).budgetNodes }

// Leader returns the node with the highest term that was heard from recently, or nil.
func (r *Roster) Leader(now time.Time) *Peer {
	var leader *Peer
	timeout := baseLivenessTimeout + time.Duration(max(0, len(r.peers)-fullFanoutNodes))*leaderTimeoutPerNode
	for _, peer := range r.summarize(now).leaders {
		if now.Sub(peer.LastSeen) < timeout && (leader == nil || peer.Term > leader.Term) {
			leader = peer
		}
	}
	return leader
}

// Rank returns the number of nodes that precede this one as candidates for leader.
func (r *Roster) Rank(now time.Time) int { return r.summarize(now).rank }

// LeaderCandidates returns the addresses of the leader and of the nodes next in line: those that
// need all the information a leader decides by.
func (r *Roster) LeaderCandidates(now time.Time) []string {
	var addresses []string
	leader := r.Leader(now)
	if leader != nil {
		addresses = append(addresses, leader.Address)
	}
	standbysAdded := 0
	for _, peer := range r.summarize(now).nextLeaders {
		if peer != leader && standbysAdded < standbys {
			addresses = append(addresses, peer.Address)
			standbysAdded++
		}
	}
	return addresses
}

// muchStrongerRatio is the ratio of strengths from which a node hands a duty that one node performs
// for all over to another, even while performing it.
const muchStrongerRatio = 2

// HasMuchStrongerPeer reports whether a living node is much stronger than this one and able to
// perform such duties.
func (r *Roster) HasMuchStrongerPeer(now time.Time) bool {
	return r.strength > 0 && r.summarize(now).maxStrength >= muchStrongerRatio*r.strength
}

const (
	// minSentinels is the number of nodes that watch the store for all, the leader included. For
	// every nodesPerSentinel nodes there is one more, up to maxSentinels, because a larger fleet
	// takes longer to notice that one is silent. Any node takes over for itself if no sentinel
	// confirms what it knows.
	minSentinels     = 2
	nodesPerSentinel = 32
	maxSentinels     = 3
)

// sentinelCount returns how many of the living nodes watch the store for all.
func sentinelCount(alive int) int {
	return min(maxSentinels, minSentinels+alive/nodesPerSentinel)
}

// IsSentinel reports whether this node is one of those that watch the store for the others: the
// leader and then the first nodes in rank, except those that the store does not answer.
func (r *Roster) IsSentinel(now time.Time, isLeader, storeFailing bool) bool {
	if isLeader {
		return true
	}
	if storeFailing {
		return false
	}
	current := r.summarize(now)
	return current.sentinelRank < sentinelCount(len(current.alive))
}

// candidateRetention is how long an address without a known node is tried.
const candidateRetention = 20 * time.Second

func (r *Roster) silentTargets(now time.Time) []string {
	var targets []string
	for address, since := range r.candidates {
		if !since.IsZero() && now.Sub(since) > candidateRetention {
			delete(r.candidates, address)
			continue
		}
		targets = append(targets, address)
	}
	var expired []*Peer
	for _, peer := range r.peersByAddress {
		age := now.Sub(peer.LastSeen)
		if age > 2*r.budgetTimeoutOf(peer) {
			expired = append(expired, peer)
		} else if age >= r.livenessTimeoutOf(peer) {
			targets = append(targets, peer.Address)
		}
	}
	for _, peer := range expired {
		r.remove(peer)
	}
	slices.Sort(targets)
	if len(targets) > 3 {
		r.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:3]
	}
	return targets
}

// SampleAddresses draws up to limit addresses of living nodes to name to others.
func (r *Roster) SampleAddresses(now time.Time, limit int) []string {
	return r.sampleAddresses(r.Alive(now), limit)
}

// RandomNearby draws the address of a living node for a large request, of this region if there is
// one; empty if no node is alive.
func (r *Roster) RandomNearby(now time.Time) string {
	current := r.summarize(now)
	near := current.near
	if len(near) == 0 {
		near = current.alive
	}
	if drawn := r.sampleAddresses(near, 1); len(drawn) > 0 {
		return drawn[0]
	}
	return ""
}

func (r *Roster) sampleAddresses(peers []*Peer, limit int) []string {
	limit = min(limit, len(peers))
	sample := make([]string, 0, limit)
	// Three draws per place suffice, except in small fleets, where most nodes know all others.
	for range 3 * limit {
		address := peers[r.random.IntN(len(peers))].Address
		if len(sample) < limit && !slices.Contains(sample, address) {
			sample = append(sample, address)
		}
	}
	return sample
}
