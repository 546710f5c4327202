package queue

import (
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// TestRankTakesPrecedenceOverPriority checks that, at a full target, a job of a
// first-rank team starts before a job of higher priority of a second-rank team.
func TestRankTakesPrecedenceOverPriority(t *testing.T) {
	q := New(1, 10)
	q.Offer(0, Job{ID: 1, Team: "running", Deadline: 10_000})
	q.Offer(0, Job{ID: 2, Team: "second", Rank: 1, Priority: ident.PriorityHigh, Deadline: 10_000})
	q.Offer(0, Job{ID: 3, Team: "first", Priority: ident.PriorityLow, Deadline: 10_000})
	if n := q.CountAhead(0, Job{Rank: 1, Priority: ident.PriorityUrgent}); n != 1 {
		t.Errorf("%d jobs are ahead of an urgent job of the second rank, want 1: the job of the first rank", n)
	}
	if n := q.CountAhead(0, Job{Priority: ident.PriorityNormal}); n != 0 {
		t.Errorf("%d jobs are ahead of a normal job of the first rank, want 0", n)
	}
	effects := q.Done(1)
	if s, ok := effects[0].(Start); !ok || s.ID != 3 {
		t.Errorf("effect %+v, want the start of job 3, of the first rank", effects[0])
	}
}

// TestRanksShareFullTarget checks a lasting overload by teams of two ranks: the
// first rank gets most slots, and the second does not starve.
func TestRanksShareFullTarget(t *testing.T) {
	const rounds = 3000
	got := saturate([]Job{{Team: "first", Weight: 1}, {Team: "second", Weight: 1, Rank: 1}}, rounds)
	first, second := float64(got["first/low"])/rounds, float64(got["second/low"])/rounds
	if first < 0.7 || second < 0.15 {
		t.Errorf("the first rank got %.2f of the slots, want 0.70 or more; the second got %.2f, want 0.15 or more", first, second)
	}
}

// TestNestedCallsGetSlots checks an overloaded target that other services also
// call. Eight teams of the second rank keep its queue full, while requests that
// run at the other services hold their slots until their calls are answered.
// The calls carry no team and are queued together; they must not starve.
func TestNestedCallsGetSlots(t *testing.T) {
	const rounds = 4500
	jobs := []Job{{Priority: ident.PriorityUrgent, Weight: 1}}
	for _, team := range []ident.Team{"a", "b", "c", "d", "e", "f", "g", "h"} {
		jobs = append(jobs, Job{Team: team, Rank: 1, Priority: ident.PriorityNormal, Weight: 1})
	}
	got := saturate(jobs, rounds)
	if share := float64(got["/urgent"]) / rounds; share < 0.25 {
		t.Errorf("nested calls got %.2f of the slots, want 0.25 or more, which exceeds an equal share of 1/9", share)
	}
	for _, team := range []string{"a", "h"} {
		if share := float64(got[team+"/normal"]) / rounds; share < 0.05 {
			t.Errorf("team %s got %.3f of the slots, want 0.05 or more beside the nested calls", team, share)
		}
	}
}

// TestEarlierRankStartsFirst queues jobs of three ranks and checks that no job
// starts while a job of an earlier rank waits, as long as its team is not ahead
// of its share.
func TestEarlierRankStartsFirst(t *testing.T) {
	q := New(1, 30)
	waiting := map[JobID]Job{}
	lastID := JobID(0)
	offer := func(now clock.Millis, rank uint32) {
		lastID++
		j := Job{ID: lastID, Team: ident.Team([]string{"a", "b", "c"}[rank]), Rank: rank, Priority: ident.Priority(int(lastID) % 3), Deadline: 100_000}
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
				t.Fatalf("effect %+v, want Start", e)
			}
			j := waiting[s.ID]
			delete(waiting, s.ID)
			for _, other := range waiting {
				// Four jobs per team are too few to get ahead of the share.
				if other.Rank < j.Rank {
					t.Fatalf("a job of rank %d started while one of rank %d waited", j.Rank, other.Rank)
				}
			}
		}
	}
}
