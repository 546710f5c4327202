// Package sock opens TCP connections that detect an unresponsive other end, and
// reads the state of a connection without consuming its bytes. The entry, the
// guard and the platform's store client use it.
package sock

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

//go:generate enumer -type=State -transform=snake -output=sock_enumer.go

// State is the state of a connection.
type State int

// States of a connection.
const (
	// Quiet connections are open and have nothing to read.
	Quiet State = iota
	// Readable connections have bytes to read.
	Readable
	// Closed connections were closed or reset by the other end and have nothing
	// left to read.
	Closed
)

// StateOf returns the state of a connection without consuming bytes and without
// blocking. It unwraps connections that have a NetConn method, such as TLS
// connections. It returns Quiet for a connection that is not TCP, and Closed if
// the state cannot be read. A wrapper whose ReadClosed method returns true has closed
// its reading side itself; the end of its input then does not mean that the other end
// has closed.
func StateOf(c net.Conn) State {
	readClosed := false
	for {
		if w, ok := c.(interface{ ReadClosed() bool }); ok {
			readClosed = readClosed || w.ReadClosed()
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
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
		case err == nil && readClosed:
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
