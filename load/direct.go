package load

import (
	"context"
	"time"
)

// Direct sends look-ups of /status directly to the addresses in targets, without
// a daemon, to compare latencies. The rate is in requests per second. It returns
// when all answers have arrived.
func Direct(ctx context.Context, targets []string, rate float64, duration time.Duration, seed uint64) *Result {
	return Run(ctx, Config{
		Entries:  targets,
		Teams:    []Team{{Name: "direct", Rate: rate}},
		Paths:    []Path{{Path: "/status", Share: 1}},
		Duration: duration,
		Timeout:  10 * time.Second,
		Seed:     seed,
		Label:    "direct",
	})
}
