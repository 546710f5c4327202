package memory

import (
	"sync"

	"chestnutlatch/clock"
)

// ConnPhase is what a connection of a caller does.
type ConnPhase int

//go:generate enumer -type=ConnPhase -trimprefix=ConnPhase -transform=snake -output=conns_enumer.go

// Phases of a connection.
const (
	// ConnPhaseIdle means that no request has begun since the last answer.
	ConnPhaseIdle ConnPhase = iota
	// ConnPhaseReading means that a request is being read.
	ConnPhaseReading
	// ConnPhaseServing means that a request is being served.
	ConnPhaseServing
	// ConnPhaseWriting means that an answer is being written.
	ConnPhaseWriting
)

// ConnConfig holds the limits of Conns.
type ConnConfig struct {
	// MaxConns is the number of connections above which idle ones are ended.
	MaxConns int
	// Limit bounds the buffers of all connections, in bytes.
	Limit int64
	// A connection that is reading or writing is stalled if less than MinBytes pass in
	// Window.
	Window   clock.Millis
	MinBytes int64
}

// Conn is one connection.
type Conn struct {
	// number counts the connections in the order in which they were opened.
	number uint64
	phase  ConnPhase
	// buffer is the size of its buffers; 0 until the first request.
	buffer int64
	// since is when the phase or the present window began, and bytes what has passed
	// since then.
	since clock.Millis
	bytes int64
	// end ends the connection, which was in the given phase.
	end func(ConnPhase)
	// ended is true from the call of end on, unless the connection begins a request
	// nevertheless.
	ended bool
}

// Conns counts the connections of callers and the buffers of their heads, and decides which
// connections end when there are too many. It is safe for concurrent use.
type Conns struct {
	cfg ConnConfig

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// opened is the number of connections since the start.
	opened  uint64
	buffers int64
}

// NewConns returns Conns without connections.
func NewConns(cfg ConnConfig) *Conns {
	return &Conns{cfg: cfg, conns: map[*Conn]struct{}{}}
}

// Open adds an idle connection. If there are too many, the one that has been idle longest
// is ended. The functions end are called by the goroutine of another connection, without a
// lock; a connection may begin a request at the same time, and then goes on.
func (s *Conns) Open(now clock.Millis, end func(ConnPhase)) *Conn {
	c := &Conn{since: now, end: end}
	s.mu.Lock()
	var victim *Conn
	if len(s.conns) >= s.cfg.MaxConns {
		victim = s.longest(func(o *Conn) bool { return o.phase == ConnPhaseIdle })
	}
	phase := s.release(victim)
	s.opened++
	c.number = s.opened
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	if victim != nil {
		victim.end(phase)
	}
	return c
}

// Begin records the first bytes of a request, which needs n bytes of buffers. It reports
// whether there is room, as Grow does.
func (s *Conns) Begin(now clock.Millis, c *Conn, n int64) bool {
	return s.grow(now, c, n, ConnPhaseReading)
}

// Grow enlarges the buffers of a connection to n bytes; they are never made smaller. To
// make room, it ends the connections that have been idle longest, then those that have
// stalled longest. It reports whether there is room.
func (s *Conns) Grow(now clock.Millis, c *Conn, n int64) bool {
	return s.grow(now, c, n, c.phase)
}

// grow is Grow, and records the phase of the connection if there is room.
func (s *Conns) grow(now clock.Millis, c *Conn, n int64, phase ConnPhase) bool {
	type ending struct {
		conn  *Conn
		phase ConnPhase
	}
	var endings []ending
	s.mu.Lock()
	n = max(n, c.buffer)
	for s.buffers-c.buffer+n > s.cfg.Limit {
		victim := s.longest(func(o *Conn) bool { return o != c && o.buffer > 0 && o.phase == ConnPhaseIdle })
		if victim == nil {
			victim = s.longest(func(o *Conn) bool {
				return o != c && o.buffer > 0 && (o.phase == ConnPhaseReading || o.phase == ConnPhaseWriting) && now-o.since > s.cfg.Window
			})
		}
		if victim == nil {
			break
		}
		endings = append(endings, ending{victim, s.release(victim)})
	}
	ok := s.buffers-c.buffer+n <= s.cfg.Limit
	if ok {
		s.buffers += n - c.buffer
		c.buffer, c.ended = n, false
		s.enter(now, c, phase)
	}
	s.mu.Unlock()
	for _, e := range endings {
		e.conn.end(e.phase)
	}
	return ok
}

// longest returns the eligible connection whose phase or window began first, the oldest
// among equals, or nil. The caller holds mu.
func (s *Conns) longest(isEligible func(*Conn) bool) *Conn {
	var best *Conn
	for c := range s.conns {
		if c.ended || !isEligible(c) {
			continue
		}
		if best == nil || c.since < best.since || c.since == best.since && c.number < best.number {
			best = c
		}
	}
	return best
}

// release frees the buffer of a connection that is to end, and returns its phase. c may be
// nil. The caller holds mu.
func (s *Conns) release(c *Conn) ConnPhase {
	if c == nil {
		return ConnPhaseIdle
	}
	s.buffers -= c.buffer
	c.buffer, c.ended = 0, true
	return c.phase
}

// Enter records the phase of a connection.
func (s *Conns) Enter(now clock.Millis, c *Conn, phase ConnPhase) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enter(now, c, phase)
}

// enter is Enter. The caller holds mu.
func (s *Conns) enter(now clock.Millis, c *Conn, phase ConnPhase) {
	if c.phase != phase {
		c.phase, c.since, c.bytes = phase, now, 0
	}
}

// Progress records that n bytes of a request or an answer have passed.
func (s *Conns) Progress(now clock.Millis, c *Conn, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.phase == ConnPhaseIdle || c.phase == ConnPhaseServing {
		return
	}
	if c.bytes += int64(n); c.bytes >= s.cfg.MinBytes {
		c.since, c.bytes = now, 0
	}
}

// Close removes a connection.
func (s *Conns) Close(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(c)
	delete(s.conns, c)
}

// Buffers returns the size of all buffers.
func (s *Conns) Buffers() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffers
}
