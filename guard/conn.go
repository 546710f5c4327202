package guard

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
	"chestnutlatch/sock"
)

const (
	// idleLimit is how long a connection to a target may rest before it is
	// replaced, in milliseconds. It is short, so that few requests meet a
	// connection that the other end has forgotten.
	idleLimit = 4 * clock.Second
	// dialTimeout bounds a new connection to a target.
	dialTimeout = time.Second
)

// Errors of one exchange with a target.
var (
	// errDial reports that no byte left for the target.
	errDial = errors.New("target refused the connection")
	// errHalf reports an answer that broke off or has no provable length.
	errHalf = errors.New("answer is not whole")
	// errTooLarge reports an answer over the limit.
	errTooLarge = errors.New("answer is too large")
	// errSilent reports a reused connection that gave no byte.
	errSilent = errors.New("connection is silent")
	// errTimeout reports a target that did not answer in time.
	errTimeout = errors.New("target did not answer in time")
	// errCanceled reports that the caller went away.
	errCanceled = errors.New("caller went away")
)

// targetConn is one connection to a target.
type targetConn struct {
	net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	parked clock.Millis
	// reused tells that an earlier exchange succeeded on the connection.
	reused bool
	// gotByte tells that the current exchange read something.
	gotByte atomic.Bool
}

// Read notes that the other end is alive.
func (c *targetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.gotByte.Store(true)
	}
	return n, err
}

// connPool keeps the idle connections to one target, newest last.
type connPool struct {
	address string
	clk     clock.Clock

	mu   sync.Mutex
	idle []*targetConn
}

func newConnPool(address string, clk clock.Clock) *connPool {
	return &connPool{address: address, clk: clk}
}

// get returns the newest idle connection that is fit for another exchange, or
// a new one.
func (p *connPool) get(ctx context.Context) (*targetConn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if c.isFit() {
			return c, nil
		}
		_ = c.Close()
	}
}

// isFit reports whether nothing came over the resting connection. Bytes that
// nobody asked for belong to no request; the next answer would be mistaken.
func (c *targetConn) isFit() bool {
	return c.r.Buffered() == 0 && sock.Look(c.Conn) == sock.Quiet
}

func (p *connPool) pop() *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	if p.clk.Now()-c.parked > idleLimit {
		p.closeIdle()
		return nil
	}
	p.idle = p.idle[:n-1]
	return c
}

func (p *connPool) dial(ctx context.Context) (*targetConn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	raw, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(errDial, err.Error())
	}
	c := &targetConn{Conn: raw}
	c.r = bufio.NewReader(c)
	c.w = bufio.NewWriter(raw)
	return c, nil
}

func (p *connPool) put(c *targetConn) {
	c.parked = p.clk.Now()
	c.reused = true
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// closeAll drops the idle connections.
func (p *connPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

func (p *connPool) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// past is a deadline that has gone by.
var past = time.Unix(1, 0)

// exchange sends a request and reads the whole answer. When ctx ends, the
// connection is closed, which tells the target that the request is canceled.
// A reused connection that gives no byte within firstByte is given up.
func (p *connPool) exchange(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, maxBody int, firstByte time.Duration) error {
	c, err := p.get(ctx)
	if err != nil {
		return err
	}
	c.gotByte.Store(false)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	err = c.roundTrip(req, resp, maxBody, firstByte)
	stopped := stop()
	if err != nil {
		_ = c.Close()
		return p.explain(ctx, c, err)
	}
	if resp.ConnectionClose() || !stopped {
		_ = c.Close()
		return nil
	}
	p.put(c)
	return nil
}

// explain turns a failed round trip into one of this file's errors.
func (p *connPool) explain(ctx context.Context, c *targetConn, err error) error {
	silent := c.reused && !c.gotByte.Load()
	if silent {
		// Whatever forgot this connection may have forgotten its siblings.
		p.closeAll()
	}
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errTooLarge
	case errors.Is(ctx.Err(), context.Canceled):
		return errCanceled
	case silent:
		return errSilent
	case ctx.Err() != nil:
		return errTimeout
	case c.gotByte.Load():
		return errHalf
	default:
		return errors.Wrap(errHalf, err.Error())
	}
}

func (c *targetConn) roundTrip(req *fasthttp.Request, resp *fasthttp.Response, maxBody int, firstByte time.Duration) error {
	if c.reused && firstByte > 0 {
		watch := time.AfterFunc(firstByte, func() {
			if !c.gotByte.Load() {
				_ = c.SetDeadline(past)
			}
		})
		defer watch.Stop()
	}
	if err := req.Write(c.w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	return c.readAnswer(req, resp, maxBody)
}

// Values of ContentLength in the HTTP library for a body without a length.
const (
	chunkedBody  = -1
	identityBody = -2
)

// readAnswer reads a whole answer. A body whose end is only the end of the
// connection is refused, since nothing proves that it is whole.
func (c *targetConn) readAnswer(req *fasthttp.Request, resp *fasthttp.Response, maxBody int) error {
	for {
		if err := resp.Header.Read(c.r); err != nil {
			return err
		}
		if resp.StatusCode() != fasthttp.StatusContinue {
			break
		}
	}
	if req.Header.IsHead() || resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return nil
	}
	length := resp.Header.ContentLength()
	if length == identityBody {
		return errHalf
	}
	if err := resp.ReadBody(c.r, maxBody); err != nil {
		return err
	}
	if length == chunkedBody {
		return resp.Header.ReadTrailer(c.r)
	}
	return nil
}
