package choose

import (
	"sync"

	"chestnutlatch/ident"
)

const (
	// sizePart smooths a route's size: each request counts one part in it.
	sizePart = 16
	// firstSize is assumed of a route without requests yet, in bytes.
	firstSize = 2000
)

// Sizes learns how many bytes the requests of each route send with their
// answers. It is safe for concurrent use.
type Sizes struct {
	mu    sync.Mutex
	bytes map[ident.Route]float64
}

// NewSizes returns sizes without routes.
func NewSizes() *Sizes {
	return &Sizes{bytes: map[ident.Route]float64{}}
}

// Add takes in one request, in bytes.
func (s *Sizes) Add(id ident.Route, request, answer int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was, ok := s.bytes[id]
	if !ok {
		was = firstSize
	}
	s.bytes[id] = was + (float64(request+answer)-was)/sizePart
}

// Of returns the mean size of a route's requests, in bytes.
func (s *Sizes) Of(id ident.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if was, ok := s.bytes[id]; ok {
		return was
	}
	return firstSize
}
