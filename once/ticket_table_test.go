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
	testTTL     = 60 * clock.Second
	testMaxOpen = 40
	testKept    = 200
)

func testHome(name string, inc ident.Incarnation) *Home {
	return New(Config{
		Instance: ident.Instance(name), Incarnation: inc,
		Secret: fmt.Appendf(nil, "secret of %s/%d", name, inc),
		TTL:    testTTL, MaxOpen: testMaxOpen, MaxKeptBytes: testKept,
	})
}

// message is a copy of an action on its way to a home.
type message struct {
	action int
	ticket string
	void   bool
}

// running is an action that a home has allowed.
type running struct {
	home   *Home
	serial uint64
	action int
	ticket string
	ran    bool
}

// world is a few homes, callers that repeat, and a network that delays,
// doubles and loses. The oracle counts the runs of each action.
type world struct {
	homes []*Home
	now   []clock.Millis
	incs  []ident.Incarnation
	sent  []message
	live  []running
	// ticketOf is the ticket that each action's caller holds.
	ticketOf []string
	runs     map[int]int
	ranWith  map[string]bool
	// deniedRun holds the tickets whose callers were told not_run.
	deniedRun map[string]bool
	bodies    map[string]string
}

func newWorld(n int) *world {
	w := &world{runs: map[int]int{}, ranWith: map[string]bool{}, deniedRun: map[string]bool{}, bodies: map[string]string{}}
	for i := range n {
		w.homes = append(w.homes, testHome(fmt.Sprint("h", i), 1))
		w.now = append(w.now, 0)
		w.incs = append(w.incs, 1)
	}
	return w
}

func (w *world) order(t *rapid.T) {
	tickets, r := w.issue(t)
	if r == nil {
		w.ticketOf = append(w.ticketOf, tickets[0])
	}
}

func (w *world) issue(t *rapid.T) ([]string, *fault.Refusal) {
	h := rapid.IntRange(0, len(w.homes)-1).Draw(t, "home")
	return w.homes[h].Issue(w.now[h], "team", "svc", 1)
}

func (w *world) send(t *rapid.T) {
	if len(w.ticketOf) == 0 {
		t.Skip("no action")
	}
	a := rapid.IntRange(0, len(w.ticketOf)-1).Draw(t, "action")
	w.sent = append(w.sent, message{action: a, ticket: w.ticketOf[a], void: rapid.Bool().Draw(t, "void")})
}

func (w *world) deliver(t *rapid.T) {
	if len(w.sent) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(w.sent)-1).Draw(t, "message")
	m := w.sent[i]
	if !rapid.Bool().Draw(t, "doubled") {
		w.sent = append(w.sent[:i], w.sent[i+1:]...)
	}
	tk, err := Parse(m.ticket)
	if err != nil {
		t.Fatalf("own ticket does not parse: %v", err)
	}
	h := int(tk.Home[1] - '0')
	var v Verdict
	if m.void {
		v = w.homes[h].Void(w.now[h], tk, "team", "svc")
	} else {
		v = w.homes[h].Begin(w.now[h], tk, "team", "svc")
	}
	w.take(t, h, m, v)
}

func (w *world) take(t *rapid.T, h int, m message, v Verdict) {
	lost := rapid.Bool().Draw(t, "answer lost")
	switch v := v.(type) {
	case Run:
		w.live = append(w.live, running{home: w.homes[h], serial: v.Serial, action: m.action, ticket: m.ticket})
	case Replay:
		if got := string(v.Answer.Body); got != w.bodies[m.ticket] {
			t.Fatalf("replay of %s gives %q, the action left %q", m.ticket, got, w.bodies[m.ticket])
		}
	case Deny:
		if v.Refusal.Outcome != ident.OutcomeNotRun {
			return
		}
		w.deniedRun[m.ticket] = true
		if lost || w.ticketOf[m.action] != m.ticket {
			return
		}
		// The caller believes not_run and orders the action anew.
		if tickets, r := w.issue(t); r == nil {
			w.ticketOf[m.action] = tickets[0]
		}
	case Join:
	}
}

func (w *world) execute(t *rapid.T) {
	if len(w.live) == 0 {
		t.Skip("nothing allowed")
	}
	r := &w.live[rapid.IntRange(0, len(w.live)-1).Draw(t, "running")]
	if !r.ran {
		r.ran = true
		w.runs[r.action]++
		w.ranWith[r.ticket] = true
	}
}

