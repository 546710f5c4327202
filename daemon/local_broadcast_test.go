package daemon

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/record"
)

// TestLateBroadcastIsNoRestart delivers a late datagram of a daemon's earlier
// incarnation between those of its present one, and a real restart whose incarnation
// number is lower, as after a clock step. Only the restart may be applied.
func TestLateBroadcastIsNoRestart(t *testing.T) {
	const former, present, later = 100, 200, 50
	team := record.Team{ID: "team", Rate: 10, Burst: 100}
	s := limit.NewShareLimiter(0, rand.New(rand.NewPCG(1, 1)), limit.ShareConfig{DataCentres: 1, Window: 5000, Slack: 20},
		func(ident.Team) (record.Team, bool) { return team, true })
	seen := seenBroadcasts{senders: map[ident.Instance]*seenSender{}}
	steps := []struct {
		name     string
		inc      ident.Incarnation
		sequence uint64
		listed   ident.Incarnation
		admitted uint64
		want     bool
	}{
		{"first message", former, 7, former, 40, true},
		{"restart, before the listing has it", present, 1, former, 5, true},
		{"late message of the earlier incarnation", former, 8, present, 41, false},
		{"next message", present, 2, present, 5, true},
		{"the same message again", present, 2, present, 5, false},
		{"restart with a lower number", later, 1, later, 3, true},
		{"back to a former number, as the listing says", present, 1, present, 2, true},
	}
	// The limiter's clock stands still, so that nothing is refilled.
	now := clock.Minute
	s.Take(now, team)
	level := s.Take(now, team).Level
	for _, step := range steps {
		got := seen.accept(now, "peer", step.inc, step.sequence, step.listed)
		if got != step.want {
			t.Errorf("%s: accepted is %v, want %v", step.name, got, step.want)
		}
		if got {
			s.ApplyPeerCounts(now, "peer", step.inc, []limit.AdmittedCount{{Team: "team", Count: step.admitted}})
		}
	}
	if taken := level - 1 - s.Take(now, team).Level; taken != 10 {
		t.Errorf("%.0f requests were taken from the bucket, want 10", taken)
	}
}

// TestSilentSendersAreDropped checks that the state of daemons that have gone is
// bounded.
func TestSilentSendersAreDropped(t *testing.T) {
	seen := seenBroadcasts{senders: map[ident.Instance]*seenSender{}}
	now := clock.Millis(0)
	for i := range 10_000 {
		now += clock.Second
		seen.accept(now, ident.Instance(fmt.Sprint("i-", i)), 1, 1, 1)
	}
	if limit := 2 * int(senderSilence/clock.Second); len(seen.senders) > limit {
		t.Errorf("%d senders are kept, want at most %d", len(seen.senders), limit)
	}
}
