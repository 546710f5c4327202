package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/wire"
)

// maxHedgedBytes is the size of request and answer together above which a request is not
// sent to a second target: a copy would take as much of the links again.
const maxHedgedBytes = 64 << 10

// errHedged is the result of a call that was canceled because another target answered
// first.
var errHedged = errors.New("another target answered first")

// hedgedCall is a call to the guard of one candidate, and its result.
type hedgedCall struct {
	candidate choose.Candidate
	reply     *wire.ForwardReply
	err       error
	took      clock.Millis
}

// isAnswered reports whether the call has an answer that is no server error.
func (h *hedgedCall) isAnswered() bool {
	return h.err == nil && h.reply.GetRefusal() == nil && !isServerError(h.reply)
}

// hasArrived reports whether the request reached, or may have reached, the target.
func (h *hedgedCall) hasArrived() bool {
	return h.err != nil || h.reply.GetRefusal() == nil || h.reply.GetArrived()
}

// callHedged sends a request to the guard of a candidate. If the answer of an idempotent
// request is overdue, it also sends the request to a second target, which takes a retry
// from the service's budget. It returns the first answer and cancels the other call. A
// target that hangs then costs the caller the usual response time, not its time limit.
func (e *Entry) callHedged(ctx context.Context, r *request, first choose.Candidate, t *attemptTrace, pickReq *choose.Request) hedgedCall {
	if !e.mayHedge(r, t, pickReq) {
		began := e.Clock.Now()
		reply, err := e.client.call(ctx, first.Instance, first.Address, r.out)
		return hedgedCall{first, reply, err, e.Clock.Now() - began}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan hedgedCall, 2)
	delay := e.times.HedgeDelay(r.route.ID, objectiveOf(r.route)-(e.Clock.Now()-r.began))
	r.out.OverdueMs = uint32(delay)
	defer func() { r.out.OverdueMs = 0 }()
	e.startCall(ctx, first, r.out, results)
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case res := <-results:
		return res
	case <-timer.C:
	}
	second, ok := e.pickHedge(r, t, pickReq)
	if !ok {
		return <-results
	}
	defer e.Picker.Done(r.route.Service, second.Target)
	e.Meter.Hedged.Inc()
	e.startCall(ctx, second, e.hedgeRequest(r, second), results)
	winner := <-results
	loser := hedgedCall{candidate: first, err: errHedged, took: e.Clock.Now() - r.began}
	if winner.candidate.Target == first.Target {
		loser.candidate = second
	}
	if !winner.isAnswered() {
		// The other one may still answer.
		loser, winner = winner, <-results
	}
	if winner.isAnswered() {
		e.times.ObserveHedge(r.route.ID, winner.candidate.Target != first.Target)
	}
	e.settleHedge(r, t, first, &loser)
	return winner
}

// mayHedge reports whether a request may be sent to a second target while the first one
// works on it.
func (e *Entry) mayHedge(r *request, t *attemptTrace, pickReq *choose.Request) bool {
	return e.Hedge && !r.route.OneTime && t.arrivals == 0 && !t.willWait && pickReq.Bytes <= maxHedgedBytes && e.allowsArrival(r, t, 1)
}

// startCall calls the guard of a candidate in the background. It sends a copy of the
// request, which the caller may change or release meanwhile.
func (e *Entry) startCall(ctx context.Context, c choose.Candidate, out *wire.ForwardRequest, results chan<- hedgedCall) {
	out, _ = proto.Clone(out).(*wire.ForwardRequest)
	go func() {
		began := e.Clock.Now()
		reply, err := e.client.call(ctx, c.Instance, c.Address, out)
		results <- hedgedCall{c, reply, err, e.Clock.Now() - began}
	}()
}

// pickHedge chooses a second target that is well and has a free slot, and takes a retry
// from the budget. Without either it returns false.
func (e *Entry) pickHedge(r *request, t *attemptTrace, pickReq *choose.Request) (choose.Candidate, bool) {
	c, ok := e.Picker.PickLowestCost(e.Clock.Now(), *pickReq, e.Costs)
	if !ok {
		return c, false
	}
	if c.Suspicion >= choose.SuspectThreshold || c.Utilization >= 1 || c.IsColdFull ||
		!e.Picker.TakeRetry(e.Clock.Now(), r.route.Service, e.retryClass(r.route)) {
		e.Picker.Done(r.route.Service, c.Target)
		return c, false
	}
	t.guardCalls++
	pickReq.Skip = append(pickReq.Skip, c.Target)
	return c, true
}

// hedgeRequest returns the message for the second target. Its guard refuses it at once
// unless a slot is free.
func (e *Entry) hedgeRequest(r *request, c choose.Candidate) *wire.ForwardRequest {
	out, _ := proto.Clone(r.out).(*wire.ForwardRequest)
	out.Target = string(c.Target)
	out.TimeoutMs = uint32(max(r.deadline-e.Clock.Now(), 1))
	out.SpareMs, out.LastResort, out.Repeat = 1, false, true
	_, incarnation, _ := e.Fleet.Locate(c.Instance)
	out.HomeIncarnation = uint64(incarnation)
	return out
}

// settleHedge records the call whose result is not used, and charges the retry if the
// second target got the request.
func (e *Entry) settleHedge(r *request, t *attemptTrace, first choose.Candidate, loser *hedgedCall) {
	t.attempts = append(t.attempts, attemptRecord{loser.candidate, loser.reply, loser.err, loser.took})
	refusal := loser.reply.GetRefusal()
	switch {
	case loser.err != nil || ident.Outcome(refusal.GetOutcome()) == ident.OutcomeUnknown:
		r.outcomeUnknown = true
	case refusal == nil:
		// A server error is returned if no further attempt gets an answer.
		t.reply = loser.reply
	}
	arrived := loser.hasArrived()
	if arrived {
		t.arrivals++
	}
	if loser.candidate.Target != first.Target && !arrived {
		e.Picker.ReturnRetry(r.route.Service)
		return
	}
	e.Picker.CountRetry(r.route.Service)
	e.Meter.Retries.Inc()
}
