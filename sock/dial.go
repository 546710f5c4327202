package sock

import (
	"context"
	"net"
	"time"
)

// Keep-alive probes show a connection that went silent without a reset. The
// span until it is found is keepIdle + keepCount*keepEvery.
const (
	keepIdle  = time.Second
	keepEvery = time.Second
	keepCount = 2
)

// Dial opens a TCP connection that notices a silent other end.
func Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepEvery, Count: keepCount},
	}
	return d.DialContext(ctx, "tcp", address)
}
