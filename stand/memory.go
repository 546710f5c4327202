// Package stand implements stand-ins for the platform's store and for targets:
// a store in memory, its gRPC server, and an HTTP target, all with faults that
// can be injected while they run. Package rigs, the demonstration and tests use
// them; production never does.
package stand

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/store"
)

// errInjectedOutage is the cause of every call that an injected fault fails.
var errInjectedOutage = errors.New("stand-in outage")

// StoreFaults are the faults that can be injected into a store at run time. The
// zero value injects none.
type StoreFaults struct {
	// Outage fails every call and ends every watch with store.UnavailableError.
	Outage bool `json:"outage"`
	// LostAnswers makes a swap take effect but return store.UnavailableError, as
	// when its reply is lost. Other calls are not affected.
	LostAnswers bool `json:"lost_answers"`
	// DelayMillis delays every call, in milliseconds; 0 and less add no delay.
	DelayMillis int64 `json:"slow_millis"`
}

// StoreCounts holds the number of calls of each kind, including failed ones.
type StoreCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Renews  uint64 `json:"renews"`
	Watches uint64 `json:"watches"`
}

// MaxRestoreAge is the greatest age of a copy that Restore can restore.
const MaxRestoreAge = clock.Minute

// lease is the lifetime of the items that are bound to it.
type lease struct {
	ttl       clock.Millis
	expiresAt clock.Millis
	// renewedAt holds when the lease was granted and renewed, as far back as a copy can
	// be restored. endedAt is when it ended, 0 while it has not.
	renewedAt []clock.Millis
	endedAt   clock.Millis
}

// loggedEvent is an event with what restoring a copy from behind it needs.
type loggedEvent struct {
	store.Event

	at    clock.Millis
	lease store.LeaseID
}

// item is a stored entry and its lease, store.NoLease for none.
type item struct {
	entry store.Entry
	lease store.LeaseID
}

// MemoryStore implements store.Store in memory. It keeps the whole history of events
// and is safe for concurrent use.
type MemoryStore struct {
	clk clock.Clock

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced after each event and each change of the faults
	revision store.Revision
	items    map[string]item
	// log holds all events since the start, in revision order.
	log       []loggedEvent
	leases    map[store.LeaseID]lease
	lastLease store.LeaseID
	// endedLeases holds the leases that a copy may still have. forgottenLease is the
	// highest id of those that none has.
	endedLeases    map[store.LeaseID]lease
	forgottenLease store.LeaseID
	// era is the number of copies restored, and restoredAt the time of the last one.
	era        store.Era
	restoredAt clock.Millis
	faults     StoreFaults
	counts     StoreCounts
}

var _ store.Store = (*MemoryStore)(nil)

// NewMemoryStore returns an empty store that measures lease lifetimes with clk.
func NewMemoryStore(clk clock.Clock) *MemoryStore {
	return &MemoryStore{
		clk:     clk,
		changed: make(chan struct{}),
		items:   map[string]item{},
		leases:  map[store.LeaseID]lease{},

		endedLeases: map[store.LeaseID]lease{},
	}
}

// SetFaults replaces the injected faults and wakes all watches.
func (m *MemoryStore) SetFaults(f StoreFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.notifyWatchers()
}

// Counts returns the number of calls since the start.
func (m *MemoryStore) Counts() StoreCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// DropLeases ends every lease and removes the items bound to them.
func (m *MemoryStore) DropLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.leases {
		m.endLease(id)
	}
}

// Get implements store.Store. A missing key is a store.NotFoundError.
func (m *MemoryStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := m.lockForCall(ctx, "get", &m.counts.Reads); err != nil {
		return store.Entry{}, err
	}
	defer m.mu.Unlock()
	it, ok := m.items[key]
	if !ok {
		return store.Entry{}, &store.NotFoundError{Key: key}
	}
	return it.entry, nil
}

// ListStale implements store.Store. Its result is always current.
func (m *MemoryStore) ListStale(ctx context.Context, prefix, after string, limit int) ([]store.Entry, store.Revision, error) {
	return m.List(ctx, prefix, after, limit)
}

