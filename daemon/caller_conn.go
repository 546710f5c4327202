package daemon

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
	"chestnutlatch/memory"
	"chestnutlatch/meter"
	"chestnutlatch/record"
	"chestnutlatch/wire"
)

const (
	// defaultIdleTimeout is how long a caller's connection may stay idle if the
	// configuration sets no limit. Common clients keep idle connections for as long.
	defaultIdleTimeout = clock.Minute
	// platformHeaderBytes is the largest request header on a platform. Without a
	// platform, the HTTP library's limit of 4 KiB applies.
	platformHeaderBytes = 64 << 10
	// plainHeaderBytes is the read buffer without a platform, the HTTP library's default.
	plainHeaderBytes = 4 << 10
	// headCopies is how often the HTTP library and the entry hold the bytes of a head
	// beside the read buffer: 2,000 connections with heads of 60 KiB took 410 MB.
	headCopies = 3
	// refusalTime bounds the reading of the input of a connection that is refused.
	refusalTime = 50 * time.Millisecond
	// writePieceBytes is how much a caller must take of an answer in write_timeout_ms.
	writePieceBytes = 64 << 10
	// lastAcceptTime is how long a stopping daemon still accepts connections of
	// callers that have not yet noticed.
	lastAcceptTime = 50 * time.Millisecond
	// queueCheckTime is how long the listen queue must then stay empty before the listener
	// is closed, and maxAcceptTime limits all of this from the beginning.
	queueCheckTime = 5 * time.Millisecond
	maxAcceptTime  = 200 * time.Millisecond
)

// exchangePhase is the part of an HTTP exchange that a connection is in.
type exchangePhase int

// Phases of an exchange.
const (
	// phaseIdle lasts until the first byte of a request arrives.
	phaseIdle exchangePhase = iota
	// phaseHeader lasts until the request header is complete.
	phaseHeader
	// phaseBody lasts until the first write of the response; interim responses do
	// not count.
	phaseBody
)

// readTimeouts limits the idle time of a connection and the time for reading a
// request header. The header's deadline is fixed by its first byte, so sending
// the header byte by byte does not extend it.
type readTimeouts struct {
	phase exchangePhase
	// deadline is when the phase must end. phaseBody has no deadline here.
	deadline clock.Millis
}

// nextDeadline returns the deadline of the next read; ok is false if there is none.
func (t *readTimeouts) nextDeadline(now clock.Millis, l record.CallerLimits) (deadline clock.Millis, ok bool) {
	if t.phase == phaseIdle {
		t.deadline = now + l.IdleTimeout
	}
	return t.deadline, t.phase != phaseBody
}

// bytesReceived starts the header phase with the first bytes of a request.
func (t *readTimeouts) bytesReceived(now clock.Millis, l record.CallerLimits) {
	if t.phase == phaseIdle {
		t.phase, t.deadline = phaseHeader, now+l.HeaderTimeout
	}
}

// callerConn applies the current caller limits to a connection. Except for Close,
// NetConn, InterruptRead, InterruptWrite, ReadClosed, end and endIdle, it is not safe for concurrent use.
type callerConn struct {
	net.Conn
	clk      clock.Clock
	limits   func() record.CallerLimits
	timeouts readTimeouts
	// writeTimeout limits the writing of writePieceBytes; 0 means no limit.
	writeTimeout time.Duration
	// writeEnded is true after InterruptWrite.
	writeEnded atomic.Bool
	// answer is the answer that is held until it is written; nil if there is none.
	answer atomic.Pointer[heldAnswer]
	// onClose is called when the connection is closed; nil if nothing is to be done.
	onClose func()
	// inRequest is true from the first bytes of a request to the first ones of its
	// response.
	inRequest atomic.Bool
	// readClosed is true after endIdle has closed the reading side.
	readClosed atomic.Bool
	// readEnded is true from endReading until the next read fails.
	readEnded atomic.Bool
	// buffers counts the buffers of the connection in slot; nil if they are not counted.
	buffers *callerBuffers
	slot    *memory.Conn
	// headBytes is the number of bytes that were read of the present head.
	headBytes int
}

