package trial

import "testing"

// TestNoTeamIsCrowdedOut floods a target with twice what it serves, most of it
// from one team.
func TestNoTeamIsCrowdedOut(t *testing.T) {
	const seed, fair = 20261204, 0.9
	shared, naive := Fair(NewShared(), seed), Fair(NewFirstCome(), seed)
	if shared.WorstTeam < fair {
		t.Errorf("worst-served team got %.2f of its fair share, want %.2f", shared.WorstTeam, fair)
	}
	if naive.WorstTeam >= fair {
		t.Errorf("in order of arrival the worst-served team got %.2f: the trial crowds out nobody", naive.WorstTeam)
	}
	for p := range 2 {
		if shared.Served[p] > shared.Served[p+1] {
			t.Errorf("priority %d is served better than %d: %v", p, p+1, shared.Served)
		}
	}
	if shared.Served[0] == 0 {
		t.Error("the lowest priority starves")
	}
}

// TestRateWithinBounds runs every pattern of demand against the exact bucket.
func TestRateWithinBounds(t *testing.T) {
	const seed = 20261204
	for _, script := range RateScripts {
		t.Run(script.Name, func(t *testing.T) {
			drawn, split := Rate(script, DrawnTokens(), seed), Rate(script, EqualSplit(), seed)
			if drawn.Over > 0 {
				t.Errorf("%d requests admitted over rate and burst", drawn.Over)
			}
			if drawn.Wrong >= split.Wrong || drawn.WorstTeam <= split.WorstTeam {
				t.Errorf("wrongly refused %d, worst team %.3f; the equal split does as well with %d and %.3f",
					drawn.Wrong, drawn.WorstTeam, split.Wrong, split.WorstTeam)
			}
		})
	}
}
