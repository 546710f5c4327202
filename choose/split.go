package choose

import (
	"math"
	"math/rand/v2"
	"sync"

	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// goldenStep is the step of a sequence that fills an interval evenly. With it, the
// share of each service is close to its weight after only a few requests.
const goldenStep = 0.6180339887498949

// Splitter distributes a route's requests over services by weight. It is safe
// for concurrent use.
type Splitter struct {
	mu  sync.Mutex
	rnd *rand.Rand
	// positions holds the current position of each route in the sequence, 0 to 1.
	positions map[ident.Route]float64
}

// NewSplitter returns a splitter whose sequences start at positions derived from
// the seed. Different seeds keep the daemons from choosing services in step.
func NewSplitter(seed uint64) *Splitter {
	return &Splitter{rnd: rand.New(rand.NewPCG(seed, 0)), positions: map[ident.Route]float64{}}
}

// Service returns the service for a route's next request: one of its split, chosen
// by weight, or the route's own service if the weights add up to 0.
func (s *Splitter) Service(r record.Route) ident.Service {
	total := 0.0
	for _, p := range r.Split {
		total += float64(p.Weight)
	}
	if total == 0 {
		return r.Service
	}
	position := s.nextPosition(r.ID) * total
	for _, p := range r.Split {
		position -= float64(p.Weight)
		if position < 0 {
			return p.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

// nextPosition advances a route's position in the sequence and returns it.
func (s *Splitter) nextPosition(id ident.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	position, ok := s.positions[id]
	if !ok {
		position = s.rnd.Float64()
	}
	position = math.Mod(position+goldenStep, 1)
	s.positions[id] = position
	return position
}
