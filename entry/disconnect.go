package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"chestnutlatch/sock"
)

// callerCheckInterval is the time between two checks of a waiting caller's
// connection.
const callerCheckInterval = 100 * time.Millisecond

// cancelOnDisconnect calls cancel when the caller closes the connection. It checks
// the connection periodically until stop is called.
func cancelOnDisconnect(c *fasthttp.RequestCtx, cancel context.CancelFunc) (stop func()) {
	conn := c.Conn()
	done := make(chan struct{})
	timer := time.AfterFunc(callerCheckInterval, func() {
		tick := time.NewTicker(callerCheckInterval)
		defer tick.Stop()
		for {
			if sock.StateOf(conn) == sock.Closed {
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
