package stand

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/store"
)

// Lost is what a restored copy does not have.
type Lost struct {
	// Events holds the lost writes and removals, in order.
	Events []store.Event
	// RestoredTo is the revision of the copy.
	RestoredTo store.Revision
}

// Era returns the number of copies that Restore has restored.
func (m *MemoryStore) Era() store.Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// Revision returns the revision of the last write.
func (m *MemoryStore) Revision() store.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Restore replaces the content with a copy that is age milliseconds old, and starts the
// next era. Everything written since is lost, revisions and lease ids are given out again,
// leases granted since are gone, and those of the copy go on with the time that they had
// left in it. A copy from before the last Restore is not kept: the oldest one is that of
// the moment after it.
func (m *MemoryStore) Restore(age clock.Millis) (Lost, error) {
	if age < 0 || age > MaxRestoreAge {
		return Lost{}, errors.Errorf("copy of %d ms is not kept: use at most %d ms", age, MaxRestoreAge)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.expireLeases()
	now := m.clk.Now()
	copiedAt := max(now-age, m.restoredAt)
	kept := len(m.log)
	for kept > 0 && m.log[kept-1].at > copiedAt {
		kept--
	}
	var lost Lost
	for _, ev := range m.log[kept:] {
		lost.Events = append(lost.Events, ev.Event)
	}
	m.log = slices.Clip(m.log[:kept])
	m.revision = 0
	if kept > 0 {
		m.revision = m.log[kept-1].Entry.Revision
	}
	lost.RestoredTo = m.revision
	m.items = map[string]item{}
	for _, ev := range m.log {
		m.items[ev.Entry.Key] = item{entry: ev.Entry, lease: ev.lease}
		if ev.Removed {
			delete(m.items, ev.Entry.Key)
		}
	}
	m.restoreLeases(now, copiedAt)
	// The leases of these keys had passed their end, and no call had noticed it.
	for _, key := range slices.Sorted(maps.Keys(m.items)) {
		if id := m.items[key].lease; id != store.NoLease && m.leases[id].ttl == 0 {
			m.removeKey(key)
		}
	}
	m.era++
	m.restoredAt = now
	m.notifyWatchers()
	return lost, nil
}

// restoreLeases sets the leases to those that had been granted and had not ended at
// copiedAt. The caller holds m.mu.
func (m *MemoryStore) restoreLeases(now, copiedAt clock.Millis) {
	all := maps.Clone(m.endedLeases)
	maps.Copy(all, m.leases)
	m.leases, m.lastLease = map[store.LeaseID]lease{}, m.forgottenLease
	for id, l := range all {
		renewals, _ := slices.BinarySearch(l.renewedAt, copiedAt+1)
		if renewals == 0 {
			delete(m.endedLeases, id)
			continue
		}
		m.lastLease = max(m.lastLease, id)
		left := l.renewedAt[renewals-1] + l.ttl - copiedAt
		if l.endedAt > 0 && l.endedAt <= copiedAt || left <= 0 {
			continue
		}
		delete(m.endedLeases, id)
		// The copy is as old now as the store was at copiedAt.
		m.leases[id] = lease{ttl: l.ttl, expiresAt: now + left, renewedAt: []clock.Millis{now + left - l.ttl}}
	}
}

// WriteAgain makes the last lost write or removal of each key under a prefix again, as the
// operators do after a restore. It leaves out keys that have been written since.
func (m *MemoryStore) WriteAgain(ctx context.Context, lost Lost, prefix string) error {
	last := map[string]store.Event{}
	for _, ev := range lost.Events {
		if strings.HasPrefix(ev.Entry.Key, prefix) {
			last[ev.Entry.Key] = ev
		}
	}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		current, err := m.Get(ctx, key)
		switch {
		case err != nil && !store.IsNotFound(err):
			return err
		case current.Revision > lost.RestoredTo:
			continue
		case last[key].Removed && current.Revision == store.Absent:
			continue
		case last[key].Removed:
			err = m.Remove(ctx, key, current.Revision)
		default:
			_, err = m.Swap(ctx, key, current.Revision, last[key].Entry.Value, store.NoLease)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
