package guard

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
	"chestnutlatch/link"
	"chestnutlatch/wire"
)

// TestIdleLimitShrinksAfterReset covers a target that drops idle connections
// earlier than the guard assumes. After the first reset, the pool must not reuse
// connections that were idle for long, but must still reuse the others.
func TestIdleLimitShrinksAfterReset(t *testing.T) {
	clk := clock.NewManual(1000)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var conns atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go serveShortIdle(conn, clk)
		}
	}()
	pool := newConnPool(listener.Addr().String(), Config{Dialect: DefaultDialect()}, clk, &byteBudget{})
	exchange := func() error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI("/")
		req.Header.SetHost("t")
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		return pool.exchange(ctx, req, resp, 1000, 0, func() bool { return true })
	}
	if err := exchange(); err != nil {
		t.Fatal(err)
	}
	clk.Advance(400)
	if err := exchange(); err == nil {
		t.Fatal("exchange succeeded, want an error on a connection that the target dropped")
	}
	failed := 0
	for range 20 {
		if err := exchange(); err != nil {
			failed++
		}
		clk.Advance(350)
	}
	if failed > 0 {
		t.Errorf("%d more requests failed on a dropped connection, want 0", failed)
	}
	before := conns.Load()
	for range 5 {
		clk.Advance(100)
		if err := exchange(); err != nil {
			t.Error(err)
		}
	}
	if n := conns.Load() - before; n > 1 {
		t.Errorf("%d new connections after short idle times, want at most 1", n)
	}
}

// serveShortIdle answers the requests of a connection. It closes the connection
// without an answer if a request comes after more than 300 ms of idle time.
func serveShortIdle(conn net.Conn, clk clock.Clock) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	lastActive := clk.Now()
	for {
		if _, err := http.ReadRequest(r); err != nil || clk.Now()-lastActive > 300 {
			return
		}
		// The clock is read before the answer is sent, because the test advances it
		// after the answer.
		lastActive = clk.Now()
		if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

// TestSilentConnectionsAreNotReused guards against one-time requests that are lost one after
// the other, because all idle connections to their target have gone silent while new ones
// work: the first of them shows it, long before its deadline.
func TestSilentConnectionsAreNotReused(t *testing.T) {
	const conns = 4
	f := startFakeTarget(t, func(n, _ int64, c net.Conn) bool {
		writeString(c, okResponseWithID(fmt.Sprint("a", n), "ok"))
		return true
	})
	proxy, err := link.New(f.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = proxy.Close() })
	g := newAttemptGuard(t, clock.NewSystem(), TargetSpec{ID: "t", Service: "svc", Address: proxy.Address(), Slots: conns})
	pool := g.findTarget("t").conns
	for range conns {
		c, err := pool.dial(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		pool.put(c)
	}
	for proxy.Open() < conns {
		time.Sleep(time.Millisecond)
	}
	proxy.Silence()
	lost := make(chan *wire.ForwardReply, 1)
	go func() {
		req := attemptRequest("lost", true)
		req.TimeoutMs = 20_000
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		lost <- g.Forward(ctx, req)
	}()
	idle := func() int {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		return len(pool.idle)
	}
	for idle() > 0 {
		select {
		case reply := <-lost:
			t.Fatalf("the request ended before the idle connections were given up: %v", reply)
		case <-time.After(time.Millisecond):
		}
	}
	for i := 1; i < conns; i++ {
		if reply := g.Forward(t.Context(), attemptRequest(fmt.Sprint("a", i), true)); reply.GetAnswer().GetStatus() != 200 {
			t.Errorf("request %d was not answered: %v", i, reply.GetRefusal())
		}
	}
}
