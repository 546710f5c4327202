package guard

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
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
	// forgottenWithin is the time in which the other end resets a request on a
	// connection that it has forgotten: it needs no work for that.
	forgottenWithin = 50 * clock.Millisecond
	// distrustFor is how long connections are trusted for less rest after one
	// was forgotten, in milliseconds.
	distrustFor = 10 * clock.Second
	// restPart is the part, in hundredths, of a target's idle time-out after
	// which a connection is not used again.
	restPart = 80
	// longBody is the size from which a request's body is written while the
	// answer is read. Shorter ones fit the socket's buffer.
	longBody = 4 << 10
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
	// given tells that the watch for a first byte has ended the connection.
	given atomic.Bool
	// rest is how long the target keeps the connection idle, in milliseconds.
	rest clock.Millis
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
	dialect Dialect
	// keepAlive probes open connections.
	keepAlive bool
	clk       clock.Clock

	mu   sync.Mutex
	idle []*targetConn
	// trusted is the longest rest of a connection that is used again, until
	// distrusted is over.
	trusted    clock.Millis
	distrusted clock.Millis
}

func newConnPool(address string, cfg Config, clk clock.Clock) *connPool {
	return &connPool{address: address, dialect: cfg.Dialect, keepAlive: cfg.KeepAlive, clk: clk}
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
	now := p.clk.Now()
	most := c.rest
	if now < p.distrusted {
		most = min(most, p.trusted)
	}
	if now-c.parked > most {
		p.closeIdle()
		return nil
	}
	p.idle = p.idle[:n-1]
	return c
}

func (p *connPool) dial(ctx context.Context) (*targetConn, error) {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	if p.keepAlive {
		dial = func(ctx context.Context, _, address string) (net.Conn, error) {
			return sock.Dial(ctx, address, dialTimeout)
		}
	}
	raw, err := dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(errDial, err.Error())
	}
	c := &targetConn{Conn: raw, rest: idleLimit}
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

// distrust notes that the other end forgot a connection after a rest. One-time
// actions cannot be sent again, so the next ones use younger connections.
func (p *connPool) distrust(now, rest clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.distrusted {
		rest = min(rest, p.trusted)
	}
	p.trusted, p.distrusted = rest/2, now+distrustFor
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
	sent := p.clk.Now()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	whole, err := c.roundTrip(p.dialect, req, resp, maxBody, firstByte)
	stopped := stop()
	if err != nil {
		_ = c.Close()
		if c.reused && !c.gotByte.Load() && ctx.Err() == nil && p.clk.Now()-sent <= forgottenWithin {
			p.distrust(sent, sent-c.parked)
		}
		return p.explain(ctx, c, err)
	}
	if resp.ConnectionClose() || !stopped || !whole || c.given.Load() {
		_ = c.Close()
		return nil
	}
	c.rest = restOf(resp)
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

// restOf returns how long a target's connection may rest: shorter than the
// target says, so that no request meets the close.
func restOf(resp *fasthttp.Response) clock.Millis {
	said, ok := bytes.CutPrefix(resp.Header.Peek("Keep-Alive"), []byte("timeout="))
	if !ok {
		return idleLimit
	}
	said, _, _ = bytes.Cut(said, []byte(","))
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(said)))
	if err != nil || seconds < 1 {
		return idleLimit
	}
	return clock.Millis(seconds) * clock.Second * restPart / 100
}

// roundTrip writes the request and reads its answer. It reports whether the
// connection can be used again.
func (c *targetConn) roundTrip(d Dialect, req *fasthttp.Request, resp *fasthttp.Response, maxBody int, firstByte time.Duration) (bool, error) {
	if c.reused && firstByte > 0 {
		watch := time.AfterFunc(firstByte, func() {
			if !c.gotByte.Load() {
				c.given.Store(true)
				_ = c.SetDeadline(past)
			}
		})
		defer watch.Stop()
	}
	if len(req.Body()) > longBody {
		return c.roundTripLong(d, req, resp, maxBody)
	}
	if err := c.write(req); err != nil {
		return false, err
	}
	return c.readAnswer(d, req, resp, maxBody)
}

// roundTripLong writes the request while it reads the answer, since the target
// may answer before it has read a long body. A connection on which the rest of
// the body is due is closed.
func (c *targetConn) roundTripLong(d Dialect, req *fasthttp.Request, resp *fasthttp.Response, maxBody int) (bool, error) {
	written := make(chan error, 1)
	go func() { written <- c.write(req) }()
	framed, err := c.readAnswer(d, req, resp, maxBody)
	select {
	case writeErr := <-written:
		return framed && writeErr == nil, err
	default:
	}
	_ = c.Close()
	// The answer stands, whatever became of the rest of the body.
	<-written //nolint:errcheck // the connection is closed in any case
	return false, err
}

func (c *targetConn) write(req *fasthttp.Request) error {
	if err := req.Write(c.w); err != nil {
		return err
	}
	return c.w.Flush()
}

// Values of ContentLength in the HTTP library for a body without a length.
const (
	chunkedBody  = -1
	identityBody = -2
)

// maxStray bounds the answers to earlier requests that are passed over.
const maxStray = 4

// readAnswer reads the whole answer to a request and passes over those to
// other requests. It reports whether the answer's end was told by a length.
func (c *targetConn) readAnswer(d Dialect, req *fasthttp.Request, resp *fasthttp.Response, maxBody int) (framed bool, err error) {
	for range maxStray {
		framed, err = c.readOne(d, req, resp, maxBody)
		if err != nil || d.Attempt == "" || answers(d, req, resp) {
			return framed, err
		}
		if !framed {
			return false, errHalf
		}
		resp.Reset()
	}
	return false, errHalf
}

// answers reports whether an answer belongs to the request. A failure without
// an id is taken for the request's, since only answers to requests that ran
// are promised to bear one.
func answers(d Dialect, req *fasthttp.Request, resp *fasthttp.Response) bool {
	got := resp.Header.Peek(d.Attempt)
	if len(got) == 0 {
		return resp.StatusCode() >= fasthttp.StatusBadRequest
	}
	return bytes.Equal(got, req.Header.Peek(d.Attempt))
}

func (c *targetConn) readOne(d Dialect, req *fasthttp.Request, resp *fasthttp.Response, maxBody int) (framed bool, err error) {
	for {
		if err := resp.Header.Read(c.r); err != nil {
			return false, err
		}
		if resp.StatusCode() != fasthttp.StatusContinue {
			break
		}
	}
	if req.Header.IsHead() || resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return true, nil
	}
	length := resp.Header.ContentLength()
	if length == identityBody {
		if !d.Unframed {
			// Nothing proves that such an answer is whole.
			return false, errHalf
		}
		return false, c.readToEnd(resp, maxBody)
	}
	if err := resp.ReadBody(c.r, maxBody); err != nil {
		return false, err
	}
	if length == chunkedBody {
		return true, resp.Header.ReadTrailer(c.r)
	}
	return true, nil
}

// readToEnd reads a body that ends with its connection. A reset is an error.
func (c *targetConn) readToEnd(resp *fasthttp.Response, maxBody int) error {
	body, err := io.ReadAll(io.LimitReader(c.r, int64(maxBody)+1))
	if err != nil {
		return err
	}
	if len(body) > maxBody {
		return fasthttp.ErrBodyTooLarge
	}
	resp.SetBodyRaw(body)
	return nil
}
