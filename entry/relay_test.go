package entry

import (
	"context"
	"net"
	"sync"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

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
