package guard

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/panjf2000/ants/v2"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/once"
	"chestnutlatch/wire"
)

// noPeers tells of no peers.
type noPeers struct{}

func (noPeers) Peers(clock.Millis, ident.Service, ident.Target) health.Peers { return health.Peers{} }

// fakeTarget answers each request, numbered from 1, as the script says.
type fakeTarget struct {
	net.Listener
	requests atomic.Int64
	conns    atomic.Int64
}

func startTarget(t *testing.T, answer func(n int64, conn int64, c net.Conn) bool) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeTarget{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c, f.conns.Add(1), answer)
		}
	}()
	return f
}

func (f *fakeTarget) serve(c net.Conn, conn int64, answer func(int64, int64, net.Conn) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		if !answer(f.requests.Add(1), conn, c) {
			return
		}
	}
}

func whole(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func write(c net.Conn, s string) { _, _ = c.Write([]byte(s)) }

// drained is the operators' word on the target of the running test.
var drained atomic.Bool

func testGuard(t *testing.T, f *fakeTarget, slots int) *Guard {
	t.Helper()
	pool, err := ants.NewPool(64)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	home := once.New(once.Config{
		Instance: "i", Incarnation: 1, Secret: []byte("s"), TTL: clock.Minute, MaxOpen: 100, MaxKeptBytes: 1 << 20,
	})
	g := New(Config{QueueLimit: 4, MaxAnswerBytes: 1000}, Deps{
		Clock: clock.NewSystem(), Log: hclog.NewNullLogger(), Peers: noPeers{}, Pool: pool, Home: home,
		IsDrained: func(ident.Target) bool { return drained.Load() },
	})
	g.Add(Spec{ID: "t", Service: "svc", Address: f.Addr().String(), Slots: slots})
	return g
}

func lookup(timeout uint32) *wire.ForwardRequest {
	return &wire.ForwardRequest{Target: "t", Service: "svc", Team: "team", Method: "GET", Uri: "/x", TimeoutMs: timeout, Sequence: 7}
}

func TestAnswers(t *testing.T) {
	tests := []struct {
		name    string
		answer  string
		want    string
		kind    fault.Kind
		outcome ident.Outcome
	}{
		{name: "whole", answer: whole("all of it"), want: "all of it"},
		{name: "chunked", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n", want: "all"},
		{
			name: "half", answer: "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nonly",
			kind: fault.HalfAnswer, outcome: ident.OutcomeUnknown,
		},
		{
			name: "half chunked", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nonly",
			kind: fault.HalfAnswer, outcome: ident.OutcomeUnknown,
		},
		{
			name: "no length", answer: "HTTP/1.1 200 OK\r\n\r\nwho knows",
			kind: fault.HalfAnswer, outcome: ident.OutcomeUnknown,
		},
		{
			name: "too large", answer: whole(strings.Repeat("x", 1001)),
			kind: fault.AnswerTooLarge, outcome: ident.OutcomeUnknown,
		},
		{name: "nothing", answer: "", kind: fault.HalfAnswer, outcome: ident.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startTarget(t, func(_, _ int64, c net.Conn) bool { write(c, tt.answer); return false })
			reply := testGuard(t, f, 1).Forward(context.Background(), lookup(5000))
			if tt.want != "" {
				if got := string(reply.GetAnswer().GetBody()); got != tt.want || reply.GetSequence() != 7 {
					t.Errorf("answer = %q, refusal %v, sequence %d; want %q", got, reply.GetRefusal(), reply.GetSequence(), tt.want)
				}
				return
			}
			r := FromWire(reply.GetRefusal())
			if reply.GetRefusal() == nil || r.Kind != tt.kind || r.Outcome != tt.outcome {
				t.Errorf("refusal = %v, want %s with outcome %s", r, tt.kind, tt.outcome)
			}
		})
	}
}

func TestRefusedConnectionHasNotRun(t *testing.T) {
	f := startTarget(t, nil)
	g := testGuard(t, f, 1)
	_ = f.Close()
	r := FromWire(g.Forward(context.Background(), lookup(5000)).GetRefusal())
	if r.Kind != fault.TargetFailed || r.Outcome != ident.OutcomeNotRun {
		t.Errorf("refusal = %v, want target_failed with outcome not_run", r)
	}
}

// TestSilentConnectionIsReplaced lets the first connection go silent after one
// answer. The look-up behind it is answered over a fresh connection, and the
// target stays in service.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := startTarget(t, func(n, conn int64, c net.Conn) bool {
		if conn > 1 || n == 1 {
			write(c, whole("ok"))
		}
		return true
	})
	g := testGuard(t, f, 1)
	for i := range 2 {
		if reply := g.Forward(context.Background(), lookup(600)); string(reply.GetAnswer().GetBody()) != "ok" {
			t.Fatalf("look-up %d: %v", i, reply.GetRefusal())
		}
	}
	g.Tick(g.clk.Now())
	if s := g.Infos()[0].State; s == ident.TargetSick {
		t.Error("a silent connection ejected its target")
	}
}

