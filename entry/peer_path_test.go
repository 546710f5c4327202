package entry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/peers"
	"chestnutlatch/record"
	"chestnutlatch/wire"
)

// relayDaemon is another daemon, which can reach the home daemon.
type relayDaemon struct {
	wire.UnimplementedInnerServer

	mu        sync.Mutex
	home      *Entry
	relayedTo []string
	// wrongSequence makes replies carry the sequence number of another request.
	wrongSequence bool
}

// Forward implements wire.InnerServer.
func (r *relayDaemon) Forward(ctx context.Context, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	r.mu.Lock()
	r.relayedTo = append(r.relayedTo, req.GetRelayTo())
	r.mu.Unlock()
	reply := r.home.Guard.Forward(ctx, req)
	if r.wrongSequence {
		reply.Sequence++
	}
	return reply, nil
}

// unreachableHomeFleet is a fleet whose home daemon can only be reached through a
// relay.
type unreachableHomeFleet struct {
	singleDaemonFleet

	relay string
}

func (*unreachableHomeFleet) Locate(ident.Instance) (string, ident.Incarnation, bool) {
	return "127.0.0.1:1", 1, true
}

func (f *unreachableHomeFleet) Relays(int, ident.Instance, func(ident.Region) bool) []Peer {
	return []Peer{{Instance: "relay", Address: f.relay, Region: "r"}}
}

func (*unreachableHomeFleet) SlotHolder(limit.Slot) (ident.Instance, string, bool) {
	return "remote", "self", true
}

// TestActionIsRelayedToUnreachableHome covers an action whose home daemon can be
// reached only through another daemon. A relayed reply to another request is not
// accepted.
func TestActionIsRelayedToUnreachableHome(t *testing.T) {
	for name, wrongSequence := range map[string]bool{"relayed": false, "answer to another request": true} {
		t.Run(name, func(t *testing.T) {
			home := newTestEntry(t, [2]string{okAnswer, okAnswer})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			relay := &relayDaemon{home: home.Entry, wrongSequence: wrongSequence}
			srv := grpc.NewServer(peers.ServerOptions(insecure.NewCredentials(), "secret")...)
			wire.RegisterInnerServer(srv, relay)
			go func() { _ = srv.Serve(l) }()
			t.Cleanup(srv.Stop)

			caller := newTestEntry(t, [2]string{okAnswer, okAnswer})
			fleet := &unreachableHomeFleet{relay: l.Addr().String()}
			deps := caller.Deps
			deps.Instance, deps.Fleet, deps.Drawer = "remote", fleet, fleet
			caller.Entry = New(deps)
			tickets, r := home.Guard.IssueTickets("team", "svc", 1)
			if r != nil {
				t.Fatal(r)
			}
			status, kind, outcome := caller.request("POST", "/action", withKey("Idempotency-Key", tickets[0]), "")
			if len(relay.relayedTo) == 0 || relay.relayedTo[0] != "i" {
				t.Fatalf("requests were relayed to %v, want i", relay.relayedTo)
			}
			if wrongSequence && (kind != fault.PathFailed.String() || outcome != "unknown") || !wrongSequence && status != 200 {
				t.Errorf("got %d %s %s", status, kind, outcome)
			}
			if n := home.hits[0].Load() + home.hits[1].Load(); n != 1 {
				t.Errorf("the action ran %d times, want 1", n)
			}
		})
	}
}

// failingDaemon counts the requests and fails each of them. It answers pings if
// answersPing is set.
type failingDaemon struct {
	wire.UnimplementedInnerServer

	answersPing atomic.Bool
	requests    atomic.Int64
	// timesOut makes requests fail with DeadlineExceeded instead of Unavailable.
	timesOut atomic.Bool
}

// Ping implements wire.InnerServer.
func (d *failingDaemon) Ping(context.Context, *wire.PingRequest) (*wire.PingReply, error) {
	if !d.answersPing.Load() {
		return nil, status.Error(codes.Unavailable, "unreachable")
	}
	return &wire.PingReply{}, nil
}

