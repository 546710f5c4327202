package daemon

import (
	"context"

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
	if f.keyRemoved || k.failedAt > 0 && now-k.failedAt < storeRetryInterval {
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

// renewLease renews the key's lease. If the lease is lost, it writes the key with
// a new one.
func (f *rosterFleet) renewLease(ctx context.Context, now clock.Millis) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := f.d.store.Renew(ctx, f.key.lease)
	if isLeaseLost(err) {
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
