package guard

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/panjf2000/ants/v2"
	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/once"
	"chestnutlatch/queue"
	"chestnutlatch/wire"
)

// testDialect is a platform's with names of the tests' own.
func testDialect() Dialect {
	return Dialect{
		Attempt: "X-Id", Timeout: "X-Left", Team: "X-For", Origin: "X-From", Expect: "X-Meant", NotRun: "X-Not-Run", Unframed: true,
	}
}

// attemptGuard is a guard whose callers name their attempts.
func attemptGuard(t testing.TB, clk clock.Clock, spec Spec) *Guard {
	t.Helper()
	pool, err := ants.NewPool(64)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	home := once.New(once.Config{Instance: "i", Incarnation: 1, Secret: []byte("s"), TTL: clock.Minute, MaxOpen: 1, MaxKeptBytes: 1})
	g := New(Config{
		QueueLimit: 4, MaxAnswerBytes: 100_000, Dialect: testDialect(), Incarnation: 9, RefuseAt: 0.5, KeepAlive: true,
	}, Deps{
		Clock: clk, Log: hclog.NewNullLogger(), Peers: noPeers{}, Pool: pool, Home: home,
		Attempts:  once.NewAttempts(once.AttemptConfig{Keep: clock.Minute, MaxOpen: 100, MaxKeptBytes: 1 << 20}),
		IsDrained: func(ident.Target) bool { return false },
	})
	if spec.ID != "" {
		g.Add(spec)
	}
	return g
}

func attempt(id string, oneTime bool) *wire.ForwardRequest {
	return &wire.ForwardRequest{
		Target: "t", Service: "svc", Method: "POST", Uri: "/a/../b?x=%2f", Body: []byte("body"), TimeoutMs: 2000, Attempt: id, OneTime: oneTime,
		HomeIncarnation: 9, Headers: []*wire.Header{{Name: "X-Id", Value: id}, {Name: "Host", Value: "h.example"}},
	}
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestAnswersByAttempt(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		status uint32
		body   string
		kind   fault.Kind
		not    bool
	}{
		{"its own", ok("a1", "x"), 200, "x", 0, false},
		{"a stray one before it", ok("a0", "stray") + ok("a1", "x"), 200, "x", 0, false},
		{"only stray ones", ok("a0", "s") + ok("a0", "s") + ok("a0", "s") + ok("a0", "s"), 0, "", fault.HalfAnswer, false},
		{"a success without an id", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", 0, "", fault.HalfAnswer, false},
		{"a failure of its own", "HTTP/1.1 500 E\r\nX-Id: a1\r\nContent-Length: 1\r\n\r\ne", 500, "e", 0, false},
		{"no length, whole", "HTTP/1.1 200 OK\r\nX-Id: a1\r\n\r\nuntil the end", 200, "until the end", 0, false},
		{"encoded", "HTTP/1.1 200 OK\r\nX-Id: a1\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", 0, "", fault.HalfAnswer, false},
		{"broken off", "HTTP/1.1 200 OK\r\nX-Id: a1\r\nContent-Length: 9\r\n\r\nx", 0, "", fault.HalfAnswer, false},
		{"no answer in the protocol", "hello\r\n\r\n", 0, "", fault.DeadlineExceeded, false},
		{"not run, full", "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", 0, "", fault.Shed, true},
		{"another target is there", "HTTP/1.1 421 M\r\nContent-Length: 0\r\n\r\n", 0, "", fault.Draining, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := startTarget(t, func(_, _ int64, c net.Conn) bool {
				write(c, tt.answer)
				return false
			})
			g := attemptGuard(t, clock.NewSystem(), Spec{ID: "t", Service: "svc", Address: f.Addr().String(), Slots: 1})
			reply := g.Forward(context.Background(), attempt("a1", true))
			if tt.status > 0 {
				if reply.GetAnswer().GetStatus() != tt.status || string(reply.GetAnswer().GetBody()) != tt.body {
					t.Fatalf("answer is %v, refusal %v", reply.GetAnswer(), reply.GetRefusal())
				}
				return
			}
			r := FromWire(reply.GetRefusal())
			if reply.GetAnswer() != nil || (r.Outcome == ident.OutcomeNotRun) != tt.not || tt.not && r.Kind != tt.kind {
				t.Errorf("refusal is %v, answer %v", r, reply.GetAnswer())
			}
			if !reply.GetArrived() {
				t.Error("the request is said not to have arrived")
			}
		})
	}
}

