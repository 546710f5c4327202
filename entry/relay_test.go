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
	"chestnutlatch/wire"
)

// relayDaemon is another daemon that reaches the home.
type relayDaemon struct {
	wire.UnimplementedInnerServer

	mu   sync.Mutex
	home *Entry
	got  []string
	// cross answers as if to another request.
	cross bool
}

// Forward implements wire.InnerServer.
func (r *relayDaemon) Forward(ctx context.Context, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	r.mu.Lock()
	r.got = append(r.got, req.GetRelayTo())
	r.mu.Unlock()
	reply := r.home.Guard.Forward(ctx, req)
	if r.cross {
		reply.Sequence++
	}
	return reply, nil
}

// cutOff is a fleet in which the home cannot be reached directly.
type cutOff struct {
	lone

	relay string
}

func (*cutOff) Locate(ident.Instance) (string, ident.Incarnation, bool) {
	return "127.0.0.1:1", 1, true
}

func (c *cutOff) Relays(int, ident.Instance) []string { return []string{c.relay} }

func (*cutOff) SlotHolder(limit.Slot) (ident.Instance, string, bool) { return "far", "self", true }

// TestHomeBehindACutLink sends an action whose home answers nobody here, but
// another daemon.
func TestHomeBehindACutLink(t *testing.T) {
	for name, cross := range map[string]bool{"relayed": false, "answer to another request": true} {
		t.Run(name, func(t *testing.T) {
			home := newSite(t, [2]string{good, good})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			relay := &relayDaemon{home: home.Entry, cross: cross}
			srv := grpc.NewServer(peers.ServerOptions(insecure.NewCredentials(), "secret")...)
			wire.RegisterInnerServer(srv, relay)
			go func() { _ = srv.Serve(l) }()
			t.Cleanup(srv.Stop)

			caller := newSite(t, [2]string{good, good})
			fleet := &cutOff{relay: l.Addr().String()}
			deps := caller.Deps
			deps.Instance, deps.Fleet, deps.Drawer = "far", fleet, fleet
			caller.Entry = New(deps)
			tickets, r := home.Guard.Tickets("team", "svc", 1)
			if r != nil {
				t.Fatal(r)
			}
			status, kind, outcome := caller.do("POST", "/act", keyed("Idempotency-Key", tickets[0]), "")
			if len(relay.got) == 0 || relay.got[0] != "i" {
				t.Fatalf("relay was asked for %v", relay.got)
			}
			if cross && (kind != fault.PathFailed.String() || outcome != "unknown") || !cross && status != 200 {
				t.Errorf("got %d %s %s", status, kind, outcome)
			}
			if n := home.hits[0].Load() + home.hits[1].Load(); n != 1 {
				t.Errorf("the action ran %d times", n)
			}
		})
	}
}

// lateDaemon answers checks once it is up, and counts the requests it gets.
type lateDaemon struct {
	wire.UnimplementedInnerServer

	up       atomic.Bool
	requests atomic.Int64
	// overTime ends requests as over their time.
	overTime atomic.Bool
}

// Ping implements wire.InnerServer.
func (d *lateDaemon) Ping(context.Context, *wire.PingRequest) (*wire.PingReply, error) {
	if !d.up.Load() {
		return nil, status.Error(codes.Unavailable, "cut off")
	}
	return &wire.PingReply{}, nil
}

// Forward implements wire.InnerServer.
func (d *lateDaemon) Forward(context.Context, *wire.ForwardRequest) (*wire.ForwardReply, error) {
	d.requests.Add(1)
	if d.overTime.Load() {
		return nil, status.Error(codes.DeadlineExceeded, "over time")
	}
	return nil, status.Error(codes.Unavailable, "cut off")
}

// start serves and returns the address.
func (d *lateDaemon) start(t *testing.T) string {
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

// TestTimeOverIsNoFailedPath covers requests that are shorter than the check of
// their peer: a path on which their time ran out is avoided only if the peer
// does not answer a check either.
func TestTimeOverIsNoFailedPath(t *testing.T) {
	for _, answers := range []bool{true, false} {
		t.Run(fmt.Sprint("peer answers ", answers), func(t *testing.T) {
			far := &lateDaemon{}
			far.up.Store(answers)
			far.overTime.Store(true)
			address := far.start(t)
			s := newSite(t, [2]string{good, good})
			var lines bytes.Buffer
			s.link.log = hclog.New(&hclog.LoggerOptions{Output: &lines})
			s.link.fleet = &farFleet{address: address}
			_, err := s.link.call(context.Background(), "far", address, &wire.ForwardRequest{})
			if err == nil {
				t.Fatal("the request was answered")
			}
			if got := s.lost(context.Background(), choose.Candidate{}, err).Kind; got != fault.DeadlineExceeded {
				t.Errorf("the request ended with %s", got)
			}
			for checked := false; !checked; time.Sleep(time.Millisecond) {
				s.link.mu.Lock()
				checked = len(s.link.doubted) == 0
				s.link.mu.Unlock()
			}
			if got := s.Picker.IsPathHeld("far"); got == answers {
				t.Errorf("path is held %v although the peer answers checks %v", got, answers)
			}
			if got := strings.Contains(lines.String(), "path failed: to=far"); got == answers {
				t.Errorf("log says %q", lines.String())
			}
		})
	}
}

// overdue is a request's context at the moment when its time has run out and its
// timer has not.
type overdue struct{ context.Context }

// Deadline implements context.Context.
func (overdue) Deadline() (time.Time, bool) { return time.Unix(1, 0), true }

// TestCheckOutlivesItsRequest covers requests whose time is that of the first
// check: their end is not taken for a peer that does not answer.
func TestCheckOutlivesItsRequest(t *testing.T) {
	for _, answers := range []bool{true, false} {
		far := &lateDaemon{}
		far.up.Store(answers)
		s := newSite(t, [2]string{good, good})
		client, err := s.Peers.Get(far.start(t))
		if err != nil {
			t.Fatal(err)
		}
		var cause error
		again := new(watch).check(overdue{context.Background()}, client, func(err error) { cause = err })
		if again != answers || (cause == nil) != answers {
			t.Errorf("peer answers %v: looks again %v, cause %v", answers, again, cause)
		}
	}
}

// TestFailedPathIsProbed covers a cut of seconds: after the first request that
// is lost, checks find out when the path works again.
func TestFailedPathIsProbed(t *testing.T) {
	far := &lateDaemon{}
	address := far.start(t)
	s := newSite(t, [2]string{good, good})
	s.link.fleet = &farFleet{address: address}
	if _, err := s.link.call(context.Background(), "far", address, &wire.ForwardRequest{}); err == nil {
		t.Fatal("a cut daemon answered")
	}
	if !s.Picker.IsPathBad(s.Clock.Now()+clock.Minute, "far") {
		t.Error("a path that nobody has tried since counts as well")
	}
	far.up.Store(true)
	for s.Picker.IsPathHeld("far") {
		time.Sleep(time.Millisecond)
	}
	if n := far.requests.Load(); n != 1 {
		t.Errorf("%d requests were spent on the cut path, want 1", n)
	}
}

// farFleet is a fleet of one far daemon.
type farFleet struct {
	lone

	address string
}

func (f *farFleet) Locate(ident.Instance) (string, ident.Incarnation, bool) {
	return f.address, 1, true
}
