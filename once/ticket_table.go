package once

import (
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// teamShareDivisor limits one team to one part in teamShareDivisor of the
// tickets that may be open.
const teamShareDivisor = 4

// TicketConfig holds the identity and the limits of a home daemon.
type TicketConfig struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// Secret is the key of the ticket MACs. It is random and never leaves the
	// process.
	Secret []byte
	// TTL is the time from its issue for which a ticket is valid, in
	// milliseconds.
	TTL clock.Millis
	// MaxTickets limits the tickets that are issued and not expired, and so also
	// the records of used tickets.
	MaxTickets int
	// MaxCachedBytes limits the total size of the answers that are cached for
	// repeats, in bytes.
	MaxCachedBytes int
}

// Answer is the target's response to an action.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one header field of an answer.
type Header struct {
	Name  string
	Value string
}

// byteSize returns the bytes of the body and the headers.
func (a *Answer) byteSize() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Decision says what to do on one arrival of an action: Run, Join, Replay or
// Deny.
type Decision interface {
	decision()
}

// Run permits the action. The caller must run it now and then report its end to
// the table.
type Run struct {
	// Serial is the ticket's serial; 0 for attempts.
	Serial uint64
}

// Join says that the action is already running. The caller must wait for its
// end and then repeat the call that returned Join.
type Join struct {
	// Serial is the ticket's serial; 0 for attempts.
	Serial uint64
}

// Replay returns the cached answer of an action that ran before.
type Replay struct {
	Answer *Answer
}

// Deny refuses the action. The outcome in the refusal says whether the action
// may have run.
type Deny struct {
	Refusal *fault.Refusal
}

func (Run) decision()    {}
func (Join) decision()   {}
func (Replay) decision() {}
func (Deny) decision()   {}

// actionState is the state of a used ticket or of an attempt.
type actionState int

const (
	stateRunning actionState = iota
	// stateAnswered: the action ran, and its target answered.
	stateAnswered
	// stateVoid: the action did not run and never will.
	stateVoid
	// stateFailed: the action ended with a refusal. For a ticket, its outcome is
	// unknown; an attempt has this state after any refusal.
	stateFailed
)

// actionRecord holds the state of one used ticket or attempt.
type actionRecord struct {
	state actionState
	// expires is the time until which the record must be kept.
	expires clock.Millis
	// answer is the cached answer in stateAnswered, or nil if the size limit
	// left no room for it.
	answer *Answer
	// refusal is returned to repeats in stateVoid and stateFailed.
	refusal *fault.Refusal
	// deliveries are the replies with the answer of an attempt whose arrival has not been
	// confirmed.
	deliveries []Delivery
}

// ticketBatch counts the tickets that one call of Issue returned.
type ticketBatch struct {
	team    ident.Team
	count   int
	expires clock.Millis
}

// TicketTable issues the tickets of one daemon and records their use. It is not
// safe for concurrent use.
type TicketTable struct {
	cfg TicketConfig
	// lastSerial is the serial of the last ticket issued.
	lastSerial uint64
	// batches holds the unexpired batches, oldest first.
	batches []ticketBatch
	// open is the number of tickets in batches.
	open       int
	openByTeam map[ident.Team]int
	// records holds the used tickets by serial. A record is removed only after
	// its ticket has expired and its action has ended.
	records map[uint64]*actionRecord
	// order holds the serials of records in order of first use.
	order []uint64
	// cachedSerials holds the serials whose answers were cached, oldest first.
	cachedSerials []uint64
	// cachedBytes is the total size of the cached answers.
	cachedBytes int
}

// NewTicketTable returns a table without tickets.
func NewTicketTable(cfg TicketConfig) *TicketTable {
	return &TicketTable{cfg: cfg, openByTeam: map[ident.Team]int{}, records: map[uint64]*actionRecord{}}
}

// TTL returns the time from its issue for which a ticket is valid.
func (t *TicketTable) TTL() clock.Millis { return t.cfg.TTL }

