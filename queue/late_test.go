package queue

import (
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// TestLateJobsStartLast checks an overloaded target: a job that can still be
// answered in time starts before a late one of higher priority, and the late
// job starts once nothing else waits.
func TestLateJobsStartLast(t *testing.T) {
	q := New(1, 10)
	q.Offer(0, Job{ID: 1, Team: "t", Deadline: 10_000})
	q.Offer(0, Job{ID: 2, Team: "t", Priority: ident.PriorityHigh, Deadline: 10_000, StartBy: 100})
	q.Offer(0, Job{ID: 3, Team: "t", Priority: ident.PriorityLow, Deadline: 10_000, StartBy: 5000})
	var started []JobID
	for range 2 {
		for _, e := range q.Done(200) {
			if s, ok := e.(Start); ok {
				started = append(started, s.ID)
			}
		}
	}
	if len(started) != 2 || started[0] != 3 || started[1] != 2 {
		t.Errorf("started jobs %v, want [3 2]: job 2 is late", started)
	}
}

// TestLateJobNeverStartsBeforeOnTimeJob offers random jobs and checks that no
// late job starts while another one waits that can still be answered in time.
func TestLateJobNeverStartsBeforeOnTimeJob(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := New(2, 20)
		waiting := map[JobID]Job{}
		running := 0
		var lastID JobID
		now := clock.Millis(0)
		apply := func(effects []Effect) {
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
							rt.Fatalf("late job %+v started at %d before job %+v, which is on time", j, now, other)
						}
					}
				}
			}
		}
		for range 60 {
			now += clock.Millis(rapid.IntRange(0, 50).Draw(rt, "elapsed"))
			if running > 0 && rapid.Bool().Draw(rt, "done") {
				running--
				apply(q.Done(now))
				continue
			}
			lastID++
			j := Job{
				ID: lastID, Team: ident.Team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "team")),
				Priority: ident.Priority(rapid.IntRange(0, 3).Draw(rt, "priority")), Weight: 1,
				Deadline: now + clock.Millis(rapid.IntRange(1, 400).Draw(rt, "deadline")),
				StartBy:  now + clock.Millis(rapid.IntRange(0, 200).Draw(rt, "start")),
			}
			waiting[j.ID] = j
			apply(q.Offer(now, j))
			if q.Waiting() != len(waiting) || q.Running() != running {
				rt.Fatalf("%d jobs waiting and %d running, want %d and %d", q.Waiting(), q.Running(), len(waiting), running)
			}
		}
	})
}

// TestFlushRefusesAllWaitingJobs checks that Flush refuses every waiting job
// with the given fault and leaves the running one alone.
func TestFlushRefusesAllWaitingJobs(t *testing.T) {
	q := New(1, 10)
	for i := range 4 {
		q.Offer(0, Job{ID: JobID(i), Team: "t", Deadline: 1000})
	}
	if n := q.CountAhead(0, Job{Priority: ident.PriorityLow}); n != 3 {
		t.Errorf("%d jobs are ahead of a new job, want the 3 waiting ones", n)
	}
	effects := q.Flush(fault.Draining)
	for _, e := range effects {
		if r, ok := e.(Refuse); !ok || r.Kind != fault.Draining {
			t.Errorf("effect %+v, want Refuse with fault draining", e)
		}
	}
	if len(effects) != 3 || q.Waiting() != 0 || q.Running() != 1 {
		t.Errorf("%d effects, %d waiting, %d running; want 3, 0, 1", len(effects), q.Waiting(), q.Running())
	}
}
