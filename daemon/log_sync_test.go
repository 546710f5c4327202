package daemon

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"chestnutlatch/clock"
	"chestnutlatch/config"
	"chestnutlatch/record"
	"chestnutlatch/stand"
	"chestnutlatch/store"
)

// deafStore is a store whose first watch delivers nothing. Its other calls are served.
type deafStore struct {
	*stand.MemoryStore
	watches atomic.Int64
}

func (s *deafStore) Watch(ctx context.Context, prefix string, after store.Revision, fn func(store.Event)) error {
	if s.watches.Add(1) > 1 {
		return s.MemoryStore.Watch(ctx, prefix, after, fn)
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestSilentLogWatchIsRestarted guards against a daemon that serves an old configuration
// because its watch of the log delivers nothing although the store replies.
func TestSilentLogWatchIsRestarted(t *testing.T) {
	mem := stand.NewMemoryStore(clock.NewSystem())
	st := &deafStore{MemoryStore: mem}
	d := testDaemon(t, clock.NewSystem(), mem, 1)
	d.store = st
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.logSyncer.startWatch(ctx)
	for st.watches.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	replied := d.logSyncer.lastStoreReply()
	value, err := record.EncodeChange(record.Change{Revision: 1, ID: "c", Author: "test"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := mem.Swap(ctx, config.LogKey(1), 0, value, store.NoLease); err != nil {
		t.Fatal(err)
	}
	// The limit of 10 s only ends a test that hangs.
	for end := time.Now().Add(10 * time.Second); d.table.Revision() < 1; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the change was not applied")
		}
		if at := d.logSyncer.lastStoreReply(); at != replied && d.table.Revision() < 1 {
			t.Error("a reply counts as proof of the newest configuration although a change is missing")
			replied = at
		}
		d.logSyncer.startWatch(ctx)
	}
}
