package daemon

import (
	"context"
	"time"
)

// every calls fn in turn, a period apart, until ctx ends.
func every(ctx context.Context, period time.Duration, fn func()) {
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			fn()
		}
	}
}
