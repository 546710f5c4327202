package once

import (
	"chestnutlatch/clock"
	"chestnutlatch/fault"
)

// AttemptConfig holds the limits of an attempt table.
type AttemptConfig struct {
	// Keep is the time for which an attempt is kept after its deadline, in
	// milliseconds. Copies of a request that the network delays may arrive
	// within this time.
	Keep clock.Millis
	// MaxOpen is the number of kept attempts from which Begin refuses new ones.
	// Void marks for attempts that never arrived may exceed it.
	MaxOpen int
	// MaxKeptBytes limits the total size of the answers that are cached for
	// repeats, in bytes.
	MaxKeptBytes int
}

// Attempts records one-time requests that callers identify by their own attempt
// IDs. An attempt runs at most once at this daemon, as long as its record is
// kept. It is not safe for concurrent use.
type Attempts struct {
	cfg     AttemptConfig
	records map[string]*actionRecord
	// order holds the IDs in order of arrival.
	order []string
	// cachedBytes is the total size of the cached answers.
	cachedBytes int
}

// NewAttempts returns an empty table.
func NewAttempts(cfg AttemptConfig) *Attempts {
	return &Attempts{cfg: cfg, records: map[string]*actionRecord{}}
}

// Len returns the number of kept attempts.
func (a *Attempts) Len() int { return len(a.records) }

// Begin decides on the arrival of an attempt with the given deadline. After Run,
// the caller must run the attempt and then report its end. A full table refuses
// new attempts with outcome not_run.
func (a *Attempts) Begin(now clock.Millis, id string, deadline clock.Millis) Verdict {
	if rec := a.records[id]; rec != nil {
		return rec.decision()
	}
	a.removeExpired(now)
	if len(a.records) >= a.cfg.MaxOpen {
		return Deny{fault.NotRun(fault.TicketTableFull, "too many one-time actions are remembered here: repeat after the given time").
			After(clock.Second)}
	}
	a.addRecord(id, &actionRecord{state: stateRunning, expires: deadline + a.cfg.Keep})
	return Run{}
}

// Ask returns the state of an attempt to a sender that did not get its answer.
// If the attempt has not arrived here, it is marked as void, and a copy that
// arrives later does not run.
func (a *Attempts) Ask(now clock.Millis, id string, deadline clock.Millis) Verdict {
	if rec := a.records[id]; rec != nil {
		return rec.decision()
	}
	a.removeExpired(now)
	refusal := fault.NotRun(fault.PathFailed, "request did not arrive: repeat the request")
	a.addRecord(id, &actionRecord{state: stateVoid, expires: deadline + a.cfg.Keep, refusal: refusal})
	return Deny{refusal}
}

// decision returns the decision on an attempt that is already recorded.
func (rec *actionRecord) decision() Verdict {
	switch rec.state {
	case stateRunning:
		return Join{}
	case stateAnswered:
		if rec.answer == nil {
			return Deny{fault.Unknown(fault.AnswerDropped, "the action ran and its answer is no longer kept: look it up")}
		}
		return Replay{rec.answer}
	default:
		return Deny{rec.refusal}
	}
}

// End records the end of a running attempt: its refusal or, if refusal is nil,
// its answer. The answer is cached for repeats if the size limit leaves room for
// it. An unknown ID is ignored.
func (a *Attempts) End(id string, answer *Answer, refusal *fault.Refusal) {
	rec := a.records[id]
	if rec == nil {
		return
	}
	if refusal != nil {
		rec.state, rec.refusal = stateFailed, refusal
		return
	}
	rec.state = stateAnswered
	if a.cachedBytes+answer.byteSize() <= a.cfg.MaxKeptBytes {
		rec.answer = answer
		a.cachedBytes += answer.byteSize()
	}
}

// addRecord records the first arrival of an attempt.
func (a *Attempts) addRecord(id string, rec *actionRecord) {
	a.records[id] = rec
	a.order = append(a.order, id)
}

// removeExpired removes expired attempts, oldest arrival first, up to the first
// one that is running or has not expired. Later ones that expired earlier stay
// until then, which only costs memory.
func (a *Attempts) removeExpired(now clock.Millis) {
	n := 0
	for _, id := range a.order {
		rec := a.records[id]
		if rec.state == stateRunning || now <= rec.expires {
			break
		}
		if rec.answer != nil {
			a.cachedBytes -= rec.answer.byteSize()
		}
		delete(a.records, id)
		n++
	}
	a.order = a.order[n:]
}
