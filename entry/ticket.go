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
	"chestnutlatch/region"
	"chestnutlatch/wire"
)

const (
	// ticketHeader carries a one-time action's ticket.
	ticketHeader = "Idempotency-Key"
	// ticketsPath is the path that issues tickets. Its query gives the path of
	// the action and the count.
	ticketsPath = "/.well-known/chestnutlatch/tickets"
	// maxTickets is the maximum number of tickets in one answer.
	maxTickets = 32
	// maxTicketAttempts bounds the number of targets whose daemons are asked for
	// tickets.
	maxTicketAttempts = 3
	// maxRelayAttempts bounds the number of daemons through which a one-time
	// action is relayed.
	maxRelayAttempts = 2
)

// serveOneTime serves a one-time action. An action without a ticket is refused with a
// new one. Only the ticket's home daemon can confirm that an action has not run, so an
// action over the team's rate is still sent there, to void the ticket.
func (e *Entry) serveOneTime(ctx context.Context, c *fasthttp.RequestCtx, r *request) *fault.Refusal {
	if r.ticket == "" {
		return e.refuseWithTicket(ctx, r)
	}
	t, err := once.Parse(r.ticket)
	if err != nil {
		return fault.Unknown(fault.TicketInvalid, "%v", err)
	}
	r.out.OneTime = true
	r.out.Ticket = r.ticket
	overRate := e.takeToken(ctx, r.team)
	// Outside the allowed regions the ticket's home daemon only gets the question whether
	// the action has run.
	outside := r.regions.IsRestricted() && !r.regions.Permits(e.client.regionOf(t.Home))
	r.out.VoidOnly = overRate != nil || outside
	reply, refusal := e.forwardToHome(ctx, r, t)
	if refusal == nil && reply.GetRefusal() != nil {
		refusal = guard.RefusalFromWire(reply.GetRefusal())
	}
	if refusal != nil && outside && overRate == nil && isVoided(refusal) {
		return fault.NotRun(fault.NoRegion, "the daemon that issued this ticket is outside the allowed regions: take a new ticket").
			WithRetryAfter(retryAfterNoTarget)
	}
	if refusal != nil {
		return explainOverRate(overRate, refusal)
	}
	if reply.GetReplayed() {
		e.Meter.Replayed.Inc()
	}
	writeAnswer(c, reply.GetAnswer())
	return nil
}

// explainOverRate returns overRate, the refusal for the team's rate, if it is not nil
// and r says that the home daemon has voided the ticket: the action then never runs
// with this ticket. Otherwise it returns r, the home daemon's refusal.
func explainOverRate(overRate, r *fault.Refusal) *fault.Refusal {
	if overRate == nil || !isVoided(r) {
		return r
	}
	overRate.Message += "; then take a new ticket"
	return overRate
}

// isVoided reports whether a refusal says that the ticket is void and its action never ran.
func isVoided(r *fault.Refusal) bool {
	return r.Kind == fault.TicketVoid && r.Outcome == ident.OutcomeNotRun
}

// forwardToHome sends the action to the ticket's home daemon: first directly, unless
// the path is unreachable, and then through other daemons. Sending it again is safe,
// because the home daemon runs each ticket at most once.
func (e *Entry) forwardToHome(ctx context.Context, r *request, t once.Ticket) (*wire.ForwardReply, *fault.Refusal) {
	address, inc, _ := e.Fleet.Locate(t.Home)
	if address == "" || inc > t.Incarnation {
		return nil, fault.Unknown(fault.HomeGone,
			"the daemon that issued this ticket has ended: look the action up before ordering it again with a new ticket")
	}
	r.out.TimeoutMs = uint32(max(r.deadline-e.Clock.Now(), 1))
	if !e.Picker.IsPathUnreachable(e.Clock.Now(), t.Home) {
		if reply, err := e.client.call(ctx, t.Home, address, r.out); err == nil {
			e.applyReplyLoad(r.route.Service, reply)
			return reply, nil
		}
	}
	r.out.RelayTo = string(t.Home)
	for _, relay := range e.Fleet.Relays(maxRelayAttempts, t.Home, e.client.relayFilter(r.regions, r.out)) {
		if ctx.Err() != nil {
			break
		}
		e.Meter.Relayed.Inc()
		if reply, err := e.client.callRelay(ctx, t.Home, relay, r.out); err == nil {
			return reply, nil
		}
	}
	return nil, fault.Unknown(fault.PathFailed,
		"the daemon that issued this ticket cannot be reached: send the action again with the same ticket")
}

