// Package stand holds the stand-ins for the platform and the targets. They
// serve tests, the demonstration and measurements, never production.
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

// errOutage is the cause of every call that fails by a switched fault.
var errOutage = errors.New("stand-in outage")

// StoreFaults are the faults of the store that can be switched at run time.
type StoreFaults struct {
	// Outage fails every call and ends every watch.
	Outage bool `json:"outage"`
	// LostAnswers lets writes take effect and fails their answers.
	LostAnswers bool `json:"lost_answers"`
	// SlowMillis delays every call, in milliseconds.
	SlowMillis int64 `json:"slow_millis"`
}

// StoreCounts counts the calls by kind.
type StoreCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Renews  uint64 `json:"renews"`
	Watches uint64 `json:"watches"`
}

type lease struct {
	ttl clock.Millis
	end clock.Millis
}

type item struct {
	entry store.Entry
	lease store.LeaseID
}

// Memory is a store in memory. It implements store.Store.
type Memory struct {
	clk clock.Clock

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	revision store.Revision
	items    map[string]item
	// log holds all events in revision order.
	log       []store.Event
	leases    map[store.LeaseID]lease
	lastLease store.LeaseID
	faults    StoreFaults
	counts    StoreCounts
}

var _ store.Store = (*Memory)(nil)

// NewMemory returns an empty store that takes lease time from clk.
func NewMemory(clk clock.Clock) *Memory {
	return &Memory{
		clk:     clk,
		changed: make(chan struct{}),
		items:   map[string]item{},
		leases:  map[store.LeaseID]lease{},
	}
}

// SetFaults switches the faults.
func (m *Memory) SetFaults(f StoreFaults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.wake()
}

// Counts returns the calls so far.
func (m *Memory) Counts() StoreCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts
}

// DropLeases ends every lease at once.
func (m *Memory) DropLeases() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.leases {
		m.endLease(id)
	}
}

// Get implements store.Store.
func (m *Memory) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := m.enter(ctx, "get", &m.counts.Reads); err != nil {
		return store.Entry{}, err
	}
	defer m.mu.Unlock()
	it, ok := m.items[key]
	if !ok {
		return store.Entry{}, &store.NotFoundError{Key: key}
	}
	return it.entry, nil
}

// ListStale implements store.Store with what is there now.
func (m *Memory) ListStale(ctx context.Context, prefix, after string, limit int) ([]store.Entry, store.Revision, error) {
	return m.List(ctx, prefix, after, limit)
}

// List implements store.Store.
func (m *Memory) List(ctx context.Context, prefix, after string, limit int) ([]store.Entry, store.Revision, error) {
	if err := m.enter(ctx, "list", &m.counts.Reads); err != nil {
		return nil, 0, err
	}
	defer m.mu.Unlock()
	var out []store.Entry
	for k, it := range m.items {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, it.entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if limit > 0 && len(out) > limit {
		out = out[:limit]
	}
	return out, m.revision, nil
}

// Swap implements store.Store.
func (m *Memory) Swap(ctx context.Context, key string, want store.Revision, value []byte, id store.LeaseID) (store.Revision, error) {
	if len(value) > store.MaxValueBytes {
		return 0, errors.Errorf("value of %d bytes is over the store's limit of %d: split it", len(value), store.MaxValueBytes)
	}
	if err := m.enter(ctx, "swap", &m.counts.Writes); err != nil {
		return 0, err
	}
	defer m.mu.Unlock()
	cur := m.items[key]
	if cur.entry.Revision != want {
		return 0, &store.ConflictError{Key: key, Want: want, Current: cur.entry}
	}
	if _, ok := m.leases[id]; !ok && id != store.NoLease {
		return 0, &store.LeaseLostError{Lease: id}
	}
	m.revision++
	e := store.Entry{Key: key, Value: append([]byte(nil), value...), Revision: m.revision}
	m.items[key] = item{entry: e, lease: id}
	m.record(store.Event{Entry: e})
	if m.faults.LostAnswers {
		return 0, &store.UnavailableError{Op: "swap", Err: errOutage}
	}
	return m.revision, nil
}

// Remove implements store.Store.
func (m *Memory) Remove(ctx context.Context, key string, want store.Revision) error {
	if err := m.enter(ctx, "remove", &m.counts.Writes); err != nil {
		return err
	}
	defer m.mu.Unlock()
	cur := m.items[key]
	if cur.entry.Revision != want {
		return &store.ConflictError{Key: key, Want: want, Current: cur.entry}
	}
	m.drop(key)
	return nil
}

// Grant implements store.Store.
func (m *Memory) Grant(ctx context.Context, ttlMillis uint32) (store.LeaseID, error) {
	if err := m.enter(ctx, "grant", &m.counts.Writes); err != nil {
		return 0, err
	}
	defer m.mu.Unlock()
	m.lastLease++
	ttl := clock.Millis(ttlMillis)
	m.leases[m.lastLease] = lease{ttl: ttl, end: m.clk.Now() + ttl}
	return m.lastLease, nil
}

// Renew implements store.Store.
func (m *Memory) Renew(ctx context.Context, id store.LeaseID) error {
	if err := m.enter(ctx, "renew", &m.counts.Renews); err != nil {
		return err
	}
	defer m.mu.Unlock()
	l, ok := m.leases[id]
	if !ok {
		return &store.LeaseLostError{Lease: id}
	}
	l.end = m.clk.Now() + l.ttl
	m.leases[id] = l
	return nil
}

// Watch implements store.Store.
func (m *Memory) Watch(ctx context.Context, prefix string, after store.Revision, fn func(store.Event)) error {
	if err := m.enter(ctx, "watch", &m.counts.Watches); err != nil {
		return err
	}
	m.mu.Unlock()
	for {
		events, wait, outage := m.eventsAfter(after)
		if outage {
			return &store.UnavailableError{Op: "watch", Err: errOutage}
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
		case <-wait:
		}
	}
}

// enter waits out switched slowness, fails a switched outage, and returns
// with the lock held and lapsed leases ended.
func (m *Memory) enter(ctx context.Context, op string, count *uint64) error {
	m.mu.Lock()
	*count++
	slow := m.faults.SlowMillis
	m.mu.Unlock()
	if slow > 0 {
		select {
		case <-ctx.Done():
			return &store.UnavailableError{Op: op, Err: ctx.Err()}
		case <-time.After(time.Duration(slow) * time.Millisecond):
		}
	}
	m.mu.Lock()
	if m.faults.Outage {
		m.mu.Unlock()
		return &store.UnavailableError{Op: op, Err: errOutage}
	}
	m.lapse()
	return nil
}

func (m *Memory) eventsAfter(after store.Revision) (events []store.Event, wait <-chan struct{}, outage bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := sort.Search(len(m.log), func(i int) bool { return m.log[i].Entry.Revision > after })
	return append([]store.Event(nil), m.log[i:]...), m.changed, m.faults.Outage
}

func (m *Memory) lapse() {
	now := m.clk.Now()
	for id, l := range m.leases {
		if now >= l.end {
			m.endLease(id)
		}
	}
}

func (m *Memory) endLease(id store.LeaseID) {
	delete(m.leases, id)
	for k, it := range m.items {
		if it.lease == id {
			m.drop(k)
		}
	}
}

func (m *Memory) drop(key string) {
	delete(m.items, key)
	m.revision++
	m.record(store.Event{Entry: store.Entry{Key: key, Revision: m.revision}, Removed: true})
}

func (m *Memory) record(ev store.Event) {
	m.log = append(m.log, ev)
	m.wake()
}

func (m *Memory) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}
