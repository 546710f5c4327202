package once

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// history is the oracle's memory of one attempt.
type history struct {
	runs    int
	running bool
	// notRun tells that somebody was told that it has not run and never will.
	notRun   bool
	answered bool
}

// TestAttemptsRunAtMostOnce drives a memory with copies that arrive late, twice
// and after their sender has asked. It holds for every attempt that is still
// within its deadline and the time kept after it.
func TestAttemptsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const keep, limit = 100, 50
		a := NewAttempts(AttemptConfig{Keep: keep, MaxOpen: 6, MaxKeptBytes: 30})
		seen := map[string]*history{}
		born := map[string]clock.Millis{}
		now := clock.Millis(1)
		uses := 0
		for range 80 {
			// Callers never use an id again after its time.
			id := fmt.Sprint("a", uses, "-", rapid.IntRange(0, 9).Draw(rt, "id"))
			if seen[id] == nil {
				seen[id], born[id] = &history{}, now
			}
			h := seen[id]
			if now > born[id]+limit+keep && !h.running {
				// The sender's deadline is long over; no copy is left.
				delete(seen, id)
				uses++
				continue
			}
			var v Verdict
			asked := false
			switch rapid.IntRange(0, 4).Draw(rt, "do") {
			case 0, 1:
				v = a.Begin(now, id, born[id]+limit)
			case 2:
				v, asked = a.Ask(now, id, born[id]+limit), true
			case 3:
				if h.running {
					h.running = false
					if rapid.Bool().Draw(rt, "refused") {
						a.End(id, nil, fault.NotRun(fault.QueueFull, "full"))
						h.runs--
						h.notRun = true
					} else {
						a.End(id, &Answer{Status: 200, Body: []byte(id)}, nil)
						h.answered = true
					}
				}
				continue
			case 4:
				now += clock.Millis(rapid.IntRange(0, 40).Draw(rt, "pass"))
				continue
			}
			check(rt, v, h, id, asked)
		}
	})
}

func check(rt *rapid.T, v Verdict, h *history, id string, asked bool) {
	switch v := v.(type) {
	case Run:
		if asked || h.runs > 0 || h.notRun {
			rt.Fatalf("%s runs (asked %v) after %+v", id, asked, *h)
		}
		h.runs++
		h.running = true
	case Join:
		if !h.running {
			rt.Fatalf("%s joins what does not run: %+v", id, *h)
		}
	case Replay:
		if !h.answered || string(v.Answer.Body) != id {
			rt.Fatalf("%s replays %+v after %+v", id, v.Answer, *h)
		}
	case Deny:
		if v.Refusal.Outcome != ident.OutcomeNotRun {
			if h.runs == 0 {
				rt.Fatalf("%s is unknown although it never ran", id)
			}
			return
		}
		if h.runs > 0 {
			rt.Fatalf("%s is said not to have run after %+v", id, *h)
		}
		// A full table promises nothing about copies to come.
		if v.Refusal.Kind != fault.TicketTableFull {
			h.notRun = true
		}
	}
}

func TestAttemptsAreForgottenAfterTheirTime(t *testing.T) {
	a := NewAttempts(AttemptConfig{Keep: 100, MaxOpen: 10, MaxKeptBytes: 1000})
	for i := range 5 {
		id := fmt.Sprint(i)
		a.Begin(1, id, 50)
		a.End(id, &Answer{Body: make([]byte, 100)}, nil)
	}
	a.Begin(151, "later", 200)
	if a.Open() != 1 || a.keptBytes != 0 {
		t.Errorf("%d attempts and %d bytes are kept, want 1 and 0", a.Open(), a.keptBytes)
	}
}