func (w *world) finish(t *rapid.T) {
	if len(w.live) == 0 {
		t.Skip("nothing allowed")
	}
	i := rapid.IntRange(0, len(w.live)-1).Draw(t, "running")
	r := w.live[i]
	w.live = append(w.live[:i], w.live[i+1:]...)
	switch {
	case !r.ran:
		r.home.Refused(r.serial, fault.NotRun(fault.QueueFull, "full"))
	case rapid.Bool().Draw(t, "failed"):
		r.home.Refused(r.serial, fault.Unknown(fault.HalfAnswer, "half"))
	default:
		w.bodies[r.ticket] = fmt.Sprint("done ", r.action)
		r.home.Answered(r.serial, &Answer{Status: 200, Body: []byte(w.bodies[r.ticket])})
	}
}

// kill restarts a home with an empty memory. What it had allowed may still
// run at the target.
func (w *world) kill(t *rapid.T) {
	h := rapid.IntRange(0, len(w.homes)-1).Draw(t, "home")
	w.incs[h]++
	w.homes[h] = testHome(fmt.Sprint("h", h), w.incs[h])
	w.now[h] = 0
}

// pass moves one home's clock, so that homes pause against each other.
func (w *world) pass(t *rapid.T) {
	h := rapid.IntRange(0, len(w.homes)-1).Draw(t, "home")
	w.now[h] += clock.Millis(rapid.IntRange(1, int(testTTL)).Draw(t, "millis"))
}

func (w *world) check(t *rapid.T) {
	for a, n := range w.runs {
		if n > 1 {
			t.Fatalf("action %d ran %d times", a, n)
		}
	}
	for ticket := range w.deniedRun {
		if w.ranWith[ticket] {
			t.Fatalf("ticket %s ran and its caller was told not_run", ticket)
		}
	}
	for _, h := range w.homes {
		if h.Used() > testMaxOpen+len(w.live) || h.keptBytes > testKept {
			t.Fatalf("table holds %d uses and %d answer bytes", h.Used(), h.keptBytes)
		}
	}
}

func TestActionsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		t.Repeat(map[string]func(*rapid.T){
			"order": w.order, "send": w.send, "deliver": w.deliver, "execute": w.execute,
			"finish": w.finish, "kill": w.kill, "pass": w.pass, "": w.check,
		})
	})
}

func TestForeignTicketsAreRefused(t *testing.T) {
	h := testHome("h", 1)
	tickets, _ := h.Issue(0, "team", "svc", 1)
	good, err := Parse(tickets[0])
	if err != nil {
		t.Fatal(err)
	}
	forged := good
	forged.Serial = 2
	later := good
	later.Issued = 5
	tests := []struct {
		name    string
		ticket  Ticket
		team    ident.Team
		service ident.Service
		now     clock.Millis
		want    fault.Kind
	}{
		{"other team", good, "rival", "svc", 0, fault.TicketInvalid},
		{"other service", good, "team", "other", 0, fault.TicketInvalid},
		{"forged serial", forged, "team", "svc", 0, fault.TicketInvalid},
		{"forged time", later, "team", "svc", 0, fault.TicketInvalid},
		{"expired", good, "team", "svc", testTTL, fault.TicketExpired},
		{"earlier life", Ticket{Home: "h", Incarnation: 0, Serial: 1}, "team", "svc", 0, fault.HomeGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d, ok := h.Begin(tt.now, tt.ticket, tt.team, tt.service).(Deny)
			if !ok || d.Refusal.Kind != tt.want || d.Refusal.Outcome != ident.OutcomeUnknown {
				t.Errorf("Begin() = %+v, want refusal %s with outcome unknown", d.Refusal, tt.want)
			}
		})
	}
}

func TestOneTeamCannotTakeAllTickets(t *testing.T) {
	h := testHome("h", 1)
	got, _ := h.Issue(0, "greedy", "svc", testMaxOpen)
	if len(got) != testMaxOpen/teamPart {
		t.Errorf("greedy team got %d tickets, want %d", len(got), testMaxOpen/teamPart)
	}
	if _, r := h.Issue(0, "greedy", "svc", 1); r == nil || r.Kind != fault.TicketTableFull {
		t.Errorf("second issue = %v, want ticket_table_full", r)
	}
	if _, r := h.Issue(0, "modest", "svc", 1); r != nil {
		t.Errorf("modest team is refused: %v", r)
	}
}

func TestParseRejects(t *testing.T) {
	for _, s := range []string{"", "t1", "t2~h~1~1~1~x", "t1~~1~1~1~x", "t1~h~!~1~1~x", "t1~h~1~1~1~x~y"} {
		if _, err := Parse(s); err == nil {
			t.Errorf("Parse(%q) succeeded", s)
		}
	}
}