// TestTargetSeesWhatWasSent covers the request at the target: its bytes, and
// the headers that the daemon alone sets.
func TestTargetSeesWhatWasSent(t *testing.T) {
	seen := make(chan string, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		buf := make([]byte, 4096)
		n, _ := c.Read(buf)
		seen <- string(buf[:n])
		write(c, ok("a1", ""))
	}()
	g := attemptGuard(t, clock.NewSystem(), Spec{ID: "t", Service: "svc", Address: l.Addr().String(), Slots: 1})
	req := attempt("a1", true)
	req.Team, req.OriginService = "team", "here"
	req.Headers = append(req.Headers, &wire.Header{Name: "X-For", Value: "forged"}, &wire.Header{Name: "X-From", Value: "forged"})
	g.Forward(context.Background(), req)
	got := <-seen
	for _, want := range []string{"POST /a/../b?x=%2f HTTP/1.1\r\n", "X-Id: a1\r\n", "X-For: team\r\n", "X-From: here\r\n", "X-Meant: t\r\n", "\r\n\r\nbody"} {
		if !strings.Contains(got, want) {
			t.Errorf("target did not get %q in\n%s", want, got)
		}
	}
	if strings.Contains(got, "forged") {
		t.Errorf("a forged header passed:\n%s", got)
	}
}

// TestLostPathFindsAnswer covers a sender that loses its path while the action
// runs: it asks again and gets the answer, and the action runs once.
func TestLostPathFindsAnswer(t *testing.T) {
	release := make(chan struct{})
	f := startTarget(t, func(_, _ int64, c net.Conn) bool {
		<-release
		write(c, ok("a1", "done"))
		return true
	})
	g := attemptGuard(t, clock.NewSystem(), Spec{ID: "t", Service: "svc", Address: f.Addr().String(), Slots: 1})
	ctx, lose := context.WithCancel(context.Background())
	first := make(chan *wire.ForwardReply, 1)
	go func() { first <- g.Forward(ctx, attempt("a1", true)) }()
	for f.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	lose()
	if r := FromWire((<-first).GetRefusal()); r.Outcome != ident.OutcomeUnknown {
		t.Fatalf("refusal is %v while the action runs", r)
	}
	close(release)
	again := attempt("a1", true)
	again.VoidOnly = true
	reply := g.Forward(context.Background(), again)
	if string(reply.GetAnswer().GetBody()) != "done" || f.requests.Load() != 1 {
		t.Errorf("answer is %v after %d runs", reply, f.requests.Load())
	}
}

// TestAskedAttemptIsVoid covers a request that is still on its way when its
// sender asks: it is void, and the sender may send it elsewhere.
func TestAskedAttemptIsVoid(t *testing.T) {
	f := startTarget(t, func(_, _ int64, c net.Conn) bool {
		write(c, ok("a1", ""))
		return true
	})
	g := attemptGuard(t, clock.NewSystem(), Spec{ID: "t", Service: "svc", Address: f.Addr().String(), Slots: 1})
	ask := attempt("a1", true)
	ask.VoidOnly = true
	for range 2 {
		if r := FromWire(g.Forward(context.Background(), ask).GetRefusal()); r.Outcome != ident.OutcomeNotRun {
			t.Fatalf("refusal is %v, want not run", r)
		}
	}
	late := g.Forward(context.Background(), attempt("a1", true))
	if f.requests.Load() != 0 || late.GetRefusal() == nil {
		t.Errorf("the late copy ran %d times", f.requests.Load())
	}
	other := attempt("a2", true)
	other.VoidOnly, other.HomeIncarnation = true, 8
	if r := FromWire(g.Forward(context.Background(), other).GetRefusal()); r.Outcome != ident.OutcomeUnknown {
		t.Errorf("a question about an earlier life is answered with %v", r)
	}
}

// TestSenderGoneWhileWaiting covers callers that leave: what waits is never
// sent on.
func TestSenderGoneWhileWaiting(t *testing.T) {
	release := make(chan struct{})
	f := startTarget(t, func(n, _ int64, c net.Conn) bool {
		<-release
		write(c, ok(fmt.Sprint("a", n), ""))
		return true
	})
	g := attemptGuard(t, clock.NewSystem(), Spec{ID: "t", Service: "svc", Address: f.Addr().String(), Slots: 1})
	running := make(chan struct{})
	go func() {
		g.Forward(context.Background(), attempt("a1", true))
		close(running)
	}()
	for f.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, leave := context.WithCancel(context.Background())
	waiting := make(chan *wire.ForwardReply, 1)
	go func() { waiting <- g.Forward(ctx, attempt("a2", true)) }()
	for g.find("t").running() == 1 && func() bool {
		g.find("t").mu.Lock()
		defer g.find("t").mu.Unlock()
		return g.find("t").queue.Waiting() == 0
	}() {
		time.Sleep(time.Millisecond)
	}
	leave()
	<-waiting
	close(release)
	<-running
	if n := f.requests.Load(); n != 1 {
		t.Errorf("%d requests reached the target, want 1", n)
	}
}

