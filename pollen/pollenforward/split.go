package pollenforward

import (
	"sync"

	"pollenline.example/pollen/pollencatalog"
)

// Splitter distributes the requests of each route over its services by smooth weighted round robin.
//
// Unlike a random choice, it keeps to the weights over a few requests. The zero value is ready to use.
type Splitter struct {
	mu sync.Mutex
	// credit grows by a service's weight with each request of the route; being chosen costs the sum of all weights.
	credit map[splitKey]float64
}

type splitKey struct {
	route   string
	service string
}

// Choose returns the name of the service that gets the next request of a route.
func (s *Splitter) Choose(route *pollencatalog.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil {
		s.credit = make(map[splitKey]float64)
	}
	total, best := 0.0, -1
	for i, entry := range route.Split {
		total += entry.Weight
		key := splitKey{route: route.Name, service: entry.Service}
		s.credit[key] += entry.Weight
		if best < 0 || s.credit[key] > s.credit[splitKey{route: route.Name, service: route.Split[best].Service}] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	service := route.Split[best].Service
	s.credit[splitKey{route: route.Name, service: service}] -= total
	return service
}
