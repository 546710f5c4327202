package queue

import (
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// TestLateJobsComeLast covers a rush: what can still be answered in time goes
// first, whatever its priority; what is late is served when nothing else waits.
func TestLateJobsComeLast(t *testing.T) {
	q := New(1, 10)
	q.Offer(0, Job{ID: 1, Team: "t", Deadline: 10_000})
	q.Offer(0, Job{ID: 2, Team: "t", Priority: ident.PriorityHigh, Deadline: 10_000, Start: 100})
	q.Offer(0, Job{ID: 3, Team: "t", Priority: ident.PriorityLow, Deadline: 10_000, Start: 5000})
	var order []JobID
	for range 2 {
		for _, e := range q.Done(200) {
			if s, ok := e.(Start); ok {
				order = append(order, s.ID)
			}
		}
	}
	if len(order) != 2 || order[0] != 3 || order[1] != 2 {
		t.Errorf("started %v, want 3 before the late 2", order)
	}
}

// TestNoLateJobStartsBeforeOneInTime draws jobs of all kinds and checks each
// start against all that wait.
func TestNoLateJobStartsBeforeOneInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New(2, 20)
		waiting := map[JobID]Job{}
		running := 0
		var last JobID
		now := clock.Millis(0)
		take := func(effects []Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case Refuse:
					delete(waiting, e.ID)
				case Start:
					j := waiting[e.ID]
					delete(waiting, e.ID)
					running++
					for _, other := range waiting {
						if j.isLate(now) && !other.isLate(now) && now < other.Deadline {
							rt.Fatalf("late job %+v starts at %d before %+v", j, now, other)
						}
					}
				}
			}
		}
		for range 60 {
			now += clock.Millis(rapid.IntRange(0, 50).Draw(rt, "pass"))
			if running > 0 && rapid.Bool().Draw(rt, "done") {
				running--
				take(q.Done(now))
				continue
			}
			last++
			j := Job{
				ID: last, Team: ident.Team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "team")),
				Priority: ident.Priority(rapid.IntRange(0, 3).Draw(rt, "priority")), Weight: 1,
				Deadline: now + clock.Millis(rapid.IntRange(1, 400).Draw(rt, "deadline")),
				Start:    now + clock.Millis(rapid.IntRange(0, 200).Draw(rt, "start")),
			}
			waiting[j.ID] = j
			take(q.Offer(now, j))
			if q.Waiting() != len(waiting) || q.Running() != running {
				rt.Fatalf("queue holds %d and %d, want %d and %d", q.Waiting(), q.Running(), len(waiting), running)
			}
		}
	})
}

func TestFlushRefusesAllThatWait(t *testing.T) {
	q := New(1, 10)
	for i := range 4 {
		q.Offer(0, Job{ID: JobID(i), Team: "t", Deadline: 1000})
	}
	if n := q.Ahead(0, Job{Priority: ident.PriorityLow}); n != 3 {
		t.Errorf("%d jobs are ahead of a new one, want 3", n)
	}
	effects := q.Flush(fault.Draining)
	for _, e := range effects {
		if r, ok := e.(Refuse); !ok || r.Kind != fault.Draining {
			t.Errorf("effect is %+v", e)
		}
	}
	if len(effects) != 3 || q.Waiting() != 0 || q.Running() != 1 {
		t.Errorf("%d effects, %d wait, %d run; want 3, 0, 1", len(effects), q.Waiting(), q.Running())
	}
}