// callerBuffers counts the buffers of callers' connections.
type callerBuffers struct {
	conns *memory.Conns
	// readBuffer is the size of a connection's read buffer.
	readBuffer int
	// refusal is the answer to a request for which there is no room; empty if the
	// connection is closed without one, because it is encrypted.
	refusal []byte
	meter   *meter.Meter
}

// take takes the buffers for the bytes of a head. isFirst is true for the first ones.
func (c *callerConn) take(now clock.Millis, isFirst bool) bool {
	// Encrypted bytes of a body may count as those of a head, which is no longer than the
	// read buffer.
	n := int64(c.buffers.readBuffer + headCopies*min(c.headBytes, c.buffers.readBuffer))
	if isFirst {
		return c.buffers.conns.Begin(now, c.slot, n)
	}
	return c.buffers.conns.Grow(now, c.slot, n)
}

// enter records a phase of the connection in its buffers.
func (c *callerConn) enter(phase memory.ConnPhase) {
	if c.buffers != nil {
		c.buffers.conns.Enter(c.clk.Now(), c.slot, phase)
	}
}

// progress records that n bytes were read or written.
func (c *callerConn) progress(n int) {
	if c.buffers != nil && n > 0 {
		c.buffers.conns.Progress(c.clk.Now(), c.slot, n)
	}
}

// RequestRead records that the present request is complete. From then on it may run, and
// the connection is not ended to make room.
func (c *callerConn) RequestRead() { c.enter(memory.ConnPhaseServing) }

// end ends the connection to make room for another one. Other goroutines call it.
func (c *callerConn) end(phase memory.ConnPhase) {
	c.buffers.meter.CountBody("connection_ended", phase.String())
	switch phase {
	case memory.ConnPhaseIdle:
		c.endIdle()
	case memory.ConnPhaseReading:
		c.endReading()
	case memory.ConnPhaseWriting:
		c.InterruptWrite()
	case memory.ConnPhaseServing:
	}
}

// endReading makes the reading of the present request fail as too slow.
func (c *callerConn) endReading() {
	c.readEnded.Store(true)
	c.InterruptRead()
}

// refuse answers a request for which there is no room, and discards what has arrived of
// it: unread input would reset the connection before the caller has read the answer.
func (c *callerConn) refuse() {
	c.buffers.meter.CountBody("connection_refused", memory.ReasonFull.String())
	// The server may answer the head that it could not read, too.
	c.writeEnded.Store(true)
	if len(c.buffers.refusal) == 0 {
		return
	}
	end := time.Now().Add(refusalTime)
	if c.SetDeadline(end) != nil {
		return
	}
	if _, err := c.Conn.Write(c.buffers.refusal); err != nil {
		return
	}
	var buf [1 << 10]byte
	for time.Now().Before(end) {
		if _, err := c.Conn.Read(buf[:]); err != nil {
			return
		}
	}
}

// NetConn returns the wrapped connection.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	wasIdle := c.timeouts.phase == phaseIdle
	if wasIdle {
		c.releaseAnswer()
		c.enter(memory.ConnPhaseIdle)
		c.headBytes = 0
	}
	l, now := c.limits(), c.clk.Now()
	if deadline, ok := c.timeouts.nextDeadline(now, l); ok {
		if err := c.Conn.SetReadDeadline(time.Now().Add((deadline - now).Duration())); err != nil {
			return 0, err
		}
	}
	n, err := 0, os.ErrDeadlineExceeded
	if !c.readEnded.Load() {
		n, err = c.Conn.Read(b)
	}
	if c.readEnded.Load() && (n == 0 || c.timeouts.phase != phaseBody) {
		n, err = 0, os.ErrDeadlineExceeded
		c.readEnded.Store(false)
	}
	if wasIdle && c.writeEnded.Load() {
		// A request could be served, but not answered.
		return 0, io.EOF
	}
	if n > 0 {
		c.inRequest.Store(true)
		c.timeouts.bytesReceived(c.clk.Now(), l)
		if !c.count(n, wasIdle) {
			c.refuse()
			return 0, io.EOF
		}
	}
	if c.timeouts.phase == phaseIdle && errors.Is(err, os.ErrDeadlineExceeded) {
		// The connection is closed without an error response: a client that is
		// just sending a request could take it for the response to that request.
		return n, io.EOF
	}
	return n, err
}

