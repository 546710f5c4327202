package once

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

const (
	testTTL            = 60 * clock.Second
	testMaxTickets     = 40
	testMaxCachedBytes = 200
)

// newTestHome returns the ticket table of a home daemon. Each name and
// incarnation has a secret of its own.
func newTestHome(name string, incarnation ident.Incarnation) *TicketTable {
	return NewTicketTable(TicketConfig{
		Instance: ident.Instance(name), Incarnation: incarnation,
		Secret: fmt.Appendf(nil, "secret of %s/%d", name, incarnation),
		TTL:    testTTL, MaxTickets: testMaxTickets, MaxCachedBytes: testMaxCachedBytes,
	})
}

// message is a copy of an action in transit to its home daemon.
type message struct {
	action int
	ticket string
	// void is true for a call of Void instead of Begin.
	void bool
}

// admittedAction is an action that a home daemon has permitted and whose end has
// not been reported to it.
type admittedAction struct {
	home   *TicketTable
	serial uint64
	action int
	ticket string
	// ran reports whether the target has run the action.
	ran bool
}

// simulation models several home daemons by their ticket tables, callers that
// repeat their actions, and a network that delays, duplicates and loses messages.
// It counts the runs of each action.
type simulation struct {
	homes []*TicketTable
	// now is the clock of each home daemon.
	now          []clock.Millis
	incarnations []ident.Incarnation
	inTransit    []message
	admitted     []admittedAction
	// ticketOf holds the current ticket of each action.
	ticketOf []string
	// runs counts the runs of each action.
	runs       map[int]int
	ranTickets map[string]bool
	// notRunTickets holds the tickets that were refused with outcome not_run.
	notRunTickets map[string]bool
	// bodies holds the body of the answer for each ticket.
	bodies map[string]string
}

// newSimulation returns a simulation of n home daemons.
func newSimulation(n int) *simulation {
	s := &simulation{runs: map[int]int{}, ranTickets: map[string]bool{}, notRunTickets: map[string]bool{}, bodies: map[string]string{}}
	for i := range n {
		s.homes = append(s.homes, newTestHome(fmt.Sprint("h", i), 1))
		s.now = append(s.now, 0)
		s.incarnations = append(s.incarnations, 1)
	}
	return s
}

// newAction adds an action with a new ticket.
func (s *simulation) newAction(t *rapid.T) {
	tickets, refusal := s.issue(t)
	if refusal == nil {
		s.ticketOf = append(s.ticketOf, tickets[0])
	}
}

// issue takes one ticket from a random home.
func (s *simulation) issue(t *rapid.T) ([]string, *fault.Refusal) {
	h := rapid.IntRange(0, len(s.homes)-1).Draw(t, "home")
	return s.homes[h].Issue(s.now[h], "team", "svc", 1)
}

// send puts a copy of an action, or a request to void its ticket, in transit.
func (s *simulation) send(t *rapid.T) {
	if len(s.ticketOf) == 0 {
		t.Skip("no action")
	}
	a := rapid.IntRange(0, len(s.ticketOf)-1).Draw(t, "action")
	s.inTransit = append(s.inTransit, message{action: a, ticket: s.ticketOf[a], void: rapid.Bool().Draw(t, "void")})
}

// deliver delivers a message in transit and sometimes keeps a copy of it there.
func (s *simulation) deliver(t *rapid.T) {
	if len(s.inTransit) == 0 {
		t.Skip("no message in transit")
	}
	i := rapid.IntRange(0, len(s.inTransit)-1).Draw(t, "message")
	m := s.inTransit[i]
	if !rapid.Bool().Draw(t, "duplicated") {
		s.inTransit = append(s.inTransit[:i], s.inTransit[i+1:]...)
	}
	parsed, err := Parse(m.ticket)
	if err != nil {
		t.Fatalf("issued ticket does not parse: %v", err)
	}
	h := int(parsed.Home[1] - '0')
	var d Decision
	if m.void {
		d = s.homes[h].Void(s.now[h], parsed, "team", "svc")
	} else {
		d = s.homes[h].Begin(s.now[h], parsed, "team", "svc")
	}
	s.handleDecision(t, h, m, d)
}

