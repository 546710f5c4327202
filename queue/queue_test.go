package queue

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// queueModel runs random operations on a queue and keeps the expected sets of
// waiting and running jobs.
type queueModel struct {
	q       *Queue
	slots   int
	limit   int
	now     clock.Millis
	lastID  JobID
	waiting map[JobID]Job
	running map[JobID]bool
}

// apply checks the effects of one operation and updates the model.
func (m *queueModel) apply(t *rapid.T, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Start:
			j, ok := m.waiting[e.ID]
			if !ok {
				t.Fatalf("job %d started, but was not waiting", e.ID)
			}
			if m.now >= j.Deadline {
				t.Fatalf("job %d started at or after its deadline", e.ID)
			}
			delete(m.waiting, e.ID)
			m.running[e.ID] = true
		case Refuse:
			j, ok := m.waiting[e.ID]
			if !ok {
				t.Fatalf("job %d refused, but was not waiting", e.ID)
			}
			if e.Kind == fault.DeadlineExceeded && m.now < j.Deadline {
				t.Fatalf("job %d refused as expired before its deadline", e.ID)
			}
			delete(m.waiting, e.ID)
		}
	}
}

func (m *queueModel) offer(t *rapid.T) {
	m.lastID++
	j := Job{
		ID: m.lastID, Team: ident.Team(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")),
		Priority: ident.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Weight:   uint32(rapid.IntRange(1, 3).Draw(t, "weight")),
		Deadline: m.now + clock.Millis(rapid.IntRange(1, 500).Draw(t, "timeout")),
	}
	m.waiting[j.ID] = j
	m.apply(t, m.q.Offer(m.now, j))
}

func (m *queueModel) done(t *rapid.T) {
	for id := range m.running {
		delete(m.running, id)
		m.apply(t, m.q.Done(m.now))
		return
	}
	t.Skip("no job is running")
}

func (m *queueModel) cancel(t *rapid.T) {
	id := JobID(rapid.IntRange(0, int(m.lastID)).Draw(t, "job"))
	_, want := m.waiting[id]
	if got := m.q.Cancel(id); got != want {
		t.Fatalf("Cancel(%d) = %v, want %v", id, got, want)
	}
	delete(m.waiting, id)
}

func (m *queueModel) advance(t *rapid.T) {
	m.now += clock.Millis(rapid.IntRange(1, 200).Draw(t, "millis"))
	m.apply(t, m.q.Expire(m.now))
}

func (m *queueModel) check(t *rapid.T) {
	if m.q.Running() != len(m.running) || m.q.Waiting() != len(m.waiting) {
		t.Fatalf("queue has %d running and %d waiting jobs, want %d and %d",
			m.q.Running(), m.q.Waiting(), len(m.running), len(m.waiting))
	}
	if len(m.running) > m.slots || len(m.waiting) > m.limit {
		t.Fatalf("%d jobs run in %d slots, %d wait with a limit of %d", len(m.running), m.slots, len(m.waiting), m.limit)
	}
	if len(m.waiting) > 0 && len(m.running) < m.slots {
		t.Fatalf("%d jobs wait while a slot is free", len(m.waiting))
	}
}

// TestQueueMatchesModel checks that each job starts, is refused or is canceled
// once, that no job starts after its deadline, that the queue keeps its bounds
// and that no slot stays free while jobs wait.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{
			slots: rapid.IntRange(1, 4).Draw(t, "slots"), limit: rapid.IntRange(1, 12).Draw(t, "limit"),
			waiting: map[JobID]Job{}, running: map[JobID]bool{},
		}
		m.q = New(m.slots, m.limit)
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer, "offer again": m.offer, "done": m.done, "cancel": m.cancel, "pass time": m.advance, "": m.check,
		})
	})
}

// saturate offers the given jobs to a queue with one slot, again in every round,
// and finishes one job per round. It returns the number of started jobs, keyed
// by "team/priority".
func saturate(jobs []Job, rounds int) map[string]int {
	q := New(1, 32)
	starts := map[string]int{}
	groups := map[JobID]string{}
	lastID := JobID(0)
	apply := func(effects []Effect) {
		for _, e := range effects {
			if s, ok := e.(Start); ok {
				starts[groups[s.ID]]++
			}
		}
	}
	for round := range rounds {
		now := clock.Millis(round)
		for _, j := range jobs {
			lastID++
			j.ID, j.Deadline = lastID, now+10_000
			groups[lastID] = fmt.Sprintf("%s/%s", j.Team, j.Priority)
			apply(q.Offer(now, j))
		}
		apply(q.Done(now))
	}
	return starts
}

// TestFullTargetSharesSlotsByWeight checks the shares of the slots that teams
// and priorities get while more jobs arrive than a target can serve.
func TestFullTargetSharesSlotsByWeight(t *testing.T) {
	const rounds = 4200
	equalWeights := []Job{{Team: "busy", Weight: 1}, {Team: "busy", Weight: 1}, {Team: "busy", Weight: 1}, {Team: "quiet", Weight: 1}}
	unequalWeights := []Job{{Team: "heavy", Weight: 3}, {Team: "heavy", Weight: 3}, {Team: "light", Weight: 1}}
	priorities := []Job{
		{Team: "t", Priority: ident.PriorityLow, Weight: 1},
		{Team: "t", Priority: ident.PriorityNormal, Weight: 1},
		{Team: "t", Priority: ident.PriorityHigh, Weight: 1},
	}
	tests := []struct {
		name  string
		jobs  []Job
		group string
		want  float64
	}{
		{"team with fewer requests gets half", equalWeights, "quiet/low", 1.0 / 2},
		{"team with triple weight gets three quarters", unequalWeights, "heavy/low", 3.0 / 4},
		{"high priority gets most slots", priorities, "t/high", 16.0 / 21},
		{"low priority does not starve", priorities, "t/low", 1.0 / 21},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := float64(saturate(tt.jobs, rounds)[tt.group]) / rounds
			if got < tt.want*0.9 || got > tt.want*1.1 {
				t.Errorf("%s got %.3f of the slots, want %.3f", tt.group, got, tt.want)
			}
		})
	}
}
