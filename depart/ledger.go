// Package depart keeps the departures of targets at other daemons, so that they bind the
// next process on an instance also if its store cannot be reached: an acknowledged
// departure must survive the process that acknowledged it.
package depart

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
)

const (
	// MaxPerInstance bounds the departures that are kept of one instance.
	MaxPerInstance = 32
	// keepTime is how long departures are kept. Late heartbeats arrive within seconds, and
	// a process is restarted within seconds.
	keepTime = 2 * clock.Minute
	// maxInstances bounds the instances whose departures are held.
	maxInstances = 1024
)

// Ledger holds departures that other daemons have acknowledged. It is safe for concurrent
// use.
type Ledger struct {
	mu   sync.Mutex
	held map[ident.Instance]heldList
}

// heldList holds the departures of one instance.
type heldList struct {
	// list has at most MaxPerInstance departures, one a target.
	list []guard.Departure
	// heldAt is when the list was last replaced.
	heldAt clock.Millis
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{held: map[ident.Instance]heldList{}} }

// Hold keeps the departures of an instance for keepTime, with those that are held of it
// already. Of two departures of one target it keeps the one that covers the other.
func (l *Ledger) Hold(now clock.Millis, of ident.Instance, list []guard.Departure) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropOld(now)
	merged := slices.Clone(list)
	for _, old := range l.held[of].list {
		i := slices.IndexFunc(merged, func(d guard.Departure) bool { return d.Target == old.Target })
		switch {
		case i < 0:
			merged = append(merged, old)
		case old.Covers(merged[i].StartedAt, merged[i].Sequence):
			merged[i] = old
		}
	}
	l.held[of] = heldList{merged[:min(len(merged), MaxPerInstance)], now}
	if len(l.held) > maxInstances {
		delete(l.held, slices.MinFunc(slices.Collect(maps.Keys(l.held)), func(a, b ident.Instance) int {
			return cmp.Compare(l.held[a].heldAt, l.held[b].heldAt)
		}))
	}
}

// Held returns the departures that are held of an instance.
func (l *Ledger) Held(now clock.Millis, of ident.Instance) []guard.Departure {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropOld(now)
	return slices.Clone(l.held[of].list)
}

// dropOld drops the lists that are older than keepTime. The caller holds mu.
func (l *Ledger) dropOld(now clock.Millis) {
	maps.DeleteFunc(l.held, func(_ ident.Instance, h heldList) bool { return now-h.heldAt > keepTime })
}
