package trial

import "testing"

// TestEveryTeamGetsFairShare sends a target twice the requests that it can serve,
// most of them from one team. The other teams must still get their fair shares.
func TestEveryTeamGetsFairShare(t *testing.T) {
	const seed, minShare = 20261204, 0.9
	shared, fifo := RunFairness(NewQueueScheduler(), seed), RunFairness(NewFIFOScheduler(), seed)
	if shared.WorstTeam < minShare {
		t.Errorf("worst-served team got %.2f of its fair share, want at least %.2f", shared.WorstTeam, minShare)
	}
	if fifo.WorstTeam >= minShare {
		t.Errorf("first-in, first-out gives the worst-served team %.2f of its fair share: the trial has too little load to tell schedulers apart", fifo.WorstTeam)
	}
	for priority := range 2 {
		if shared.Served[priority] > shared.Served[priority+1] {
			t.Errorf("priority %d has a larger share of its requests served than %d: %v", priority, priority+1, shared.Served)
		}
	}
	if shared.Served[0] == 0 {
		t.Error("no request of the lowest priority was served")
	}
}

// TestDrawnTokensStayWithinRate checks for every demand pattern that drawing tokens
// admits no request over a team's rate and burst, and that it refuses fewer
// requests wrongly than an equal split of the rate.
func TestDrawnTokensStayWithinRate(t *testing.T) {
	const seed = 20261204
	for _, pattern := range DemandPatterns {
		t.Run(pattern.Name, func(t *testing.T) {
			drawn, split := RunRateLimit(pattern, NewDrawLimiter(), seed), RunRateLimit(pattern, NewEqualSplitLimiter(), seed)
			if drawn.AdmittedOverLimit > 0 {
				t.Errorf("%d requests admitted over rate and burst", drawn.AdmittedOverLimit)
			}
			if drawn.WronglyRefused >= split.WronglyRefused || drawn.WorstTeam <= split.WorstTeam {
				t.Errorf("drawn tokens: %d wrongly refused, worst team %.3f; want better than the equal split: %d, %.3f",
					drawn.WronglyRefused, drawn.WorstTeam, split.WronglyRefused, split.WorstTeam)
			}
		})
	}
}
