package choose

import (
	"math"
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// minResponseSamples is the number of answers after which a route's response time
	// is known well enough.
	minResponseSamples = 8
	// meanSmoothing and deviationSmoothing are the inverses of the smoothing factors of
	// the moving averages.
	meanSmoothing      = 16
	deviationSmoothing = 8
	// hedgeDeviations is the number of mean deviations above the mean response time
	// after which an answer counts as overdue.
	hedgeDeviations = 3
	// minHedgeFactor is the multiple of the mean response time before which an answer
	// never counts as overdue.
	minHedgeFactor = 1.5
	// initialPatience multiplies the hedge delay of a route at first. It falls to
	// 1 where the second target usually answers first, and rises to maxPatience
	// where the first one does: its answers are then late, not lost, and a second request
	// only costs traffic.
	initialPatience = 2
	maxPatience     = 6
	// secondFirstFactor and firstFirstFactor multiply the patience after each second request.
	secondFirstFactor = 0.6
	firstFirstFactor  = 1.4
	// minHedgeDelay is the shortest hedge delay, in milliseconds. A path between regions
	// takes about as long.
	minHedgeDelay = 30 * clock.Millisecond
)

// ResponseTimes estimates how long the requests of each route usually take, and decides when
// an idempotent request is sent to a second target because its answer is overdue. It is
// safe for concurrent use.
type ResponseTimes struct {
	mu     sync.Mutex
	routes map[ident.Route]*responseTime
}

// responseTime holds moving averages of one route, in milliseconds.
type responseTime struct {
	mean, deviation float64
	samples         int
	// patience multiplies the hedge delay, 1 to maxPatience.
	patience float64
}

// NewResponseTimes returns estimates without samples.
func NewResponseTimes() *ResponseTimes {
	return &ResponseTimes{routes: map[ident.Route]*responseTime{}}
}

// Observe records how long a target took for an answer that is no server error.
func (rt *ResponseTimes) Observe(id ident.Route, took clock.Millis) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	r := rt.routes[id]
	if r == nil {
		r = &responseTime{mean: float64(took), deviation: float64(took) / 2, patience: initialPatience}
		rt.routes[id] = r
	}
	r.samples++
	r.deviation += (math.Abs(float64(took)-r.mean) - r.deviation) / deviationSmoothing
	r.mean += (float64(took) - r.mean) / meanSmoothing
}

// ObserveHedge records which target answered first after a second request.
func (rt *ResponseTimes) ObserveHedge(id ident.Route, secondFirst bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	r := rt.routes[id]
	switch {
	case r == nil:
	case secondFirst:
		r.patience = max(r.patience*secondFirstFactor, 1)
	default:
		r.patience = min(r.patience*firstFirstFactor, maxPatience)
	}
}

// HedgeDelay returns how long to wait for the answer of the first target before the
// request is sent to a second one. left is the time until the route's latency objective.
// The delay leaves the second target enough time for the objective if the response time
// permits it.
func (rt *ResponseTimes) HedgeDelay(id ident.Route, left clock.Millis) clock.Millis {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	r := rt.routes[id]
	if r == nil || r.samples < minResponseSamples {
		return max(left, minHedgeDelay)
	}
	overdue := r.mean + hedgeDeviations*r.deviation
	latest := max(float64(left)-r.mean, minHedgeFactor*r.mean)
	return max(clock.Millis(min(overdue, latest)*r.patience), minHedgeDelay)
}
