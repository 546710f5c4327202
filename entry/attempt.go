package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/meter"
	"chestnutlatch/record"
	"chestnutlatch/wire"
)

const (
	// maxGuardCalls bounds the guard calls made for one request, without those
	// that recover a lost answer. Most guards that refuse a request do so
	// immediately.
	maxGuardCalls = 8
	// recoverInterval is the pause between two requests for a lost answer.
	recoverInterval = 150 * time.Millisecond
	// spareDivisor limits the estimated wait for a slot at one target to
	// 1/spareDivisor of the time left until the route's objective, since another
	// target may have a free slot.
	spareDivisor = 4
	// waitBusyRatio is the ratio of running and waiting requests to slots above
	// which a request waits at the target with the lowest cost instead of trying
	// others.
	waitBusyRatio = 3
	// waitCostMargin is the largest cost difference, as a fraction of the
	// request's value, between the next target and the cheapest full one at which
	// the request still goes to the next target. Above it, the request waits at a
	// full target: a late answer has half of the request's value or less, a
	// probable failure none.
	waitCostMargin = 0.2
	// fullTargetLimit is the number of full targets after which a request waits:
	// when several targets are full, the service as a whole probably is.
	fullTargetLimit = 3
	// maxSuspects is the number of suspect targets after which a request accepts the
	// next one: most targets of the service then probably fail, and a search for a
	// better one takes a path's round trip for each.
	maxSuspects = 4
	// retryAfterNoCapacity is the Retry-After of a request that has not run,
	// unless its refusal already has one.
	retryAfterNoCapacity = 400 * clock.Millisecond
)

// serveWithAttemptID serves a request whose caller sends its own attempt ID.
func (e *Entry) serveWithAttemptID(ctx context.Context, c *fasthttp.RequestCtx, r *request) *fault.Refusal {
	if refusal := e.admitByShare(r); refusal != nil {
		return refusal
	}
	r.route.Service = e.splits.Service(r.route)
	r.out.Service = string(r.route.Service)
	r.out.OriginService = string(e.Service)
	r.out.OneTime = r.route.OneTime
	if r.route.Open {
		// Targets make calls on open routes while they serve other requests.
		r.out.Priority = uint32(ident.PriorityUrgent)
	}
	if r.route.OneTime && r.out.Attempt == "" {
		return fault.NotRun(fault.Malformed, "a one-time request needs an id: send it in %s", e.Dialect.AttemptID)
	}
	reply, refusal := e.dispatch(ctx, r)
	if r.route.Open && (refusal != nil || isServerError(reply)) {
		e.Guard.RecordCallFailure(e.Clock.Now())
	}
	if refusal != nil {
		return refusal
	}
	e.sizes.Add(r.route.ID, len(r.out.GetBody())+typicalHeadBytes, len(reply.GetAnswer().GetBody())+typicalHeadBytes)
	writeAnswer(c, reply.GetAnswer())
	return nil
}

// typicalHeadBytes is the approximate size of a request's or an answer's head
// on the inner protocol.
const typicalHeadBytes = 250

// admitByShare takes one request from this data centre's share of the team's rate.
// It returns a refusal if the team is over its rate. Open routes and teams without
// a rate are not limited.
func (e *Entry) admitByShare(r *request) *fault.Refusal {
	if !e.isLimitedByShare(r) {
		return nil
	}
	decision := e.Shares.Take(r.began, r.team)
	r.shareDecision = &decision
	e.Meter.CountShareDecision(meter.ShareResultOf(decision.OK, decision.Level))
	if decision.OK {
		return nil
	}
	return fault.NotRun(fault.OverRate, "team %s is over its rate of %d/s and burst of %d: wait as told, or ask for a higher rate",
		r.team.ID, r.team.Rate, r.team.Burst).WithRetryAfter(decision.Wait)
}

// isLimitedByShare reports whether the request takes from the share of its team's rate.
func (e *Entry) isLimitedByShare(r *request) bool {
	return !r.route.Open && r.team.Rate > 0 && e.Shares != nil
}

