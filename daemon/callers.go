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
	// restTime is how long a caller's connection may rest without the
	// operators' word, in milliseconds: as long as common clients keep theirs.
	restTime = clock.Minute
	// maxHead is the largest head of a request on a platform, in bytes; the
	// product's own interface has the HTTP library's 4 KiB.
	maxHead = 64 << 10
)

// part is what is due next on a caller's connection.
type part int

// Parts of an exchange.
const (
	// partRest waits for the first byte of a request.
	partRest part = iota
	// partHead waits for the rest of the head.
	partHead
	// partBody is everything up to the answer.
	partBody
)

// pace bounds how long a caller may rest and take for a head. A caller that
// drips a head byte by byte gains no time with each of them.
type pace struct {
	part part
	// until is when the part's time is over; partBody has no bound of its own.
	until clock.Millis
}

// read returns when the next reading must end, and whether it is bounded here.
func (p *pace) read(now clock.Millis, l record.CallerLimits) (until clock.Millis, ok bool) {
	if p.part == partRest {
		p.until = now + l.IdleTime
	}
	return p.until, p.part != partBody
}

// got notes that bytes came.
func (p *pace) got(now clock.Millis, l record.CallerLimits) {
	if p.part == partRest {
		p.part, p.until = partHead, now+l.HeadTime
	}
}

// callerConn is a caller's connection under the limits in force. One goroutine
// at a time uses it, but for Close.
type callerConn struct {
	net.Conn
	clk    clock.Clock
	limits func() record.CallerLimits
	pace   pace
}

// NetConn returns the connection underneath.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	l, now := c.limits(), c.clk.Now()
	if until, ok := c.pace.read(now, l); ok {
		if err := c.Conn.SetReadDeadline(time.Now().Add((until - now).Duration())); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.pace.got(c.clk.Now(), l)
	}
	if c.pace.part == partRest && errors.Is(err, os.ErrDeadlineExceeded) {
		// A refusal here could be taken for the answer to a request that
		// crosses it.
		return n, io.EOF
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The server calls it once it has a head.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.pace.part = partBody
	return c.Conn.SetReadDeadline(t)
}

// interim starts an answer before the body was read.
var interim = []byte("HTTP/1.1 100 ")

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	if !bytes.HasPrefix(b, interim) {
		c.pace.part = partRest
	}
	return c.Conn.Write(b)
}

// callerListener hands out callers' connections.
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

// callerLimits returns the bounds on callers' bodies and times: the operators',
// and the daemon's own where they give none. What a daemon can hold goes before
// their word. The bound on a head is the entry's and the read buffer's.
func (d *Daemon) callerLimits() record.CallerLimits {
	l := d.table.CallerLimits()
	most := hardBodyFactor * d.cfg.MaxRequestBytes
	if l.BodyBytes == 0 || l.BodyBytes > most {
		l.BodyBytes = most
	}
	if l.HeadTime == 0 {
		l.HeadTime = d.cfg.ReadTimeout
	}
	if l.IdleTime == 0 {
		l.IdleTime = restTime
	}
	return l
}

func limitsToWire(l record.CallerLimits) *wire.CallerLimits {
	return &wire.CallerLimits{
		HeadBytes: uint64(l.HeadBytes), BodyBytes: uint64(l.BodyBytes), HeadTimeMs: uint64(l.HeadTime), IdleTimeMs: uint64(l.IdleTime),
	}
}

func limitsFromWire(l *wire.CallerLimits) record.CallerLimits {
	return record.CallerLimits{
		HeadBytes: int(l.GetHeadBytes()), BodyBytes: int(l.GetBodyBytes()),
		HeadTime: clock.Millis(l.GetHeadTimeMs()), IdleTime: clock.Millis(l.GetIdleTimeMs()),
	}
}
