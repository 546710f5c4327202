// Package link simulates failures of the network between processes, for tests.
package link

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// bufferBytes is the size of the buffer of one direction of a connection.
const bufferBytes = 32 << 10

// Proxy is a TCP proxy that can fail in the ways of a network: its open connections go silent
// for good while new ones work, or it is cut and holds all bytes until the cut ends. Neither
// end sees a reset. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	to       string
	// opened is the number of connections accepted so far.
	opened atomic.Int64

	mu sync.Mutex
	// isCut is true while all bytes are held.
	isCut bool
	// healed is signalled when a cut ends.
	healed *sync.Cond
	open   map[*pair]bool
}

// pair is one connection through a Proxy.
type pair struct {
	near, far net.Conn
	// silent drops all further bytes of both directions.
	silent atomic.Bool
}

// New starts a proxy to an address (ip:port) on a free loopback port.
func New(to string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, to: to, open: map[*pair]bool{}}
	p.healed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

// Address returns the proxy's address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Opened returns the number of connections that the proxy has accepted.
func (p *Proxy) Opened() int { return int(p.opened.Load()) }

// Open returns the number of connections that neither end has closed.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// Silence makes the open connections silent for good. Later ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.silent.Store(true)
	}
}

// SetCut begins or ends a cut. What was sent during it arrives at its end.
func (p *Proxy) SetCut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = isCut
	p.healed.Broadcast()
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() error {
	p.SetCut(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.silent.Store(false)
		_, _ = c.near.Close(), c.far.Close()
	}
	return p.listener.Close()
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.opened.Add(1)
		go p.join(near)
	}
}

func (p *Proxy) join(near net.Conn) {
	p.awaitHealed()
	far, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &pair{near: near, far: far}
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	go p.pass(c, near, far)
	go p.pass(c, far, near)
}

// pass copies one direction until an end closes. The other end of a silent connection does
// not learn of that.
func (p *Proxy) pass(c *pair, from, to net.Conn) {
	buf := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buf)
		p.awaitHealed()
		if c.silent.Load() {
			if err == nil {
				continue
			}
			p.forget(c)
			_ = from.Close()
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.forget(c)
			_, _ = from.Close(), to.Close()
			return
		}
	}
}

func (p *Proxy) forget(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

func (p *Proxy) awaitHealed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isCut {
		p.healed.Wait()
	}
}

var _ io.Closer = (*Proxy)(nil)
