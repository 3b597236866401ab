package gateway

import "sync"

const (
	// heavyRouteBytes is the mean length of a route's bodies, request and answer together,
	// from which on its requests stay in the own hall. Below about two packets each
	// way the bytes between halls cost less than a second cold copy of the object.
	heavyRouteBytes = 4096
	// bodySizeWeight is the weight of a request in the mean: the last 50 or so count.
	bodySizeWeight = 0.02
)

// bodySizes are the mean lengths of the bodies of each route. It is safe for concurrent
// use.
type bodySizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// record takes in the bytes of a request's body and of its answer's.
func (s *bodySizes) record(route string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil {
		s.means = make(map[string]float64)
	}
	mean, ok := s.means[route]
	if !ok {
		s.means[route] = float64(bytes)
		return
	}
	s.means[route] = mean + bodySizeWeight*(float64(bytes)-mean)
}

// isHeavy tells whether requests of a route move many bytes. Before the first answer only
// the body of the request itself is known.
func (s *bodySizes) isHeavy(route string, body int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, ok := s.means[route]; ok {
		return mean >= heavyRouteBytes
	}
	return body >= heavyRouteBytes
}
