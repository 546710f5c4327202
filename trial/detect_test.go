package trial

import (
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/health"
)

// detectWithin is the target for a fault of a target with usual traffic.
const detectWithin = 5 * clock.Second

// detectQuietWithin is the target for a target with a request every two
// seconds.
const detectQuietWithin = health.LongWindow

func TestCombinedDetector(t *testing.T) {
	for _, site := range Sites {
		for _, script := range Scripts {
			t.Run(site.Name+"/"+script.Name, func(t *testing.T) {
				d := Detect(site, script, func() health.Detector { return health.NewCombined() }, 20261204)
				if d.False > 0 {
					t.Errorf("%d false ejections", d.False)
				}
				within := detectWithin
				if script.At(0, 0).RateFactor > 0 {
					within = detectQuietWithin
				}
				if script.IsFault && (!d.Detected || d.After > within) {
					t.Errorf("detected %v after %d ms, want within %d ms", d.Detected, d.After, within)
				}
			})
		}
	}
}

// TestNaiveDetectorFails keeps the reason for the combined detector: the naive
// one misses slowness and hangs, and ejects targets for what all of them
// suffer.
func TestNaiveDetectorFails(t *testing.T) {
	naive := func() health.Detector { return health.NewConsecutive() }
	for _, script := range Scripts {
		d := Detect(Sites[0], script, naive, 20261204)
		switch script.Name {
		case "slow x10":
			if d.Detected {
				t.Errorf("%s: naive detector found it", script.Name)
			}
		case "all errors 30%":
			if d.False == 0 {
				t.Errorf("%s: naive detector ejected no healthy target", script.Name)
			}
		}
	}
}
