package daemon

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/member"
	"chestnutlatch/store"
)

// maintainKey keeps this daemon's leased key in the store up to date until ctx
// ends.
func (f *rosterFleet) maintainKey(ctx context.Context) {
	runEvery(ctx, keyCheckInterval, func() { f.checkKey(ctx, f.d.clk.Now()) })
}

// checkKey writes the key or renews its lease if one of them is due; otherwise
// it writes the load summary. A daemon without targets does not write its first key
// before firstHeartbeatWait. After a failure, checkKey does nothing for
// storeRetryInterval.
func (f *rosterFleet) checkKey(ctx context.Context, now clock.Millis) {
	f.keyMu.Lock()
	defer f.keyMu.Unlock()
	k := &f.key
	if f.keyRemoved || now < k.notBefore || k.failedAt > 0 && now-k.failedAt < storeRetryInterval {
		return
	}
	if f.isKeyOfOldEra() {
		return
	}
	f.mu.Lock()
	outdated := f.keyOutdated
	hasTarget := len(f.self.Targets) > 0
	f.mu.Unlock()
	if !hasTarget && k.revision == 0 && now < firstHeartbeatWait {
		return
	}
	var err error
	switch {
	case k.lease == 0 || k.revision == 0 || outdated:
		err = f.writeKey(ctx, now)
	case now-k.renewedAt >= keyRenewInterval:
		err = f.renewLease(ctx, now)
	default:
		f.d.loadSummary.writeIfChanged(ctx, now, k.lease)
		return
	}
	f.d.recordStoreCall("keep own key", err)
	k.failedAt = 0
	if err != nil {
		k.failedAt = now
	}
}

// isKeyOfOldEra reports whether the key was written before the store came back from an
// older copy. writeAgain is then about to reset it, so that the daemons do not all write
// at once. The caller holds keyMu.
func (f *rosterFleet) isKeyOfOldEra() bool {
	return f.key.revision != 0 && f.key.revision.Era() < f.d.storeEra()
}

// writeAgain writes the key to a store that has come back from an older copy, after a
// random delay, so that the daemons do not all write at once. A key that was removed at
// shutdown is removed again.
func (f *rosterFleet) writeAgain(ctx context.Context, era store.Era) {
	f.mu.Lock()
	delay := time.Duration(f.rnd.Int64N(int64(maxWriteAgainDelay)))
	f.mu.Unlock()
	f.keyMu.Lock()
	defer f.keyMu.Unlock()
	if f.keyRemoved {
		f.removeKey(ctx)
		return
	}
	if f.key.revision == 0 || f.key.revision.Era() >= era {
		return
	}
	f.key = memberKey{notBefore: f.d.clk.Now() + clock.FromDuration(delay)}
	f.d.loadSummary.forget()
	time.AfterFunc(delay, func() {
		if ctx.Err() == nil {
			f.checkKey(ctx, f.d.clk.Now())
		}
	})
}

// removeKey removes this daemon's key. If the store came back from an older copy since the
// key was written, the copy may have an earlier record of this process under another
// revision. The caller holds keyMu.
func (f *rosterFleet) removeKey(ctx context.Context) {
	if f.key.revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	key := RosterPrefix + string(f.d.instance)
	err := f.d.store.Remove(ctx, key, f.key.revision)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) && conflict.Current.Revision != store.Absent {
		if m, decodeErr := member.DecodeMember(conflict.Current.Value); decodeErr == nil && m.Incarnation == f.d.incarnation {
			err = f.d.store.Remove(ctx, key, conflict.Current.Revision)
		}
	}
	f.d.recordStoreCall("remove own key", err)
}

// renewLease renews the key's lease. If the lease is lost, it writes the key with
// a new one.
func (f *rosterFleet) renewLease(ctx context.Context, now clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := f.d.store.Renew(ctx, f.key.lease)
	if isLeaseLost(err) && !f.isKeyOfOldEra() {
		f.d.log.Info("lease of the own key lost", "lease", uint64(f.key.lease))
		f.key.lease, f.key.revision = 0, 0
		return f.writeKey(ctx, now)
	}
	if err == nil {
		f.key.renewedAt = now
	}
	return err
}

// writeKey writes this daemon's record to its key, with a new lease if it has
// none. If the reply to an earlier write was lost, the write conflicts with this
// daemon's own value, and swapKey overwrites it.
func (f *rosterFleet) writeKey(ctx context.Context, now clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k := &f.key
	if k.lease == 0 {
		lease, err := f.d.store.Grant(ctx, uint32(keyLeaseTime))
		if err != nil {
			return err
		}
		k.lease, k.renewedAt = lease, now
	}
	f.mu.Lock()
	f.self.Version++
	f.keyOutdated = false
	value, err := member.EncodeMember(&f.self)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	rev, err := f.swapKey(ctx, value)
	if isLeaseLost(err) {
		k.lease, k.revision = 0, 0
	}
	if err != nil {
		f.mu.Lock()
		f.keyOutdated = true
		f.mu.Unlock()
		return err
	}
	k.revision = rev
	return nil
}

// swapKey writes the key and, on a conflict, overwrites the current revision once.
func (f *rosterFleet) swapKey(ctx context.Context, value []byte) (store.Revision, error) {
	key := RosterPrefix + string(f.d.instance)
	rev, err := f.d.store.Swap(ctx, key, f.key.revision, value, f.key.lease)
	if current, ok := conflict(err); ok {
		return f.d.store.Swap(ctx, key, current, value, f.key.lease)
	}
	return rev, err
}
