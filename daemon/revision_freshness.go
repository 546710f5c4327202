package daemon

import (
	"math/rand/v2"
	"sync"
	"time"

	"chestnutlatch/clock"
)

const (
	// freshnessTick is the time between two decisions whether a check is due.
	freshnessTick = 100 * time.Millisecond
	// freshnessTime is how long the configuration in force is assumed to be the newest
	// after it was checked. With the delays below and the transfer from a peer it is less
	// than the 2 s within which a configuration must be in force.
	freshnessTime = 1100 * clock.Millisecond
	// minBackupDelay and maxBackupDelay are how much later the daemons check that do not
	// come first in their data centre. They receive the result of the first one before,
	// unless it is down or cut off.
	minBackupDelay = 300 * clock.Millisecond
	maxBackupDelay = 450 * clock.Millisecond
)

// revisionFreshness holds when the configuration in force was last known to be the
// newest in the store, and decides when to check it again. It is safe for concurrent
// use.
type revisionFreshness struct {
	mu  sync.Mutex
	rnd *rand.Rand
	// confirmedAt is when the configuration was last known to be the newest; 0 if
	// never.
	confirmedAt clock.Millis
	// checkedAt is when the last check of this daemon began.
	checkedAt clock.Millis
	// backupDelay is drawn anew with each confirmation.
	backupDelay clock.Millis
}

func newRevisionFreshness(rnd *rand.Rand) *revisionFreshness {
	return &revisionFreshness{rnd: rnd, checkedAt: -freshnessTime}
}

// confirm records that the configuration was the newest at the given time, as read from
// the store or reported by a peer. Earlier times than the last one change nothing.
func (f *revisionFreshness) confirm(at clock.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at <= f.confirmedAt {
		return
	}
	f.confirmedAt = at
	f.backupDelay = minBackupDelay + clock.Millis(f.rnd.Int64N(int64(maxBackupDelay-minBackupDelay)))
}

// age returns the time since the last confirmation; ok is false if there was none.
func (f *revisionFreshness) age(now clock.Millis) (age clock.Millis, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(now-f.confirmedAt, 0), f.confirmedAt > 0
}

// beginCheck reports whether this daemon must check the configuration now. isRequired
// says that a check is due whatever its age. isFirst
// reports whether it comes first in its data centre; it is called only if that matters.
// The next check begins after freshnessTime at the earliest, even if this one fails.
func (f *revisionFreshness) beginCheck(now clock.Millis, isRequired bool, isFirst func() bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := now - f.confirmedAt
	isDue := age >= freshnessTime+f.backupDelay || age >= freshnessTime && isFirst()
	if now-f.checkedAt < freshnessTime || !isDue && !isRequired {
		return false
	}
	f.checkedAt = now
	return true
}
