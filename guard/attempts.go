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

// attemptTracker records the one-time requests whose callers send attempt IDs. It
// lets repeated sends of a running request wait for its end. It is safe for
// concurrent use.
type attemptTracker struct {
	mu    sync.Mutex
	table *once.AttemptTable
	// running holds a channel for each running attempt by its ID. The channel is
	// closed when the attempt ends.
	running map[string]chan struct{}
}

func newAttemptTracker(table *once.AttemptTable) *attemptTracker {
	return &attemptTracker{table: table, running: map[string]chan struct{}{}}
}

// begin decides how to handle a request that arrived. For once.Run it registers
// the channel that finish closes; for once.Join it returns that channel.
func (tr *attemptTracker) begin(now clock.Millis, req *wire.ForwardRequest) (once.Decision, chan struct{}) {
	id := req.GetAttempt()
	deadline := now + clock.Millis(req.GetTimeoutMs())
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var decision once.Decision
	if req.GetVoidOnly() {
		decision = tr.table.Void(now, id, deadline)
	} else {
		decision = tr.table.Begin(now, id, deadline)
	}
	switch decision.(type) {
	case once.Run:
		tr.running[id] = make(chan struct{})
		return decision, nil
	case once.Join:
		return decision, tr.running[id]
	default:
		return decision, nil
	}
}

// finish records the answer or the refusal of a running attempt and wakes the
// requests that wait for it.
func (tr *attemptTracker) finish(now clock.Millis, id string, a *wire.Answer, r *fault.Refusal) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if r != nil {
		tr.table.Finish(now, id, nil, r)
	} else {
		tr.table.Finish(now, id, toCachedAnswer(a), nil)
	}
	close(tr.running[id])
	delete(tr.running, id)
}

// recordReply records that the answer to a request is sent to its sender. One that has
// arrived, because the sender is this daemon, is confirmed at once.
func (tr *attemptTracker) recordReply(req *wire.ForwardRequest, hasArrived bool) {
	d := once.Delivery{Sender: ident.Incarnation(req.GetSenderIncarnation()), Sequence: req.GetSequence()}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.table.RecordReply(req.GetAttempt(), d)
	if hasArrived {
		tr.table.ConfirmReply(d)
	}
}

// confirmReplies records that the answers to earlier requests of a sender have arrived.
func (tr *attemptTracker) confirmReplies(sender ident.Incarnation, sequences []uint64) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, n := range sequences {
		tr.table.ConfirmReply(once.Delivery{Sender: sender, Sequence: n})
	}
}

// forwardAttempt serves a one-time request that carries an attempt ID of its
// caller. A sender that lost the answer sends the request again with VoidOnly
// set: it gets the recorded answer, or a refusal that says that nothing ran.
func (g *Guard) forwardAttempt(ctx context.Context, req *wire.ForwardRequest, reply *wire.ForwardReply) {
	if req.GetVoidOnly() && ident.Incarnation(req.GetHomeIncarnation()) != g.cfg.Incarnation {
		setRefusal(reply, fault.Unknown(fault.HomeGone, "the daemon that took this action has ended: look the action up"))
		return
	}
	defer func() {
		if reply.GetAnswer() != nil {
			g.attempts.recordReply(req, ident.Incarnation(req.GetSenderIncarnation()) == g.cfg.Incarnation)
		}
	}()
	for {
		decision, ended := g.attempts.begin(g.clk.Now(), req)
		switch decision := decision.(type) {
		case once.Run:
			g.runAttempt(ctx, req, reply)
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
				setRefusal(reply, fault.Unknown(fault.DeadlineExceeded, "the action is still running: look it up"))
				return
			}
		}
	}
}

// runAttempt runs an attempt. After it has been sent to the target, it continues
// when the sender cancels, and its answer is recorded for a repeated request.
func (g *Guard) runAttempt(ctx context.Context, req *wire.ForwardRequest, reply *wire.ForwardReply) {
	type result struct {
		answer  *wire.Answer
		refusal *fault.Refusal
		arrived bool
	}
	done := make(chan result, 1)
	t := g.findTarget(ident.Target(req.GetTarget()))
	err := g.pool.Submit(func() {
		var res result
		if t == nil {
			res.refusal = targetGoneRefusal(req)
		} else {
			res.answer, res.refusal, res.arrived = g.serve(ctx, t, req)
		}
		g.attempts.finish(g.clk.Now(), req.GetAttempt(), res.answer, res.refusal)
		done <- res
	})
	if err != nil {
		r := fault.NotRun(fault.QueueFull, "daemon is busy: repeat after the given time").WithRetryAfter(clock.Second)
		g.attempts.finish(g.clk.Now(), req.GetAttempt(), nil, r)
		setRefusal(reply, r)
		return
	}
	select {
	case res := <-done:
		setResult(reply, res.answer, res.refusal)
		reply.Arrived = res.arrived
		if t != nil {
			reply.Load = t.loadReport(g.clk.Now())
		}
	case <-ctx.Done():
		select {
		case res := <-done:
			// The request was refused while it was still in the queue, or it
			// ended at this time.
			setResult(reply, res.answer, res.refusal)
		case <-time.After(queuedCancelWait):
			setRefusal(reply, fault.Unknown(fault.Canceled, "request ended while it was served"))
		}
	}
}

// queuedCancelWait bounds the wait for the refusal of a request that its sender
// canceled. A request that is still queued is refused at once as not run; one
// that has been sent to its target takes longer.
const queuedCancelWait = 20 * time.Millisecond

func targetGoneRefusal(req *wire.ForwardRequest) *fault.Refusal {
	return fault.NotRun(fault.Draining, "target %s is not here any more: repeat the request", req.GetTarget())
}