// count counts n bytes that were read, which are the first ones of a request if isFirst.
// It reports whether there is room for them.
func (c *callerConn) count(n int, isFirst bool) bool {
	if c.buffers == nil {
		return true
	}
	if c.timeouts.phase != phaseBody {
		c.headBytes += n
		if !c.take(c.clk.Now(), isFirst) {
			return false
		}
	}
	c.progress(n)
	return true
}

// SetReadDeadline implements net.Conn. The HTTP server calls it when it has read
// a request header. If requests are pipelined, it has not called Read since it wrote
// the last answer.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.timeouts.phase = phaseBody
	c.releaseAnswer()
	c.enter(memory.ConnPhaseReading)
	return c.Conn.SetReadDeadline(t)
}

// interimPrefix starts an interim response, which is sent before the request
// body is read.
var interimPrefix = []byte("HTTP/1.1 100 ")

// heldAnswer is an answer whose memory is counted until it is written.
type heldAnswer struct {
	// progress is called with the number of bytes that were written.
	progress func(n int)
	release  func()
}

// HoldAnswer calls progress while the present answer is written, and release, once, when
// it is written or the connection ends.
func (c *callerConn) HoldAnswer(progress func(n int), release func()) {
	c.releaseAnswer()
	c.answer.Store(&heldAnswer{progress, release})
}

func (c *callerConn) releaseAnswer() {
	if a := c.answer.Swap(nil); a != nil {
		a.release()
	}
}

// InterruptWrite ends a blocked write. Other goroutines may call it.
func (c *callerConn) InterruptWrite() {
	c.writeEnded.Store(true)
	_ = c.SetWriteDeadline(time.Unix(1, 0))
}