// Forward implements wire.InnerServer.
func (d *failingDaemon) Forward(context.Context, *wire.ForwardRequest) (*wire.ForwardReply, error) {
	d.requests.Add(1)
	if d.timesOut.Load() {
		return nil, status.Error(codes.DeadlineExceeded, "deadline exceeded")
	}
	return nil, status.Error(codes.Unavailable, "unreachable")
}

// start starts the daemon's server and returns its address.
func (d *failingDaemon) start(t *testing.T) string {
	t.Helper()
	return startInner(t, d)
}

// startInner starts a server of the inner protocol and returns its address.
func startInner(t *testing.T, d wire.InnerServer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := grpc.NewServer()
	wire.RegisterInnerServer(srv, d)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	return l.Addr().String()
}

// TestDeadlineDoesNotFailReachablePath covers requests that time out before their
// peer is first checked: the path counts as failed only if the peer does not answer
// a check either.
func TestDeadlineDoesNotFailReachablePath(t *testing.T) {
	for _, answers := range []bool{true, false} {
		t.Run(fmt.Sprint("peer answers ", answers), func(t *testing.T) {
			remote := &failingDaemon{}
			remote.answersPing.Store(answers)
			remote.timesOut.Store(true)
			address := remote.start(t)
			s := newTestEntry(t, [2]string{okAnswer, okAnswer})
			var lines bytes.Buffer
			s.client.log = hclog.New(&hclog.LoggerOptions{Output: &lines})
			s.client.fleet = &remoteFleet{address: address}
			_, err := s.client.call(context.Background(), "remote", address, &wire.ForwardRequest{})
			if err == nil {
				t.Fatal("the request succeeded, want an error")
			}
			if got := s.lostRefusal(context.Background(), choose.Candidate{}, err).Kind; got != fault.DeadlineExceeded {
				t.Errorf("the request ended with %s, want deadline_exceeded", got)
			}
			for checked := false; !checked; time.Sleep(time.Millisecond) {
				s.client.mu.Lock()
				checked = len(s.client.checkingPaths) == 0
				s.client.mu.Unlock()
			}
			if got := s.Picker.IsPathProbing("remote"); got == answers {
				t.Errorf("path is probed: %v, peer answers checks: %v", got, answers)
			}
			if got := strings.Contains(lines.String(), "path failed: to=remote"); got == answers {
				t.Errorf("log is %q", lines.String())
			}
		})
	}
}

// expiredContext is a context whose deadline has passed but whose timer has not fired
// yet.
type expiredContext struct{ context.Context }

// Deadline implements context.Context.
func (expiredContext) Deadline() (time.Time, bool) { return time.Unix(1, 0), true }

// TestPeerCheckIgnoresRequestDeadline covers requests that reach their deadline during
// the first check: this must not count as a peer that does not answer.
func TestPeerCheckIgnoresRequestDeadline(t *testing.T) {
	for _, answers := range []bool{true, false} {
		remote := &failingDaemon{}
		remote.answersPing.Store(answers)
		s := newTestEntry(t, [2]string{okAnswer, okAnswer})
		client, err := s.Peers.Get(remote.start(t))
		if err != nil {
			t.Fatal(err)
		}
		var cause error
		again := new(peerWatch).check(expiredContext{context.Background()}, client, func(err error) { cause = err })
		if again != answers || (cause == nil) != answers {
			t.Errorf("peer answers %v: checks again %v, cause %v", answers, again, cause)
		}
	}
}

// TestFailedPathIsProbed covers a network cut of a few seconds: after the first lost
// request, probes and not requests detect when the path works again.
func TestFailedPathIsProbed(t *testing.T) {
	remote := &failingDaemon{}
	address := remote.start(t)
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	s.client.fleet = &remoteFleet{address: address}
	if _, err := s.client.call(context.Background(), "remote", address, &wire.ForwardRequest{}); err == nil {
		t.Fatal("the request to the unreachable daemon succeeded")
	}
	if !s.Picker.IsPathUnreachable(s.Clock.Now()+clock.Minute, "remote") {
		t.Error("the path counts as reachable after a minute without a successful probe")
	}
	remote.answersPing.Store(true)
	for s.Picker.IsPathProbing("remote") {
		time.Sleep(time.Millisecond)
	}
	if n := remote.requests.Load(); n != 1 {
		t.Errorf("%d requests were sent over the failed path, want 1", n)
	}
}

