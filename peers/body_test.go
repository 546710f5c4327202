package peers

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"chestnutlatch/clock"
	"chestnutlatch/memory"
	"chestnutlatch/wire"
)

// countingServer counts the calls that it reads.
type countingServer struct {
	wire.UnimplementedInnerServer

	calls atomic.Int64
}

func (s *countingServer) Forward(context.Context, *wire.ForwardRequest) (*wire.ForwardReply, error) {
	s.calls.Add(1)
	return &wire.ForwardReply{}, nil
}

// fixedMemory admits bodies while fewer than limit bytes are taken.
type fixedMemory struct {
	limit int64
	used  atomic.Int64
}

func (m *fixedMemory) TakeBody(n int64) (func(), bool) {
	if m.used.Add(n) > m.limit {
		m.used.Add(-n)
		return nil, false
	}
	return func() { m.used.Add(-n) }, true
}

// TestAnnouncedBodies guards against a call whose body is read although there is no
// memory for it, memory that is not given back, a caller without the secret that takes
// memory, and another error that counts as a refusal before the call was read.
func TestAnnouncedBodies(t *testing.T) {
	server, m := &countingServer{}, &fixedMemory{limit: 200 << 10}
	srv := grpc.NewServer(append(ServerOptions(insecure.NewCredentials(), "secret"), CheckBodies(m, "secret"))...)
	wire.RegisterInnerServer(srv, server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(srv.Stop)
	call := func(secret string, size int) error {
		pool := New(insecure.NewCredentials(), secret, clock.NewSystem(), hclog.NewNullLogger())
		defer pool.Close()
		client, err := pool.Get(l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, err = client.Forward(AnnounceBody(context.Background(), size), &wire.ForwardRequest{Body: make([]byte, size)})
		return err
	}
	for _, tt := range []struct {
		secret  string
		size    int
		refused bool
		calls   int64
	}{
		{"secret", memory.SmallBytes, false, 1},
		{"secret", 150 << 10, false, 2},
		{"secret", 300 << 10, true, 2},
		{"secret", 150 << 10, false, 3},
		{"wrong", 150 << 10, false, 3},
	} {
		err := call(tt.secret, tt.size)
		if IsBodyRefused(err) != tt.refused || server.calls.Load() != tt.calls || (status.Code(err) == codes.Unauthenticated) != (tt.secret == "wrong") {
			t.Errorf("%d bytes with secret %q: %v, %d calls", tt.size, tt.secret, err, server.calls.Load())
		}
		for end := time.Now().Add(5 * time.Second); m.used.Load() != 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes are still taken", m.used.Load())
			}
		}
	}
	if IsBodyRefused(status.Error(codes.ResourceExhausted, "grpc: received message larger than max")) {
		t.Error("the library's refusal of a reply counts as a refusal of the body")
	}
}
