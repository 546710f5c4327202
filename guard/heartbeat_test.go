package guard

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

func testSpec(id ident.Target, address string) TargetSpec {
	return TargetSpec{ID: id, Service: "svc", Address: address, Slots: 1}
}

// takesWork reports whether a guard has the target and would accept a request for it.
func takesWork(g *Guard, id ident.Target) bool {
	for _, t := range g.Targets() {
		if t.ID == id {
			return t.State != ident.TargetDraining
		}
	}
	return false
}

// tickFor advances the clock with the ticks of a process that runs.
func tickFor(g *Guard, clk *clock.Manual, span clock.Millis) {
	for end := clk.Now() + span; clk.Now() < end; {
		clk.Advance(min(100, end-clk.Now()))
		g.Tick(clk.Now())
	}
}

// TestPausedDaemonKeepsItsTargets covers a daemon that is paused for longer than a
// registration lasts: its target could not be heard, and gets the time to report.
func TestPausedDaemonKeepsItsTargets(t *testing.T) {
	clk := clock.NewManual(1000)
	g := newAttemptGuard(t, clk, TargetSpec{})
	g.ApplyHeartbeat(Heartbeat{Spec: testSpec("t", "127.0.0.1:1"), StartedAt: 1, Sequence: 1})
	tickFor(g, clk, 1000)
	clk.Advance(30 * clock.Second)
	g.Tick(clk.Now())
	if !takesWork(g, "t") {
		t.Error("the target was given up at the first tick after the pause")
	}
	tickFor(g, clk, g.cfg.AnnounceTTL+1)
	if takesWork(g, "t") {
		t.Error("the target stays although it is silent")
	}
}

// TestTargetWithoutStartTimeReturns covers a target that does not report its start
// time and starts again under its ID: late heartbeats of its former run are ignored, its
// new ones are not, for minutes.
func TestTargetWithoutStartTimeReturns(t *testing.T) {
	clk := clock.NewManual(1000)
	g := newAttemptGuard(t, clk, TargetSpec{})
	g.ApplyHeartbeat(Heartbeat{Spec: testSpec("t", "127.0.0.1:1"), Sequence: 50})
	g.Deregister("t")
	clk.Advance(g.cfg.AnnounceTTL)
	g.ApplyHeartbeat(Heartbeat{Spec: testSpec("t", "127.0.0.1:1"), Sequence: 51})
	if takesWork(g, "t") {
		t.Error("a late heartbeat brought the target back")
	}
	clk.Advance(clock.Second)
	g.Tick(clk.Now())
	g.ApplyHeartbeat(Heartbeat{Spec: testSpec("t", "127.0.0.1:1"), Sequence: 1})
	if !takesWork(g, "t") {
		t.Error("the target is still refused after its restart")
	}
}

// TestNoTargetJoinsDuringDrain covers a target that announces itself for the first time,
// or with a changed spec, while the daemon stops.
func TestNoTargetJoinsDuringDrain(t *testing.T) {
	g := newAttemptGuard(t, clock.NewManual(1000), TargetSpec{})
	g.Announce(testSpec("old", "127.0.0.1:1"))
	g.Drain()
	g.Announce(testSpec("new", "127.0.0.1:2"))
	g.Announce(testSpec("old", "127.0.0.1:3"))
	for _, id := range []ident.Target{"old", "new"} {
		if takesWork(g, id) {
			t.Errorf("target %s takes work at a draining daemon", id)
		}
	}
}

// TestInstanceDrainsWithItsLastTarget covers several targets of one instance: the
// instance stops with the last of them, and the heartbeat of one target says nothing
// about another.
func TestInstanceDrainsWithItsLastTarget(t *testing.T) {
	clk := clock.NewManual(1000)
	g := newAttemptGuard(t, clk, TargetSpec{})
	sequence := uint64(0)
	beat := func(id ident.Target, draining bool) {
		sequence++
		g.ApplyHeartbeat(Heartbeat{Spec: testSpec(id, "127.0.0.1:1"+string(id)), Sequence: sequence, Draining: draining})
	}
	expect := func(when string, want clock.Millis) {
		t.Helper()
		if got := g.TargetDrainingSince(); got != want {
			t.Errorf("%s: draining since %d, want %d", when, got, want)
		}
	}
	beat("1", false)
	beat("2", false)
	expect("none drains", 0)
	beat("1", true)
	expect("one of two drains", 0)
	clk.Advance(500)
	beat("2", true)
	expect("both drain", 1500)
	clk.Advance(500)
	beat("1", true)
	expect("the first one repeats it", 1500)
	g.Deregister("1")
	tickFor(g, clk, g.cfg.AnnounceTTL/2)
	beat("2", true)
	tickFor(g, clk, g.cfg.AnnounceTTL/2+1)
	expect("the first one is gone", 1500)
	tickFor(g, clk, g.cfg.AnnounceTTL+1)
	expect("both are gone", 1500)
	beat("3", false)
	expect("another one has started", 0)
}

