package entry

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// callerCheck is the time between two looks at a waiting caller's connection.
const callerCheck = 100 * time.Millisecond

// watchCaller cancels the request when its caller closes the connection. The
// returned function ends the watch.
func watchCaller(c *fasthttp.RequestCtx, cancel context.CancelFunc) (stop func()) {
	conn, ok := c.Conn().(*net.TCPConn)
	if !ok {
		return func() {}
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return func() {}
	}
	done := make(chan struct{})
	timer := time.AfterFunc(callerCheck, func() {
		tick := time.NewTicker(callerCheck)
		defer tick.Stop()
		for {
			if isClosed(raw) {
				cancel()
				return
			}
			select {
			case <-done:
				return
			case <-tick.C:
			}
		}
	})
	return func() {
		timer.Stop()
		close(done)
	}
}

// isClosed looks at the connection without taking bytes from it.
func isClosed(raw syscall.RawConn) bool {
	closed := false
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return err != nil || closed
}
