package daemon

import (
	"context"
	"time"
)

// runEvery calls fn once per period until ctx ends. Calls never overlap.
func runEvery(ctx context.Context, period time.Duration, fn func()) {
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
