package daemon

import (
	"sync"

	"github.com/go-faster/errors"

	"chestnutlatch/store"
)

// storeState holds whether the store was unavailable at the last call, so that
// each outage is logged once at its start and once at its end.
type storeState struct {
	mu   sync.Mutex
	lost bool
}

// recordStoreCall counts the result of a store call and logs changes of the
// store's availability and refused calls. At the start of an outage it cancels
// the configuration watch.
func (d *Daemon) recordStoreCall(purpose string, err error) {
	d.meter.CountStoreCall(purpose, storeResult(err))
	var unavailable *store.UnavailableError
	lost := errors.As(err, &unavailable)
	if isOldEra(err) {
		// The store responds; only this response is of no use.
		d.log.Info("store call has no valid response in the store's new era", "purpose", purpose, "error", unavailable.Err)
		return
	}
	d.storeState.mu.Lock()
	changed := lost != d.storeState.lost
	d.storeState.lost = lost
	d.storeState.mu.Unlock()
	switch {
	case changed && lost:
		d.log.Warn("store lost", "purpose", purpose, "cause", unavailable.Cause.String(), "error", unavailable.Err)
		if d.documentSyncer != nil {
			d.documentSyncer.abandonWatch()
		}
	case changed:
		d.log.Info("store regained", "purpose", purpose)
	case err != nil && !lost:
		d.log.Info("store call refused", "purpose", purpose, "error", err)
	}
}

// isStoreLost reports whether the store was unavailable at the last call.
func (d *Daemon) isStoreLost() bool {
	d.storeState.mu.Lock()
	defer d.storeState.mu.Unlock()
	return d.storeState.lost
}

// storeResult returns the metric label for the result of a store call.
func storeResult(err error) string {
	var unavailable *store.UnavailableError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &unavailable):
		return unavailable.Cause.String()
	case isLeaseLost(err):
		return "lease_lost"
	default:
		return "refused"
	}
}

func isLeaseLost(err error) bool {
	var lost *store.LeaseLostError
	return errors.As(err, &lost)
}

// isOldEra reports whether the response to a store call was of an older era.
func isOldEra(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Cause == store.CauseOldEra
}

// conflict returns the key's current revision if the error is a write conflict.
func conflict(err error) (store.Revision, bool) {
	var c *store.ConflictError
	if !errors.As(err, &c) {
		return 0, false
	}
	return c.Current.Revision, true
}

// RegisterDroppedLines registers a metric for the number of log lines that were
// not written. read is called whenever metrics are written.
func (d *Daemon) RegisterDroppedLines(read func() uint64) {
	d.meter.Gauge("chestnutlatch_log_lines_dropped", func() float64 { return float64(read()) })
}