// handleDecision checks the decision d of home daemon h on a message. The answer
// to the caller may be lost.
func (s *simulation) handleDecision(t *rapid.T, h int, m message, d Decision) {
	lost := rapid.Bool().Draw(t, "answer lost")
	switch d := d.(type) {
	case Run:
		s.admitted = append(s.admitted, admittedAction{home: s.homes[h], serial: d.Serial, action: m.action, ticket: m.ticket})
	case Replay:
		if got := string(d.Answer.Body); got != s.bodies[m.ticket] {
			t.Fatalf("replay for ticket %s has body %q, want %q", m.ticket, got, s.bodies[m.ticket])
		}
	case Deny:
		if d.Refusal.Outcome != ident.OutcomeNotRun {
			return
		}
		s.notRunTickets[m.ticket] = true
		if lost || s.ticketOf[m.action] != m.ticket {
			return
		}
		// After not_run, the caller sends the action again with a new ticket.
		if tickets, refusal := s.issue(t); refusal == nil {
			s.ticketOf[m.action] = tickets[0]
		}
	case Join:
	}
}

// execute runs an admitted action at its target.
func (s *simulation) execute(t *rapid.T) {
	if len(s.admitted) == 0 {
		t.Skip("no admitted action")
	}
	admitted := &s.admitted[rapid.IntRange(0, len(s.admitted)-1).Draw(t, "admitted")]
	if !admitted.ran {
		admitted.ran = true
		s.runs[admitted.action]++
		s.ranTickets[admitted.ticket] = true
	}
}

// finish reports the end of an admitted action to its home.
func (s *simulation) finish(t *rapid.T) {
	if len(s.admitted) == 0 {
		t.Skip("no admitted action")
	}
	i := rapid.IntRange(0, len(s.admitted)-1).Draw(t, "admitted")
	admitted := s.admitted[i]
	s.admitted = append(s.admitted[:i], s.admitted[i+1:]...)
	switch {
	case !admitted.ran:
		admitted.home.RecordRefusal(admitted.serial, fault.NotRun(fault.QueueFull, "full"))
	case rapid.Bool().Draw(t, "failed"):
		admitted.home.RecordRefusal(admitted.serial, fault.Unknown(fault.HalfAnswer, "half"))
	default:
		s.bodies[admitted.ticket] = fmt.Sprint("done ", admitted.action)
		admitted.home.RecordAnswer(admitted.serial, &Answer{Status: 200, Body: []byte(s.bodies[admitted.ticket])})
	}
}

// restart replaces a home daemon by one in a new incarnation without records.
// Actions that the earlier one admitted may still run at their targets.
func (s *simulation) restart(t *rapid.T) {
	h := rapid.IntRange(0, len(s.homes)-1).Draw(t, "home")
	s.incarnations[h]++
	s.homes[h] = newTestHome(fmt.Sprint("h", h), s.incarnations[h])
	s.now[h] = 0
}

// advance moves the clock of one home daemon only, as if the others were paused.
func (s *simulation) advance(t *rapid.T) {
	h := rapid.IntRange(0, len(s.homes)-1).Draw(t, "home")
	s.now[h] += clock.Millis(rapid.IntRange(1, int(testTTL)).Draw(t, "millis"))
}

// check verifies the guarantees and the limits of the tables.
func (s *simulation) check(t *rapid.T) {
	for a, n := range s.runs {
		if n > 1 {
			t.Fatalf("action %d ran %d times", a, n)
		}
	}
	for ticket := range s.notRunTickets {
		if s.ranTickets[ticket] {
			t.Fatalf("action of ticket %s ran, but was refused with outcome not_run", ticket)
		}
	}
	for _, h := range s.homes {
		if h.UsedCount() > testMaxTickets+len(s.admitted) || h.cachedBytes > testMaxCachedBytes {
			t.Fatalf("home has %d records and %d answer bytes, which exceeds its limits", h.UsedCount(), h.cachedBytes)
		}
	}
}

// TestActionsRunAtMostOnce checks that no action runs twice, even when callers
// repeat it, messages are duplicated or lost, and homes restart.
func TestActionsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(3)
		t.Repeat(map[string]func(*rapid.T){
			"new action": s.newAction, "send": s.send, "deliver": s.deliver, "execute": s.execute,
			"finish": s.finish, "kill and restart": s.restart, "pass time": s.advance, "": s.check,
		})
	})
}

