package entry

import (
	"context"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/once"
	"chestnutlatch/record"
	"chestnutlatch/wire"
)

const (
	// ticketHeader carries a one-time action's ticket.
	ticketHeader = "Idempotency-Key"
	// ticketsPath issues tickets; its query names the path and the count.
	ticketsPath = "/.well-known/chestnutlatch/tickets"
	// maxTickets bounds the tickets of one answer.
	maxTickets = 32
	// homeAttempts bounds the daemons asked for a ticket.
	homeAttempts = 3
	// relayAttempts bounds the daemons that a one-time action is sent
	// through.
	relayAttempts = 2
)

// serveOnce serves a one-time action. Only the ticket's home can say that it
// has not run.
func (e *Entry) serveOnce(ctx context.Context, c *fasthttp.RequestCtx, r *request) *fault.Refusal {
	if r.ticket == "" {
		e.askForTicket(ctx, c, r)
		return nil
	}
	t, err := once.Parse(r.ticket)
	if err != nil {
		return fault.Unknown(fault.TicketInvalid, "%v", err)
	}
	r.out.OneTime = true
	r.out.Ticket = r.ticket
	over := e.takeToken(ctx, r.team)
	r.out.VoidOnly = over != nil
	reply, refusal := e.callHome(ctx, r, t)
	if refusal == nil && reply.GetRefusal() != nil {
		refusal = guard.FromWire(reply.GetRefusal())
	}
	if refusal != nil {
		return explainOver(over, refusal)
	}
	if reply.GetReplayed() {
		e.Meter.Replayed.Inc()
	}
	writeAnswer(c, reply.GetAnswer())
	return nil
}

// explainOver tells a caller over its rate so, if the home has made sure that
// the action never runs with this ticket.
func explainOver(over, r *fault.Refusal) *fault.Refusal {
	if over == nil || r.Kind != fault.TicketVoid || r.Outcome != ident.OutcomeNotRun {
		return r
	}
	over.Message += "; then take a new ticket"
	return over
}

// callHome sends the action to the ticket's home, directly and then through
// other daemons. Sending it again is safe: the home knows the ticket.
func (e *Entry) callHome(ctx context.Context, r *request, t once.Ticket) (*wire.ForwardReply, *fault.Refusal) {
	address, inc, _ := e.Fleet.Locate(t.Home)
	if address == "" || inc > t.Incarnation {
		return nil, fault.Unknown(fault.HomeGone,
			"the daemon that issued this ticket has ended: look the action up before ordering it again with a new ticket")
	}
	r.out.TimeoutMs = uint32(max(r.deadline-e.Clock.Now(), 1))
	if !e.Picker.IsPathBad(e.Clock.Now(), t.Home) {
		if reply, err := e.link.call(ctx, t.Home, address, r.out); err == nil {
			e.takeReport(r.route.Service, reply)
			return reply, nil
		}
	}
	r.out.RelayTo = string(t.Home)
	for _, relay := range e.Fleet.Relays(relayAttempts, t.Home) {
		if ctx.Err() != nil {
			break
		}
		e.Meter.Relayed.Inc()
		e.link.stamp(r.out)
		if reply, err := e.link.remote(ctx, relay, r.out); err == nil {
			return reply, nil
		}
	}
	return nil, fault.Unknown(fault.PathFailed,
		"the daemon that issued this ticket cannot be reached: send the action again with the same ticket")
}

// askForTicket answers an action without a ticket with a fresh one.
func (e *Entry) askForTicket(ctx context.Context, c *fasthttp.RequestCtx, r *request) {
	tickets, _, refusal := e.issue(ctx, r.route, r.team, 1)
	if refusal == nil {
		refusal = fault.NotRun(fault.TicketRequired, "send the action again with the given ticket in the header %s", ticketHeader)
		e.Meter.Refused(refusal)
		e.writeRefusal(c, refusal, tickets[0])
		return
	}
	e.refuse(c, refusal)
}

// handleTickets serves callers that take tickets ahead of their actions.
func (e *Entry) handleTickets(c *fasthttp.RequestCtx) {
	path := string(c.QueryArgs().Peek("path"))
	count, err := c.QueryArgs().GetUint("count")
	if err != nil {
		count = 1
	}
	route, team, refusal := e.authorize(c, path, e.Clock.Now())
	if refusal == nil && !route.OneTime {
		refusal = fault.NotRun(fault.Malformed, "path %q is no one-time action: send it without a ticket", path)
	}
	if refusal != nil {
		e.refuse(c, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), record.DefaultTimeout.Duration())
	defer cancel()
	tickets, ttl, refusal := e.issue(ctx, route, team, min(max(count, 1), maxTickets))
	if refusal != nil {
		e.refuse(c, refusal)
		return
	}
	body, err := json.Marshal(struct {
		Tickets []string     `json:"tickets"`
		TTL     clock.Millis `json:"ttl_ms"`
	}{tickets, ttl})
	if err != nil {
		e.refuse(c, fault.NotRun(fault.Malformed, "%v", err))
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// issue takes tickets from a daemon beside a target of the service. Asking
// runs nothing, so that another daemon can always be tried.
func (e *Entry) issue(ctx context.Context, route record.Route, team record.Team, n int) ([]string, clock.Millis, *fault.Refusal) {
	want := choose.Want{
		Service:      route.Service,
		FloorPercent: e.Table.FloorPercent(route.Service),
		IsDrained:    e.Table.Draining,
	}
	last := fault.NotRun(fault.NoCapacity, "service %s has no target that takes work: repeat after the given time", route.Service).
		After(retryNoTarget)
	for range homeAttempts {
		c, ok := e.Picker.Pick(e.Clock.Now(), want)
		if !ok {
			break
		}
		e.Picker.Done(route.Service, c.Target)
		want.Skip = append(want.Skip, c.Target)
		reply, err := e.askTickets(ctx, c, team.ID, route.Service, n)
		if err != nil {
			continue
		}
		if reply.GetRefusal() == nil {
			return reply.GetTickets(), clock.Millis(reply.GetTtlMs()), nil
		}
		last = guard.FromWire(reply.GetRefusal())
	}
	return nil, 0, last
}

func (e *Entry) askTickets(ctx context.Context, c choose.Candidate, team ident.Team, s ident.Service, n int) (*wire.TicketsReply, error) {
	if c.Instance == e.Instance {
		return TicketsReply(e.Guard, team, s, n), nil
	}
	client, err := e.Peers.Get(c.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	reply, err := client.Tickets(ctx, &wire.TicketsRequest{Team: string(team), Service: string(s), Count: uint32(n)})
	if err != nil {
		e.Picker.PathFailed(e.Clock.Now(), c.Instance)
		return nil, err
	}
	return reply, nil
}

// TicketsReply issues tickets at a guard and writes them for the inner
// protocol.
func TicketsReply(g *guard.Guard, team ident.Team, s ident.Service, n int) *wire.TicketsReply {
	tickets, refusal := g.Tickets(team, s, n)
	if refusal != nil {
		return &wire.TicketsReply{Refusal: guard.ToWire(refusal)}
	}
	return &wire.TicketsReply{Tickets: tickets, TtlMs: uint32(g.TicketTTL())}
}