// Write implements net.Conn. It writes in pieces, each with its own time limit, so that
// a caller may read a long answer for as long as it reads at all.
func (c *callerConn) Write(b []byte) (int, error) {
	if !bytes.HasPrefix(b, interimPrefix) {
		c.timeouts.phase = phaseIdle
		c.inRequest.Store(false)
		c.enter(memory.ConnPhaseWriting)
	}
	total := 0
	for {
		if c.writeTimeout > 0 {
			if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
				return total, err
			}
		}
		if c.writeEnded.Load() {
			return total, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Write(b[total:min(total+writePieceBytes, len(b))])
		total += n
		c.progress(n)
		if a := c.answer.Load(); a != nil {
			a.progress(n)
		}
		if err != nil || total == len(b) {
			return total, err
		}
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.releaseAnswer()
	if c.onClose != nil {
		c.onClose()
	}
	return c.Conn.Close()
}

// InterruptRead ends a blocked read of a request's body. Other goroutines may call it;
// SetReadDeadline is only for the one that serves the connection.
func (c *callerConn) InterruptRead() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// ReadClosed reports whether this daemon, not the caller, closed the reading side.
func (c *callerConn) ReadClosed() bool { return c.readClosed.Load() }

// endIdle closes the reading side unless a request is being read or served. Bytes that
// have arrived are still read, so a request among them is served; then the server
// reads the end and closes the connection.
func (c *callerConn) endIdle() {
	if c.inRequest.Load() || c.readClosed.Swap(true) {
		return
	}
	if half, ok := c.Conn.(interface{ CloseRead() error }); ok {
		_ = half.CloseRead()
		return
	}
	_ = c.Conn.Close()
}

// callerListener wraps accepted connections in callerConn and can end them without
// losing requests. It is safe for concurrent use.
type callerListener struct {
	net.Listener
	clk    clock.Clock
	limits func() record.CallerLimits
	// writeTimeout is that of the connections.
	writeTimeout time.Duration
	// buffers counts the buffers of the connections; nil if they are not counted.
	buffers *callerBuffers
	// stopping is set when no more connections are expected.
	stopping atomic.Bool
	// acceptEnd is when the last connection is accepted. It is set before stopping.
	acceptEnd time.Time
	closeOnce sync.Once
	closeErr  error

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

func newCallerListener(l net.Listener, clk clock.Clock, limits func() record.CallerLimits) *callerListener {
	return &callerListener{Listener: l, clk: clk, limits: limits, conns: map[*callerConn]struct{}{}}
}

// Accept implements net.Listener. After stop, it closes the listener and returns io.EOF
// once no connection waits any more. The system would accept further connections on an
// open listener, and reset them when the process ends.
func (l *callerListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil && l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		if raw, err = l.acceptWaiting(); err != nil {
			_ = l.Close()
			return nil, io.EOF
		}
	}
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: raw, clk: l.clk, limits: l.limits, writeTimeout: l.writeTimeout, buffers: l.buffers}
	if l.buffers != nil {
		c.slot = l.buffers.conns.Open(l.clk.Now(), c.end)
	}
	c.onClose = func() {
		if l.buffers != nil {
			l.buffers.conns.Close(c.slot)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// acceptWaiting accepts a connection that waits in the listen queue although the time for
// accepting is over. It returns an error if there is none.
func (l *callerListener) acceptWaiting() (net.Conn, error) {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || time.Now().After(l.acceptEnd) {
		return nil, os.ErrDeadlineExceeded
	}
	if err := d.SetDeadline(time.Now().Add(queueCheckTime)); err != nil {
		return nil, err
	}
	return l.Listener.Accept()
}

// Close implements net.Listener. Only the first call closes the listener: the server closes
// it again when it shuts down.
func (l *callerListener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// stop accepts the connections that wait in the listen queue or arrive within
// lastAcceptTime, and ends those on which no request is in progress. It returns when
// every connection is closed or ctx ends.
func (l *callerListener) stop(ctx context.Context) {
	l.acceptEnd = time.Now().Add(maxAcceptTime)
	l.stopping.Store(true)
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = d.SetDeadline(time.Now().Add(lastAcceptTime))
	}
	sleep(ctx, lastAcceptTime)
	for l.endIdleConns() > 0 && ctx.Err() == nil {
		sleep(ctx, idlePollInterval)
	}
}

// endIdleConns ends the connections without a request in progress and returns the
// number of connections that were open.
func (l *callerListener) endIdleConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.endIdle()
	}
	return len(l.conns)
}

// callerLimits returns the limits on request bodies, header times and idle
// times: those of the configuration, or the daemon's defaults where it sets
// none. The body limit never exceeds max_request_bytes, because the daemon's memory
// takes precedence over the configuration. The entry enforces it, while it reads the
// body. The header size is limited by the entry and the read buffer.
func (d *Daemon) callerLimits() record.CallerLimits {
	l := d.table.CallerLimits()
	if l.MaxBodyBytes == 0 || l.MaxBodyBytes > d.cfg.MaxRequestBytes {
		l.MaxBodyBytes = d.cfg.MaxRequestBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = d.cfg.ReadTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

func limitsToWire(l record.CallerLimits) *wire.CallerLimits {
	return &wire.CallerLimits{
		HeadBytes: uint64(l.MaxHeaderBytes), BodyBytes: uint64(l.MaxBodyBytes), HeadTimeMs: uint64(l.HeaderTimeout), IdleTimeMs: uint64(l.IdleTimeout),
	}
}

func limitsFromWire(l *wire.CallerLimits) record.CallerLimits {
	return record.CallerLimits{
		MaxHeaderBytes: int(l.GetHeadBytes()), MaxBodyBytes: int(l.GetBodyBytes()),
		HeaderTimeout: clock.Millis(l.GetHeadTimeMs()), IdleTimeout: clock.Millis(l.GetIdleTimeMs()),
	}
}