// List implements store.Store. It returns, in key order, up to limit entries whose
// key begins with prefix and is greater than after; a limit of 0 or less returns
// all.
func (m *MemoryStore) List(ctx context.Context, prefix, after string, limit int) ([]store.Entry, store.Revision, error) {
	if err := m.lockForCall(ctx, "list", &m.counts.Reads); err != nil {
		return nil, 0, err
	}
	defer m.mu.Unlock()
	var entries []store.Entry
	for k, it := range m.items {
		if strings.HasPrefix(k, prefix) && k > after {
			entries = append(entries, it.entry)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	if limit > 0 && len(entries) > limit {
		entries = entries[:limit]
	}
	return entries, m.revision, nil
}

// Swap implements store.Store. It writes the key if its revision is want, else
// returns store.ConflictError. An unknown lease is a store.LeaseLostError.
func (m *MemoryStore) Swap(ctx context.Context, key string, want store.Revision, value []byte, id store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, errors.Errorf("value of %d bytes exceeds the limit of %d bytes: split it into several keys", len(value), store.MaxValueBytes)
	}
	if err := m.lockForCall(ctx, "swap", &m.counts.Writes); err != nil {
		return 0, err
	}
	defer m.mu.Unlock()
	current := m.items[key]
	if current.entry.Revision != want {
		return 0, &store.ConflictError{Key: key, Want: want, Current: current.entry}
	}
	if _, ok := m.leases[id]; !ok && id != store.NoLease {
		return 0, &store.LeaseLostError{Lease: id}
	}
	m.revision++
	e := store.Entry{Key: key, Value: append([]byte(nil), value...), Revision: m.revision}
	m.items[key] = item{entry: e, lease: id}
	m.appendEvent(store.Event{Entry: e}, id)
	if m.faults.LostAnswers {
		return 0, &store.UnavailableError{Op: "swap", Err: errInjectedOutage}
	}
	return m.revision, nil
}

// Remove implements store.Store. It removes the key if its revision is want, else
// returns store.ConflictError.
func (m *MemoryStore) Remove(ctx context.Context, key string, want store.Revision) error {
	if err := m.lockForCall(ctx, "remove", &m.counts.Writes); err != nil {
		return err
	}
	defer m.mu.Unlock()
	current := m.items[key]
	if current.entry.Revision != want {
		return &store.ConflictError{Key: key, Want: want, Current: current.entry}
	}
	m.removeKey(key)
	return nil
}

// Grant implements store.Store. The lease expires ttlMillis after the grant or
// the last renewal.
func (m *MemoryStore) Grant(ctx context.Context, ttlMillis uint32) (store.LeaseID, error) {
	if err := m.lockForCall(ctx, "grant", &m.counts.Writes); err != nil {
		return 0, err
	}
	defer m.mu.Unlock()
	m.lastLease++
	ttl := clock.Millis(ttlMillis)
	now := m.clk.Now()
	m.leases[m.lastLease] = lease{ttl: ttl, expiresAt: now + ttl, renewedAt: []clock.Millis{now}}
	return m.lastLease, nil
}

// Renew implements store.Store. An expired or unknown lease is a
// store.LeaseLostError.
func (m *MemoryStore) Renew(ctx context.Context, id store.LeaseID) error {
	if err := m.lockForCall(ctx, "renew", &m.counts.Renews); err != nil {
		return err
	}
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok {
		return &store.LeaseLostError{Lease: id}
	}
	now := m.clk.Now()
	l.expiresAt = now + l.ttl
	for len(l.renewedAt) > 1 && l.renewedAt[1] < now-MaxRestoreAge {
		l.renewedAt = l.renewedAt[1:]
	}
	l.renewedAt = append(l.renewedAt, now)
	m.leases[id] = l
	return nil
}

// Watch implements store.Store. It calls fn for each event after the revision
// after, in order and on the caller's goroutine, until ctx ends, an outage is
// injected or a copy is restored.
func (m *MemoryStore) Watch(ctx context.Context, prefix string, after store.Revision, fn func(store.Event)) error {
	if err := m.lockForCall(ctx, "watch", &m.counts.Watches); err != nil {
		return err
	}
	era := m.era
	m.mu.Unlock()
	for {
		events, changed, outage, present := m.eventsAfter(after)
		if present != era {
			return &store.CompactedError{After: after}
		}
		if outage {
			return &store.UnavailableError{Op: "watch", Err: errInjectedOutage}
		}
		for _, ev := range events {
			after = ev.Entry.Revision
			if strings.HasPrefix(ev.Entry.Key, prefix) {
				fn(ev)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// lockForCall counts a call, applies the injected delay and outage, and ends
// expired leases. If it returns nil, the caller holds m.mu and must unlock it.
func (m *MemoryStore) lockForCall(ctx context.Context, op string, count *uint64) error {
	m.mu.Lock()
	*count++
	delayMillis := m.faults.DelayMillis
	m.mu.Unlock()
	if delayMillis > 0 {
		select {
		case <-ctx.Done():
			return &store.UnavailableError{Op: op, Err: ctx.Err()}
		case <-time.After(time.Duration(delayMillis) * time.Millisecond):
		}
	}
	m.mu.Lock()
	if m.faults.Outage {
		m.mu.Unlock()
		return &store.UnavailableError{Op: op, Err: errInjectedOutage}
	}
	m.expireLeases()
	return nil
}

// eventsAfter returns the events after a revision, a channel that is closed at
// the next change, whether an outage is injected, and the era.
func (m *MemoryStore) eventsAfter(after store.Revision) (events []store.Event, changed <-chan struct{}, outage bool, era store.Era) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := sort.Search(len(m.log), func(i int) bool { return m.log[i].Entry.Revision > after })
	for _, ev := range m.log[i:] {
		events = append(events, ev.Event)
	}
	return events, m.changed, m.faults.Outage, m.era
}

// expireLeases ends the leases whose lifetime is over. The caller holds m.mu.
func (m *MemoryStore) expireLeases() {
	now := m.clk.Now()
	for id, l := range m.leases {
		if now >= l.expiresAt {
			m.endLease(id)
		}
	}
}

// endLease ends a lease and removes its items. The caller holds m.mu.
func (m *MemoryStore) endLease(id store.LeaseID) {
	now := m.clk.Now()
	l := m.leases[id]
	l.endedAt = now
	m.endedLeases[id] = l
	for old, ended := range m.endedLeases {
		if ended.endedAt < now-MaxRestoreAge {
			delete(m.endedLeases, old)
			m.forgottenLease = max(m.forgottenLease, old)
		}
	}
	delete(m.leases, id)
	for k, it := range m.items {
		if it.lease == id {
			m.removeKey(k)
		}
	}
}

// removeKey removes a key in a revision of its own. The caller holds m.mu.
func (m *MemoryStore) removeKey(key string) {
	delete(m.items, key)
	m.revision++
	m.appendEvent(store.Event{Entry: store.Entry{Key: key, Revision: m.revision}, Removed: true}, store.NoLease)
}

// appendEvent adds an event to the log and wakes all watches. The caller holds
// m.mu.
func (m *MemoryStore) appendEvent(ev store.Event, id store.LeaseID) {
	m.log = append(m.log, loggedEvent{Event: ev, at: m.clk.Now(), lease: id})
	m.notifyWatchers()
}

// notifyWatchers wakes all watches. The caller holds m.mu.
func (m *MemoryStore) notifyWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
}
