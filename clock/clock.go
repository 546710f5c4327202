// Package clock defines the time type of the project, in milliseconds, and the
// clocks that produce it. Packages that only make decisions, such as queue and
// once, receive a Millis as input and never read a clock themselves.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is a time or a duration, in milliseconds. A time from Clock.Now is
// monotonic and has no meaning outside its process; one from Clock.Wall counts from
// the Unix epoch.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second      Millis = 1000
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration converts a duration to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts a time.Duration to milliseconds. It drops the fraction
// of a millisecond.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock is a source of the current time.
type Clock interface {
	// Now returns the monotonic time of this process.
	Now() Millis
	// Wall returns the milliseconds since the Unix epoch. It is used for times
	// that are compared across processes, such as those in audit entries,
	// incarnation numbers and reports. All other times come from Now.
	Wall() Millis
}

// System is a Clock that reads the clocks of the machine. It is safe for
// concurrent use. Use NewSystem to create one.
type System struct {
	start time.Time
}

// NewSystem returns a Clock whose monotonic time is 0 at the time of the call.
func NewSystem() System {
	return System{start: time.Now()}
}

// Now returns the milliseconds since NewSystem, from the monotonic clock.
func (s System) Now() Millis {
	return FromDuration(time.Since(s.start))
}

// Wall returns the milliseconds since the Unix epoch.
func (System) Wall() Millis {
	return Millis(time.Now().UnixMilli())
}

// Manual is a Clock for tests that changes only when Advance is called. It is
// safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a Manual clock set to now.
func NewManual(now Millis) *Manual {
	c := &Manual{}
	c.now.Store(int64(now))
	return c
}

// Now returns the current setting of the clock.
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
