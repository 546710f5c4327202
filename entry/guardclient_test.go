package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestProbePauseLimitsRate covers the loss of a whole data centre: probes of any
// number of paths together stay within maxProbeRate. Up to 10 paths are probed as
// often as a single one.
func TestProbePauseLimitsRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		paths := rapid.Int64Range(1, 2100).Draw(rt, "paths")
		perSecond := 0.0
		for range paths {
			pause := rapid.SampledFrom([]time.Duration{minProbePause, 2 * minProbePause, maxProbePause}).Draw(rt, "pause")
			got := probePause(pause, paths)
			if got < pause || paths <= 10 && got != pause {
				rt.Fatalf("pause is %s with %d paths, want %s", got, paths, pause)
			}
			perSecond += float64(time.Second) / float64(got)
		}
		if perSecond > maxProbeRate+0.001 {
			rt.Fatalf("%d paths are probed %.1f times per second, want at most %d", paths, perSecond, maxProbeRate)
		}
	})
}