// OpenCount returns the number of issued tickets that had not expired at the
// last call of Issue, Begin or Void.
func (t *TicketTable) OpenCount() int { return t.open }

// UsedCount returns the number of records of used tickets.
func (t *TicketTable) UsedCount() int { return len(t.records) }

// Issue returns between 1 and n tickets, in text form, for a team's actions on a
// service. If the daemon or the team has reached its limit, it returns a refusal
// with the time after which to repeat.
func (t *TicketTable) Issue(now clock.Millis, team ident.Team, service ident.Service, n int) ([]string, *fault.Refusal) {
	t.removeExpired(now)
	n = min(n, t.cfg.MaxTickets-t.open, t.cfg.MaxTickets/teamShareDivisor-t.openByTeam[team])
	if n <= 0 {
		return nil, fault.NotRun(fault.TicketTableFull,
			"instance %s has no ticket left for team %s: use the tickets at hand or repeat later", t.cfg.Instance, team).
			WithRetryAfter(t.retryAfter(now))
	}
	tickets := make([]string, 0, n)
	for range n {
		t.lastSerial++
		ticket := Ticket{Home: t.cfg.Instance, Incarnation: t.cfg.Incarnation, Serial: t.lastSerial, IssuedAt: now}
		ticket.mac = ticketMAC(t.cfg.Secret, ticket, team, service)
		tickets = append(tickets, ticket.String())
	}
	t.batches = append(t.batches, ticketBatch{team: team, count: n, expires: now + t.cfg.TTL})
	t.open += n
	t.openByTeam[team] += n
	return tickets, nil
}

// retryAfter returns the time until the oldest batch expires, at least 1 s.
func (t *TicketTable) retryAfter(now clock.Millis) clock.Millis {
	if len(t.batches) == 0 {
		return clock.Second
	}
	return max(t.batches[0].expires-now, clock.Second)
}

// Begin decides on an action that arrives with its ticket. It returns Run for the
// first arrival only; for later ones the decision depends on the state of that
// run.
func (t *TicketTable) Begin(now clock.Millis, ticket Ticket, team ident.Team, service ident.Service) Decision {
	t.removeExpired(now)
	if rec, refusal := t.lookUp(now, ticket, team, service); refusal != nil {
		return Deny{Refusal: refusal}
	} else if rec != nil {
		return t.repeatDecision(ticket.Serial, rec)
	}
	t.addRecord(ticket, &actionRecord{state: stateRunning})
	return Run{Serial: ticket.Serial}
}

// Void withdraws an unused ticket: its action never runs, and the refusal has
// the outcome not_run. For a used ticket it returns what Begin would.
func (t *TicketTable) Void(now clock.Millis, ticket Ticket, team ident.Team, service ident.Service) Decision {
	t.removeExpired(now)
	if rec, refusal := t.lookUp(now, ticket, team, service); refusal != nil {
		return Deny{Refusal: refusal}
	} else if rec != nil {
		return t.repeatDecision(ticket.Serial, rec)
	}
	refusal := fault.NotRun(fault.TicketVoid, "ticket was withdrawn before its action ran: take a new ticket and send the action again")
	t.addRecord(ticket, &actionRecord{state: stateVoid, refusal: refusal})
	return Deny{Refusal: refusal}
}

// lookUp returns the record of a valid ticket, nil if the ticket is unused, or a
// refusal if this table did not issue the ticket or the ticket has expired.
func (t *TicketTable) lookUp(now clock.Millis, ticket Ticket, team ident.Team, service ident.Service) (*actionRecord, *fault.Refusal) {
	if ticket.Home != t.cfg.Instance || ticket.Incarnation != t.cfg.Incarnation {
		return nil, fault.Unknown(fault.HomeGone,
			"the daemon that issued this ticket has ended: look the action up before ordering it again with a new ticket")
	}
	if !ticket.isAuthentic(t.cfg.Secret, team, service) || ticket.Serial > t.lastSerial {
		return nil, fault.Unknown(fault.TicketInvalid,
			"ticket was not issued to team %s for service %s: send the ticket unchanged with the key it came for", team, service)
	}
	if now >= ticket.IssuedAt+t.cfg.TTL {
		return nil, fault.Unknown(fault.TicketExpired,
			"ticket is older than %d s: look the action up before ordering it again with a new ticket", t.cfg.TTL/clock.Second)
	}
	return t.records[ticket.Serial], nil
}

