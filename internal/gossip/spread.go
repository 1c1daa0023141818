package gossip

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/locality"
)

const (
	// leastInRegion and leastInZone are the nodes of another region, and of a zone of this
	// one, from which on one of them sends on what all need to hear.
	leastInRegion = 3
	leastInZone   = 12
	// spreaderSilence is how long ago a node that sends on for others was heard at the
	// most: nodes speak to those that decide in each period or two. A spreader that dies
	// costs its region that time.
	spreaderSilence = time.Second
)

// BroadcastPlan is how what all nodes need to hear goes out from this node: once to each region,
// and once to each large zone of it.
type BroadcastPlan struct {
	// Direct are the nodes that this node sends to itself.
	Direct []string
	// Spreaders send on.
	Spreaders []Spreader
}

// Spreader is a node that sends on to the nodes of zones, and to others that do so in
// their own zone.
type Spreader struct {
	Address string
	// Zone is its own, and Region empty where that is not known.
	Zone    string
	Region  string
	Zones   []string
	Targets []SpreadTarget
}

// SpreadTarget is a node that sends on in its zone.
type SpreadTarget struct {
	Address string
	Zone    string
}

// PlanBroadcast is whom to send what all living nodes need to hear. It is asked of the leader's
// roster, since all nodes speak to the leader and none knows the others better.
func (r *Roster) PlanBroadcast(now time.Time) BroadcastPlan {
	var plan BroadcastPlan
	regions := make(map[string]map[string][]*Peer)
	var order []string
	for _, peer := range r.Alive(now) {
		if peer.Zone == "" {
			plan.Direct = append(plan.Direct, peer.Address)
			continue
		}
		region := r.places.Region(peer.Zone)
		if regions[region] == nil {
			regions[region] = make(map[string][]*Peer)
			order = append(order, region)
		}
		regions[region][peer.Zone] = append(regions[region][peer.Zone], peer)
	}
	for _, region := range order {
		if region == r.places.Region(r.zone) {
			plan.addZones(now, regions[region])
		} else {
			plan.addRegion(now, region, regions[region])
		}
	}
	return plan
}

// addZones adds the zones of this node's region.
func (s *BroadcastPlan) addZones(now time.Time, zones map[string][]*Peer) {
	for zone, peers := range zones {
		spreader := spreaderOf(now, zone, peers)
		if len(peers) < leastInZone || spreader == nil {
			s.addDirect(peers)
			continue
		}
		s.Spreaders = append(s.Spreaders, Spreader{Address: spreader.Address, Zone: zone, Zones: []string{zone}})
	}
}

// addRegion adds another region.
func (s *BroadcastPlan) addRegion(now time.Time, region string, zones map[string][]*Peer) {
	var all []*Peer
	for _, peers := range zones {
		all = append(all, peers...)
	}
	entry := spreaderOf(now, region, all)
	if len(all) < leastInRegion || entry == nil {
		s.addDirect(all)
		return
	}
	spreader := Spreader{Address: entry.Address, Zone: entry.Zone, Region: region}
	for zone, peers := range zones {
		target := spreaderOf(now, zone, peers)
		if zone == entry.Zone || len(peers) < leastInZone || target == nil {
			spreader.Zones = append(spreader.Zones, zone)
			continue
		}
		spreader.Targets = append(spreader.Targets, SpreadTarget{Address: target.Address, Zone: zone})
	}
	s.Spreaders = append(s.Spreaders, spreader)
}

func (s *BroadcastPlan) addDirect(peers []*Peer) {
	for _, peer := range peers {
		s.Direct = append(s.Direct, peer.Address)
	}
}

// spreaderOf is the node of a place that sends on there: of the strong ones that were
// heard just now, the one with the highest number for the place, so that it stays the
// same as others come and go; nil where none was.
func spreaderOf(now time.Time, place string, peers []*Peer) *Peer {
	strongest := uint32(0)
	for _, peer := range peers {
		if isFresh(now, peer) {
			strongest = max(strongest, peer.Strength)
		}
	}
	var chosen *Peer
	var highest uint64
	for _, peer := range peers {
		if !isFresh(now, peer) || peer.Strength < strongest/muchStronger {
			continue
		}
		if number := xxhash.Sum64String(place + "/" + peer.Address); chosen == nil || number > highest {
			chosen, highest = peer, number
		}
	}
	return chosen
}

func isFresh(now time.Time, peer *Peer) bool {
	return !peer.Leaving && now.Sub(peer.LastSeen) < spreaderSilence
}

// ZoneOf is the zone of the node at an address; empty where that is not known.
func (r *Roster) ZoneOf(address string) string {
	if known, ok := r.peers[address]; ok {
		return known.Zone
	}
	return ""
}

// DistanceTo is how far the node at an address is.
func (r *Roster) DistanceTo(address string) locality.Distance {
	return r.places.Distance(r.zone, r.ZoneOf(address))
}

// AddressesInZones are the addresses of the living nodes of the zones.
func (r *Roster) AddressesInZones(now time.Time, zones []string) []string {
	var addresses []string
	for _, peer := range r.Alive(now) {
		if slices.Contains(zones, peer.Zone) {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}
