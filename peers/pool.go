// Package peers holds the connections to the inner protocol of other daemons.
// Connections open on demand and close when idle, since a daemon knows
// thousands of peers and talks to few of them at a time.
package peers

import (
	"context"
	"crypto/subtle"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"chestnutlatch/wire"
)

const (
	// idleTimeout closes a connection without calls.
	idleTimeout = time.Minute
	// bufferBytes is the size of a connection's read and write buffers.
	bufferBytes = 8 << 10
	// maxMessageBytes bounds one message of the inner protocol.
	maxMessageBytes = 32 << 20
	// secretHeader carries the fleet's secret.
	secretHeader = "x-fleet-secret"
)

// reconnect keeps the pauses between attempts short: a peer that starts again
// holds rate slots and tickets that are asked for at once.
var reconnect = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: time.Second,
}

// Pool holds one connection for each address. It is safe for concurrent use.
type Pool struct {
	creds  credentials.TransportCredentials
	secret string

	mu    sync.RWMutex
	conns map[string]*grpc.ClientConn
}

// New returns an empty pool. Every call carries the fleet's secret.
func New(creds credentials.TransportCredentials, secret string) *Pool {
	return &Pool{creds: creds, secret: secret, conns: map[string]*grpc.ClientConn{}}
}

// Get returns the client of an address.
func (p *Pool) Get(address string) (wire.InnerClient, error) {
	p.mu.RLock()
	conn := p.conns[address]
	p.mu.RUnlock()
	if conn != nil {
		return wire.NewInnerClient(conn), nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn = p.conns[address]; conn != nil {
		return wire.NewInnerClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.creds),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(reconnect),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithUnaryInterceptor(p.attach),
		grpc.WithStreamInterceptor(p.attachStream),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "inner address %q: give it as ip:port", address)
	}
	p.conns[address] = conn
	return wire.NewInnerClient(conn), nil
}

// Forget closes the connection to an address that is not used any more.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[address]; conn != nil {
		_ = conn.Close()
		delete(p.conns, address)
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, a)
	}
}

func (p *Pool) attach(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn,
	invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
) error {
	return invoke(metadata.AppendToOutgoingContext(ctx, secretHeader, p.secret), method, req, reply, cc, opts...)
}

func (p *Pool) attachStream(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string,
	open grpc.Streamer, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	return open(metadata.AppendToOutgoingContext(ctx, secretHeader, p.secret), desc, cc, method, opts...)
}

// ServerOptions returns the options of a daemon's inner server, which refuses
// calls without the fleet's secret.
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

func checkSecret(ctx context.Context, secret string) error {
	md, _ := metadata.FromIncomingContext(ctx)
	got := md.Get(secretHeader)
	if len(got) == 1 && subtle.ConstantTimeCompare([]byte(got[0]), []byte(secret)) == 1 {
		return nil
	}
	return status.Error(codes.Unauthenticated, "fleet secret does not match: set fleet_secret alike on every daemon")
}
