package trial

import (
	"testing"

	"chestnutlatch/clock"
)

// isOverload reports whether the demand of a pattern exceeds the capacity of the
// service. Only then does every window depend on the order of requests.
func (s OverloadPattern) isOverload() bool {
	hot := overloadTeams[hotTeam].demandShare * (s.HotTeamFactor - 1)
	targets := float64(overloadTargets - s.LostTargets)
	return overloadRate*s.RateFactor*(1+hot)*s.SlowFactor*float64(overloadServiceTime)/float64(clock.Second) > targets*overloadSlots
}

// TestProductEarnsMoreInOverload runs each overload pattern with the full scheduling
// policy, with the basic one and in order of arrival. The full policy must earn at
// least as much as the basic one, in overload also in its worst window, and its first
// rank at least as much as under either of the others. Order of arrival must earn
// less than half of what the full policy earns in some pattern, else the patterns are
// no overload.
func TestProductEarnsMoreInOverload(t *testing.T) {
	const seeds, firstSeed = 3, 20261204
	fifoLost := false
	for _, pattern := range OverloadPatterns {
		t.Run(pattern.Name, func(t *testing.T) {
			for seed := uint64(firstSeed); seed < firstSeed+seeds; seed++ {
				fifo, basic, full := RunOverload(pattern, OverloadPolicies[0], seed), RunOverload(pattern, OverloadPolicies[1], seed), RunOverload(pattern, OverloadPolicies[2], seed)
				if full.Earned < basic.Earned || pattern.isOverload() && full.WorstWindow < basic.WorstWindow {
					t.Errorf("seed %d: earned %.3f, worst window %.3f; want at least the basic policy: %.3f, %.3f", seed,
						full.Earned, full.WorstWindow, basic.Earned, basic.WorstWindow)
				}
				if full.FirstRank < basic.FirstRank || full.FirstRank < fifo.FirstRank {
					t.Errorf("seed %d: rank 0 earned %.3f; want at least the basic policy, %.3f, and order of arrival, %.3f", seed,
						full.FirstRank, basic.FirstRank, fifo.FirstRank)
				}
				fifoLost = fifoLost || fifo.Earned < full.Earned/2
			}
		})
	}
	if !fifoLost {
		t.Error("order of arrival earns at least half as much as the full policy in every pattern: the patterns are no overload")
	}
}
