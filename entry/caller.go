package entry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"chestnutlatch/sock"
)

// callerCheck is the time between two looks at a waiting caller's connection.
const callerCheck = 100 * time.Millisecond

// watchCaller cancels the request when its caller closes the connection. The
// returned function ends the watch.
func watchCaller(c *fasthttp.RequestCtx, cancel context.CancelFunc) (stop func()) {
	conn := c.Conn()
	done := make(chan struct{})
	timer := time.AfterFunc(callerCheck, func() {
		tick := time.NewTicker(callerCheck)
		defer tick.Stop()
		for {
			if sock.Look(conn) == sock.Closed {
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
