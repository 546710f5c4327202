// Package peers manages the gRPC connections to other daemons and checks the
// fleet secret on the inner protocol. Connections open on demand and close when
// idle, because a daemon has thousands of peers but calls few of them at a time.
// The daemon and its entry use it.
package peers

import (
	"context"
	"crypto/subtle"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"chestnutlatch/clock"
	"chestnutlatch/wire"
)

const (
	// idleTimeout is how long a connection without calls stays open.
	idleTimeout = time.Minute
	// bufferBytes is the size of a connection's read buffer and of its write
	// buffer.
	bufferBytes = 8 << 10
	// maxMessageBytes is the maximum size of one message of the inner protocol.
	maxMessageBytes = 32 << 20
	// secretHeader is the metadata key of the fleet secret.
	secretHeader = "x-fleet-secret"
)

// connectParams keeps the backoff between connection attempts short, because other
// daemons request rate tokens and tickets from a restarted peer immediately.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: time.Second,
}

// errPoolClosed is the error of a call after Close.
var errPoolClosed = errors.New("connections to peers are closed")

// Pool holds one gRPC connection per address, and replaces those that have gone silent. It
// is safe for concurrent use.
type Pool struct {
	creds  credentials.TransportCredentials
	secret string
	clk    clock.Clock
	log    hclog.Logger
	// checks is the number of running checks of silent connections.
	checks atomic.Int32
	// replaced counts the silent connections that were replaced.
	replaced atomic.Int64

	mu sync.RWMutex
	// conns holds the connection that new calls to an address use.
	conns map[string]*conn
	// closed is set by Close. No connection is opened then.
	closed bool
}

// New returns an empty pool. Its clients send secret with every call.
func New(creds credentials.TransportCredentials, secret string, clk clock.Clock, log hclog.Logger) *Pool {
	return &Pool{creds: creds, secret: secret, clk: clk, log: log, conns: map[string]*conn{}}
}

// Get returns a client for an address (ip:port). It creates the connection if
// there is none; the connection is opened by the first call. While a call runs, further
// calls of the client use the same connection.
func (p *Pool) Get(address string) (wire.InnerClient, error) {
	c, err := p.get(address)
	if err != nil {
		return nil, err
	}
	return wire.NewInnerClient(c), nil
}

func (p *Pool) get(address string) (*conn, error) {
	p.mu.RLock()
	c := p.conns[address]
	p.mu.RUnlock()
	if c != nil {
		return c, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c = p.conns[address]; c != nil {
		return c, nil
	}
	if p.closed {
		return nil, errPoolClosed
	}
	c, err := p.open(address)
	if err != nil {
		return nil, err
	}
	p.conns[address] = c
	return c, nil
}

// open returns a new connection that is not in the pool.
func (p *Pool) open(address string) (*conn, error) {
	c := &conn{pool: p, address: address}
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.creds),
		grpc.WithContextDialer(c.dial),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(connectParams),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "inner address %q: give it as ip:port", address)
	}
	c.cc = cc
	return c, nil
}

// acquire counts a call on a connection, or on the present one to the same address if the
// connection is closed by now. The caller ends the call with conn.end.
func (p *Pool) acquire(c *conn) (*conn, error) {
	for !c.begin() {
		next, err := p.get(c.address)
		if err != nil {
			return nil, err
		}
		c = next
	}
	return c, nil
}

// has reports whether new calls to an address use a connection.
func (p *Pool) has(c *conn) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.conns[c.address] == c
}

// replace puts a new connection in the place of an old one. It returns false if the old one
// is not in the pool any more.
func (p *Pool) replace(old, next *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.conns[old.address] != old {
		return false
	}
	p.conns[old.address] = next
	p.replaced.Add(1)
	return true
}

// Replaced returns the number of silent connections that were replaced.
func (p *Pool) Replaced() int64 { return p.replaced.Load() }

// Remove removes the connection to an address from the pool and closes it when its calls
// have ended. It does nothing if there is no connection to that address.
func (p *Pool) Remove(address string) {
	p.mu.Lock()
	c := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if c != nil {
		c.retire()
	}
}

// Close closes all connections, also those with running calls, and empties the pool. It
// does not wait for that.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns, p.closed = map[string]*conn{}, true
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// ServerOptions returns the gRPC options for a daemon's inner server. The server
// rejects calls without the right secret with codes.Unauthenticated.
func ServerOptions(creds credentials.TransportCredentials, secret string) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferBytes),
		grpc.WriteBufferSize(bufferBytes),
		grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
			if err := checkSecret(ctx, secret); err != nil {
				return nil, err
			}
			return next(ctx, req)
		}),
		grpc.StreamInterceptor(func(srv any, s grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
			if err := checkSecret(s.Context(), secret); err != nil {
				return err
			}
			return next(srv, s)
		}),
	}
}

var errWrongSecret = status.Error(codes.Unauthenticated, "fleet secret does not match: set fleet_secret alike on every daemon")

// checkSecret returns codes.Unauthenticated unless the call carries secret.
func checkSecret(ctx context.Context, secret string) error {
	if md, _ := metadata.FromIncomingContext(ctx); !hasSecret(md, secret) {
		return errWrongSecret
	}
	return nil
}

// hasSecret reports whether the metadata of a call carries secret. It compares in
// constant time.
func hasSecret(md metadata.MD, secret string) bool {
	values := md.Get(secretHeader)
	return len(values) == 1 && subtle.ConstantTimeCompare([]byte(values[0]), []byte(secret)) == 1
}
