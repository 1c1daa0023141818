package routetable

import (
	"math/rand/v2"
	"slices"
)

// Splitter distributes the requests of a route over its services by weight, so that in any sequence
// of requests each service is within one request of its share. It is not safe for concurrent use.
type Splitter struct {
	splits map[string]*split
	// random chooses where in its sequence a route begins: nodes that start together would otherwise all
	// send their first requests to the same service. nil begins at the first.
	random *rand.Rand
}

// split is the state of one route.
type split struct {
	services []WeightedService
	credit   []float64
}

// maxSplitStart is the number of requests of a route's sequence among which its beginning is drawn.
const maxSplitStart = 1000

// NewSplitter returns a splitter that begins each route's sequence at a random request.
func NewSplitter(random *rand.Rand) Splitter { return Splitter{random: random} }

// Next returns the service for the route's next request.
func (s *Splitter) Next(route *Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	if len(route.Services) == 0 {
		return ""
	}
	return s.splitOf(route).next()
}

// splitOf returns the state of the route; a change of its services or weights begins it anew.
func (s *Splitter) splitOf(route *Route) *split {
	if s.splits == nil {
		s.splits = make(map[string]*split)
	}
	known, ok := s.splits[route.Name]
	if ok && slices.Equal(known.services, route.Services) {
		return known
	}
	begun := &split{services: slices.Clone(route.Services), credit: make([]float64, len(route.Services))}
	if s.random != nil {
		for range s.random.IntN(maxSplitStart) {
			begun.next()
		}
	}
	s.splits[route.Name] = begun
	return begun
}

// next returns the service for the next request.
func (s *split) next() string {
	total, best := 0.0, 0
	for i, service := range s.services {
		s.credit[i] += service.Weight
		total += service.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.services[best].Service
}