// TestSuspectTargetRefusesActions covers a spell of failures: after one failure
// actions go elsewhere, a few look-ups test the target, and a last resort is
// served.
func TestSuspectTargetRefusesActions(t *testing.T) {
	f := startTarget(t, func(n, _ int64, c net.Conn) bool {
		write(c, fmt.Sprintf("HTTP/1.1 500 E\r\nX-Id: a%d\r\nContent-Length: 0\r\n\r\n", n))
		return true
	})
	clk := clock.NewManual(1000)
	g := attemptGuard(t, clk, Spec{ID: "t", Service: "svc", Address: f.Addr().String(), Slots: 1})
	g.Forward(context.Background(), attempt("a1", false))
	reply := g.Forward(context.Background(), attempt("a2", true))
	if r := reply.GetRefusal(); r == nil || FromWire(r).Kind != fault.Suspect || reply.GetArrived() {
		t.Fatalf("an action after a failure: %v", reply)
	}
	if r := g.Forward(context.Background(), attempt("a2", false)).GetRefusal(); r != nil {
		t.Errorf("the first look-up is no test: %v", r)
	}
	if r := g.Forward(context.Background(), attempt("a3", false)).GetRefusal(); r == nil || FromWire(r).Kind != fault.Suspect {
		t.Errorf("a second look-up at once is taken: %v", r)
	}
	last := attempt("a3", true)
	last.LastResort = true
	if r := g.Forward(context.Background(), last).GetRefusal(); r != nil {
		t.Errorf("a last resort is refused: %v", r)
	}
	clk.Advance(20 * clock.Second)
	if r := g.Forward(context.Background(), attempt("a4", true)).GetRefusal(); r != nil {
		t.Errorf("an action long after the failure is refused: %v", r)
	}
}

// TestFailedCallIsNotTheTargetsFault covers a target that fails since a call of
// its own failed.
func TestFailedCallIsNotTheTargetsFault(t *testing.T) {
	clk := clock.NewManual(1000)
	g := attemptGuard(t, clk, Spec{})
	tests := []struct {
		name   string
		failed clock.Millis
		took   ident.Micros
		blamed bool
	}{
		{"no call failed", 0, 300_000, true},
		{"a call failed just before", 950, 300_000, false},
		{"a call failed before the request began", 950, 10_000, true},
		{"a call failed long before its end", 500, 900_000, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g.callFailed.Store(int64(tt.failed))
			s := g.endOf(newTarget(Spec{ID: "t", Slots: 1}, g.cfg, clk), nil, 500, tt.took)
			if s.Result.IsFailure() != tt.blamed {
				t.Errorf("result is %s", s.Result)
			}
		})
	}
}

// TestBeats covers heartbeats that come late, from earlier lives or from
// writers that left.
func TestBeats(t *testing.T) {
	beat := func(id string, born clock.Millis, sequence uint64, draining bool) Beat {
		return Beat{
			Spec: Spec{ID: ident.Target(id), Service: "svc", Address: "127.0.0.1:1", Slots: 1}, Born: born, Sequence: sequence, Draining: draining,
		}
	}
	tests := []struct {
		name   string
		beats  []Beat
		leaves string
		after  []Beat
		// want is the target that takes work, if any.
		want    ident.Target
		leaving bool
	}{
		{"first", []Beat{beat("a", 10, 1, false)}, "", nil, "a", false},
		{"draining", []Beat{beat("a", 10, 1, false), beat("a", 10, 2, true)}, "", nil, "", true},
		{"late one does not undo draining", []Beat{beat("a", 10, 3, true), beat("a", 10, 2, false)}, "", nil, "", true},
		{"starts again under its id", []Beat{beat("a", 10, 7, true), beat("a", 20, 1, false)}, "", nil, "a", false},
		{"earlier life comes late", []Beat{beat("a", 20, 1, false), beat("a", 10, 9, true)}, "", nil, "a", false},
		{"new target at the address", []Beat{beat("a", 10, 1, false), beat("b", 20, 1, false)}, "", nil, "b", false},
		{"crashed one at the address comes late", []Beat{beat("b", 20, 1, false), beat("a", 10, 9, false)}, "", nil, "b", false},
		{"left and comes late", []Beat{beat("a", 10, 1, false)}, "a", []Beat{beat("a", 10, 2, false)}, "", true},
		{"left and starts again", []Beat{beat("a", 10, 1, false)}, "a", []Beat{beat("a", 30, 1, false)}, "a", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := attemptGuard(t, clock.NewManual(1), Spec{})
			for _, b := range tt.beats {
				g.Beat(b)
			}
			if tt.leaves != "" {
				g.Gone(ident.Target(tt.leaves))
			}
			for _, b := range tt.after {
				g.Beat(b)
			}
			var got ident.Target
			if target := g.ofService("svc"); target != nil {
				got = target.spec.ID
			}
			if got != tt.want || g.IsLeaving() != tt.leaving {
				t.Errorf("%q takes work and leaving is %v, want %q and %v", got, g.IsLeaving(), tt.want, tt.leaving)
			}
		})
	}
}