// TestReplacedTargetKeepsNoConnection covers a target that starts again, or whose
// address another target takes: the connections to the former one are closed, those in
// use after their exchange.
func TestReplacedTargetKeepsNoConnection(t *testing.T) {
	for _, id := range []ident.Target{"t", "other"} {
		ended := make(chan struct{}, 2)
		f := startFakeTarget(t, func(n, _ int64, c net.Conn) bool {
			writeString(c, okResponseWithID("a1", "x"))
			if n == 1 {
				_, _ = io.ReadAll(c)
				ended <- struct{}{}
			}
			return false
		})
		clk := clock.NewManual(1000)
		g := newAttemptGuard(t, clk, TargetSpec{})
		g.ApplyHeartbeat(Heartbeat{Spec: testSpec("t", f.Addr().String()), StartedAt: 1, Sequence: 1})
		former := g.findTarget("t")
		if r := g.Forward(context.Background(), attemptRequest("a1", true)); r.GetRefusal() != nil {
			t.Fatal(r.GetRefusal())
		}
		g.ApplyHeartbeat(Heartbeat{Spec: testSpec(id, f.Addr().String()), StartedAt: 2, Sequence: 1})
		<-ended
		conn, peer := net.Pipe()
		former.conns.put(newTargetConn(conn, &byteBudget{}))
		if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Errorf("a connection in use at the replacement was kept: %v", err)
		}
	}
}

// TestSilentTargetKeepsItsRequest covers a target that is busy and silent for longer
// than its registration lasts: its request goes on, other daemons are told once that it
// takes no new work, and its next heartbeat brings it back.
func TestSilentTargetKeepsItsRequest(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	f := startFakeTarget(t, func(_, _ int64, c net.Conn) bool {
		close(started)
		<-release
		writeString(c, okResponseWithID("a1", "x"))
		return true
	})
	clk := clock.NewManual(1000)
	g := newAttemptGuard(t, clk, TargetSpec{})
	g.ApplyHeartbeat(Heartbeat{Spec: testSpec("t", f.Addr().String()), StartedAt: 1, Sequence: 1})
	done := make(chan string)
	go func() {
		reply := g.Forward(context.Background(), attemptRequest("a1", true))
		done <- string(reply.GetAnswer().GetBody())
	}()
	<-started
	tickFor(g, clk, g.cfg.AnnounceTTL)
	clk.Advance(1)
	if !g.Tick(clk.Now()) || g.Tick(clk.Now()) {
		t.Error("the drain of the silent target must be reported once")
	}
	if r := RefusalFromWire(g.Forward(context.Background(), attemptRequest("a2", true)).GetRefusal()); r.Kind != fault.Draining || r.Outcome != ident.OutcomeNotRun {
		t.Errorf("a new request got %v, want draining not_run", r)
	}
	if !g.ApplyHeartbeat(Heartbeat{Spec: testSpec("t", f.Addr().String()), StartedAt: 1, Sequence: 2}) || !takesWork(g, "t") {
		t.Error("the heartbeat did not bring the target back")
	}
	close(release)
	if body := <-done; body != "x" {
		t.Errorf("the running request got %q", body)
	}
}

// TestUnknownTargetIsDeregistered guards against a late heartbeat that registers a
// target whose deregistration was acknowledged by a daemon that did not know it. A later
// incarnation is accepted.
func TestUnknownTargetIsDeregistered(t *testing.T) {
	clk := clock.NewManual(clock.Hour)
	g := newAttemptGuard(t, clk, TargetSpec{})
	startedAt := clk.Wall() - clock.Minute
	if !g.Deregister("t") {
		t.Error("the deregistration was not recorded")
	}
	if g.Deregister("t") {
		t.Error("a repeated deregistration counts as new")
	}
	clk.Advance(5 * clock.Second)
	if g.ApplyHeartbeat(Heartbeat{Spec: testSpec("t", "127.0.0.1:1"), StartedAt: startedAt, Sequence: 9}) || takesWork(g, "t") {
		t.Error("a late heartbeat registered the target")
	}
	if !g.ApplyHeartbeat(Heartbeat{Spec: testSpec("t", "127.0.0.1:1"), StartedAt: clk.Wall(), Sequence: 1}) || !takesWork(g, "t") {
		t.Error("the next incarnation is refused")
	}
	g.Deregister("mute")
	clk.Advance(g.cfg.AnnounceTTL)
	if g.ApplyHeartbeat(Heartbeat{Spec: testSpec("mute", "127.0.0.1:2"), Sequence: 9}) {
		t.Error("a late heartbeat without a start time registered the target")
	}
	clk.Advance(1)
	if !g.ApplyHeartbeat(Heartbeat{Spec: testSpec("mute", "127.0.0.1:2"), Sequence: 1}) {
		t.Error("a target without a start time is refused for longer than its registration lasts")
	}
}