func onceRequest(t *testing.T, g *Guard, timeout uint32) *wire.ForwardRequest {
	t.Helper()
	tickets, r := g.Tickets("team", "svc", 1)
	if r != nil {
		t.Fatal(r)
	}
	req := lookup(timeout)
	req.Method = "POST"
	req.OneTime = true
	req.Ticket = tickets[0]
	return req
}

// TestOneTimeActionIsNeverSentAgain covers the ways in which a client library
// would send a request again: a connection that closes without an answer, and
// one that goes silent after earlier use.
func TestOneTimeActionIsNeverSentAgain(t *testing.T) {
	tests := []struct {
		name   string
		answer func(n, conn int64, c net.Conn) bool
	}{
		{"closed without answer", func(n, _ int64, c net.Conn) bool {
			if n == 1 {
				write(c, whole("warm"))
				return true
			}
			return false
		}},
		{"silent", func(n, _ int64, c net.Conn) bool {
			if n == 1 {
				write(c, whole("warm"))
			}
			return true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startTarget(t, tt.answer)
			g := testGuard(t, f, 1)
			if g.Forward(context.Background(), lookup(5000)).GetAnswer() == nil {
				t.Fatal("first look-up failed")
			}
			req := onceRequest(t, g, 300)
			for range 3 {
				r := FromWire(g.Forward(context.Background(), req).GetRefusal())
				if r.Outcome != ident.OutcomeUnknown {
					t.Errorf("outcome = %s, want unknown", r.Outcome)
				}
			}
			if n := f.requests.Load(); n != 2 {
				t.Errorf("target got %d requests, want the look-up and one action", n)
			}
		})
	}
}

// TestRepeatGetsTheAnswer lets the caller go away while its action runs; the
// repeat with the same ticket gets the answer of the one run.
func TestRepeatGetsTheAnswer(t *testing.T) {
	release := make(chan struct{})
	f := startTarget(t, func(n, _ int64, c net.Conn) bool {
		<-release
		write(c, whole(fmt.Sprint("run ", n)))
		return true
	})
	g := testGuard(t, f, 1)
	req := onceRequest(t, g, 5000)
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan *wire.ForwardReply, 1)
	go func() { gone <- g.Forward(ctx, req) }()
	for f.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if r := FromWire((<-gone).GetRefusal()); r.Outcome != ident.OutcomeUnknown {
		t.Errorf("outcome for the caller that left = %s, want unknown", r.Outcome)
	}
	close(release)
	reply := g.Forward(context.Background(), req)
	if got := string(reply.GetAnswer().GetBody()); got != "run 1" || f.requests.Load() != 1 {
		t.Errorf("repeat got %q after %d runs, want the answer of the only run", got, f.requests.Load())
	}
}

func TestCancelReachesTheTarget(t *testing.T) {
	closed := make(chan struct{})
	f := startTarget(t, func(_, _ int64, c net.Conn) bool {
		var b [1]byte
		_, _ = c.Read(b[:])
		close(closed)
		return false
	})
	g := testGuard(t, f, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for f.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	r := FromWire(g.Forward(ctx, lookup(60_000)).GetRefusal())
	if r.Kind != fault.Canceled {
		t.Errorf("kind = %s, want canceled", r.Kind)
	}
	<-closed
}

func TestDrainingTargetHasNotRun(t *testing.T) {
	tests := []struct {
		name  string
		drain func(g *Guard)
	}{
		{"planned stop", func(g *Guard) { g.Drain() }},
		{"target leaves", func(g *Guard) { g.Leave("t") }},
		{"operators drain it", func(*Guard) { drained.Store(true) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Cleanup(func() { drained.Store(false) })
			f := startTarget(t, func(_, _ int64, c net.Conn) bool { write(c, whole("ok")); return true })
			g := testGuard(t, f, 1)
			req := onceRequest(t, g, 5000)
			tt.drain(g)
			for _, q := range []*wire.ForwardRequest{lookup(5000), req, req} {
				r := FromWire(g.Forward(context.Background(), q).GetRefusal())
				if q != req && r.Kind != fault.Draining || r.Outcome != ident.OutcomeNotRun {
					t.Errorf("refusal = %v, want outcome not_run", r)
				}
			}
			if n := f.requests.Load(); n != 0 {
				t.Errorf("a draining target got %d requests", n)
			}
		})
	}
}

func TestFullQueueRefusesTruthfully(t *testing.T) {
	release := make(chan struct{})
	f := startTarget(t, func(_, _ int64, c net.Conn) bool {
		<-release
		write(c, whole("ok"))
		return true
	})
	g := testGuard(t, f, 1)
	const sent = 8
	replies := make(chan *wire.ForwardReply, sent)
	for range sent {
		req := onceRequest(t, g, 20_000)
		go func() { replies <- g.Forward(context.Background(), req) }()
	}
	refused := 0
	for range sent - 5 {
		if r := FromWire((<-replies).GetRefusal()); r.Kind == fault.QueueFull && r.Outcome == ident.OutcomeNotRun {
			refused++
		}
	}
	close(release)
	served := 0
	for range 5 {
		if (<-replies).GetAnswer() != nil {
			served++
		}
	}
	if refused != 3 || served != 5 || f.requests.Load() != 5 {
		t.Errorf("%d refused, %d served, target ran %d; want 3, 5, 5", refused, served, f.requests.Load())
	}
}
