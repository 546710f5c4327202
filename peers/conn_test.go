package peers

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"chestnutlatch/clock"
	"chestnutlatch/link"
	"chestnutlatch/wire"
)

// callTimeout limits the calls of these tests that may get no answer.
const callTimeout = 200 * time.Millisecond

// holdingServer answers pings at once and requests when released is closed.
type holdingServer struct {
	wire.UnimplementedInnerServer

	received chan struct{}
	released chan struct{}
}

func (*holdingServer) Ping(context.Context, *wire.PingRequest) (*wire.PingReply, error) {
	return &wire.PingReply{}, nil
}

func (s *holdingServer) Forward(context.Context, *wire.ForwardRequest) (*wire.ForwardReply, error) {
	s.received <- struct{}{}
	<-s.released
	return &wire.ForwardReply{Sequence: 7}, nil
}

// newPeer starts a peer behind a link, and a pool for calls to it.
func newPeer(t *testing.T) (*holdingServer, *link.Proxy, *Pool) {
	t.Helper()
	s := &holdingServer{received: make(chan struct{}, 1), released: make(chan struct{})}
	srv := grpc.NewServer(ServerOptions(insecure.NewCredentials(), "secret")...)
	wire.RegisterInnerServer(srv, s)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	proxy, err := link.New(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	pool := New(insecure.NewCredentials(), "secret", clock.NewSystem(), hclog.NewNullLogger())
	t.Cleanup(pool.Close)
	return s, proxy, pool
}

func ping(t *testing.T, pool *Pool, address string) error {
	t.Helper()
	client, err := pool.Get(address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err = client.Ping(ctx, &wire.PingRequest{})
	return err
}

// awaitPing pings the peer until it answers.
func awaitPing(t *testing.T, pool *Pool, address string) {
	t.Helper()
	var err error
	for range 50 {
		if err = ping(t, pool, address); err == nil {
			return
		}
	}
	t.Fatalf("no ping is answered: %v", err)
}

// startForward sends a request and waits until the peer has it. The result is sent to the
// returned channel.
func startForward(t *testing.T, s *holdingServer, pool *Pool, address string) <-chan error {
	t.Helper()
	client, err := pool.Get(address)
	if err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := client.Forward(context.Background(), &wire.ForwardRequest{})
		result <- err
	}()
	<-s.received
	return result
}

// TestSilentConnectionIsReplaced guards against a connection that has gone silent without a
// reset and is used for all further calls, although a new one would work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	_, proxy, pool := newPeer(t)
	awaitPing(t, pool, proxy.Address())
	proxy.Silence()
	awaitPing(t, pool, proxy.Address())
	if pool.Replaced() != 1 {
		t.Errorf("%d connections were replaced, want 1", pool.Replaced())
	}
}

// TestCutConnectionIsKept guards against connections that are replaced during a cut: what
// the old one holds arrives after it, and many calls that time out must not close one
// connection after the other.
func TestCutConnectionIsKept(t *testing.T) {
	s, proxy, pool := newPeer(t)
	awaitPing(t, pool, proxy.Address())
	result := startForward(t, s, pool, proxy.Address())
	proxy.SetCut(true)
	close(s.released)
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			if err := ping(t, pool, proxy.Address()); err == nil {
				t.Error("a ping was answered during the cut")
			}
		})
	}
	calls.Wait()
	if n := pool.Replaced(); n != 0 {
		t.Errorf("%d connections were replaced during the cut", n)
	}
	proxy.SetCut(false)
	awaitPing(t, pool, proxy.Address())
	if err := <-result; err != nil {
		t.Errorf("the request that ran during the cut failed: %v", err)
	}
	if n := proxy.Opened(); n > 10 {
		t.Errorf("%d connections were opened for 20 calls that timed out", n)
	}
}

// TestChecksAreBounded guards against a check, with a connection of its own, for each peer of a
// lost region at once.
func TestChecksAreBounded(t *testing.T) {
	pool := New(insecure.NewCredentials(), "secret", clock.NewSystem(), hclog.NewNullLogger())
	t.Cleanup(pool.Close)
	proxies := make([]*link.Proxy, 2*maxChecks)
	var calls sync.WaitGroup
	for i := range proxies {
		proxy, err := link.New("127.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = proxy.Close() })
		proxy.SetCut(true)
		proxies[i] = proxy
		calls.Go(func() {
			if err := ping(t, pool, proxy.Address()); err == nil {
				t.Error("a ping was answered during the cut")
			}
		})
	}
	calls.Wait()
	if n := pool.checks.Load(); n == 0 || n > maxChecks {
		t.Errorf("%d checks run, want 1 to %d", n, maxChecks)
	}
}

// TestRemovedConnectionServesItsCalls guards against running requests that are lost when their
// peer leaves the list of daemons, as it does while it finishes them in a planned stop.
func TestRemovedConnectionServesItsCalls(t *testing.T) {
	s, proxy, pool := newPeer(t)
	result := startForward(t, s, pool, proxy.Address())
	pool.Remove(proxy.Address())
	awaitPing(t, pool, proxy.Address())
	close(s.released)
	if err := <-result; err != nil {
		t.Errorf("the running request failed: %v", err)
	}
	for range 5000 {
		if proxy.Open() == 1 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Errorf("%d connections are open, want the new one only", proxy.Open())
}
