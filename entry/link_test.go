package entry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestProbesKeepTheirRate covers a data centre that goes: however many paths
// fail at once, their probes keep to a rate; a few are probed as soon as one.
func TestProbesKeepTheirRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		paths := rapid.Int64Range(1, 2100).Draw(rt, "paths")
		perSecond := 0.0
		for range paths {
			pause := rapid.SampledFrom([]time.Duration{probeFirst, 2 * probeFirst, probeMost}).Draw(rt, "pause")
			got := probePause(pause, paths)
			if got < pause || paths <= 10 && got != pause {
				rt.Fatalf("pause is %s with %d paths, want %s", got, paths, pause)
			}
			perSecond += float64(time.Second) / float64(got)
		}
		if perSecond > probeRate+0.001 {
			rt.Fatalf("%d paths are probed %.1f times a second, at most %d", paths, perSecond, probeRate)
		}
	})
}
