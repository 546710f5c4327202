package entry

import (
	"context"

	"github.com/valyala/fasthttp"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/wire"
)

// maxAttempts bounds the attempts of one idempotent request whose caller sends no
// attempt ID. The route's Attempts does not apply to such requests.
const maxAttempts = 3

// forward sends an idempotent request to a target. If that fails, it tries other
// targets while the service's retry budget allows it. Requests of callers that send
// attempt IDs go through dispatch.
func (e *Entry) forward(ctx context.Context, r *request) (*wire.ForwardReply, *fault.Refusal) {
	e.Picker.CountRequest(e.Clock.Now(), r.route.Service)
	pickReq := e.pickRequest(r.route, r.regions)
	pickReq.FloorPercent = e.Table.FloorPercent(r.route.Service)
	e.setColdLimit(&pickReq, r)
	var last *fault.Refusal
	var lastReply *wire.ForwardReply
	attempts := 0
	for calls := 0; attempts < maxAttempts && calls < maxGuardCalls; calls++ {
		if e.isDispatchEnded() && !r.outcomeUnknown && lastReply == nil {
			last = stopRefusal()
			break
		}
		if calls > 0 && !e.takeRetry(ctx, r, last) {
			break
		}
		c, ok := e.Picker.Pick(e.Clock.Now(), pickReq)
		if !ok {
			break
		}
		if c.IsColdFull {
			e.Picker.Done(r.route.Service, c.Target)
			last = fault.NotRun(fault.Cold, "")
			break
		}
		reply, refusal := e.forwardTo(ctx, r, c)
		if refusal == nil && !isServerError(reply) {
			return reply, nil
		}
		last = refusal
		if refusal == nil {
			lastReply = reply
		}
		switch {
		case isColdRefusal(refusal):
			pickReq.ColdRefusals++
		case refusal != nil && refusal.Kind == fault.Evacuated:
			excludeCentre(&pickReq, c.DataCentre)
		default:
			attempts++
		}
		pickReq.Skip = append(pickReq.Skip, c.Target)
	}
	last = e.replaceColdRefusal(pickReq, r, last)
	if lastReply != nil {
		// A target ran the request, so no later refusal may say that it has not run.
		return lastReply, nil
	}
	return nil, e.mergeOutcome(r, last)
}

func isServerError(reply *wire.ForwardReply) bool {
	return reply.GetAnswer().GetStatus() >= fasthttp.StatusInternalServerError
}

// takeRetry takes a retry from the service's budget and reports whether the
// request may be retried. A target that drains or is cold, that is outside the allowed
// regions or in an evacuated data centre, and a daemon without memory for the body, have
// done no work, so a retry after their refusal is not charged to the budget.
func (e *Entry) takeRetry(ctx context.Context, r *request, last *fault.Refusal) bool {
	if ctx.Err() != nil {
		return false
	}
	if last != nil && (last.Kind == fault.Draining || last.Kind == fault.Evacuated || last.Kind == fault.NoRegion || last.Kind == fault.NoMemory) || isColdRefusal(last) {
		return true
	}
	if !e.Picker.TakeRetry(e.Clock.Now(), r.route.Service, choose.RetryLookup) {
		return false
	}
	e.Picker.CountRetry(r.route.Service)
	e.Meter.Retries.Inc()
	return true
}

// forwardTo sends the request to one target.
func (e *Entry) forwardTo(ctx context.Context, r *request, c choose.Candidate) (*wire.ForwardReply, *fault.Refusal) {
	defer e.Picker.Done(r.route.Service, c.Target)
	r.out.Target = string(c.Target)
	r.out.TimeoutMs = uint32(max(r.deadline-e.Clock.Now(), 1))
	reply, err := e.client.call(ctx, c.Instance, c.Address, r.out)
	if err != nil {
		e.Log.Debug("call to guard failed", "target", c.Target, "at", c.Instance, "error", err)
		r.outcomeUnknown = true
		if ctx.Err() != nil || isDeadlineExceeded(ctx, err) {
			return nil, fault.Unknown(fault.DeadlineExceeded, "no answer in time: allow more time with %s", guard.TimeoutHeader)
		}
		return nil, fault.Unknown(fault.PathFailed, "instance %s cannot be reached: repeat the request", c.Instance)
	}
	e.applyReplyLoad(r.route.Service, reply)
	if reply.GetRefusal() == nil {
		return reply, nil
	}
	refusal := guard.RefusalFromWire(reply.GetRefusal())
	r.outcomeUnknown = r.outcomeUnknown || refusal.Outcome == ident.OutcomeUnknown
	return nil, refusal
}

// applyReplyLoad applies the load report of a guard's reply, if it has one.
func (e *Entry) applyReplyLoad(s ident.Service, reply *wire.ForwardReply) {
	if load := reply.GetLoad(); load != nil {
		e.ApplyLoadReport(e.Clock.Now(), s, load)
	}
}

// ApplyLoadReport passes a guard's load report on a target of a service to the
// picker. at is when the guard made the report, or when the report arrived if its
// age is not known. The picker ignores a report that is older than its latest one
// for the target.
func (e *Entry) ApplyLoadReport(at clock.Millis, s ident.Service, l *wire.LoadReport) {
	if !ident.TargetState(l.GetState()).IsATargetState() {
		e.Log.Debug("load report with an unknown state ignored", "target", l.GetTarget(), "state", l.GetState())
		return
	}
	e.Picker.UpdateLoad(at, s, ident.Target(l.GetTarget()), choose.Load{
		State:    ident.TargetState(l.GetState()),
		InFlight: int(l.GetInFlight()),
		Queued:   int(l.GetQueued()),

		Suspicion: float64(l.GetSuspicion()) / ident.PerMille,
		ColdUsed:  float64(l.GetColdUsed()) / ident.PerMille,
		Shed:      float64(l.GetShed()) / ident.PerMille,
	})
}

// mergeOutcome returns the last refusal, or that for a request without a target if last
// is nil. If only evacuations keep a request with allowed regions from its targets, the
// refusal is that for the regions. mergeOutcome sets the
// outcome to unknown if r.outcomeUnknown is true. An attempt that a target answered
// with a server error does not set that field: the caller gets that answer instead of
// a refusal.
func (e *Entry) mergeOutcome(r *request, last *fault.Refusal) *fault.Refusal {
	if last == nil || last.Kind == fault.Evacuated && r.regions.IsRestricted() {
		last = noTargetRefusal(r.route.Service, r.regions)
	}
	if r.outcomeUnknown {
		last.Outcome = ident.OutcomeUnknown
	}
	return last
}
