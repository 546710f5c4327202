package guard

import (
	"context"
	"sync"
	"time"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/once"
	"chestnutlatch/wire"
)

// attempts is this guard's memory of one-time requests, under its own lock,
// with the senders that wait for a running one.
type attempts struct {
	mu   sync.Mutex
	mind *once.Attempts
	// running holds a channel for each running attempt, closed at its end.
	running map[string]chan struct{}
}

func newAttempts(mind *once.Attempts) *attempts {
	return &attempts{mind: mind, running: map[string]chan struct{}{}}
}

// arrive decides on one arrival. For Run the end channel is registered, for
// Join it is returned.
func (k *attempts) arrive(now clock.Millis, req *wire.ForwardRequest) (once.Verdict, chan struct{}) {
	id := req.GetAttempt()
	deadline := now + clock.Millis(req.GetTimeoutMs())
	k.mu.Lock()
	defer k.mu.Unlock()
	var v once.Verdict
	if req.GetVoidOnly() {
		v = k.mind.Ask(now, id, deadline)
	} else {
		v = k.mind.Begin(now, id, deadline)
	}
	switch v.(type) {
	case once.Run:
		k.running[id] = make(chan struct{})
		return v, nil
	case once.Join:
		return v, k.running[id]
	default:
		return v, nil
	}
}

// finish records the end of a running attempt and wakes those who wait.
func (k *attempts) finish(id string, a *wire.Answer, r *fault.Refusal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r != nil {
		k.mind.End(id, nil, r)
	} else {
		k.mind.End(id, toKept(a), nil)
	}
	close(k.running[id])
	delete(k.running, id)
}

// forwardAttempt serves a one-time request that its caller named. A sender that
// lost the answer asks again and gets it, or learns that nothing ran.
func (g *Guard) forwardAttempt(ctx context.Context, req *wire.ForwardRequest, reply *wire.ForwardReply) {
	if req.GetVoidOnly() && ident.Incarnation(req.GetHomeIncarnation()) != g.cfg.Incarnation {
		setRefusal(reply, fault.Unknown(fault.HomeGone, "the daemon that took this action has ended: look the action up"))
		return
	}
	for {
		v, ended := g.attempts.arrive(g.clk.Now(), req)
		switch v := v.(type) {
		case once.Run:
			g.runAttempt(ctx, req, reply)
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
				setRefusal(reply, fault.Unknown(fault.DeadlineExceeded, "the action is still running: look it up"))
				return
			}
		}
	}
}

// runAttempt runs an attempt. Once its target works on it, it goes on without
// its sender, so that a lost path does not lose the answer.
func (g *Guard) runAttempt(ctx context.Context, req *wire.ForwardRequest, reply *wire.ForwardReply) {
	type result struct {
		answer  *wire.Answer
		refusal *fault.Refusal
		arrived bool
	}
	done := make(chan result, 1)
	t := g.find(ident.Target(req.GetTarget()))
	err := g.pool.Submit(func() {
		var res result
		if t == nil {
			res.refusal = goneRefusal(req)
		} else {
			res.answer, res.refusal, res.arrived = g.serve(ctx, t, req)
		}
		g.attempts.finish(req.GetAttempt(), res.answer, res.refusal)
		done <- res
	})
	if err != nil {
		r := fault.NotRun(fault.QueueFull, "daemon is busy: repeat after the given time").After(clock.Second)
		g.attempts.finish(req.GetAttempt(), nil, r)
		setRefusal(reply, r)
		return
	}
	select {
	case res := <-done:
		setResult(reply, res.answer, res.refusal)
		reply.Arrived = res.arrived
		if t != nil {
			reply.Load = t.report(g.clk.Now())
		}
	case <-ctx.Done():
		select {
		case res := <-done:
			// It had waited, and is out of the queue at once.
			setResult(reply, res.answer, res.refusal)
		case <-time.After(lastWord):
			setRefusal(reply, fault.Unknown(fault.Canceled, "request ended while it was served"))
		}
	}
}

// lastWord is how long the word of a request that only waited may take after its
// sender has ended it.
const lastWord = 20 * time.Millisecond

func goneRefusal(req *wire.ForwardRequest) *fault.Refusal {
	return fault.NotRun(fault.Draining, "target %s is not here any more: repeat the request", req.GetTarget())
}
