package edge

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// count is the number of other nodes heard from lately.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.alive)
}

// addCandidates tries addresses that a peer named, for a while.
func (p *peers) addCandidates(now time.Time, addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.AddCandidates(now, addresses)
}

// addSeeds tries further addresses until a node is known there.
func (p *peers) addSeeds(seeds []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.AddSeeds(seeds)
}

// rank is the number of nodes that come before this one where one has to do
// something for all, and the number of all.
func (p *peers) rank(now time.Time) (rank, nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.Rank(now), 1 + len(p.roster.Alive(now))
}

// sampleAddresses are addresses of living nodes.
func (p *peers) sampleAddresses(now time.Time, limit int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.SampleAddresses(now, limit)
}

// randomNearby is the address of some living node, of this region if there is one; empty where
// none lives.
func (p *peers) randomNearby(now time.Time) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.RandomNearby(now)
}

// regionRank is the number of living nodes of this region that come before this one.
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

// isSentinel reports whether this node watches the store for the others.
func (p *peers) isSentinel() bool {
	term, _ := p.node.leader.leadership()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.IsSentinel(clock.Now(), term != 0, p.node.storeFailing.Load())
}

// logAliveChanges logs the peers that came and went. The lock is held.
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

// aliveAddresses are the addresses of aliveAddresses living nodes but this one.
func (p *peers) aliveAddresses(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.aliveAddressesLocked(now)
}

// aliveAddressesLocked are those of all living nodes but this one. The lock is held.
func (p *peers) aliveAddressesLocked(now time.Time) []string {
	alive := p.roster.Alive(now)
	addresses := make([]string, 0, len(alive))
	for _, peer := range alive {
		addresses = append(addresses, peer.Address)
	}
	return addresses
}
