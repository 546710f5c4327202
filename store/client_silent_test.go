package store_test

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"

	"chestnutlatch/clock"
	"chestnutlatch/kvapi"
	"chestnutlatch/link"
	"chestnutlatch/stand"
	"chestnutlatch/store"
)

// TestSilentOwnStoreConnectionIsReplaced guards against a store of the own interface that is
// lost until TCP gives up, because the one connection to it has gone silent while a new one
// would work.
func TestSilentOwnStoreConnectionIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer()
	kvapi.RegisterKVServer(srv, stand.NewStoreServer(stand.NewMemoryStore(clock.NewSystem())))
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	proxy, err := link.New(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	client, err := store.Dial(proxy.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	get := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		if _, err := client.Get(ctx, "a"); !store.IsNotFound(err) {
			return err
		}
		return nil
	}
	if err := get(); err != nil {
		t.Fatal(err)
	}
	proxy.Silence()
	for range 50 {
		if err = get(); err == nil {
			return
		}
	}
	t.Errorf("no call is answered: %v", err)
}