// attemptTrace records the guard calls made for one request and their results.
type attemptTrace struct {
	// arrivals counts the targets that the request reached or may have reached, and
	// shed those of them that refused it.
	arrivals, shed int
	// guardCalls counts the guard calls, without those that recover a lost
	// answer.
	guardCalls int
	// reply is the latest answer of a target. If it is a server error, it is
	// returned only if no further attempt gets an answer.
	reply       *wire.ForwardReply
	lastRefusal *fault.Refusal
	// attempts holds the result of each guard call, for the request log.
	attempts []attemptRecord
	// suspects holds the targets whose guard refused because the target probably
	// fails, full those whose guard refused with QueueFull: the queue is full, the
	// wait would be too long, or the guard's daemon is busy.
	suspects []ident.Target
	full     []ident.Target
	// minFullCost is the lowest cost among the full targets.
	minFullCost float64
	// willWait is true once the request accepts any wait for a slot and any
	// suspicion of the target.
	willWait bool
	// retryReserved is true while a retry taken from the budget has not reached
	// a target.
	retryReserved bool
}

// dispatch tries targets in order of cost until one serves the request. An
// idempotent request is retried after a failure while the route and the retry
// budget allow it. A one-time request is sent to another target only if it has
// certainly not run.
func (e *Entry) dispatch(ctx context.Context, r *request) (*wire.ForwardReply, *fault.Refusal) {
	e.Picker.CountRequest(e.Clock.Now(), r.route.Service)
	if r.route.Open {
		e.Picker.ChargeRetries(e.Clock.Now(), r.route.Service, e.Guard.RetryShare())
	}
	pickReq := e.pickRequest(r.route, r.regions)
	pickReq.OneTime, pickReq.Bytes = r.route.OneTime, e.sizes.Mean(r.route.ID)
	e.setColdLimit(&pickReq, r)
	t := &r.trace
	defer func() {
		if t.retryReserved {
			e.Picker.ReturnRetry(r.route.Service)
		}
	}()
	for t.guardCalls < maxGuardCalls && ctx.Err() == nil {
		if t.arrivals == 0 && e.isDispatchEnded() {
			t.lastRefusal = stopRefusal()
			break
		}
		if t.guardCalls >= maxDrainGuardCalls && e.maxSlotWait(e.Clock.Now()) > 0 {
			break
		}
		c, ok := e.Picker.PickLowestCost(e.Clock.Now(), pickReq, e.Costs)
		coldFull := ok && c.IsColdFull
		if !t.willWait && t.shouldWait(c, ok && !coldFull) {
			// No good target has a free slot: try the full and the suspect
			// targets again, and wait for a slot. A suspect target is better
			// than none.
			if ok {
				e.Picker.Done(r.route.Service, c.Target)
			}
			t.willWait = true
			pickReq.Skip = without(without(pickReq.Skip, t.full), t.suspects)
			continue
		}
		if coldFull {
			// The guards of the targets that are left would probably refuse the request.
			e.Picker.Done(r.route.Service, c.Target)
			t.lastRefusal = fault.NotRun(fault.Cold, "")
			break
		}
		if !ok || t.arrivals > 0 && !e.reserveRetry(r, t) {
			if ok {
				e.Picker.Done(r.route.Service, c.Target)
			}
			break
		}
		pickReq.Skip = append(pickReq.Skip, c.Target)
		if e.dispatchTo(ctx, r, c, t, &pickReq) {
			return t.reply, t.lastRefusal
		}
		switch {
		case isColdRefusal(t.lastRefusal):
			pickReq.ColdRefusals++
		case t.lastRefusal != nil && t.lastRefusal.Kind == fault.Evacuated:
			excludeCentre(&pickReq, c.DataCentre)
		}
	}
	if t.reply != nil {
		return t.reply, nil
	}
	return nil, e.finalRefusal(ctx, r, e.replaceColdRefusal(pickReq, r, t.lastRefusal))
}

// shouldWait reports whether the request should wait for a slot at a full or
// suspect target. The alternative is the next candidate, or none if found is
// false.
func (t *attemptTrace) shouldWait(next choose.Candidate, found bool) bool {
	if !found || len(t.full) >= fullTargetLimit {
		return len(t.full)+len(t.suspects) > 0
	}
	return len(t.full) > 0 && next.Cost > t.minFullCost+waitCostMargin
}

