package once

import (
	"chestnutlatch/clock"
	"chestnutlatch/fault"
)

// AttemptConfig holds the limits of an attempt table.
type AttemptConfig struct {
	// Retention is the time for which an attempt is kept after its deadline, in
	// milliseconds. Copies of a request that the network delays may arrive
	// within this time.
	Retention clock.Millis
	// MaxAttempts is the number of kept attempts at which Begin refuses new ones and
	// Void marks no more.
	MaxAttempts int
	// MaxCachedBytes limits the total size of the answers that are cached for
	// repeats, in bytes.
	MaxCachedBytes int
}

// AttemptTable records one-time requests that callers identify by their own
// attempt IDs. An attempt runs at most once at this daemon, as long as its record
// is kept. The table is not safe for concurrent use.
type AttemptTable struct {
	cfg     AttemptConfig
	records map[string]*actionRecord
	// order holds the IDs in order of arrival.
	order []string
	// cachedBytes is the total size of the cached answers.
	cachedBytes int
}

// NewAttemptTable returns an empty table.
func NewAttemptTable(cfg AttemptConfig) *AttemptTable {
	return &AttemptTable{cfg: cfg, records: map[string]*actionRecord{}}
}

// Len returns the number of kept attempts.
func (a *AttemptTable) Len() int { return len(a.records) }

// Begin decides on the arrival of an attempt with the given deadline. After Run,
// the caller must run the attempt and then call Finish. A full table refuses new
// attempts with outcome not_run.
func (a *AttemptTable) Begin(now clock.Millis, id string, deadline clock.Millis) Decision {
	if rec := a.records[id]; rec != nil {
		return rec.decision()
	}
	a.removeExpired(now)
	if len(a.records) >= a.cfg.MaxAttempts {
		return Deny{fault.NotRun(fault.TicketTableFull, "too many one-time actions are remembered here: repeat after the given time").
			WithRetryAfter(clock.Second)}
	}
	a.addRecord(id, &actionRecord{state: stateRunning, expires: deadline + a.cfg.Retention})
	return Run{}
}

// Void returns the state of an attempt to a sender that did not get its answer.
// If the attempt has not arrived here, it is marked as void, and a copy that
// arrives later does not run. A full table cannot keep the mark, so the outcome is
// then unknown.
func (a *AttemptTable) Void(now clock.Millis, id string, deadline clock.Millis) Decision {
	if rec := a.records[id]; rec != nil {
		return rec.decision()
	}
	a.removeExpired(now)
	if len(a.records) >= a.cfg.MaxAttempts {
		return Deny{fault.Unknown(fault.TicketTableFull, "too many one-time actions are remembered here: look the action up")}
	}
	refusal := fault.NotRun(fault.PathFailed, "request did not arrive: repeat the request")
	a.addRecord(id, &actionRecord{state: stateVoid, expires: deadline + a.cfg.Retention, refusal: refusal})
	return Deny{refusal}
}

// decision returns the decision on an attempt that is already recorded.
func (rec *actionRecord) decision() Decision {
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

// Finish records the end of a running attempt: its refusal or, if refusal is
// nil, its answer. The answer is cached for repeats if the size limit leaves room
// for it. An unknown ID and an attempt that does not run are ignored.
func (a *AttemptTable) Finish(id string, answer *Answer, refusal *fault.Refusal) {
	rec := a.records[id]
	if rec == nil || rec.state != stateRunning {
		return
	}
	if refusal != nil {
		rec.state, rec.refusal = stateFailed, refusal
		return
	}
	rec.state = stateAnswered
	if a.cachedBytes+answer.byteSize() <= a.cfg.MaxCachedBytes {
		rec.answer = answer
		a.cachedBytes += answer.byteSize()
	}
}

// addRecord records the first arrival of an attempt.
func (a *AttemptTable) addRecord(id string, rec *actionRecord) {
	a.records[id] = rec
	a.order = append(a.order, id)
}

// removeExpired removes expired attempts, oldest arrival first, up to the first
// one that is running or has not expired. Later ones that expired earlier stay
// until then, which only costs memory.
func (a *AttemptTable) removeExpired(now clock.Millis) {
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
