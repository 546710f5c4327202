package queue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// machine drives a queue and follows each job in the simplest way.
type machine struct {
	q       *Queue
	slots   int
	limit   int
	now     clock.Millis
	last    JobID
	waiting map[JobID]Job
	running map[JobID]bool
}

func (m *machine) take(t *rapid.T, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Start:
			j, ok := m.waiting[e.ID]
			if !ok {
				t.Fatalf("job %d started and does not wait", e.ID)
			}
			if m.now >= j.Deadline {
				t.Fatalf("job %d started after its deadline", e.ID)
			}
			delete(m.waiting, e.ID)
			m.running[e.ID] = true
		case Refuse:
			j, ok := m.waiting[e.ID]
			if !ok {
				t.Fatalf("job %d refused and does not wait", e.ID)
			}
			if e.Kind == fault.DeadlineExceeded && m.now < j.Deadline {
				t.Fatalf("job %d expired early", e.ID)
			}
			delete(m.waiting, e.ID)
		}
	}
}

func (m *machine) offer(t *rapid.T) {
	m.last++
	j := Job{
		ID: m.last, Team: ident.Team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")),
		Priority: ident.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Weight:   uint32(rapid.IntRange(1, 3).Draw(t, "weight")),
		Deadline: m.now + clock.Millis(rapid.IntRange(1, 500).Draw(t, "time")),
	}
	m.waiting[j.ID] = j
	m.take(t, m.q.Offer(m.now, j))
}

func (m *machine) done(t *rapid.T) {
	for id := range m.running {
		delete(m.running, id)
		m.take(t, m.q.Done(m.now))
		return
	}
	t.Skip("nothing runs")
}

func (m *machine) cancel(t *rapid.T) {
	id := JobID(rapid.IntRange(0, int(m.last)).Draw(t, "job"))
	_, waits := m.waiting[id]
	if got := m.q.Cancel(id); got != waits {
		t.Fatalf("Cancel(%d) = %v, waiting %v", id, got, waits)
	}
	delete(m.waiting, id)
}

func (m *machine) pass(t *rapid.T) {
	m.now += clock.Millis(rapid.IntRange(1, 200).Draw(t, "millis"))
	m.take(t, m.q.Expire(m.now))
}

func (m *machine) check(t *rapid.T) {
	if m.q.Running() != len(m.running) || m.q.Waiting() != len(m.waiting) {
		t.Fatalf("queue has %d running and %d waiting, the model %d and %d",
			m.q.Running(), m.q.Waiting(), len(m.running), len(m.waiting))
	}
	if len(m.running) > m.slots || len(m.waiting) > m.limit {
		t.Fatalf("%d of %d slots, %d of %d places", len(m.running), m.slots, len(m.waiting), m.limit)
	}
	if len(m.waiting) > 0 && len(m.running) < m.slots {
		t.Fatalf("%d jobs wait beside a free slot", len(m.waiting))
	}
}

func TestEveryJobHasOneEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			slots: rapid.IntRange(1, 4).Draw(t, "slots"), limit: rapid.IntRange(1, 12).Draw(t, "limit"),
			waiting: map[JobID]Job{}, running: map[JobID]bool{},
		}
		m.q = New(m.slots, m.limit)
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer, "offer2": m.offer, "done": m.done, "cancel": m.cancel, "pass": m.pass, "": m.check,
		})
	})
}

// flood keeps a queue of one slot full with the given jobs and counts the
// starts by name.
func flood(jobs []Job, rounds int) map[string]int {
	q := New(1, 32)
	starts := map[string]int{}
	names := map[JobID]string{}
	last := JobID(0)
	take := func(effects []Effect) {
		for _, e := range effects {
			if s, ok := e.(Start); ok {
				starts[names[s.ID]]++
			}
		}
	}
	for round := range rounds {
		now := clock.Millis(round)
		for _, j := range jobs {
			last++
			j.ID, j.Deadline = last, now+10_000
			names[last] = fmt.Sprintf("%s/%s", j.Team, j.Priority)
			take(q.Offer(now, j))
		}
		take(q.Done(now))
	}
	return starts
}

func TestSharesOfAFullTarget(t *testing.T) {
	const rounds = 4200
	greedy := []Job{{Team: "greedy", Weight: 1}, {Team: "greedy", Weight: 1}, {Team: "greedy", Weight: 1}, {Team: "modest", Weight: 1}}
	heavy := []Job{{Team: "heavy", Weight: 3}, {Team: "heavy", Weight: 3}, {Team: "light", Weight: 1}}
	mixed := []Job{
		{Team: "t", Priority: ident.PriorityLow, Weight: 1},
		{Team: "t", Priority: ident.PriorityNormal, Weight: 1},
		{Team: "t", Priority: ident.PriorityHigh, Weight: 1},
	}
	tests := []struct {
		name string
		jobs []Job
		who  string
		want float64
	}{
		{"a greedy team takes no more than its half", greedy, "modest/low", 1.0 / 2},
		{"weights share", heavy, "heavy/low", 3.0 / 4},
		{"high priority first", mixed, "t/high", 16.0 / 21},
		{"low priority does not starve", mixed, "t/low", 1.0 / 21},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := float64(flood(tt.jobs, rounds)[tt.who]) / rounds
			if got < tt.want*0.9 || got > tt.want*1.1 {
				t.Errorf("%s got %.3f of the slots, want %.3f", tt.who, got, tt.want)
			}
		})
	}
}
