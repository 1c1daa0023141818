package placer

// placement describes the copies of one model.
type placement struct {
	// copies is the number of servers that hold or are loading the model and can be used.
	copies int
	// unavailableCopies is the number of unavailable servers that hold the model.
	unavailableCopies int
	isLoading         bool
	// slotsUsed is the share of a server's request slots that the model's requests occupy, summed
	// over its servers.
	slotsUsed float64
	// zones counts the servers that hold the model, by zone.
	zones map[string]int
	// regions counts the copies, by region.
	regions map[string]int
	// servers are those of the copies.
	servers []*server
}

// placementOf returns the current placement of a model.
func (r *planRound) placementOf(model string) *placement {
	if r.placements == nil {
		r.indexPlacements()
	}
	if current, ok := r.placements[model]; ok {
		return current
	}
	return &placement{}
}

// indexPlacements computes the placements of all models.
func (r *planRound) indexPlacements() {
	r.placements = make(map[string]*placement, len(r.engine.Models))
	placementFor := func(model string) *placement {
		current, ok := r.placements[model]
		if !ok {
			current = &placement{zones: make(map[string]int), regions: make(map[string]int)}
			r.placements[model] = current
		}
		return current
	}
	for _, s := range r.servers {
		used := r.slotsUsed(s)
		region := r.regionOf(s)
		for model := range s.models {
			current := placementFor(model)
			current.slotsUsed += used[model]
			current.zones[s.info.Zone]++
			switch {
			case s.isUnavailable:
				current.unavailableCopies++
			case !s.info.Draining && s.unloading != model:
				current.copies++
				current.regions[region]++
				current.servers = append(current.servers, s)
			}
		}
		if s.loading == nil || s.isUnavailable {
			continue
		}
		current := placementFor(s.loading.model)
		current.isLoading = true
		if !s.info.Draining && (!s.hasModel(s.loading.model) || s.unloading == s.loading.model) {
			current.copies++
			current.regions[region]++
			current.servers = append(current.servers, s)
		}
	}
}

// slotsUsed returns the share of a server's request slots that each model occupies. Running
// requests are known only per server, so they are divided among its models by request rate.
func (r *planRound) slotsUsed(s *server) map[string]float64 {
	if s.running == 0 || s.info.Slots == 0 {
		return nil
	}
	rates, total := make(map[string]float64, len(s.models)), 0.0
	for model := range s.models {
		if rate, isKnown := r.requestRate(model); isKnown {
			rates[model] = rate
			total += rate
		}
	}
	for model, rate := range rates {
		rates[model] = rate / max(total, minRate) * float64(s.running) / float64(s.info.Slots)
	}
	return rates
}

// minRate is the lower bound of the divisor, so that models without current requests get a share
// close to 0.
const minRate = 0.01

// invalidateCaches discards the values that an order changes.
func (r *planRound) invalidateCaches() {
	r.placements = nil
	r.evictions = nil
}

func (r *planRound) isLoading(model string) bool { return r.placementOf(model).isLoading }

// copiesOf counts the usable servers that hold or are loading the model.
func (r *planRound) copiesOf(model string) int { return r.placementOf(model).copies }
