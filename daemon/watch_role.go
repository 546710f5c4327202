package daemon

import (
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// watcherSilence is the time without a broadcast of a daemon after which it is not
	// counted among the watchers. Broadcasts come at least every 0.6 s, and one of them may
	// be lost. It is less than the time after which this daemon checks the configuration
	// itself.
	watcherSilence = 1500 * clock.Millisecond
	// neighbourSilence is the time without any broadcast after which a daemon counts as
	// cut off from its neighbours and watches.
	neighbourSilence = clock.Second
	// watchReleaseDelay is how long a daemon goes on watching when it need not watch any
	// more. A new watch costs a read and a call, so short changes must not end it.
	watchReleaseDelay = 5 * clock.Second
)

// watchRole decides whether a daemon watches the configuration in the store. The first
// daemons of each data centre do, by the order of their names; the others receive changes
// from them. Daemons that were not heard lately or have lost the store are passed over,
// so that the decisions of two daemons may differ: more of them watch then. It is safe for
// concurrent use.
type watchRole struct {
	self  ident.Instance
	limit int

	mu sync.Mutex
	// neighbours holds the last broadcasts of the neighbours.
	neighbours map[ident.Instance]neighbourReport
	// heardAt is when the last broadcast of any neighbour arrived.
	heardAt clock.Millis
	// neededAt is when this daemon last had to watch.
	neededAt clock.Millis
}

// neighbourReport is what the last broadcast of a neighbour says.
type neighbourReport struct {
	at        clock.Millis
	storeLost bool
}

func newWatchRole(self ident.Instance, limit int) *watchRole {
	return &watchRole{self: self, limit: limit, neighbours: map[ident.Instance]neighbourReport{}, heardAt: -neighbourSilence}
}

// noteBroadcast records a broadcast of a neighbour. storeLost says that the neighbour
// cannot follow the configuration in the store.
func (r *watchRole) noteBroadcast(now clock.Millis, from ident.Instance, storeLost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heardAt = now
	r.neighbours[from] = neighbourReport{now, storeLost}
}

// decide reports whether this daemon watches. isListed reports whether a daemon is on the
// list of members. isRequired says that this daemon must watch in any case.
func (r *watchRole) decide(now clock.Millis, isListed func(ident.Instance) bool, isRequired bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := 0
	for id, n := range r.neighbours {
		switch {
		case now-n.at > watcherSilence:
			delete(r.neighbours, id)
		case id < r.self && !n.storeLost && isListed(id):
			before++
		}
	}
	if isRequired || before < r.limit || now-r.heardAt >= neighbourSilence {
		r.neededAt = now
	}
	return now-r.neededAt < watchReleaseDelay
}
