package guard

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
)

// TestForgottenConnections covers a target that forgets connections after a
// shorter rest than it says: after the first reset, connections that rested for
// long are not used again.
func TestForgottenConnections(t *testing.T) {
	clk := clock.NewManual(1000)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go forgetful(c, clk)
		}
	}()
	p := newConnPool(l.Addr().String(), Config{Dialect: OwnDialect()}, clk)
	exchange := func() error {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI("/")
		req.Header.SetHost("t")
		ctx, done := context.WithTimeout(context.Background(), 5*time.Second)
		defer done()
		return p.exchange(ctx, req, resp, 1000, 0)
	}
	if err := exchange(); err != nil {
		t.Fatal(err)
	}
	clk.Advance(400)
	if err := exchange(); err == nil {
		t.Fatal("the target did not forget the connection")
	}
	failed := 0
	for range 20 {
		if err := exchange(); err != nil {
			failed++
		}
		clk.Advance(350)
	}
	if failed > 0 {
		t.Errorf("%d more requests met a forgotten connection", failed)
	}
	before := conns.Load()
	for range 5 {
		clk.Advance(100)
		if err := exchange(); err != nil {
			t.Error(err)
		}
	}
	if n := conns.Load() - before; n > 1 {
		t.Errorf("%d new connections, although short rests are safe", n)
	}
}

// forgetful serves a connection and closes it at a request after a rest of more
// than 300 ms.
func forgetful(c net.Conn, clk clock.Clock) {
	defer c.Close()
	r := bufio.NewReader(c)
	last := clk.Now()
	for {
		if _, err := http.ReadRequest(r); err != nil || clk.Now()-last > 300 {
			return
		}
		// The clock is read first: once the answer is out, the test moves it.
		last = clk.Now()
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}
