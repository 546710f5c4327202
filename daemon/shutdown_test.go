package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
	"chestnutlatch/record"
	"chestnutlatch/sock"
)

// readStatus returns the status of the next response on a connection, or 0 if it ends
// without one.
func readStatus(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

const plainRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// stopServer ends the connections of a listener and then the server, as a planned
// stop does.
func stopServer(l *callerListener, s *fasthttp.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	l.stop(ctx)
	return s.ShutdownWithContext(ctx)
}

// TestStopAnswersWaitingConnections covers callers whose connections wait in the listen
// queue, with a request sent, when the daemon stops accepting.
func TestStopAnswersWaitingConnections(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := func() record.CallerLimits {
		return record.CallerLimits{HeaderTimeout: clock.Minute, IdleTimeout: clock.Minute}
	}
	l := newCallerListener(raw, clock.NewSystem(), limits)
	var callers []net.Conn
	for range 30 {
		c, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, plainRequest); err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
	}
	s := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetConnectionClose() }, CloseOnShutdown: true}
	served := make(chan error, 1)
	accepting := make(chan struct{})
	go func() { close(accepting); served <- s.Serve(l) }()
	<-accepting
	if err := stopServer(l, s); err != nil {
		t.Fatal(err)
	}
	for i, c := range callers {
		if status := readStatus(c); status != 200 {
			t.Errorf("caller %d got status %d, want 200", i, status)
		}
	}
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// gatedListener accepts connections that read once and then not before the gate is
// closed.
type gatedListener struct {
	net.Listener
	gate chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{TCPConn: c.(*net.TCPConn), gate: l.gate}, nil
}

// SetDeadline sets the deadline of Accept.
func (l gatedListener) SetDeadline(t time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(t)
}

type gatedConn struct {
	*net.TCPConn
	gate chan struct{}
	// used is true after the first read.
	used bool
}

func (c *gatedConn) Read(b []byte) (int, error) {
	if c.used {
		<-c.gate
	}
	c.used = true
	return c.TCPConn.Read(b)
}

// TestStopAnswersRequestsInSocketBuffer covers requests that have arrived on idle
// connections and that the daemon has not read when it stops, also on connections that
// were used before. Connections without a request are closed without a response.
func TestStopAnswersRequestsInSocketBuffer(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := make(chan struct{})
	limits := func() record.CallerLimits {
		return record.CallerLimits{HeaderTimeout: clock.Minute, IdleTimeout: clock.Minute}
	}
	l := newCallerListener(gatedListener{raw, gate}, clock.NewSystem(), limits)
	s := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, CloseOnShutdown: true}
	go func() { _ = s.Serve(l) }()
	var withRequest, idle []net.Conn
	for i := range 20 {
		c, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, plainRequest); err != nil {
			t.Fatal(err)
		}
		if status := readStatus(c); status != 200 {
			t.Fatalf("first request of caller %d got status %d", i, status)
		}
		if i%2 == 0 {
			idle = append(idle, c)
			continue
		}
		if _, err := io.WriteString(c, plainRequest); err != nil {
			t.Fatal(err)
		}
		withRequest = append(withRequest, c)
	}
	for l.openCount() < 20 {
		time.Sleep(time.Millisecond)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- stopServer(l, s) }()
	for !l.allReadClosed() {
		time.Sleep(time.Millisecond)
	}
	close(gate)
	for i, c := range withRequest {
		if status := readStatus(c); status != 200 {
			t.Errorf("caller %d got status %d, want 200", i, status)
		}
	}
	for i, c := range idle {
		if b, err := io.ReadAll(c); len(b) > 0 || err != nil {
			t.Errorf("idle connection %d ended with %q, %v", i, b, err)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

func (l *callerListener) openCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *callerListener) allReadClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.ReadClosed() {
			return false
		}
	}
	return true
}

// TestOwnReadCloseIsNoDisconnect covers a request that arrives while a stop closes the
// reading side of its connection: the caller has not gone.
func TestOwnReadCloseIsNoDisconnect(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	client, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	l := newCallerListener(raw, clock.NewSystem(), func() record.CallerLimits { return record.CallerLimits{} })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	l.endIdleConns()
	if got := sock.StateOf(c); got != sock.Quiet {
		t.Errorf("connection is %s after its reading side was closed here, want quiet", got)
	}
	_ = c.Close()
	if l.openCount() != 0 {
		t.Error("a closed connection is still listed")
	}
}
