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

// dialServer serves mem over gRPC and returns a client connected to it.
func dialServer(t *testing.T, mem *MemoryStore) store.Store {
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

// describeResult formats the result of a call for comparison. Errors other than
// those of the store's contract compare by type only.
func describeResult(v any, err error) string {
	switch err.(type) { //nolint:errorlint // the stores return these types unwrapped
	case nil:
		return fmt.Sprintf("%v", v)
	case *store.ConflictError, *store.NotFoundError, *store.LeaseLostError:
		return err.Error()
	default:
		return fmt.Sprintf("%T", err)
	}
}

// TestClientAgainstMemoryStore makes the same random calls to a store in memory and,
// through the client and the gRPC server, to a second one. Every pair of results
// must be equal, also during outages and after leases expire.
func TestClientAgainstMemoryStore(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(r *rapid.T) {
		clk := clock.NewManual(0)
		direct, remote := NewMemoryStore(clk), NewMemoryStore(clk)
		client := dialServer(t, remote)
		compare := func(call func(store.Store) (any, error)) {
			a, directErr := call(direct)
			b, clientErr := call(client)
			if x, y := describeResult(a, directErr), describeResult(b, clientErr); x != y {
				r.Fatalf("in memory: %s; over gRPC: %s", x, y)
			}
		}
		key := func() string { return rapid.SampledFrom([]string{"a/1", "a/2", "b"}).Draw(r, "key") }
		rev := func() store.Revision { return store.Revision(rapid.IntRange(0, 6).Draw(r, "revision")) }
		leaseID := func() store.LeaseID { return store.LeaseID(rapid.IntRange(0, 2).Draw(r, "lease")) }
		r.Repeat(map[string]func(*rapid.T){
			"get": func(*rapid.T) {
				k := key()
				compare(func(s store.Store) (any, error) { return s.Get(ctx, k) })
			},
			"list": func(*rapid.T) {
				after := key()
				compare(func(s store.Store) (any, error) {
					entries, at, err := s.List(ctx, "a/", after, 1)
					return fmt.Sprint(len(entries), at), err
				})
			},
			"swap": func(*rapid.T) {
				k, want, l := key(), rev(), leaseID()
				compare(func(s store.Store) (any, error) { return s.Swap(ctx, k, want, []byte("v"), l) })
			},
			"remove": func(*rapid.T) {
				k, want := key(), rev()
				compare(func(s store.Store) (any, error) { return nil, s.Remove(ctx, k, want) })
			},
			"grant": func(*rapid.T) { compare(func(s store.Store) (any, error) { return s.Grant(ctx, 1000) }) },
			"renew": func(*rapid.T) {
				l := leaseID()
				compare(func(s store.Store) (any, error) { return nil, s.Renew(ctx, l) })
			},
			"pass time": func(*rapid.T) { clk.Advance(clock.Millis(rapid.IntRange(1, 900).Draw(r, "millis"))) },
			"outage": func(*rapid.T) {
				f := StoreFaults{Outage: rapid.Bool().Draw(r, "outage"), LostAnswers: rapid.Bool().Draw(r, "lost")}
				direct.SetFaults(f)
				remote.SetFaults(f)
			},
		})
	})
}

func TestWatchDeliversInOrder(t *testing.T) {
	mem := NewMemoryStore(clock.NewManual(0))
	client := dialServer(t, mem)
	for i := range 3 {
		if _, err := mem.Swap(t.Context(), fmt.Sprint("a/", i), store.Absent, []byte("v"), store.NoLease); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	var got []string
	err := client.Watch(ctx, "a/", 1, func(ev store.Event) {
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
		t.Errorf("got events %v, want %v", got, want)
	}
	if err == nil {
		t.Error("canceled watch returned no error")
	}
}
