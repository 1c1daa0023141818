package placer

import (
	"math"
	"time"
)

// Costs of the place of a copy, in seconds of its load.
const (
	// sameZoneCost is the malus for a zone that has a copy already, and sameRegionCost
	// for another zone of a region that has one: bytes between regions are dear, and a
	// region that is cut off keeps what stands there.
	sameZoneCost   = 0.15
	sameRegionCost = 0.1
	// awayCost is for a region that none of the model's requests come from.
	awayCost = 0.1
)

// placeCost is what the server's place costs a copy of the model.
func (r *round) placeCost(at *server, model string) float64 {
	placed := r.placementOf(model)
	cost := 0.0
	region := r.regionOf(at)
	switch {
	case placed.zones[at.info.Zone] > 0:
		cost = sameZoneCost
	case r.core.options.Topology.HasMultipleRegions() && placed.regions[region] > 0:
		cost = sameRegionCost
	}
	if known := r.interest(model); known != nil {
		cost += awayCost * known.awayFrom(region)
	}
	return cost
}

// awayFrom is the share of the requests that come from other regions than this one; 0
// where that is not known.
func (i *interest) awayFrom(region string) float64 {
	total := 0.0
	for _, requests := range i.from {
		total += requests
	}
	if total == 0 {
		return 0
	}
	return 1 - i.from[region]/total
}

// addRegion counts requests that came to nodes of the region.
func (i *interest) addRegion(region string, requests float64) {
	if i.from == nil {
		i.from = make(map[string]float64)
	}
	i.from[region] += requests / slowTime.Seconds()
}

// fadeRegions fades the requests by region as slowly as what copies are kept by.
func (i *interest) fadeRegions(past time.Duration) {
	keep := math.Exp(-past.Seconds() / slowTime.Seconds())
	for region := range i.from {
		i.from[region] *= keep
	}
}
