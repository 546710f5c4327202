package once

import (
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// teamPart bounds one team to one part in teamPart of the open tickets.
const teamPart = 4

// Config holds a home's identity and bounds.
type Config struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// Secret signs tickets; it is random and never leaves the process.
	Secret []byte
	// TTL is how long a ticket can be used, in milliseconds.
	TTL clock.Millis
	// MaxOpen bounds the tickets that are issued and not expired, and so the
	// table of used ones.
	MaxOpen int
	// MaxKeptBytes bounds the answers kept for repeats.
	MaxKeptBytes int
}

// Answer is what an action left for its caller.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Header is one header of an answer.
type Header struct {
	Name  string
	Value string
}

func (a *Answer) size() int {
	n := len(a.Body)
	for _, h := range a.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Verdict is the home's word on one arrival of a ticket: Run, Join, Replay or
// Deny.
type Verdict interface {
	verdict()
}

// Run tells the caller of Begin to run the action now and to call Finish.
type Run struct {
	Serial uint64
}

// Join tells that the action is running; wait for its Finish.
type Join struct {
	Serial uint64
}

// Replay carries the kept answer of an action that ran before.
type Replay struct {
	Answer *Answer
}

// Deny refuses the arrival.
type Deny struct {
	Refusal *fault.Refusal
}

func (Run) verdict()    {}
func (Join) verdict()   {}
func (Replay) verdict() {}
func (Deny) verdict()   {}

type phase int

const (
	phaseRunning phase = iota
	phaseAnswered
	phaseVoid
	phaseFailed
)

type use struct {
	phase   phase
	expires clock.Millis
	// answer is nil when it was dropped to keep the bound.
	answer *Answer
	// refusal is what a void or failed action answers.
	refusal *fault.Refusal
}

type issue struct {
	team    ident.Team
	count   int
	expires clock.Millis
}

// Home is one daemon's memory of tickets. It is not safe for concurrent use.
type Home struct {
	cfg Config
	// serial is the last ticket issued.
	serial uint64
	// issues holds the unexpired issues, oldest first.
	issues []issue
	open   int
	byTeam map[ident.Team]int
	// uses holds every used ticket that has not expired. A used ticket leaves
	// only when it has expired and is no longer running.
	uses map[uint64]*use
	// order holds used serials in the order of use.
	order []uint64
	// kept holds the serials with an answer, oldest first.
	kept      []uint64
	keptBytes int
}

// New returns a home with no tickets.
func New(cfg Config) *Home {
	return &Home{cfg: cfg, byTeam: map[ident.Team]int{}, uses: map[uint64]*use{}}
}

// TTL returns how long a ticket can be used.
func (h *Home) TTL() clock.Millis { return h.cfg.TTL }

// Open returns the number of issued tickets that have not expired.
func (h *Home) Open() int { return h.open }

// Used returns the size of the table of used tickets.
func (h *Home) Used() int { return len(h.uses) }

// Issue returns up to n tickets for a team's actions on a service.
func (h *Home) Issue(now clock.Millis, team ident.Team, service ident.Service, n int) ([]string, *fault.Refusal) {
	h.expire(now)
	n = min(n, h.cfg.MaxOpen-h.open, h.cfg.MaxOpen/teamPart-h.byTeam[team])
	if n <= 0 {
		return nil, fault.NotRun(fault.TicketTableFull,
			"instance %s has no ticket left for team %s: use the tickets at hand or repeat later", h.cfg.Instance, team).
			After(h.retryAfter(now))
	}
	out := make([]string, 0, n)
	for range n {
		h.serial++
		t := Ticket{Home: h.cfg.Instance, Incarnation: h.cfg.Incarnation, Serial: h.serial, Issued: now}
		t.mac = sign(h.cfg.Secret, t, team, service)
		out = append(out, t.String())
	}
	h.issues = append(h.issues, issue{team: team, count: n, expires: now + h.cfg.TTL})
	h.open += n
	h.byTeam[team] += n
	return out, nil
}

func (h *Home) retryAfter(now clock.Millis) clock.Millis {
	if len(h.issues) == 0 {
		return clock.Second
	}
	return max(h.issues[0].expires-now, clock.Second)
}

// Begin decides on the arrival of an action with its ticket.
func (h *Home) Begin(now clock.Millis, t Ticket, team ident.Team, service ident.Service) Verdict {
	h.expire(now)
	if u, deny := h.check(now, t, team, service); deny != nil {
		return Deny{Refusal: deny}
	} else if u != nil {
		return h.again(t.Serial, u)
	}
	h.add(t, &use{phase: phaseRunning})
	return Run{Serial: t.Serial}
}

// Void makes sure that an unused ticket never runs. For a used ticket it
// returns what Begin would.
func (h *Home) Void(now clock.Millis, t Ticket, team ident.Team, service ident.Service) Verdict {
	h.expire(now)
	if u, deny := h.check(now, t, team, service); deny != nil {
		return Deny{Refusal: deny}
	} else if u != nil {
		return h.again(t.Serial, u)
	}
	r := fault.NotRun(fault.TicketVoid, "ticket was withdrawn before its action ran: take a new ticket and send the action again")
	h.add(t, &use{phase: phaseVoid, refusal: r})
	return Deny{Refusal: r}
}

// check returns the earlier use of a genuine ticket, or a refusal.
func (h *Home) check(now clock.Millis, t Ticket, team ident.Team, service ident.Service) (*use, *fault.Refusal) {
	if t.Home != h.cfg.Instance || t.Incarnation != h.cfg.Incarnation {
		return nil, fault.Unknown(fault.HomeGone,
			"the daemon that issued this ticket has ended: look the action up before ordering it again with a new ticket")
	}
	if !t.genuine(h.cfg.Secret, team, service) || t.Serial > h.serial {
		return nil, fault.Unknown(fault.TicketInvalid,
			"ticket was not issued to team %s for service %s: send the ticket unchanged with the key it came for", team, service)
	}
	if now >= t.Issued+h.cfg.TTL {
		return nil, fault.Unknown(fault.TicketExpired,
			"ticket is older than %d s: look the action up before ordering it again with a new ticket", h.cfg.TTL/clock.Second)
	}
	return h.uses[t.Serial], nil
}

func (h *Home) again(serial uint64, u *use) Verdict {
	switch {
	case u.phase == phaseRunning:
		return Join{Serial: serial}
	case u.phase == phaseAnswered && u.answer != nil:
		return Replay{Answer: u.answer}
	case u.phase == phaseAnswered:
		return Deny{Refusal: fault.Unknown(fault.AnswerDropped,
			"the action ran and its answer is no longer kept: look the action up, do not order it again")}
	default:
		return Deny{Refusal: u.refusal}
	}
}

func (h *Home) add(t Ticket, u *use) {
	u.expires = t.Issued + h.cfg.TTL
	h.uses[t.Serial] = u
	h.order = append(h.order, t.Serial)
}

// Answered ends a running action with its answer.
func (h *Home) Answered(serial uint64, a *Answer) {
	u := h.uses[serial]
	if u == nil || u.phase != phaseRunning {
		return
	}
	u.phase = phaseAnswered
	if a.size() > h.cfg.MaxKeptBytes {
		return
	}
	u.answer = a
	h.kept = append(h.kept, serial)
	h.keptBytes += a.size()
	for h.keptBytes > h.cfg.MaxKeptBytes {
		h.dropAnswer(h.kept[0])
		h.kept = h.kept[1:]
	}
}

// Refused ends a running action with a refusal. With outcome not_run the
// ticket is void from now on; with outcome unknown it never runs again.
func (h *Home) Refused(serial uint64, r *fault.Refusal) {
	u := h.uses[serial]
	if u == nil || u.phase != phaseRunning {
		return
	}
	u.phase = phaseFailed
	if r.Outcome == ident.OutcomeNotRun {
		u.phase = phaseVoid
	}
	u.refusal = r
}

func (h *Home) dropAnswer(serial uint64) {
	u := h.uses[serial]
	if u == nil || u.answer == nil {
		return
	}
	h.keptBytes -= u.answer.size()
	u.answer = nil
}

// expire forgets what can no longer be asked for.
func (h *Home) expire(now clock.Millis) {
	for len(h.issues) > 0 && now >= h.issues[0].expires {
		i := h.issues[0]
		h.issues = h.issues[1:]
		h.open -= i.count
		h.byTeam[i.team] -= i.count
		if h.byTeam[i.team] == 0 {
			delete(h.byTeam, i.team)
		}
	}
	for len(h.order) > 0 {
		serial := h.order[0]
		u := h.uses[serial]
		if now < u.expires || u.phase == phaseRunning {
			return
		}
		h.dropAnswer(serial)
		delete(h.uses, serial)
		h.order = h.order[1:]
	}
}
