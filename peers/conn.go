package peers

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"chestnutlatch/clock"
	"chestnutlatch/wire"
)

const (
	// minSilence is how long a call must have waited, in milliseconds, before its timeout
	// makes the connection suspect.
	minSilence = 100 * clock.Millisecond
	// checkTimeout limits one check of a suspect connection. It allows for a lost packet
	// while the new connection opens.
	checkTimeout = 3 * time.Second
	// maxChecks bounds the checks that run at a time: when a region is lost, all connections
	// there become suspect, and a check holds a connection of its own.
	maxChecks = 16
)

// conn is one connection to a peer, which all calls to it share. It is safe for concurrent
// use.
//
// No call ends the connection of the others. The pool replaces a connection only once a new
// one has answered while this one delivered nothing, and the calls that run on the old one
// may then still end.
type conn struct {
	pool    *Pool
	address string
	cc      *grpc.ClientConn
	// heardAt is the time at which bytes last arrived, on the pool's clock.
	heardAt atomic.Int64
	// isChecking is true while check runs.
	isChecking atomic.Bool

	mu sync.Mutex
	// calls is the number of running calls.
	calls int
	// retired is true once the pool has no more use for the connection. It is then closed
	// when calls is 0.
	retired bool
}

var _ grpc.ClientConnInterface = (*conn)(nil)

// dial opens the TCP connection and records when bytes arrive on it.
func (c *conn) dial(ctx context.Context, address string) (net.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &heardConn{Conn: raw, owner: c}, nil
}

// heardConn is a TCP connection that tells its owner when bytes arrive.
type heardConn struct {
	net.Conn

	owner *conn
}

// Read implements net.Conn.
func (h *heardConn) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n > 0 {
		h.owner.heardAt.Store(int64(h.owner.pool.clk.Now()))
	}
	return n, err
}

// begin counts a call. It returns false if the connection is closed.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired && c.calls == 0 {
		return false
	}
	c.calls++
	return true
}

// end ends a call that began at startedAt. A timeout on a connection that delivered nothing
// meanwhile starts a check.
func (c *conn) end(startedAt clock.Millis, err error) {
	if status.Code(err) == codes.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded) {
		c.suspect(startedAt)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls--; c.calls == 0 && c.retired {
		c.close()
	}
}

// retire closes the connection when its calls have ended.
func (c *conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return
	}
	c.retired = true
	if c.calls == 0 {
		c.close()
	}
}

// close closes the connection without waiting: closing blocks for seconds if the peer does
// not read.
func (c *conn) close() {
	go func() { _ = c.cc.Close() }()
}

// isSilentSince reports whether no bytes have arrived since a time.
func (c *conn) isSilentSince(at clock.Millis) bool { return clock.Millis(c.heardAt.Load()) < at }

// suspect starts a check if the connection is in use and silent since a time, none runs, and
// there are fewer than maxChecks on others.
func (c *conn) suspect(since clock.Millis) {
	if c.pool.clk.Now()-since < minSilence || !c.isSilentSince(since) || !c.pool.has(c) || !c.isChecking.CompareAndSwap(false, true) {
		return
	}
	if c.pool.checks.Add(1) > maxChecks {
		c.pool.checks.Add(-1)
		c.isChecking.Store(false)
		return
	}
	go func() {
		defer c.pool.checks.Add(-1)
		defer c.isChecking.Store(false)
		c.check(since)
	}()
}

// check pings the peer over a new connection. If the peer answers there and this connection
// is still silent, the connection has failed and not the path or the peer, and the new one
// replaces it.
func (c *conn) check(since clock.Millis) {
	next, err := c.pool.open(c.address)
	if err != nil {
		c.pool.log.Error("cannot check a silent connection to a peer", "address", c.address, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	_, err = wire.NewInnerClient(next).Ping(ctx, &wire.PingRequest{}, grpc.WaitForReady(true))
	if err != nil || !c.isSilentSince(since) || !c.pool.replace(c, next) {
		next.retire()
		return
	}
	c.pool.log.Info("replaced a silent connection to a peer", "address", c.address, "silent_ms", int64(c.pool.clk.Now()-since))
	c.retire()
}

// withSecret adds the fleet secret to the metadata of a call.
func (c *conn) withSecret(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, secretHeader, c.pool.secret)
}

// Invoke implements grpc.ClientConnInterface.
func (c *conn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	c, err := c.pool.acquire(c)
	if err != nil {
		return err
	}
	startedAt := c.pool.clk.Now()
	err = c.cc.Invoke(c.withSecret(ctx), method, args, reply, opts...)
	c.end(startedAt, err)
	return err
}

// NewStream implements grpc.ClientConnInterface.
func (c *conn) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	c, err := c.pool.acquire(c)
	if err != nil {
		return nil, err
	}
	startedAt := c.pool.clk.Now()
	var once sync.Once
	end := grpc.OnFinish(func(err error) { once.Do(func() { c.end(startedAt, err) }) })
	return c.cc.NewStream(c.withSecret(ctx), desc, method, append(opts, end)...)
}