// repeatDecision returns the decision on a ticket that was used before.
func (t *TicketTable) repeatDecision(serial uint64, rec *actionRecord) Decision {
	switch {
	case rec.state == stateRunning:
		return Join{Serial: serial}
	case rec.state == stateAnswered && rec.answer != nil:
		return Replay{Answer: rec.answer}
	case rec.state == stateAnswered:
		return Deny{Refusal: fault.Unknown(fault.AnswerDropped,
			"the action ran and its answer is no longer kept: look the action up, do not order it again")}
	default:
		return Deny{Refusal: rec.refusal}
	}
}

// addRecord records the first use of a ticket.
func (t *TicketTable) addRecord(ticket Ticket, rec *actionRecord) {
	rec.expires = ticket.IssuedAt + t.cfg.TTL
	t.records[ticket.Serial] = rec
	t.order = append(t.order, ticket.Serial)
}

// RecordAnswer ends a running action with its answer and caches the answer for
// repeats. The oldest answers are dropped to keep the size limit; an answer above
// the limit is not cached. It does nothing if the action is not running.
func (t *TicketTable) RecordAnswer(serial uint64, answer *Answer) {
	rec := t.records[serial]
	if rec == nil || rec.state != stateRunning {
		return
	}
	rec.state = stateAnswered
	if answer.byteSize() > t.cfg.MaxCachedBytes {
		return
	}
	rec.answer = answer
	t.cachedSerials = append(t.cachedSerials, serial)
	t.cachedBytes += answer.byteSize()
	for t.cachedBytes > t.cfg.MaxCachedBytes {
		t.dropAnswer(t.cachedSerials[0])
		t.cachedSerials = t.cachedSerials[1:]
	}
}

// RecordRefusal ends a running action with a refusal, which repeats get too. The
// ticket never runs again, whether the outcome is not_run or unknown. It does
// nothing if the action is not running.
func (t *TicketTable) RecordRefusal(serial uint64, refusal *fault.Refusal) {
	rec := t.records[serial]
	if rec == nil || rec.state != stateRunning {
		return
	}
	rec.state = stateFailed
	if refusal.Outcome == ident.OutcomeNotRun {
		rec.state = stateVoid
	}
	rec.refusal = refusal
}

// dropAnswer removes the cached answer of a ticket, if there is one.
func (t *TicketTable) dropAnswer(serial uint64) {
	rec := t.records[serial]
	if rec == nil || rec.answer == nil {
		return
	}
	t.cachedBytes -= rec.answer.byteSize()
	rec.answer = nil
}

// removeExpired removes the batches and the records that have expired. Records go
// in order of first use, up to the first one that is running or has not expired.
func (t *TicketTable) removeExpired(now clock.Millis) {
	for len(t.batches) > 0 && now >= t.batches[0].expires {
		batch := t.batches[0]
		t.batches = t.batches[1:]
		t.open -= batch.count
		t.openByTeam[batch.team] -= batch.count
		if t.openByTeam[batch.team] == 0 {
			delete(t.openByTeam, batch.team)
		}
	}
	for len(t.order) > 0 {
		serial := t.order[0]
		rec := t.records[serial]
		if now < rec.expires || rec.state == stateRunning {
			break
		}
		t.dropAnswer(serial)
		delete(t.records, serial)
		t.order = t.order[1:]
	}
	for len(t.cachedSerials) > 0 && !t.hasAnswer(t.cachedSerials[0]) {
		t.cachedSerials = t.cachedSerials[1:]
	}
}

// hasAnswer reports whether the answer of a ticket is cached.
func (t *TicketTable) hasAnswer(serial uint64) bool {
	rec := t.records[serial]
	return rec != nil && rec.answer != nil
}