// TestDrainAnswersThoseWhoWait covers the acknowledgement of a drain: when it
// is given, those who wait know that they have not run.
func TestDrainAnswersThoseWhoWait(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	f := startTarget(t, func(_, _ int64, _ net.Conn) bool {
		<-hold
		return false
	})
	g := attemptGuard(t, clock.NewSystem(), Spec{})
	spec := Spec{ID: "t", Service: "svc", Address: f.Addr().String(), Slots: 1}
	g.Beat(Beat{Spec: spec, Born: 1, Sequence: 1})
	go g.Forward(context.Background(), attempt("a1", true))
	for f.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	waiting := make(chan *wire.ForwardReply, 1)
	go func() { waiting <- g.Forward(context.Background(), attempt("a2", true)) }()
	target := g.find("t")
	for target.waitFor(0, queue.Job{}) == 0 && func() bool { target.mu.Lock(); defer target.mu.Unlock(); return target.queue.Waiting() == 0 }() {
		time.Sleep(time.Millisecond)
	}
	g.Beat(Beat{Spec: spec, Born: 1, Sequence: 2, Draining: true})
	if r := FromWire((<-waiting).GetRefusal()); r.Kind != fault.Draining || r.Outcome != ident.OutcomeNotRun {
		t.Errorf("the waiting request is refused with %v", r)
	}
}

// TestBeatsNeverRevive draws heartbeats in any order: the guard always holds
// the newest life's newest word.
func TestBeatsNeverRevive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := attemptGuard(t, clock.NewManual(1), Spec{})
		var born clock.Millis
		var sequence uint64
		drains := false
		for range 20 {
			b := Beat{
				Spec: Spec{ID: "t", Service: "svc", Address: "127.0.0.1:1", Slots: 1},
				Born: clock.Millis(rapid.IntRange(1, 4).Draw(rt, "born")), Sequence: uint64(rapid.IntRange(1, 6).Draw(rt, "sequence")),
			}
			// What a life says at a sequence is always the same.
			b.Draining = (int(b.Born)+int(b.Sequence))%3 == 0
			g.Beat(b)
			if b.Born > born || b.Born == born && b.Sequence > sequence {
				born, sequence, drains = b.Born, b.Sequence, b.Draining
			}
			if got := g.ofService("svc") == nil; got != drains {
				rt.Fatalf("after life %d, word %d: drained is %v, want %v", born, sequence, got, drains)
			}
		}
	})
}

// TestReleaseEndsTheWaitsOfASender covers a daemon that goes with its instance:
// its requests that wait are refused as not run, those of others stay.
func TestReleaseEndsTheWaitsOfASender(t *testing.T) {
	end := make(chan struct{})
	f := startTarget(t, func(_, _ int64, c net.Conn) bool {
		<-end
		return false
	})
	g := attemptGuard(t, clock.NewSystem(), Spec{ID: "t", Service: "svc", Address: f.Addr().String(), Slots: 1})
	send := func(id, sender string) chan *wire.ForwardReply {
		out := make(chan *wire.ForwardReply, 1)
		req := attempt(id, true)
		req.SenderInstance = sender
		go func() { out <- g.Forward(context.Background(), req) }()
		return out
	}
	waiting := func(n int) {
		for g.find("t").running() != 1 || func() bool {
			target := g.find("t")
			target.mu.Lock()
			defer target.mu.Unlock()
			return target.queue.Waiting() != n
		}() {
			time.Sleep(time.Millisecond)
		}
	}
	runs := send("a1", "leaver")
	waiting(0)
	waits := send("a2", "leaver")
	waiting(1)
	other := send("a3", "other")
	waiting(2)
	if n := g.Release("leaver"); n != 1 {
		t.Errorf("%d requests are released, want 1", n)
	}
	if r := FromWire((<-waits).GetRefusal()); r.Outcome != ident.OutcomeNotRun {
		t.Errorf("the waiting request ends with %v", r)
	}
	waiting(1)
	close(end)
	<-runs
	<-other
	if n := f.requests.Load(); n != 2 {
		t.Errorf("%d requests reached the target, want the running and the other's", n)
	}
}
