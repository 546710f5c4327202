package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/record"
	"chestnutlatch/sock"
)

// TestPaceBoundsAHead drips heads byte by byte: none may take longer than its
// time from the first byte, none is cut earlier, and a rest is bounded apart.
func TestPaceBoundsAHead(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := record.CallerLimits{
			HeadTime: clock.Millis(rapid.IntRange(1, 5000).Draw(rt, "head")),
			IdleTime: clock.Millis(rapid.IntRange(1, 20_000).Draw(rt, "idle")),
		}
		var p pace
		now := clock.Millis(rapid.IntRange(1, 1_000_000).Draw(rt, "now"))
		until, ok := p.read(now, l)
		if !ok || until != now+l.IdleTime {
			rt.Fatalf("a rest ends at %d, %v, want %d", until, ok, now+l.IdleTime)
		}
		now += clock.Millis(rapid.Int64Range(0, int64(l.IdleTime)).Draw(rt, "rest"))
		p.got(now, l)
		end := now + l.HeadTime
		for range rapid.IntRange(1, 50).Draw(rt, "bytes") {
			if until, ok = p.read(now, l); !ok || until != end {
				rt.Fatalf("at %d the head ends at %d, %v, want %d", now, until, ok, end)
			}
			now += clock.Millis(rapid.Int64Range(0, int64(l.HeadTime)/10).Draw(rt, "gap"))
			p.got(now, l)
		}
	})
}

// pacedServer serves callers with limits that the test sets.
func pacedServer(t *testing.T, limits *atomic.Pointer[record.CallerLimits], s *fasthttp.Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	s.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: clock.Minute.Duration()}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_ = s.ServeConn(&callerConn{Conn: c, clk: clock.NewSystem(), limits: func() record.CallerLimits { return *limits.Load() }})
			}()
		}
	}()
	return l.Addr().String()
}

func TestSlowHeadIsRefused(t *testing.T) {
	var limits atomic.Pointer[record.CallerLimits]
	limits.Store(&record.CallerLimits{HeadTime: 60, IdleTime: clock.Minute})
	failed := make(chan error, 1)
	address := pacedServer(t, &limits, &fasthttp.Server{
		Handler:      func(*fasthttp.RequestCtx) {},
		ErrorHandler: func(c *fasthttp.RequestCtx, err error) { failed <- err; c.SetStatusCode(408) },
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// A head ended by bare line feeds is never whole for the server.
	if _, err := io.WriteString(c, "GET / HTTP/1.1\nHost: a"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 408 {
		t.Fatalf("answer is %+v, %v", resp, err)
	}
	_ = resp.Body.Close()
	if err := <-failed; !strings.Contains(err.Error(), "timeout") {
		t.Errorf("refused for %v", err)
	}
}

// TestUnusedConnectionClosesSilently covers a connection on which nothing came.
func TestUnusedConnectionClosesSilently(t *testing.T) {
	var limits atomic.Pointer[record.CallerLimits]
	limits.Store(&record.CallerLimits{HeadTime: clock.Minute, IdleTime: 30})
	address := pacedServer(t, &limits, &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
		t.Errorf("the connection ended with %q, %v", got, err)
	}
}

// TestRestAndBodyHaveTheirOwnTime covers a connection that rests, and a body
// that comes, for longer than a head may take.
func TestRestAndBodyHaveTheirOwnTime(t *testing.T) {
	var limits atomic.Pointer[record.CallerLimits]
	limits.Store(&record.CallerLimits{HeadTime: 80, IdleTime: clock.Minute})
	address := pacedServer(t, &limits, &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBody(c.PostBody()) }})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r := bufio.NewReader(c)
	pause := func() { time.Sleep((3 * 80) * time.Millisecond) }
	for i, expect := range []string{"", "Expect: 100-continue\r\n", ""} {
		pause()
		fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\n%sContent-Length: 4\r\n\r\n", expect)
		if expect != "" {
			if line, err := r.ReadString('\n'); err != nil || !strings.Contains(line, "100") {
				t.Fatalf("interim answer is %q, %v", line, err)
			}
			_, _ = r.ReadString('\n')
		}
		for range 2 {
			pause()
			if _, err := io.WriteString(c, "xx"); err != nil {
				t.Fatal(err)
			}
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("request %d: %+v, %v", i, resp, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "xxxx" {
			t.Fatalf("request %d: body %q, %v", i, body, err)
		}
		_ = resp.Body.Close()
	}
	limits.Store(&record.CallerLimits{HeadTime: clock.Minute, IdleTime: 50})
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("a resting connection ended with %v, want its close", err)
	}
}

// TestLookSeesThroughCallers covers the watch for callers that go away.
func TestLookSeesThroughCallers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	theirs, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	ours, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer ours.Close()
	c := &callerConn{Conn: ours}
	if got := sock.Look(c); got != sock.Quiet {
		t.Fatalf("an open connection is %s", got)
	}
	_ = theirs.Close()
	for sock.Look(c) == sock.Quiet {
		time.Sleep(time.Millisecond)
	}
	if got := sock.Look(c); got != sock.Closed {
		t.Errorf("a closed connection is %s", got)
	}
}