// without returns list without the targets in drop. It does not change list.
func without(list, drop []ident.Target) []ident.Target {
	out := list[:0:0]
	for _, id := range list {
		found := false
		for _, d := range drop {
			found = found || id == d
		}
		if !found {
			out = append(out, id)
		}
	}
	return out
}

// defaultMaxAttempts bounds the number of targets that a request may reach if the
// route sets no bound.
const defaultMaxAttempts = 3

// reserveRetry reports whether a request that reached a target may be sent to
// another one. It takes a retry from the budget, which stays reserved until the
// request reaches a target.
func (e *Entry) reserveRetry(r *request, t *attemptTrace) bool {
	if !e.allowsArrival(r, t, 0) {
		return false
	}
	if !t.retryReserved && !e.Picker.TakeRetry(e.Clock.Now(), r.route.Service, e.retryClass(r.route)) {
		return false
	}
	t.retryReserved = true
	return true
}

// allowsArrival reports whether the request may reach another target, besides those that
// it has reached and inFlight ones that work on it.
func (e *Entry) allowsArrival(r *request, t *attemptTrace, inFlight int) bool {
	allowed := int(r.route.Attempts)
	if allowed == 0 {
		allowed = defaultMaxAttempts
	}
	// A target that refused the request has not run it.
	return t.arrivals+inFlight-min(t.shed, e.ShedAttempts) < allowed
}

// retryClass returns the class of a request's retries in the service's budget.
func (e *Entry) retryClass(r record.Route) choose.RetryClass {
	switch {
	case r.Open && e.Guard.RunsActions():
		return choose.RetryCall
	case r.OneTime:
		return choose.RetryAction
	default:
		return choose.RetryLookup
	}
}

// countArrival counts a target that the request reached or may have reached, and
// counts the reserved retry as made.
func (e *Entry) countArrival(r *request, t *attemptTrace) {
	t.arrivals++
	if t.retryReserved {
		t.retryReserved = false
		e.Picker.CountRetry(r.route.Service)
		e.Meter.Retries.Inc()
	}
}

// dispatchTo sends the request to one guard, records the result in t and reports
// whether it is final.
func (e *Entry) dispatchTo(ctx context.Context, r *request, c choose.Candidate, t *attemptTrace, pickReq *choose.Request) bool {
	defer e.Picker.Done(r.route.Service, c.Target)
	t.guardCalls++
	now := e.Clock.Now()
	r.out.Target = string(c.Target)
	r.out.TimeoutMs = uint32(max(r.deadline-now, 1))
	untilObjective := max(objectiveOf(r.route)-(now-r.began), 1)
	r.out.ObjectiveMs = uint32(untilObjective)
	r.out.SpareMs = uint32(max(untilObjective/spareDivisor, 1))
	// The picker returns a suspect target only as a recovery probe or if it has
	// no better one. Its guard must not refuse the request because of the
	// suspicion.
	r.out.LastResort = c.Suspicion >= choose.SuspectThreshold || len(t.suspects) >= maxSuspects
	if t.willWait {
		r.out.SpareMs, r.out.LastResort = 0, true
	}
	if c.Utilization > waitBusyRatio {
		// This target has the lowest cost of those left, so the others are not
		// expected to be better, and trying them would only take time.
		r.out.SpareMs = 0
	}
	r.out.WaitMs = uint32(e.maxSlotWait(now))
	if r.out.WaitMs > 0 && (r.out.SpareMs == 0 || r.out.SpareMs > r.out.WaitMs) {
		r.out.SpareMs = r.out.WaitMs
	}
	r.out.Repeat = t.arrivals > 0
	// The request names the incarnation to which it is sent, because a later one has
	// no record of it.
	_, incarnation, _ := e.Fleet.Locate(c.Instance)
	r.out.HomeIncarnation = uint64(incarnation)
	r.out.VoidOnly = false
	call := e.callHedged(ctx, r, c, t, pickReq)
	c, reply, err := call.candidate, call.reply, call.err
	if err != nil {
		e.Log.Debug("call to guard failed", "id", r.out.GetAttempt(), "target", c.Target, "at", c.Instance, "error", err)
		reply, err = e.recoverAnswer(ctx, r, c, err)
	}
	t.attempts = append(t.attempts, attemptRecord{c, reply, err, e.Clock.Now() - now})
	if err != nil {
		r.outcomeUnknown = true
		e.countArrival(r, t)
		t.lastRefusal = e.lostRefusal(ctx, c, err)
		return r.route.OneTime
	}
	e.applyReplyLoad(r.route.Service, reply)
	if reply.GetRefusal() == nil {
		e.countArrival(r, t)
		t.reply, t.lastRefusal = reply, nil
		if !isServerError(reply) {
			e.times.Observe(r.route.ID, call.took)
		}
		return r.route.OneTime || !isServerError(reply)
	}
	return e.handleRefusal(r, c, t, reply)
}

