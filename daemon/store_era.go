package daemon

import (
	"context"
	"math"
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/store"
)

const (
	// minEraCheckInterval is the time after a check of a reported era before the next
	// one. It doubles up to maxEraCheckInterval while the store does not show the era, so
	// that a peer with a wrong number does not use up the fleet's call limit.
	minEraCheckInterval = clock.Second
	maxEraCheckInterval = 30 * clock.Second
)

// eraReports decides when a newer era that a peer reports is checked. It is safe for
// concurrent use.
type eraReports struct {
	mu       sync.Mutex
	nextAt   clock.Millis
	interval clock.Millis
}

// beginCheck reports whether the store must be read now. own is the era that the store
// has shown to this daemon.
func (r *eraReports) beginCheck(now clock.Millis, own store.Era, reported uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reported <= uint64(own) || reported > math.MaxUint16 || now < r.nextAt {
		return false
	}
	r.interval = min(max(2*r.interval, minEraCheckInterval), maxEraCheckInterval)
	r.nextAt = now + r.interval
	return true
}

// confirm records that the store has shown a new era.
func (r *eraReports) confirm() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nextAt, r.interval = 0, 0
}

// storeEra returns the highest era that the store has shown to this daemon.
func (d *Daemon) storeEra() store.Era {
	if s, ok := d.store.(store.EraSource); ok {
		return s.Era()
	}
	return 0
}

// followStoreEra writes again what this daemon keeps in the store, each time that the
// store has come back from an older copy.
func (d *Daemon) followStoreEra(ctx context.Context) {
	s, ok := d.store.(store.EraSource)
	if !ok {
		return
	}
	s.OnEra(func(era store.Era) {
		if ctx.Err() != nil {
			return
		}
		d.log.Info("writing own keys again after a restore of the store", "era", uint16(era))
		d.eraReports.confirm()
		d.localBroadcast.requestSend()
		go d.departures.saveAgain(ctx)
		go d.roster.writeAgain(ctx, era)
	})
}

// checkReportedEra reads from the store if a peer reports a newer era than this daemon
// knows. Only a response of the store changes the era. It does not block.
func (d *Daemon) checkReportedEra(reported uint64) {
	if d.platform == nil || !d.eraReports.beginCheck(d.clk.Now(), d.storeEra(), reported) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		_, err := d.store.Get(ctx, RosterPrefix+string(d.instance))
		if store.IsNotFound(err) {
			err = nil
		}
		d.recordStoreCall("check era", err)
	}()
}
