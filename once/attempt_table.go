package once

import (
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
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

// Delivery identifies a reply with the answer of an attempt.
type Delivery struct {
	// Sender is the daemon that sent the request.
	Sender ident.Incarnation
	// Sequence is that of the request.
	Sequence uint64
}

// maxDeliveries bounds the unconfirmed replies that are recorded for one attempt.
const maxDeliveries = 4

// AttemptTable records one-time requests that callers identify by their own
// attempt IDs. An attempt runs at most once at this daemon, as long as its record
// is kept. The table is not safe for concurrent use.
//
// Answers are cached for senders that may still ask for them. When there is no room for
// another one, the table drops those that have arrived, then those whose deadline has
// passed, each the oldest first.
type AttemptTable struct {
	cfg     AttemptConfig
	records map[string]*actionRecord
	// order holds the IDs in order of arrival.
	order []string
	// cached holds the IDs whose answers were cached and delivered those whose answers have
	// arrived at their senders, oldest first. Their answers may have been dropped since.
	cached, delivered []string
	// unconfirmed holds the IDs of the attempts by their deliveries.
	unconfirmed map[Delivery]string
	// cachedBytes is the total size of the cached answers.
	cachedBytes int
}

// NewAttemptTable returns an empty table.
func NewAttemptTable(cfg AttemptConfig) *AttemptTable {
	return &AttemptTable{cfg: cfg, records: map[string]*actionRecord{}, unconfirmed: map[Delivery]string{}}
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
// nil, its answer. The answer is cached for repeats if there is room for it besides
// those that senders may still ask for. An unknown ID and an attempt that does not run
// are ignored.
func (a *AttemptTable) Finish(now clock.Millis, id string, answer *Answer, refusal *fault.Refusal) {
	rec := a.records[id]
	if rec == nil || rec.state != stateRunning {
		return
	}
	if refusal != nil {
		rec.state, rec.refusal = stateFailed, refusal
		return
	}
	rec.state = stateAnswered
	if a.makeRoom(now, answer.byteSize()) {
		rec.answer = answer
		a.cachedBytes += answer.byteSize()
		a.cached = append(a.cached, id)
	}
}

// makeRoom drops answers that nobody asks for any more until n bytes are free, and
// reports whether they are.
func (a *AttemptTable) makeRoom(now clock.Millis, n int) bool {
	isFree := func() bool { return a.cachedBytes+n <= a.cfg.MaxCachedBytes }
	for len(a.delivered) > 0 && !isFree() {
		a.dropAnswer(a.delivered[0])
		a.delivered = a.delivered[1:]
	}
	for len(a.cached) > 0 {
		rec := a.records[a.cached[0]]
		if rec != nil && rec.answer != nil && (isFree() || now <= rec.expires-a.cfg.Retention) {
			break
		}
		a.dropAnswer(a.cached[0])
		a.cached = a.cached[1:]
	}
	return isFree()
}

// dropAnswer removes the cached answer of an attempt, if there is one.
func (a *AttemptTable) dropAnswer(id string) {
	rec := a.records[id]
	if rec == nil || rec.answer == nil {
		return
	}
	a.forgetDeliveries(rec)
	a.cachedBytes -= rec.answer.byteSize()
	rec.answer = nil
}

func (a *AttemptTable) forgetDeliveries(rec *actionRecord) {
	for _, d := range rec.deliveries {
		delete(a.unconfirmed, d)
	}
	rec.deliveries = nil
}

// RecordReply records that a reply with the attempt's answer is sent. An attempt without
// a cached answer is ignored.
func (a *AttemptTable) RecordReply(id string, d Delivery) {
	rec := a.records[id]
	if rec == nil || rec.answer == nil || len(rec.deliveries) >= maxDeliveries {
		return
	}
	rec.deliveries = append(rec.deliveries, d)
	a.unconfirmed[d] = id
}

// ConfirmReply records that a reply has arrived. Its answer stays in the cache until the
// room is needed. An unknown delivery is ignored.
func (a *AttemptTable) ConfirmReply(d Delivery) {
	id, ok := a.unconfirmed[d]
	if !ok {
		return
	}
	a.forgetDeliveries(a.records[id])
	a.delivered = append(a.delivered, id)
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
		a.dropAnswer(id)
		delete(a.records, id)
		n++
	}
	a.order = a.order[n:]
	a.cached = a.withAnswer(a.cached)
	a.delivered = a.withAnswer(a.delivered)
}

// withAnswer returns a list of IDs without those at its head whose answers are no longer
// cached.
func (a *AttemptTable) withAnswer(ids []string) []string {
	for len(ids) > 0 {
		if rec := a.records[ids[0]]; rec != nil && rec.answer != nil {
			break
		}
		ids = ids[1:]
	}
	return ids
}
