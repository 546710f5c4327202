package daemon

import (
	"bytes"
	"io"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"

	"chestnutlatch/clock"
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

// callerConn applies the current caller limits to a connection. Except for Close
// and NetConn, it is not safe for concurrent use.
type callerConn struct {
	net.Conn
	clk      clock.Clock
	limits   func() record.CallerLimits
	timeouts readTimeouts
}

// NetConn returns the wrapped connection.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	l, now := c.limits(), c.clk.Now()
	if deadline, ok := c.timeouts.nextDeadline(now, l); ok {
		if err := c.Conn.SetReadDeadline(time.Now().Add((deadline - now).Duration())); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.timeouts.bytesReceived(c.clk.Now(), l)
	}
	if c.timeouts.phase == phaseIdle && errors.Is(err, os.ErrDeadlineExceeded) {
		// The connection is closed without an error response: a client that is
		// just sending a request could take it for the response to that request.
		return n, io.EOF
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The HTTP server calls it when it has read
// a request header.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.timeouts.phase = phaseBody
	return c.Conn.SetReadDeadline(t)
}

// interimPrefix starts an interim response, which is sent before the request
// body is read.
var interimPrefix = []byte("HTTP/1.1 100 ")

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	if !bytes.HasPrefix(b, interimPrefix) {
		c.timeouts.phase = phaseIdle
	}
	return c.Conn.Write(b)
}

// callerListener wraps accepted connections in callerConn.
type callerListener struct {
	net.Listener
	d *Daemon
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, clk: l.d.clk, limits: l.d.callerLimits}, nil
}

// callerLimits returns the limits on request bodies, header times and idle
// times: those of the configuration, or the daemon's defaults where it sets
// none. The body limit never exceeds readBodyFactor times max_request_bytes,
// because the daemon's memory takes precedence over the configuration. The entry
// refuses bodies above max_request_bytes once they have been read. The header size
// is limited by the entry and the read buffer.
func (d *Daemon) callerLimits() record.CallerLimits {
	l := d.table.CallerLimits()
	maxBody := readBodyFactor * d.cfg.MaxRequestBytes
	if l.MaxBodyBytes == 0 || l.MaxBodyBytes > maxBody {
		l.MaxBodyBytes = maxBody
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
