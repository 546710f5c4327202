package trial

import (
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/health"
)

// detectionLimit is the longest accepted detection time for a target with normal
// traffic.
const detectionLimit = 5 * clock.Second

// lowTrafficDetectionLimit is the longest accepted detection time for a target
// that gets about one request every two seconds.
const lowTrafficDetectionLimit = health.LongWindow

// TestCombinedDetector checks that the combined detector finds every fault in time
// and never ejects a healthy target.
func TestCombinedDetector(t *testing.T) {
	for _, site := range Sites {
		for _, script := range FaultScripts {
			t.Run(site.Name+"/"+script.Name, func(t *testing.T) {
				d := RunDetection(site, script, func() health.Detector { return health.NewCombinedDetector() }, 20261204)
				if d.FalseEjections > 0 {
					t.Errorf("%d false ejections", d.FalseEjections)
				}
				limit := detectionLimit
				if script.At(0, 0).RateFactor > 0 {
					limit = lowTrafficDetectionLimit
				}
				if script.IsFault && (!d.Detected || d.Delay > limit) {
					t.Errorf("detected %v after %d ms, want within %d ms", d.Detected, d.Delay, limit)
				}
			})
		}
	}
}

// TestConsecutiveDetectorFails documents why the combined detector is needed: a
// detector that counts consecutive failures does not find a slow target, and it
// ejects targets when all targets fail at the same rate. It also misses most targets
// that hang on a fifth of their requests, which this test does not check.
func TestConsecutiveDetectorFails(t *testing.T) {
	newConsecutive := func() health.Detector { return health.NewConsecutiveDetector() }
	for _, script := range FaultScripts {
		d := RunDetection(Sites[0], script, newConsecutive, 20261204)
		switch script.Name {
		case "slow x10":
			if d.Detected {
				t.Errorf("%s: the consecutive-failure detector ejected the slow target, want no detection", script.Name)
			}
		case "all errors 30%":
			if d.FalseEjections == 0 {
				t.Errorf("%s: the consecutive-failure detector ejected no healthy target, want at least one", script.Name)
			}
		}
	}
}
