package placer

import (
	"math"
	"time"
)

// Costs of a copy's location, in seconds of load time.
const (
	// sameZoneCost applies to a zone that already has a copy, and sameRegionCost to another zone
	// of a region that has one. Copies in several regions reduce the traffic between regions,
	// which is expensive, and remain usable in a region that is partitioned from the rest.
	sameZoneCost   = 0.15
	sameRegionCost = 0.1
	// remoteRegionCost applies to a region that receives none of the model's requests.
	remoteRegionCost = 0.1
)

// localityCost returns the cost of a copy of the model on the server due to its location.
func (r *planRound) localityCost(s *server, model string) float64 {
	current := r.placementOf(model)
	cost := 0.0
	region := r.regionOf(s)
	switch {
	case current.zones[s.info.Zone] > 0:
		cost = sameZoneCost
	case r.core.options.Topology.HasMultipleRegions() && current.regions[region] > 0:
		cost = sameRegionCost
	}
	if demand := r.demandFor(model); demand != nil {
		cost += remoteRegionCost * demand.remoteShare(region)
	}
	return cost
}

// remoteShare returns the share of the requests that arrive in regions other than this one; 0 if
// that is unknown.
func (d *demandRecord) remoteShare(region string) float64 {
	total := 0.0
	for _, requests := range d.byRegion {
		total += requests
	}
	if total == 0 {
		return 0
	}
	return 1 - d.byRegion[region]/total
}

// addRegionRequests counts requests that arrived at nodes of the region.
func (d *demandRecord) addRegionRequests(region string, requests float64) {
	if d.byRegion == nil {
		d.byRegion = make(map[string]float64)
	}
	d.byRegion[region] += requests / slowDecayTime.Seconds()
}

// decayRegions decays the rates by region with slowDecayTime, the time constant that also
// determines how long copies are retained.
func (d *demandRecord) decayRegions(elapsed time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / slowDecayTime.Seconds())
	for region := range d.byRegion {
		d.byRegion[region] *= keep
	}
}
