package stand

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"testing"

	"google.golang.org/grpc"
	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/kvapi"
	"chestnutlatch/store"
)

// overWire serves a Memory and returns a client of it.
func overWire(t *testing.T, mem *Memory) store.Store {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer()
	kvapi.RegisterKVServer(srv, NewStoreServer(mem))
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	c, err := store.Dial(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// outcome is one call's result in a form that can be compared.
func outcome(v any, err error) string {
	switch err.(type) { //nolint:errorlint // the stores return these types unwrapped
	case nil:
		return fmt.Sprintf("%v", v)
	case *store.ConflictError, *store.NotFoundError, *store.LeaseLostError:
		return err.Error()
	default:
		return fmt.Sprintf("%T", err)
	}
}

// TestClientAgainstMemory makes the same calls to a store in memory and to one
// behind the protocol, with outages and lapsing leases.
func TestClientAgainstMemory(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(r *rapid.T) {
		clk := clock.NewManual(0)
		plain, served := NewMemory(clk), NewMemory(clk)
		wired := overWire(t, served)
		both := func(call func(store.Store) (any, error)) {
			a, errA := call(plain)
			b, errB := call(wired)
			if x, y := outcome(a, errA), outcome(b, errB); x != y {
				r.Fatalf("in memory: %s; behind the protocol: %s", x, y)
			}
		}
		key := func() string { return rapid.SampledFrom([]string{"a/1", "a/2", "b"}).Draw(r, "key") }
		rev := func() store.Revision { return store.Revision(rapid.IntRange(0, 6).Draw(r, "revision")) }
		leaseID := func() store.LeaseID { return store.LeaseID(rapid.IntRange(0, 2).Draw(r, "lease")) }
		r.Repeat(map[string]func(*rapid.T){
			"get": func(*rapid.T) {
				k := key()
				both(func(s store.Store) (any, error) { return s.Get(ctx, k) })
			},
			"list": func(*rapid.T) {
				after := key()
				both(func(s store.Store) (any, error) {
					entries, at, err := s.List(ctx, "a/", after, 1)
					return fmt.Sprint(len(entries), at), err
				})
			},
			"swap": func(*rapid.T) {
				k, want, l := key(), rev(), leaseID()
				both(func(s store.Store) (any, error) { return s.Swap(ctx, k, want, []byte("v"), l) })
			},
			"remove": func(*rapid.T) {
				k, want := key(), rev()
				both(func(s store.Store) (any, error) { return nil, s.Remove(ctx, k, want) })
			},
			"grant": func(*rapid.T) { both(func(s store.Store) (any, error) { return s.Grant(ctx, 1000) }) },
			"renew": func(*rapid.T) {
				l := leaseID()
				both(func(s store.Store) (any, error) { return nil, s.Renew(ctx, l) })
			},
			"pass": func(*rapid.T) { clk.Advance(clock.Millis(rapid.IntRange(1, 900).Draw(r, "millis"))) },
			"outage": func(*rapid.T) {
				f := StoreFaults{Outage: rapid.Bool().Draw(r, "outage"), LostAnswers: rapid.Bool().Draw(r, "lost")}
				plain.SetFaults(f)
				served.SetFaults(f)
			},
		})
	})
}

func TestWatchDeliversInOrder(t *testing.T) {
	mem := NewMemory(clock.NewManual(0))
	wired := overWire(t, mem)
	for i := range 3 {
		if _, err := mem.Swap(t.Context(), fmt.Sprint("a/", i), store.Absent, []byte("v"), store.NoLease); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var got []string
	err := wired.Watch(ctx, "a/", 1, func(ev store.Event) {
		got = append(got, fmt.Sprintf("%s at %d %v", ev.Entry.Key, ev.Entry.Revision, ev.Removed))
		switch len(got) {
		case 2:
			if err := mem.Remove(ctx, "a/0", 1); err != nil {
				t.Error(err)
			}
		case 3:
			cancel()
		}
	})
	if want := []string{"a/1 at 2 false", "a/2 at 3 false", "a/0 at 4 true"}; !reflect.DeepEqual(got, want) {
		t.Errorf("events are %v, want %v", got, want)
	}
	if err == nil {
		t.Error("a canceled watch returns no error")
	}
}
