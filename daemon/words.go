package daemon

import (
	"sync"

	"github.com/go-faster/errors"

	"chestnutlatch/store"
)

// storeWords remembers whether the store answered last, so that its loss and
// return are logged once.
type storeWords struct {
	mu   sync.Mutex
	lost bool
}

// storeWord counts a call to the store and logs its loss and return.
func (d *Daemon) storeWord(purpose string, err error) {
	d.meter.StoreCall(purpose, resultOf(err))
	var down *store.UnavailableError
	lost := errors.As(err, &down)
	d.words.mu.Lock()
	changed := lost != d.words.lost
	d.words.lost = lost
	d.words.mu.Unlock()
	switch {
	case changed && lost:
		d.log.Warn("store lost", "purpose", purpose, "cause", down.Cause.String(), "error", down.Err)
		if d.docs != nil {
			d.docs.doubt()
		}
	case changed:
		d.log.Info("store regained", "purpose", purpose)
	case err != nil && !lost:
		d.log.Info("store refused a call", "purpose", purpose, "error", err)
	}
}

// resultOf names the end of a call to the store.
func resultOf(err error) string {
	var down *store.UnavailableError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &down):
		return down.Cause.String()
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

// conflict returns the key's current revision if an error is a conflict.
func conflict(err error) (store.Revision, bool) {
	var c *store.ConflictError
	if !errors.As(err, &c) {
		return 0, false
	}
	return c.Current.Revision, true
}

// CountDroppedLines exports the number of log lines that were not written.
func (d *Daemon) CountDroppedLines(read func() uint64) {
	d.meter.Gauge("chestnutlatch_log_lines_dropped", func() float64 { return float64(read()) })
}