// TestInvalidTicketsAreRefused checks that a home refuses tickets that were
// issued to others, changed, expired, or issued by an earlier incarnation.
func TestInvalidTicketsAreRefused(t *testing.T) {
	home := newTestHome("h", 1)
	tickets, _ := home.Issue(0, "team", "svc", 1)
	valid, err := Parse(tickets[0])
	if err != nil {
		t.Fatal(err)
	}
	changedSerial := valid
	changedSerial.Serial = 2
	changedTime := valid
	changedTime.IssuedAt = 5
	tests := []struct {
		name    string
		ticket  Ticket
		team    ident.Team
		service ident.Service
		now     clock.Millis
		want    fault.Kind
	}{
		{"other team", valid, "other", "svc", 0, fault.TicketInvalid},
		{"other service", valid, "team", "other", 0, fault.TicketInvalid},
		{"forged serial", changedSerial, "team", "svc", 0, fault.TicketInvalid},
		{"forged issue time", changedTime, "team", "svc", 0, fault.TicketInvalid},
		{"expired", valid, "team", "svc", testTTL, fault.TicketExpired},
		{"earlier incarnation", Ticket{Home: "h", Incarnation: 0, Serial: 1}, "team", "svc", 0, fault.HomeGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			deny, ok := home.Begin(tt.now, tt.ticket, tt.team, tt.service).(Deny)
			if !ok || deny.Refusal.Kind != tt.want || deny.Refusal.Outcome != ident.OutcomeUnknown {
				t.Errorf("Begin() = %+v, want refusal %s with outcome unknown", deny.Refusal, tt.want)
			}
		})
	}
}

// TestOneTeamCannotHoldAllTickets checks that a team that has reached its limit
// gets no more tickets, while another team still does.
func TestOneTeamCannotHoldAllTickets(t *testing.T) {
	home := newTestHome("h", 1)
	got, _ := home.Issue(0, "busy", "svc", testMaxTickets)
	if len(got) != testMaxTickets/teamShareDivisor {
		t.Errorf("busy team got %d tickets, want %d", len(got), testMaxTickets/teamShareDivisor)
	}
	if _, refusal := home.Issue(0, "busy", "svc", 1); refusal == nil || refusal.Kind != fault.TicketTableFull {
		t.Errorf("second Issue() refused with %v, want ticket_table_full", refusal)
	}
	if _, refusal := home.Issue(0, "quiet", "svc", 1); refusal != nil {
		t.Errorf("quiet team is refused: %v", refusal)
	}
}

// TestParseRejectsMalformedTickets checks that Parse returns an error for text
// that is not a ticket.
func TestParseRejectsMalformedTickets(t *testing.T) {
	for _, s := range []string{"", "t1", "t2~h~1~1~1~x", "t1~~1~1~1~x", "t1~h~!~1~1~x", "t1~h~1~1~1~x~y"} {
		if _, err := Parse(s); err == nil {
			t.Errorf("Parse(%q) succeeded, want an error", s)
		}
	}
}

// TestCachedSerialsAreBounded uses tickets for many times their time to live, with
// answers that never reach the size limit.
func TestCachedSerialsAreBounded(t *testing.T) {
	home := newTestHome("h", 1)
	now := clock.Millis(0)
	for range 5000 {
		now += testTTL / 10
		tickets, refusal := home.Issue(now, "team", "svc", 1)
		if refusal != nil {
			t.Fatal(refusal)
		}
		ticket, err := Parse(tickets[0])
		if err != nil {
			t.Fatal(err)
		}
		run, ok := home.Begin(now, ticket, "team", "svc").(Run)
		if !ok {
			t.Fatal("a new ticket may not run")
		}
		home.RecordAnswer(run.Serial, &Answer{Status: 200, Body: []byte("x")})
	}
	if len(home.cachedSerials) > testMaxTickets {
		t.Errorf("%d serials of cached answers are kept for %d records", len(home.cachedSerials), home.UsedCount())
	}
}
