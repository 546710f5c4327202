package guard

import (
	"context"
	"sync"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/once"
	"chestnutlatch/wire"
)

// ticketTracker holds the tickets that this daemon issued and lets repeated sends
// of a running action wait for its end. It is safe for concurrent use.
type ticketTracker struct {
	ttl clock.Millis

	mu    sync.Mutex
	table *once.TicketTable
	// running holds a channel for each running action by its ticket's serial
	// number. The channel is closed when the action ends.
	running map[uint64]chan struct{}
}

func newTicketTracker(table *once.TicketTable) *ticketTracker {
	return &ticketTracker{ttl: table.TTL(), table: table, running: map[uint64]chan struct{}{}}
}

func (tr *ticketTracker) issue(now clock.Millis, team ident.Team, s ident.Service, n int) ([]string, *fault.Refusal) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.table.Issue(now, team, s, n)
}

func (tr *ticketTracker) stats() (open, used int) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.table.OpenCount(), tr.table.UsedCount()
}

// begin decides how to handle an action that arrived. For once.Run it registers
// the channel that finish closes; for once.Join it returns that channel.
func (tr *ticketTracker) begin(now clock.Millis, t once.Ticket, req *wire.ForwardRequest) (once.Decision, chan struct{}) {
	team, service := ident.Team(req.GetTeam()), ident.Service(req.GetService())
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var decision once.Decision
	if req.GetVoidOnly() {
		decision = tr.table.Void(now, t, team, service)
	} else {
		decision = tr.table.Begin(now, t, team, service)
	}
	switch decision := decision.(type) {
	case once.Run:
		tr.running[decision.Serial] = make(chan struct{})
		return decision, nil
	case once.Join:
		return decision, tr.running[decision.Serial]
	default:
		return decision, nil
	}
}

// finish records the answer or the refusal of a running action and wakes the
// requests that wait for it.
func (tr *ticketTracker) finish(serial uint64, a *wire.Answer, r *fault.Refusal) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if r != nil {
		tr.table.RecordRefusal(serial, r)
	} else {
		tr.table.RecordAnswer(serial, toCachedAnswer(a))
	}
	close(tr.running[serial])
	delete(tr.running, serial)
}

// forwardTicket serves a one-time action whose ticket this daemon issued.
func (g *Guard) forwardTicket(ctx context.Context, req *wire.ForwardRequest, reply *wire.ForwardReply) {
	t, err := once.Parse(req.GetTicket())
	if err != nil {
		setRefusal(reply, fault.Unknown(fault.TicketInvalid, "%v", err))
		return
	}
	for {
		decision, ended := g.tickets.begin(g.clk.Now(), t, req)
		switch decision := decision.(type) {
		case once.Run:
			g.runTicket(ctx, decision.Serial, req, reply)
			return
		case once.Replay:
			reply.Answer = fromCachedAnswer(decision.Answer)
			reply.Replayed = true
			return
		case once.Deny:
			setRefusal(reply, decision.Refusal)
			return
		case once.Join:
			select {
			case <-ended:
			case <-ctx.Done():
				setRefusal(reply, fault.Unknown(fault.DeadlineExceeded,
					"the action is still running: send it again with the same ticket for its answer"))
				return
			}
		}
	}
}

// runTicket runs an action. The action continues when the caller cancels, and a
// repeated request with the same ticket gets its answer.
func (g *Guard) runTicket(ctx context.Context, serial uint64, req *wire.ForwardRequest, reply *wire.ForwardReply) {
	type result struct {
		answer  *wire.Answer
		refusal *fault.Refusal
		load    *wire.LoadReport
	}
	done := make(chan result, 1)
	err := g.pool.Submit(func() {
		var res result
		t := g.leastBusyTarget(ident.Service(req.GetService()))
		if t == nil {
			res.refusal = fault.NotRun(fault.Draining, "no target of service %s takes work here: take a new ticket", req.GetService())
		} else {
			res.answer, res.refusal, _ = g.serve(context.WithoutCancel(ctx), t, req)
			res.load = t.loadReport(g.clk.Now())
		}
		g.tickets.finish(serial, res.answer, res.refusal)
		done <- res
	})
	if err != nil {
		r := fault.NotRun(fault.QueueFull, "daemon is busy: take a new ticket and repeat").WithRetryAfter(clock.Second)
		g.tickets.finish(serial, nil, r)
		setRefusal(reply, r)
		return
	}
	select {
	case res := <-done:
		setResult(reply, res.answer, res.refusal)
		reply.Load = res.load
	case <-ctx.Done():
		setRefusal(reply, fault.Unknown(fault.DeadlineExceeded,
			"the action is still running: send it again with the same ticket for its answer"))
	}
}

func toCachedAnswer(a *wire.Answer) *once.Answer {
	out := &once.Answer{Status: int(a.GetStatus()), Body: a.GetBody()}
	for _, h := range a.GetHeaders() {
		out.Headers = append(out.Headers, once.Header{Name: string(h.GetName()), Value: string(h.GetValue())})
	}
	return out
}

func fromCachedAnswer(a *once.Answer) *wire.Answer {
	out := &wire.Answer{Status: uint32(a.Status), Body: a.Body}
	for _, h := range a.Headers {
		out.Headers = append(out.Headers, &wire.Header{Name: []byte(h.Name), Value: []byte(h.Value)})
	}
	return out
}
