package placer

// placement is where one model stands.
type placement struct {
	// copies are the servers that hold the model or are loading it, and do not
	// leave.
	copies int
	// closed are the copies in evacuated zones.
	closed    int
	isLoading bool
	// slotsUsed is the share of one server's slots that the model's requests take,
	// added up over its servers.
	slotsUsed float64
	// zones are those in which a server holds the model.
	zones map[string]int
	// regions are the copies by region.
	regions map[string]int
}

// placementOf is where the model stands now.
func (r *round) placementOf(model string) *placement {
	if r.placed == nil {
		r.place()
	}
	if known, ok := r.placed[model]; ok {
		return known
	}
	return &placement{}
}

func (r *round) place() {
	r.placed = make(map[string]*placement, len(r.engine.Models))
	of := func(model string) *placement {
		known, ok := r.placed[model]
		if !ok {
			known = &placement{zones: make(map[string]int), regions: make(map[string]int)}
			r.placed[model] = known
		}
		return known
	}
	for _, s := range r.servers {
		used := r.slotsUsed(s)
		region := r.regionOf(s)
		for model := range s.held {
			known := of(model)
			known.slotsUsed += used[model]
			known.zones[s.info.Zone]++
			switch {
			case s.isClosed:
				known.closed++
			case !s.info.Draining && s.unloading != model:
				known.copies++
				known.regions[region]++
			}
		}
		if s.loading == nil || s.isClosed {
			continue
		}
		known := of(s.loading.model)
		known.isLoading = true
		if !s.info.Draining && (!s.has(s.loading.model) || s.unloading == s.loading.model) {
			known.copies++
			known.regions[region]++
		}
	}
}

// slotsUsed is the share of a server's slots that requests for each model take:
// how many run is known for the server alone, and dealt out by rates.
func (r *round) slotsUsed(s *server) map[string]float64 {
	if s.running == 0 || s.info.Slots == 0 {
		return nil
	}
	rates, total := make(map[string]float64, len(s.held)), 0.0
	for model := range s.held {
		if rate, isKnown := r.rateOf(model); isKnown {
			rates[model] = rate
			total += rate
		}
	}
	for model, rate := range rates {
		rates[model] = rate / max(total, minRate) * float64(s.running) / float64(s.info.Slots)
	}
	return rates
}

// minRate keeps the shares of models that nobody asks for now at nothing.
const minRate = 0.01

// ordered forgets what an order changed.
func (r *round) ordered() {
	r.placed = nil
	r.rooms = nil
}

func (r *round) isLoading(model string) bool { return r.placementOf(model).isLoading }

// copiesOf counts the servers that hold the model or are loading it, and do not
// leave.
func (r *round) copiesOf(model string) int { return r.placementOf(model).copies }
