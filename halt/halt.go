// Package halt computes the timeline of a planned stop from its time limit. The daemon
// takes its steps at these times, whatever the store and its peers do meanwhile.
package halt

import "chestnutlatch/clock"

// Timeline holds the times of a planned stop, in milliseconds since its beginning. Each
// is at or after the one before it.
type Timeline struct {
	// Drain is when the local targets take no more work.
	Drain clock.Millis
	// Close is when the callers' port closes.
	Close clock.Millis
	// LastSend is when the last request is sent to a target for the first time. A later
	// one could be cut off while its target works on it.
	LastSend clock.Millis
	// Cut is when the requests in progress are canceled, so that their callers get a
	// response before the process ends.
	Cut clock.Millis
	// Exit is when the process stops waiting for anything.
	Exit clock.Millis
}

const (
	// targetWorkTime is how long the targets of a stopping daemon still take work on a
	// platform: they are working and can only be reached through this daemon.
	targetWorkTime = 1500 * clock.Millisecond
	// readinessMissTime is the time after which two readiness checks of a stopping
	// daemon, a second apart, have failed and the platform sends no more callers.
	readinessMissTime = 2500 * clock.Millisecond
	// peerNoticeTime gives peers time to receive the draining state of the targets
	// before the callers' port closes.
	peerNoticeTime = 700 * clock.Millisecond
	// cutMargin and exitMargin are the times from Cut and Exit to the end of the limit,
	// when the supervisor kills the process.
	cutMargin  = clock.Second
	exitMargin = 600 * clock.Millisecond
)

// New returns the timeline of a stop that may take limit. A short limit shortens all its
// parts. onPlatform is true for a daemon whose targets stay when it stops, and whose
// callers are sent elsewhere after failed readiness checks.
func New(limit clock.Millis, onPlatform bool) Timeline {
	t := Timeline{
		Close:    min(peerNoticeTime, limit*5/12),
		LastSend: limit / 2,
		Cut:      limit - min(cutMargin, limit/6),
		Exit:     limit - min(exitMargin, limit/10),
	}
	if onPlatform {
		t.Drain, t.Close = min(targetWorkTime, limit/4), min(readinessMissTime, limit*5/12)
	}
	return t
}
