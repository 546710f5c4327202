package choose

import (
	"math"
	"math/rand/v2"
	"sync"

	"chestnutlatch/ident"
	"chestnutlatch/record"
)

// golden is the step of a sequence that fills an interval evenly: a part's
// share is close to its weight after few requests already.
const golden = 0.6180339887498949

// Splitter divides a route's requests between services by weight. It is safe
// for concurrent use.
type Splitter struct {
	mu  sync.Mutex
	rnd *rand.Rand
	// at holds each route's place in the sequence, 0 to 1.
	at map[ident.Route]float64
}

// NewSplitter returns a splitter whose sequences start at places that follow
// from the seed, so that the daemons do not move in step.
func NewSplitter(seed uint64) *Splitter {
	return &Splitter{rnd: rand.New(rand.NewPCG(seed, 0)), at: map[ident.Route]float64{}}
}

// Service returns the service of a route's next request.
func (s *Splitter) Service(r record.Route) ident.Service {
	total := 0.0
	for _, p := range r.Split {
		total += float64(p.Weight)
	}
	if total == 0 {
		return r.Service
	}
	place := s.next(r.ID) * total
	for _, p := range r.Split {
		place -= float64(p.Weight)
		if place < 0 {
			return p.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}

func (s *Splitter) next(id ident.Route) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.at[id]
	if !ok {
		at = s.rnd.Float64()
	}
	at = math.Mod(at+golden, 1)
	s.at[id] = at
	return at
}
