package routetable

// Splitter distributes the requests of a route over its services by weight, so that in any sequence
// of requests each service is within one request of its share. It is not safe for concurrent use.
type Splitter struct {
	credit map[string][]float64
}

// Next returns the service for the route's next request.
func (s *Splitter) Next(route *Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	if len(route.Services) == 0 {
		return ""
	}
	credit := s.creditOf(route)
	total, best := 0.0, 0
	for i, service := range route.Services {
		credit[i] += service.Weight
		total += service.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return route.Services[best].Service
}

func (s *Splitter) creditOf(route *Route) []float64 {
	if s.credit == nil {
		s.credit = make(map[string][]float64)
	}
	credit, ok := s.credit[route.Name]
	if !ok || len(credit) != len(route.Services) {
		credit = make([]float64, len(route.Services))
		s.credit[route.Name] = credit
	}
	return credit
}
