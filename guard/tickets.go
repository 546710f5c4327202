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

// tickets is the home of this daemon's tickets, under its own lock, with the
// requests that wait for a running action.
type tickets struct {
	ttl clock.Millis

	mu   sync.Mutex
	home *once.Home
	// running holds a channel for each running action, closed at its end.
	running map[uint64]chan struct{}
}

func newTickets(h *once.Home) *tickets {
	return &tickets{ttl: h.TTL(), home: h, running: map[uint64]chan struct{}{}}
}

func (k *tickets) issue(now clock.Millis, team ident.Team, s ident.Service, n int) ([]string, *fault.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.home.Issue(now, team, s, n)
}

func (k *tickets) stats() (open, used int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.home.Open(), k.home.Used()
}

// arrive decides on one arrival. For Run the end channel is registered, for
// Join it is returned.
func (k *tickets) arrive(now clock.Millis, t once.Ticket, req *wire.ForwardRequest) (once.Verdict, chan struct{}) {
	team, service := ident.Team(req.GetTeam()), ident.Service(req.GetService())
	k.mu.Lock()
	defer k.mu.Unlock()
	var v once.Verdict
	if req.GetVoidOnly() {
		v = k.home.Void(now, t, team, service)
	} else {
		v = k.home.Begin(now, t, team, service)
	}
	switch v := v.(type) {
	case once.Run:
		k.running[v.Serial] = make(chan struct{})
		return v, nil
	case once.Join:
		return v, k.running[v.Serial]
	default:
		return v, nil
	}
}

// finish records the end of a running action and wakes those who wait.
func (k *tickets) finish(serial uint64, a *wire.Answer, r *fault.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r != nil {
		k.home.Refused(serial, r)
	} else {
		k.home.Answered(serial, toKept(a))
	}
	close(k.running[serial])
	delete(k.running, serial)
}

// forwardOnce serves a one-time action at the home of its ticket.
func (g *Guard) forwardOnce(ctx context.Context, req *wire.ForwardRequest, reply *wire.ForwardReply) {
	t, err := once.Parse(req.GetTicket())
	if err != nil {
		setRefusal(reply, fault.Unknown(fault.TicketInvalid, "%v", err))
		return
	}
	for {
		v, ended := g.home.arrive(g.clk.Now(), t, req)
		switch v := v.(type) {
		case once.Run:
			g.runOnce(ctx, v.Serial, req, reply)
			return
		case once.Replay:
			reply.Answer = fromKept(v.Answer)
			reply.Replayed = true
			return
		case once.Deny:
			setRefusal(reply, v.Refusal)
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

// runOnce runs an action. Once it has a slot it goes on without its caller, so
// that a repeat with the same ticket finds the answer.
func (g *Guard) runOnce(ctx context.Context, serial uint64, req *wire.ForwardRequest, reply *wire.ForwardReply) {
	type result struct {
		answer  *wire.Answer
		refusal *fault.Refusal
		load    *wire.LoadReport
	}
	done := make(chan result, 1)
	err := g.pool.Submit(func() {
		var res result
		t := g.ofService(ident.Service(req.GetService()))
		if t == nil {
			res.refusal = fault.NotRun(fault.Draining, "no target of service %s takes work here: take a new ticket", req.GetService())
		} else {
			res.answer, res.refusal, _ = g.serve(context.WithoutCancel(ctx), t, req)
			res.load = t.report(g.clk.Now())
		}
		g.home.finish(serial, res.answer, res.refusal)
		done <- res
	})
	if err != nil {
		r := fault.NotRun(fault.QueueFull, "daemon is busy: take a new ticket and repeat").After(clock.Second)
		g.home.finish(serial, nil, r)
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

func toKept(a *wire.Answer) *once.Answer {
	out := &once.Answer{Status: int(a.GetStatus()), Body: a.GetBody()}
	for _, h := range a.GetHeaders() {
		out.Headers = append(out.Headers, once.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return out
}

func fromKept(a *once.Answer) *wire.Answer {
	out := &wire.Answer{Status: uint32(a.Status), Body: a.Body}
	for _, h := range a.Headers {
		out.Headers = append(out.Headers, &wire.Header{Name: h.Name, Value: h.Value})
	}
	return out
}
