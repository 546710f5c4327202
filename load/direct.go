package load

import (
	"context"
	"time"
)

// Direct sends look-ups straight to targets, for the ratio of latencies.
func Direct(ctx context.Context, targets []string, rate float64, d time.Duration, seed uint64) *Result {
	return Run(ctx, Config{
		Entries:  targets,
		Teams:    []Team{{Name: "direct", Rate: rate}},
		Paths:    []Path{{Path: "/status", Part: 1}},
		Duration: d,
		Timeout:  10 * time.Second,
		Seed:     seed,
		Label:    "direct",
	})
}
