package edge

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/origins"
)

// count returns the number of other nodes heard from recently.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.alive)
}

// isAlone reports whether no other node was heard from recently.
func (p *peers) isAlone(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.roster.Alive(now)) == 0
}

// addCandidates tries addresses that a peer named, for a limited time.
func (p *peers) addCandidates(now time.Time, addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.AddCandidates(now, addresses)
}

// addSeeds tries further addresses until a node is known at each.
func (p *peers) addSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.AddSeeds(seeds)
}

// rank returns the number of nodes that precede this one when a single node acts for all, and
// the total number of nodes.
func (p *peers) rank(now time.Time) (rank, nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Rank(now), 1 + len(p.roster.Alive(now))
}

// sampleAddresses returns addresses of up to limit live nodes.
func (p *peers) sampleAddresses(now time.Time, limit int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.SampleAddresses(now, limit)
}

// randomNearby returns the address of a live node, preferably of this region, or "" if there is
// none.
func (p *peers) randomNearby(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.RandomNearby(now)
}

// regionRank returns the number of live nodes of this region that precede this one.
func (p *peers) regionRank(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.RegionRank(now)
}

// isInOtherRegion reports whether the node at an address is in another region.
func (p *peers) isInOtherRegion(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.DistanceTo(address) == locality.OtherRegion
}

// isSentinel reports whether this node watches the store on behalf of others.
func (p *peers) isSentinel() bool {
	term, _ := p.node.leader.leadership()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.IsSentinel(clock.Now(), term != 0, p.node.storeFailing.Load())
}

// logAliveChanges logs peers that appeared or went silent. p.mu must be held.
func (p *peers) logAliveChanges(now time.Time) {
	if now.Sub(p.aliveCheckedAt) < aliveLogPeriod {
		return
	}
	p.aliveCheckedAt = now
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

// members returns the live nodes but this one that are not stopping or, if all are, those too.
func (p *peers) members(now time.Time) []origins.Member {
	living := p.livingMembers(now)
	if staying := slices.DeleteFunc(slices.Clone(living), func(m origins.Member) bool { return m.IsLeaving }); len(staying) > 0 {
		return staying
	}
	return living
}

// membersAndSelf returns members and, unless it alone is stopping, this node.
func (p *peers) membersAndSelf(now time.Time) []origins.Member {
	members := p.members(now)
	self := origins.Member{Address: p.address, Zone: p.node.options.Zone, Incarnation: p.incarnation, IsLeaving: p.node.stopping.Load()}
	if self.IsLeaving && slices.ContainsFunc(members, func(m origins.Member) bool { return !m.IsLeaving }) {
		return members
	}
	return append(members, self)
}

// livingMembers returns the live nodes but this one. Those that are stopping answer until they end.
func (p *peers) livingMembers(now time.Time) []origins.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := p.roster.Alive(now)
	members := make([]origins.Member, 0, len(alive))
	for _, peer := range alive {
		members = append(members, origins.Member{Address: peer.Address, Zone: peer.Zone, Incarnation: peer.Incarnation, IsLeaving: peer.Leaving})
	}
	return members
}

// aliveAddresses returns the addresses of all live nodes but this one.
func (p *peers) aliveAddresses(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.aliveAddressesLocked(now)
}

// aliveAddressesLocked is aliveAddresses with p.mu held.
func (p *peers) aliveAddressesLocked(now time.Time) []string {
	alive := p.roster.Alive(now)
	addresses := make([]string, 0, len(alive))
	for _, peer := range alive {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}
