package choose

import (
	"sync"

	"chestnutlatch/ident"
)

const (
	// sizeSmoothing smooths the mean size of a route: each request has a weight of
	// 1/sizeSmoothing.
	sizeSmoothing = 16
	// initialSize is the assumed size for a route without requests, in bytes.
	initialSize = 2000
)

// RouteSizes holds a moving average of the size of each route's requests, together with
// their responses. It is safe for concurrent use.
type RouteSizes struct {
	mu    sync.Mutex
	bytes map[ident.Route]float64
}

// NewRouteSizes returns an empty set of averages.
func NewRouteSizes() *RouteSizes {
	return &RouteSizes{bytes: map[ident.Route]float64{}}
}

// Add updates a route's average with the sizes of one request and its response, in
// bytes.
func (s *RouteSizes) Add(id ident.Route, request, response int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.bytes[id]
	if !ok {
		mean = initialSize
	}
	s.bytes[id] = mean + (float64(request+response)-mean)/sizeSmoothing
}

// Mean returns the mean size of a route's requests with their responses, in bytes. It
// returns a default for a route without requests.
func (s *RouteSizes) Mean(id ident.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean, ok := s.bytes[id]; ok {
		return mean
	}
	return initialSize
}
