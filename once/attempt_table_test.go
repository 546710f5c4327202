package once

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// attemptModel is the expected state of one attempt.
type attemptModel struct {
	// runs counts the runs that were not refused as not_run.
	runs    int
	running bool
	// neverRuns reports whether a sender got a refusal which says that the
	// attempt has not run and never will.
	neverRuns bool
	answered  bool
}

// TestAttemptsRunAtMostOnce delivers copies of attempts that arrive late, twice
// and after a call of Void, and checks that none runs twice or after a refusal
// with outcome not_run, and that the table keeps its limits. The guarantee covers an attempt until its deadline
// and for the retention time after it.
func TestAttemptsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const retention, timeout, maxAttempts, maxCachedBytes = 100, 50, 6, 30
		a := NewAttemptTable(AttemptConfig{Retention: retention, MaxAttempts: maxAttempts, MaxCachedBytes: maxCachedBytes})
		models := map[string]*attemptModel{}
		firstSeen := map[string]clock.Millis{}
		now := clock.Millis(1)
		generation := 0
		for range 80 {
			// Callers do not reuse an ID after it has expired.
			id := fmt.Sprint("a", generation, "-", rapid.IntRange(0, 9).Draw(rt, "id"))
			if models[id] == nil {
				models[id], firstSeen[id] = &attemptModel{}, now
			}
			model := models[id]
			if now > firstSeen[id]+timeout+retention && !model.running {
				// Past the deadline and the retention time, no copy is in transit.
				delete(models, id)
				generation++
				continue
			}
			var d Decision
			void := false
			switch rapid.IntRange(0, 5).Draw(rt, "operation") {
			case 0, 1:
				d = a.Begin(now, id, firstSeen[id]+timeout)
			case 2:
				d, void = a.Void(now, id, firstSeen[id]+timeout), true
			case 3:
				if model.running {
					model.running = false
					if rapid.Bool().Draw(rt, "refused") {
						a.Finish(now, id, nil, fault.NotRun(fault.QueueFull, "full"))
						model.runs--
						model.neverRuns = true
					} else {
						a.Finish(now, id, &Answer{Status: 200, Body: []byte(id)}, nil)
						model.answered = true
					}
				}
				continue
			case 5:
				if !model.running {
					// A second report of the end must change nothing.
					a.Finish(now, id, &Answer{Status: 200, Body: []byte("other")}, nil)
				}
				continue
			case 4:
				now += clock.Millis(rapid.IntRange(0, 40).Draw(rt, "elapsed"))
				continue
			}
			checkDecision(rt, d, model, id, void)
			if a.Len() > maxAttempts || a.cachedBytes > maxCachedBytes {
				rt.Fatalf("%d attempts and %d answer bytes are kept, the limits are %d and %d", a.Len(), a.cachedBytes, maxAttempts, maxCachedBytes)
			}
		}
	})
}

// checkDecision compares a decision with the model and updates the model. void
// is true if the decision comes from Void instead of Begin.
func checkDecision(rt *rapid.T, d Decision, model *attemptModel, id string, void bool) {
	switch d := d.(type) {
	case Run:
		if void || model.runs > 0 || model.neverRuns {
			rt.Fatalf("%s got Run (from Void: %v) in state %+v", id, void, *model)
		}
		model.runs++
		model.running = true
	case Join:
		if !model.running {
			rt.Fatalf("%s got Join, but is not running: %+v", id, *model)
		}
	case Replay:
		if !model.answered || string(d.Answer.Body) != id {
			rt.Fatalf("%s got the replay %+v in state %+v", id, d.Answer, *model)
		}
	case Deny:
		if d.Refusal.Outcome != ident.OutcomeNotRun {
			// A full table cannot promise that a copy which arrives later will not run.
			fullTable := void && d.Refusal.Kind == fault.TicketTableFull
			if model.runs == 0 && !fullTable {
				rt.Fatalf("%s got outcome unknown, but never ran", id)
			}
			return
		}
		if model.runs > 0 {
			rt.Fatalf("%s got outcome not_run in state %+v", id, *model)
		}
		// A refusal by a full table does not void the attempt: a later copy may run.
		if d.Refusal.Kind != fault.TicketTableFull {
			model.neverRuns = true
		}
	}
}

// TestExpiredAttemptsAreRemoved checks that a later arrival removes the attempts
// that have expired, with their cached answers.
func TestExpiredAttemptsAreRemoved(t *testing.T) {
	a := NewAttemptTable(AttemptConfig{Retention: 100, MaxAttempts: 10, MaxCachedBytes: 1000})
	for i := range 5 {
		id := fmt.Sprint(i)
		a.Begin(1, id, 50)
		a.Finish(1, id, &Answer{Body: make([]byte, 100)}, nil)
	}
	a.Begin(151, "later", 200)
	if a.Len() != 1 || a.cachedBytes != 0 {
		t.Errorf("%d attempts and %d answer bytes are kept, want 1 and 0", a.Len(), a.cachedBytes)
	}
}
