// Package clock holds the project's one notion of time: milliseconds on a
// monotonic scale. Decision packages take a Millis as input and never read a
// clock themselves.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a point on a monotonic scale, or a span between two points, in
// milliseconds. The zero point has no meaning outside one process.
type Millis int64

// Spans in milliseconds.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts a span to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a standard duration to milliseconds, rounding down.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock tells the time.
type Clock interface {
	// Now returns the monotonic time of this process.
	Now() Millis
	// Wall returns milliseconds since the Unix epoch, for audit entries and
	// incarnation numbers only.
	Wall() Millis
}

// System is the Clock of the machine.
type System struct {
	start time.Time
}

// NewSystem returns a Clock that counts from the moment of the call.
func NewSystem() System {
	return System{start: time.Now()}
}

// Now returns milliseconds since NewSystem, on the monotonic clock.
func (s System) Now() Millis {
	return FromDuration(time.Since(s.start))
}

// Wall returns milliseconds since the Unix epoch.
func (System) Wall() Millis {
	return Millis(time.Now().UnixMilli())
}

// Manual is a Clock that moves only when told to. It is safe for concurrent
// use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a Manual clock set to now.
func NewManual(now Millis) *Manual {
	c := &Manual{}
	c.now.Store(int64(now))
	return c
}

// Now returns the time last set.
func (c *Manual) Now() Millis {
	return Millis(c.now.Load())
}

// Wall returns the same time as Now.
func (c *Manual) Wall() Millis {
	return c.Now()
}

// Advance moves the clock forward by d.
func (c *Manual) Advance(d Millis) {
	c.now.Add(int64(d))
}
