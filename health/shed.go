package health

import (
	"math"

	"chestnutlatch/clock"
)

const (
	// shedWeight is the weight of one request in the share of refused requests.
	shedWeight = 1.0 / 6
	// shedDecay is the time constant with which the share returns to 0 without requests,
	// in milliseconds.
	shedDecay = 3 * clock.Second
)

// ShedEstimate estimates the share of the requests that a target refuses without running
// them. A target that refuses is loaded, not failing: the request can be tried elsewhere
// and costs a retry only. The zero value is a target that refuses none. It is not safe for
// concurrent use.
type ShedEstimate struct {
	share float64
	at    clock.Millis
}

// Observe updates the estimate with one request.
func (e *ShedEstimate) Observe(now clock.Millis, refused bool) {
	share := e.At(now)
	sample := 0.0
	if refused {
		sample = 1
	}
	e.share, e.at = share+(sample-share)*shedWeight, now
}

// At returns the share at the given time, 0 to 1.
func (e *ShedEstimate) At(now clock.Millis) float64 { return DecayShed(e.share, now-e.at) }

// DecayShed returns a share of refused requests after a time without requests.
func DecayShed(share float64, span clock.Millis) float64 {
	return share * math.Exp(-float64(max(span, 0))/float64(shedDecay))
}
