package gateway

import "sync"

const (
	// heavyBytes is the mean length of a route's bodies, request and answer together,
	// from which on its requests stay in the own hall. Below about two packets each
	// way the bytes between halls cost less than a second cold copy of the object.
	heavyBytes = 4096
	// sizeWeight is the weight of a request in the mean: the last 50 or so count.
	sizeWeight = 0.02
)

// sizes are the mean lengths of the bodies of each route. It is safe for concurrent
// use.
type sizes struct {
	mu   sync.Mutex
	mean map[string]float64
}

// note takes in the bytes of a request's body and of its answer's.
func (s *sizes) note(route string, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == nil {
		s.mean = make(map[string]float64)
	}
	mean, ok := s.mean[route]
	if !ok {
		s.mean[route] = float64(bytes)
		return
	}
	s.mean[route] = mean + sizeWeight*(float64(bytes)-mean)
}

// heavy tells whether requests of a route move many bytes. Before the first answer only
// the body of the request itself is known.
func (s *sizes) heavy(route string, body int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, ok := s.mean[route]; ok {
		return mean >= heavyBytes
	}
	return body >= heavyBytes
}