// TestDeparturesOfEarlierProcess covers departures that an earlier process acknowledged:
// they must hold whether a late heartbeat arrives before they are known or after.
func TestDeparturesOfEarlierProcess(t *testing.T) {
	spec := testSpec("t", "127.0.0.1:1")
	tests := []struct {
		name     string
		leave    func(g *Guard)
		late     Heartbeat
		accepted bool
	}{
		{"deregistered", func(g *Guard) { g.Deregister("t") }, Heartbeat{Spec: spec, StartedAt: 5, Sequence: 99}, false},
		{"draining", func(g *Guard) { g.ApplyHeartbeat(Heartbeat{Spec: spec, StartedAt: 5, Sequence: 11, Draining: true}) }, Heartbeat{Spec: spec, StartedAt: 5, Sequence: 10}, false},
		{"earlier incarnation", func(g *Guard) { g.Deregister("t") }, Heartbeat{Spec: spec, StartedAt: 4, Sequence: 99}, false},
		{"next incarnation", func(g *Guard) { g.Deregister("t") }, Heartbeat{Spec: spec, StartedAt: 6, Sequence: 1}, true},
		{"heartbeat after a drain that was given up", func(g *Guard) { g.ApplyHeartbeat(Heartbeat{Spec: spec, StartedAt: 5, Sequence: 11, Draining: true}) }, Heartbeat{Spec: spec, StartedAt: 5, Sequence: 12}, true},
	}
	for _, tt := range tests {
		for _, lateFirst := range []bool{false, true} {
			clk := clock.NewManual(1000)
			earlier, g := newAttemptGuard(t, clk, TargetSpec{}), newAttemptGuard(t, clk, TargetSpec{})
			earlier.ApplyHeartbeat(Heartbeat{Spec: spec, StartedAt: 5, Sequence: 10})
			tt.leave(earlier)
			departures := earlier.Departures(10)
			if len(departures) != 1 {
				t.Fatalf("%s: departures are %+v, want one", tt.name, departures)
			}
			if lateFirst {
				g.ApplyHeartbeat(tt.late)
				g.ApplyDepartures(departures)
			} else {
				g.ApplyDepartures(departures)
				g.ApplyHeartbeat(tt.late)
			}
			if got := takesWork(g, "t"); got != tt.accepted {
				t.Errorf("%s, late heartbeat first %v: target takes work %v, want %v", tt.name, lateFirst, got, tt.accepted)
			}
			if got := g.Departures(10); len(got) != 1 {
				t.Errorf("%s: departures for the next process are %+v, want one", tt.name, got)
			}
		}
	}
}

// TestDepartureRecordsAreBounded covers a writer that deregisters ever new IDs.
func TestDepartureRecordsAreBounded(t *testing.T) {
	clk := clock.NewManual(1000)
	g := newAttemptGuard(t, clk, TargetSpec{})
	for i := range 2 * maxTombstones {
		clk.Advance(1)
		g.Deregister(ident.Target(fmt.Sprint("t", i)))
	}
	if n := len(g.tombstones); n != maxTombstones {
		t.Errorf("%d records, want %d", n, maxTombstones)
	}
	if got := g.Departures(3); len(got) != 3 || got[0].Target != ident.Target(fmt.Sprint("t", 2*maxTombstones-1)) {
		t.Errorf("newest departures are %+v", got)
	}
	clk.Advance(tombstoneTTL + 1)
	if got := g.Departures(3); len(got) != 0 {
		t.Errorf("old departures are kept: %+v", got)
	}
}

// TestNextIncarnationIsDeregistered guards against a late heartbeat of a target that
// started again under its ID and left, both unknown to a process that has read the
// departure of the incarnation before.
func TestNextIncarnationIsDeregistered(t *testing.T) {
	clk := clock.NewManual(clock.Hour)
	g := newAttemptGuard(t, clk, TargetSpec{})
	g.ApplyDepartures([]Departure{{Target: "t", StartedAt: 5, Sequence: allSequences}})
	g.Deregister("t")
	g.ApplyHeartbeat(Heartbeat{Spec: testSpec("t", "127.0.0.1:1"), StartedAt: clk.Wall() - clock.Second, Sequence: 9})
	if takesWork(g, "t") {
		t.Error("a late heartbeat registered the target")
	}
}
