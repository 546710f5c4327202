// Package sock looks at connections without taking bytes from them.
package sock

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

//go:generate enumer -type=State -transform=snake -output=sock_enumer.go

// State is what a look at a connection found.
type State int

// States of a connection.
const (
	// Quiet connections are open and have nothing to read.
	Quiet State = iota
	// Readable connections have bytes to read.
	Readable
	// Closed connections were closed or reset by the other end.
	Closed
)

// Look returns the state of a TCP connection, also of one that another kind of
// connection wraps. Connections of other kinds count as Quiet.
func Look(c net.Conn) State {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = outer.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return Quiet
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Quiet
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Readable
		case err == nil:
			state = Closed
		case !errors.Is(err, syscall.EAGAIN):
			state = Closed
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
