package queue

import (
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// TestRankGoesBeforePriority covers a full target: a team of the first rank
// comes before one of the next, whatever their routes' priorities.
func TestRankGoesBeforePriority(t *testing.T) {
	q := New(1, 10)
	q.Offer(0, Job{ID: 1, Team: "running", Deadline: 10_000})
	q.Offer(0, Job{ID: 2, Team: "second", Rank: 1, Priority: ident.PriorityHigh, Deadline: 10_000})
	q.Offer(0, Job{ID: 3, Team: "first", Priority: ident.PriorityLow, Deadline: 10_000})
	if n := q.Ahead(0, Job{Rank: 1, Priority: ident.PriorityUrgent}); n != 1 {
		t.Errorf("%d jobs are ahead of the second rank's most urgent one, want the first rank's", n)
	}
	if n := q.Ahead(0, Job{Priority: ident.PriorityNormal}); n != 0 {
		t.Errorf("%d jobs are ahead of the first rank's, want none", n)
	}
	started := q.Done(1)
	if s, ok := started[0].(Start); !ok || s.ID != 3 {
		t.Errorf("effect is %+v, want the start of the first rank's job", started[0])
	}
}

// TestRanksShareAFullTarget covers a rush of teams of two ranks that lasts: the
// first gets most, and the second does not starve.
func TestRanksShareAFullTarget(t *testing.T) {
	const rounds = 3000
	got := flood([]Job{{Team: "first", Weight: 1}, {Team: "second", Weight: 1, Rank: 1}}, rounds)
	first, second := float64(got["first/low"])/rounds, float64(got["second/low"])/rounds
	if first < 0.7 || second < 0.15 {
		t.Errorf("the first rank got %.2f of the slots and the second %.2f", first, second)
	}
}

// TestCallsOfWorkUnderWay covers a service in a rush whose targets are also
// called by other services: eight teams of the second rank keep the queue full
// while running work elsewhere holds its slots until its calls are answered.
// The calls bear no team and share one line.
func TestCallsOfWorkUnderWay(t *testing.T) {
	const rounds = 4500
	jobs := []Job{{Priority: ident.PriorityUrgent, Weight: 1}}
	for _, team := range []ident.Team{"a", "b", "c", "d", "e", "f", "g", "h"} {
		jobs = append(jobs, Job{Team: team, Rank: 1, Priority: ident.PriorityNormal, Weight: 1})
	}
	got := flood(jobs, rounds)
	if part := float64(got["/urgent"]) / rounds; part < 0.25 {
		t.Errorf("calls got %.2f of the slots, want more than a team's ninth", part)
	}
	for _, team := range []string{"a", "h"} {
		if part := float64(got[team+"/normal"]) / rounds; part < 0.05 {
			t.Errorf("team %s got %.3f of the slots beside the calls", team, part)
		}
	}
}

// TestNoRankWaitsForALaterOne draws jobs of several ranks and checks that a team
// within its share never sees one of a later rank start before it.
func TestNoRankWaitsForALaterOne(t *testing.T) {
	q := New(1, 30)
	waiting := map[JobID]Job{}
	last := JobID(0)
	offer := func(now clock.Millis, rank uint32) {
		last++
		j := Job{ID: last, Team: ident.Team([]string{"a", "b", "c"}[rank]), Rank: rank, Priority: ident.Priority(int(last) % 3), Deadline: 100_000}
		waiting[j.ID] = j
		for _, e := range q.Offer(now, j) {
			if s, ok := e.(Start); ok {
				delete(waiting, s.ID)
			}
		}
	}
	for i := range 12 {
		offer(clock.Millis(i), uint32(i*7%3))
	}
	for now := clock.Millis(100); len(waiting) > 0; now++ {
		for _, e := range q.Done(now) {
			s, ok := e.(Start)
			if !ok {
				t.Fatalf("effect is %+v", e)
			}
			j := waiting[s.ID]
			delete(waiting, s.ID)
			for _, other := range waiting {
				// With four jobs each, no team gets ahead of its share.
				if other.Rank < j.Rank {
					t.Fatalf("rank %d starts before rank %d", j.Rank, other.Rank)
				}
			}
		}
	}
}
