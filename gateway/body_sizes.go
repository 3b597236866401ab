package gateway

import "sync"

const (
	// heavyRouteBytes is the mean number of body bytes per request, request and response together,
	// from which the requests of a route stay in the own hall. Below about two packets in each
	// direction, traffic between halls costs less than a second copy of the object in a cold cache.
	heavyRouteBytes = 4096
	// bodySizeWeight is the weight of a request in the moving average, which covers about the last
	// 50 requests.
	bodySizeWeight = 0.02
)

// bodySizes holds the mean body size of each route's requests. It is safe for concurrent use.
type bodySizes struct {
	mu    sync.Mutex
	means map[string]float64
}

// record adds the body bytes of one request and its response to the mean of a route.
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

// isHeavy reports whether the requests of a route transfer many bytes. Before the first response,
// it decides by the body of the given request alone.
func (s *bodySizes) isHeavy(route string, body int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, ok := s.means[route]; ok {
		return mean >= heavyRouteBytes
	}
	return body >= heavyRouteBytes
}