// handleRefusal records a guard's refusal in t and reports whether it is final.
func (e *Entry) handleRefusal(r *request, c choose.Candidate, t *attemptTrace, reply *wire.ForwardReply) bool {
	refusal := guard.RefusalFromWire(reply.GetRefusal())
	t.lastRefusal = refusal
	if reply.GetArrived() {
		e.countArrival(r, t)
	}
	switch {
	case refusal.Outcome == ident.OutcomeUnknown:
		r.outcomeUnknown = true
		return r.route.OneTime
	case refusal.Kind == fault.Shed:
		t.shed++
	case refusal.Kind == fault.Suspect:
		t.suspects = append(t.suspects, c.Target)
	case refusal.Kind == fault.QueueFull:
		if len(t.full) == 0 || c.Cost < t.minFullCost {
			t.minFullCost = c.Cost
		}
		t.full = append(t.full, c.Target)
	}
	return false
}

// recoverAnswer asks the guard of a one-time request for the answer after the call
// failed. The guard returns the stored answer, or voids the request if it has not
// arrived there. recoverAnswer repeats the call until the guard replies. It returns
// callErr if ctx ends first, if the request is not a one-time request or if the
// guard is local.
func (e *Entry) recoverAnswer(ctx context.Context, r *request, c choose.Candidate, callErr error) (*wire.ForwardReply, error) {
	if !r.route.OneTime || c.Instance == e.Instance {
		return nil, callErr
	}
	r.out.VoidOnly = true
	for ctx.Err() == nil {
		reply, err := e.client.call(ctx, c.Instance, c.Address, r.out)
		if err == nil {
			return reply, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(recoverInterval):
		}
	}
	return nil, callErr
}

// lostRefusal returns the refusal of a request whose guard call failed with err.
func (e *Entry) lostRefusal(ctx context.Context, c choose.Candidate, err error) *fault.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.Unknown(fault.Canceled, "request ended while it was served")
	}
	if isDeadlineExceeded(ctx, err) {
		return fault.Unknown(fault.DeadlineExceeded, "no answer in time: allow more time with %s", e.Dialect.Timeout)
	}
	return fault.Unknown(fault.PathFailed, "instance %s cannot be reached: repeat the request", c.Instance)
}

// finalRefusal returns the refusal that covers all guard calls of the request. Its
// outcome is unknown if any of them may have run the request. After the end of ctx,
// also on a disconnect, its kind is DeadlineExceeded unless last is Canceled.
func (e *Entry) finalRefusal(ctx context.Context, r *request, last *fault.Refusal) *fault.Refusal {
	if ctx.Err() != nil && (last == nil || last.Kind != fault.Canceled) {
		last = fault.NotRun(fault.DeadlineExceeded, "no answer in time: allow more time with %s", e.Dialect.Timeout)
	}
	refusal := e.mergeOutcome(r, last)
	if refusal.Outcome == ident.OutcomeNotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = retryAfterNoCapacity
	}
	return refusal
}

// objectiveOf returns a route's latency objective, which is its timeout if none is
// set.
func objectiveOf(r record.Route) clock.Millis {
	if r.Objective > 0 {
		return r.Objective
	}
	return r.Timeout
}
