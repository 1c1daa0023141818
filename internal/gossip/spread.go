package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/locality"
)

const (
	// minNodesInRegion and minNodesInZone are the smallest numbers of nodes in another region, and
	// in a zone of this region, for which one of them relays broadcasts to the others.
	minNodesInRegion = 3
	minNodesInZone   = 12
	// spreaderTimeout is the longest time since the last datagram of a node that relays for others:
	// nodes send to the leader candidates every period or two. When a spreader dies, its region
	// receives nothing for this long.
	spreaderTimeout = time.Second
)

// BroadcastPlan is how a message for all nodes leaves this node: once to each region, and once to
// each large zone of this region.
type BroadcastPlan struct {
	// Direct are the nodes that this node sends to itself.
	Direct []string
	// Spreaders relay the message.
	Spreaders []Spreader
}

// Spreader is a node that relays to the nodes of zones, and to targets that relay in their own
// zone.
type Spreader struct {
	Address string
	// Zone is the zone of the spreader; Region is empty if unknown.
	Zone    string
	Region  string
	Zones   []string
	Targets []SpreadTarget
}

// SpreadTarget is a node that relays in its zone.
type SpreadTarget struct {
	Address string
	Zone    string
}

// PlanBroadcast selects the receivers of a message for all living nodes. It is called on the
// leader's roster: all nodes send to the leader, so none knows the others better.
func (r *Roster) PlanBroadcast(now time.Time) BroadcastPlan {
	var plan BroadcastPlan
	regions := make(map[string]map[string][]*Peer)
	var order []string
	for _, peer := range r.Alive(now) {
		if peer.Zone == "" {
			plan.Direct = append(plan.Direct, peer.Address)
			continue
		}
		region := r.topology.Region(peer.Zone)
		if regions[region] == nil {
			regions[region] = make(map[string][]*Peer)
			order = append(order, region)
		}
		regions[region][peer.Zone] = append(regions[region][peer.Zone], peer)
	}
	for _, region := range order {
		if region == r.topology.Region(r.zone) {
			plan.addZones(now, regions[region])
		} else {
			plan.addRegion(now, region, regions[region])
		}
	}
	return plan
}

// addZones adds the zones of this node's region.
func (p *BroadcastPlan) addZones(now time.Time, zones map[string][]*Peer) {
	for zone, peers := range zones {
		spreader := chooseSpreader(now, zone, peers)
		if len(peers) < minNodesInZone || spreader == nil {
			p.addDirect(peers)
			continue
		}
		p.Spreaders = append(p.Spreaders, Spreader{Address: spreader.Address, Zone: zone, Zones: []string{zone}})
	}
}

// addRegion adds another region.
func (p *BroadcastPlan) addRegion(now time.Time, region string, zones map[string][]*Peer) {
	var all []*Peer
	for _, peers := range zones {
		all = append(all, peers...)
	}
	regionSpreader := chooseSpreader(now, region, all)
	if len(all) < minNodesInRegion || regionSpreader == nil {
		p.addDirect(all)
		return
	}
	spreader := Spreader{Address: regionSpreader.Address, Zone: regionSpreader.Zone, Region: region}
	for zone, peers := range zones {
		target := chooseSpreader(now, zone, peers)
		if zone == regionSpreader.Zone || len(peers) < minNodesInZone || target == nil {
			spreader.Zones = append(spreader.Zones, zone)
			continue
		}
		spreader.Targets = append(spreader.Targets, SpreadTarget{Address: target.Address, Zone: zone})
	}
	p.Spreaders = append(p.Spreaders, spreader)
}

func (p *BroadcastPlan) addDirect(peers []*Peer) {
	for _, peer := range peers {
		p.Direct = append(p.Direct, peer.Address)
	}
}

// chooseSpreader picks the node of a zone or region that relays there by rendezvous hashing over
// the strong nodes heard from recently, so that the choice stays the same while others come and go.
// It returns nil if there is none.
func chooseSpreader(now time.Time, location string, peers []*Peer) *Peer {
	strongest := uint32(0)
	for _, peer := range peers {
		if canSpread(now, peer) {
			strongest = max(strongest, peer.Strength)
		}
	}
	var chosen *Peer
	var highestScore uint64
	for _, peer := range peers {
		if !canSpread(now, peer) || peer.Strength < strongest/muchStrongerRatio {
			continue
		}
		if score := xxhash.Sum64String(location + "/" + peer.Address); chosen == nil || score > highestScore {
			chosen, highestScore = peer, score
		}
	}
	return chosen
}

func canSpread(now time.Time, peer *Peer) bool {
	return !peer.Leaving && now.Sub(peer.LastSeen) < spreaderTimeout
}

// ZoneOf returns the zone of the node at an address; empty if unknown.
func (r *Roster) ZoneOf(address string) string {
	if known, ok := r.peers[address]; ok {
		return known.Zone
	}
	return ""
}

// DistanceTo returns the distance to the node at an address.
func (r *Roster) DistanceTo(address string) locality.Distance {
	return r.topology.Distance(r.zone, r.ZoneOf(address))
}

// AddressesInZones returns the addresses of the living nodes in the zones.
func (r *Roster) AddressesInZones(now time.Time, zones []string) []string {
	var addresses []string
	for _, peer := range r.Alive(now) {
		if slices.Contains(zones, peer.Zone) {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}