// refuseWithTicket returns the refusal of an action that has no ticket, and puts a new
// ticket for it into r.
func (e *Entry) refuseWithTicket(ctx context.Context, r *request) *fault.Refusal {
	tickets, _, refusal := e.issueTickets(ctx, r.route, r.team, r.regions, 1)
	if refusal != nil {
		return refusal
	}
	r.newTicket = tickets[0]
	return fault.NotRun(fault.TicketRequired, "send the action again with the given ticket in the header %s", ticketHeader)
}

// handleTickets serves ticketsPath, where callers get tickets before they send their
// actions.
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
	var regions region.Policy
	if refusal == nil {
		regions, refusal = allowedRegions(route, team)
	}
	if refusal != nil {
		e.refuse(c, refusal, "")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), record.DefaultTimeout.Duration())
	defer cancel()
	tickets, ttl, refusal := e.issueTickets(ctx, route, team, regions, min(max(count, 1), maxTickets))
	if refusal != nil {
		e.refuse(c, refusal, "")
		return
	}
	body, err := json.Marshal(struct {
		Tickets []string     `json:"tickets"`
		TTL     clock.Millis `json:"ttl_ms"`
	}{tickets, ttl})
	if err != nil {
		e.refuse(c, fault.NotRun(fault.Malformed, "%v", err), "")
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}

// issueTickets gets 1 to n tickets and their time to live from a daemon with a target of
// the service. Issuing tickets runs no action, so after a failure another daemon can
// be tried.
func (e *Entry) issueTickets(ctx context.Context, route record.Route, team record.Team, regions region.Policy, n int) ([]string, clock.Millis, *fault.Refusal) {
	pickReq := e.pickRequest(route, regions)
	pickReq.FloorPercent = e.Table.FloorPercent(route.Service)
	last := noTargetRefusal(route.Service, regions)
	attempts := 0
	for calls := 0; attempts < maxTicketAttempts && calls < maxGuardCalls; calls++ {
		c, ok := e.Picker.Pick(e.Clock.Now(), pickReq)
		if !ok {
			break
		}
		e.Picker.Done(route.Service, c.Target)
		pickReq.Skip = append(pickReq.Skip, c.Target)
		reply, err := e.requestTickets(ctx, c, team.ID, route.Service, n)
		if err != nil {
			attempts++
			continue
		}
		if reply.GetRefusal() == nil {
			return reply.GetTickets(), clock.Millis(reply.GetTtlMs()), nil
		}
		last = guard.RefusalFromWire(reply.GetRefusal())
		if last.Kind != fault.Evacuated {
			attempts++
			continue
		}
		excludeCentre(&pickReq, c.DataCentre)
		if regions.IsRestricted() {
			last = noTargetRefusal(route.Service, regions)
		}
	}
	return nil, 0, last
}

// requestTickets asks the candidate's daemon for tickets. An error means that the
// call failed.
func (e *Entry) requestTickets(ctx context.Context, c choose.Candidate, team ident.Team, s ident.Service, n int) (*wire.TicketsReply, error) {
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
		e.Picker.MarkPathFailed(e.Clock.Now(), c.Instance)
		return nil, err
	}
	return reply, nil
}

// TicketsReply issues up to n tickets at guard g and returns them, or the guard's
// refusal, as a message of the inner protocol.
func TicketsReply(g *guard.Guard, team ident.Team, s ident.Service, n int) *wire.TicketsReply {
	tickets, refusal := g.IssueTickets(team, s, n)
	if refusal != nil {
		return &wire.TicketsReply{Refusal: guard.RefusalToWire(refusal)}
	}
	return &wire.TicketsReply{Tickets: tickets, TtlMs: uint32(g.TicketTTL())}
}
