package once

import (
	"chestnutlatch/clock"
	"chestnutlatch/fault"
)

// AttemptConfig bounds the memory of attempts.
type AttemptConfig struct {
	// Keep is how long an attempt is remembered after its deadline, in
	// milliseconds. It covers copies that were delayed on the way.
	Keep clock.Millis
	// MaxOpen bounds the remembered attempts.
	MaxOpen int
	// MaxKeptBytes bounds the answers kept for repeats.
	MaxKeptBytes int
}

// Attempts is a guard's memory of one-time requests that callers name
// themselves. An attempt runs at most once here; what its sender asks about
// and never arrived is void from then on. It is not safe for concurrent use.
type Attempts struct {
	cfg  AttemptConfig
	uses map[string]*use
	// order holds the ids in the order of arrival.
	order     []string
	keptBytes int
}

// NewAttempts returns an empty memory.
func NewAttempts(cfg AttemptConfig) *Attempts {
	return &Attempts{cfg: cfg, uses: map[string]*use{}}
}

// Open returns the number of remembered attempts.
func (a *Attempts) Open() int { return len(a.uses) }

// Begin decides on the arrival of an attempt that ends at a deadline. Run
// tells to run it now and to call End.
func (a *Attempts) Begin(now clock.Millis, id string, deadline clock.Millis) Verdict {
	if u := a.uses[id]; u != nil {
		return u.verdict()
	}
	a.sweep(now)
	if len(a.uses) >= a.cfg.MaxOpen {
		return Deny{fault.NotRun(fault.TicketTableFull, "too many one-time actions are remembered here: repeat after the given time").
			After(clock.Second)}
	}
	a.remember(id, &use{phase: phaseRunning, expires: deadline + a.cfg.Keep})
	return Run{}
}

// Ask decides on a sender's question about an attempt whose answer it lacks. A
// copy that is still on its way finds the attempt void.
func (a *Attempts) Ask(now clock.Millis, id string, deadline clock.Millis) Verdict {
	if u := a.uses[id]; u != nil {
		return u.verdict()
	}
	a.sweep(now)
	refusal := fault.NotRun(fault.PathFailed, "request did not arrive: repeat the request")
	a.remember(id, &use{phase: phaseVoid, expires: deadline + a.cfg.Keep, refusal: refusal})
	return Deny{refusal}
}

func (u *use) verdict() Verdict {
	switch u.phase {
	case phaseRunning:
		return Join{}
	case phaseAnswered:
		if u.answer == nil {
			return Deny{fault.Unknown(fault.AnswerDropped, "the action ran and its answer is no longer kept: look it up")}
		}
		return Replay{u.answer}
	default:
		return Deny{u.refusal}
	}
}

// End records the end of a running attempt: its answer, or why it was refused.
func (a *Attempts) End(id string, answer *Answer, refusal *fault.Refusal) {
	u := a.uses[id]
	if u == nil {
		return
	}
	if refusal != nil {
		u.phase, u.refusal = phaseFailed, refusal
		return
	}
	u.phase = phaseAnswered
	if a.keptBytes+answer.size() <= a.cfg.MaxKeptBytes {
		u.answer = answer
		a.keptBytes += answer.size()
	}
}

func (a *Attempts) remember(id string, u *use) {
	a.uses[id] = u
	a.order = append(a.order, id)
}

// sweep forgets the oldest attempts that have expired. One that lasts longer
// than those behind it delays their end, which only costs memory.
func (a *Attempts) sweep(now clock.Millis) {
	n := 0
	for _, id := range a.order {
		u := a.uses[id]
		if u.phase == phaseRunning || now <= u.expires {
			break
		}
		if u.answer != nil {
			a.keptBytes -= u.answer.size()
		}
		delete(a.uses, id)
		n++
	}
	a.order = a.order[n:]
}
