package daemon

import (
	"context"

	"chestnutlatch/clock"
	"chestnutlatch/member"
	"chestnutlatch/store"
)

// keep holds the own key in the store.
func (f *rosterFleet) keep(ctx context.Context) {
	every(ctx, keepTick, func() { f.keepOnce(ctx, f.d.clk.Now()) })
}

func (f *rosterFleet) keepOnce(ctx context.Context, now clock.Millis) {
	f.keyMu.Lock()
	defer f.keyMu.Unlock()
	k := &f.key
	if f.left || k.tried > 0 && now-k.tried < storeRetry {
		return
	}
	f.mu.Lock()
	dirty := f.dirty
	hasTarget := len(f.self.Targets) > 0
	f.mu.Unlock()
	if !hasTarget && k.revision == 0 && now < firstKey {
		return
	}
	var err error
	switch {
	case k.lease == 0 || k.revision == 0 || dirty:
		err = f.write(ctx, now)
	case now-k.renewed >= renewEvery:
		err = f.renew(ctx, now)
	default:
		f.d.digest.tell(ctx, now, k.lease)
		return
	}
	f.d.storeWord("keep own key", err)
	k.tried = 0
	if err != nil {
		k.tried = now
	}
}

func (f *rosterFleet) renew(ctx context.Context, now clock.Millis) error {
	ctx, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	err := f.d.store.Renew(ctx, f.key.lease)
	if isLeaseLost(err) {
		f.d.log.Info("lease of the own key lost", "lease", uint64(f.key.lease))
		f.key.lease, f.key.revision = 0, 0
		return f.write(ctx, now)
	}
	if err == nil {
		f.key.renewed = now
	}
	return err
}

// write writes the own key. A write whose answer was lost shows as a conflict
// with the own value and is made again over it.
func (f *rosterFleet) write(ctx context.Context, now clock.Millis) error {
	ctx, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	k := &f.key
	if k.lease == 0 {
		lease, err := f.d.store.Grant(ctx, uint32(leaseTime))
		if err != nil {
			return err
		}
		k.lease, k.renewed = lease, now
	}
	f.mu.Lock()
	f.self.Version++
	f.dirty = false
	value, err := member.EncodeMember(&f.self)
	f.mu.Unlock()
	if err != nil {
		return err
	}
	rev, err := f.swap(ctx, value)
	if isLeaseLost(err) {
		k.lease, k.revision = 0, 0
	}
	if err != nil {
		f.mu.Lock()
		f.dirty = true
		f.mu.Unlock()
		return err
	}
	k.revision = rev
	return nil
}

func (f *rosterFleet) swap(ctx context.Context, value []byte) (store.Revision, error) {
	key := RosterPrefix + string(f.d.instance)
	rev, err := f.d.store.Swap(ctx, key, f.key.revision, value, f.key.lease)
	if current, ok := conflict(err); ok {
		return f.d.store.Swap(ctx, key, current, value, f.key.lease)
	}
	return rev, err
}