// remoteFleet is a fleet with one remote daemon.
type remoteFleet struct {
	singleDaemonFleet

	address string
}

func (f *remoteFleet) Locate(ident.Instance) (string, ident.Incarnation, bool) {
	return f.address, 1, true
}

// busyDaemon holds lookups until released is closed, and fails the first questions for the
// answer of a one-time request.
type busyDaemon struct {
	wire.UnimplementedInnerServer

	lookups  chan struct{}
	released chan struct{}
	// failures is the number of questions that still fail.
	failures atomic.Int64
}

// Ping implements wire.InnerServer.
func (*busyDaemon) Ping(context.Context, *wire.PingRequest) (*wire.PingReply, error) {
	return &wire.PingReply{}, nil
}

// Forward implements wire.InnerServer.
func (d *busyDaemon) Forward(_ context.Context, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	if !req.GetVoidOnly() {
		d.lookups <- struct{}{}
		<-d.released
	} else if d.failures.Add(-1) >= 0 {
		return nil, status.Error(codes.Unavailable, "unreachable")
	}
	return &wire.ForwardReply{Sequence: req.GetSequence(), SenderIncarnation: req.GetSenderIncarnation()}, nil
}

// TestLostAnswerDoesNotEndOtherCalls guards against a one-time request that asks for its lost
// answer and each time closes the connection that all calls to the daemon share: the lookups
// there fail, and the other one-time requests lose their answers in turn.
func TestLostAnswerDoesNotEndOtherCalls(t *testing.T) {
	d := &busyDaemon{lookups: make(chan struct{}, 1), released: make(chan struct{})}
	d.failures.Store(3)
	address := startInner(t, d)
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	s.client.fleet = &remoteFleet{address: address}
	lookup := make(chan error, 1)
	go func() {
		_, err := s.client.call(context.Background(), "remote", address, &wire.ForwardRequest{})
		lookup <- err
	}()
	<-d.lookups
	r := &request{route: record.Route{OneTime: true}, out: &wire.ForwardRequest{Attempt: "a"}}
	c := choose.Candidate{Instance: "remote", Address: address}
	if _, err := s.recoverAnswer(context.Background(), r, c, errPeerUnresponsive); err != nil {
		t.Errorf("the lost answer was not recovered: %v", err)
	}
	close(d.released)
	if err := <-lookup; err != nil {
		t.Errorf("the lookup failed: %v", err)
	}
}

// confirmedDaemon answers requests and records which answers their sender says it has.
type confirmedDaemon struct {
	wire.UnimplementedInnerServer

	received [][]uint64
}

// Forward implements wire.InnerServer.
func (d *confirmedDaemon) Forward(_ context.Context, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	d.received = append(d.received, req.GetReceived())
	return &wire.ForwardReply{Sequence: req.GetSequence(), SenderIncarnation: req.GetSenderIncarnation(), Answer: &wire.Answer{Status: 200}}, nil
}

// TestArrivedAnswersAreConfirmed guards against a guard that keeps the answers of one-time
// requests for a sender that has them: the next request there confirms each of them once.
func TestArrivedAnswersAreConfirmed(t *testing.T) {
	d := &confirmedDaemon{}
	address := startInner(t, d)
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	var sent []uint64
	for i := range 4 {
		req := &wire.ForwardRequest{OneTime: i != 2, Attempt: fmt.Sprint("a", i)}
		if _, err := s.client.call(context.Background(), "remote", address, req); err != nil {
			t.Fatal(err)
		}
		sent = append(sent, req.GetSequence())
	}
	want := [][]uint64{nil, {sent[0]}, {sent[1]}, nil}
	if fmt.Sprint(d.received) != fmt.Sprint(want) {
		t.Errorf("the requests confirm %v, want %v", d.received, want)
	}
}
