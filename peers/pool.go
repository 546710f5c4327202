// Package peers manages the gRPC connections to other daemons and checks the
// fleet secret on the inner protocol. Connections open on demand and close when
// idle, because a daemon has thousands of peers but calls few of them at a time.
// The daemon and its entry use it.
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

// Pool holds one gRPC connection per address. It is safe for concurrent use.
type Pool struct {
	creds  credentials.TransportCredentials
	secret string

	mu    sync.RWMutex
	conns map[string]*grpc.ClientConn
}

// New returns an empty pool. Its clients send secret with every call.
func New(creds credentials.TransportCredentials, secret string) *Pool {
	return &Pool{creds: creds, secret: secret, conns: map[string]*grpc.ClientConn{}}
}

// Get returns a client for an address (ip:port). It creates the connection if
// there is none; the connection is opened by the first call.
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
		grpc.WithConnectParams(connectParams),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithUnaryInterceptor(p.addUnarySecret),
		grpc.WithStreamInterceptor(p.addStreamSecret),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	)
	if err != nil {
		return nil, errors.Wrapf(err, "inner address %q: give it as ip:port", address)
	}
	p.conns[address] = conn
	return wire.NewInnerClient(conn), nil
}

// Remove closes the connection to an address and removes it from the pool. It
// does nothing if there is no connection to that address.
func (p *Pool) Remove(address string) {
	p.mu.Lock()
	conn := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if conn != nil {
		go func() { _ = conn.Close() }()
	}
}

// Close closes all connections and empties the pool. It does not wait for that: closing
// blocks for seconds if the peer does not read.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns = map[string]*grpc.ClientConn{}
	p.mu.Unlock()
	for _, conn := range conns {
		go func() { _ = conn.Close() }()
	}
}

// addUnarySecret adds the fleet secret to the metadata of a unary call.
func (p *Pool) addUnarySecret(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn,
	invoke grpc.UnaryInvoker, opts ...grpc.CallOption,
) error {
	return invoke(metadata.AppendToOutgoingContext(ctx, secretHeader, p.secret), method, req, reply, cc, opts...)
}

// addStreamSecret adds the fleet secret to the metadata of a streaming call.
func (p *Pool) addStreamSecret(ctx context.Context, desc *grpc.StreamDesc, cc *grpc.ClientConn, method string,
	open grpc.Streamer, opts ...grpc.CallOption,
) (grpc.ClientStream, error) {
	return open(metadata.AppendToOutgoingContext(ctx, secretHeader, p.secret), desc, cc, method, opts...)
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
