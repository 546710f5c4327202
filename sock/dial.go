package sock

import (
	"context"
	"net"
	"time"
)

// TCP keep-alive probes detect that the other end stopped responding without a
// reset. Detection takes keepAliveIdle + keepAliveCount*keepAliveInterval.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dial opens a TCP connection with keep-alive probes that detect an unresponsive
// other end. The timeout applies to the connection attempt only.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	return d.DialContext(ctx, "tcp", address)
}
