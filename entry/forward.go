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

// maxAttempts bounds the attempts at one idempotent request.
const maxAttempts = 3

// forward sends an idempotent request to a target, and to another one when
// that fails and the service's retry budget allows it.
func (e *Entry) forward(ctx context.Context, r *request) (*wire.ForwardReply, *fault.Refusal) {
	e.Picker.CountRequest(e.Clock.Now(), r.route.Service)
	want := choose.Want{
		Service:      r.route.Service,
		FloorPercent: e.Table.FloorPercent(r.route.Service),
		IsDrained:    e.Table.Draining,
	}
	var last *fault.Refusal
	var lastReply *wire.ForwardReply
	for attempt := range maxAttempts {
		if attempt > 0 && !e.mayTryAgain(ctx, r, last) {
			break
		}
		c, ok := e.Picker.Pick(e.Clock.Now(), want)
		if !ok {
			break
		}
		reply, refusal := e.try(ctx, r, c)
		if refusal == nil && !isServerError(reply) {
			return reply, nil
		}
		lastReply, last = reply, refusal
		want.Skip = append(want.Skip, c.Target)
	}
	if last == nil && lastReply != nil {
		return lastReply, nil
	}
	return nil, e.lastWord(r, last)
}

func isServerError(reply *wire.ForwardReply) bool {
	return reply.GetAnswer().GetStatus() >= fasthttp.StatusInternalServerError
}

// mayTryAgain takes a retry from the budget. A target that drains has done no
// work, so that moving on costs nothing.
func (e *Entry) mayTryAgain(ctx context.Context, r *request, last *fault.Refusal) bool {
	if ctx.Err() != nil {
		return false
	}
	if last != nil && last.Kind == fault.Draining {
		return true
	}
	if !e.Picker.MayRetry(e.Clock.Now(), r.route.Service) {
		return false
	}
	e.Picker.Retried(r.route.Service)
	e.Meter.Retries.Inc()
	return true
}

// try makes one attempt at one target.
func (e *Entry) try(ctx context.Context, r *request, c choose.Candidate) (*wire.ForwardReply, *fault.Refusal) {
	defer e.Picker.Done(r.route.Service, c.Target)
	r.out.Target = string(c.Target)
	r.out.TimeoutMs = uint32(max(r.deadline-e.Clock.Now(), 1))
	reply, err := e.link.call(ctx, c.Instance, c.Address, r.out)
	if err != nil {
		e.Log.Debug("guard not reached", "target", c.Target, "at", c.Instance, "error", err)
		r.unknown = true
		if ctx.Err() != nil || isOverTime(ctx, err) {
			return nil, fault.Unknown(fault.DeadlineExceeded, "no answer in time: allow more time with %s", guard.TimeoutHeader)
		}
		return nil, fault.Unknown(fault.PathFailed, "instance %s cannot be reached: repeat the request", c.Instance)
	}
	e.takeReport(r.route.Service, reply)
	if reply.GetRefusal() == nil {
		return reply, nil
	}
	refusal := guard.FromWire(reply.GetRefusal())
	r.unknown = r.unknown || refusal.Outcome == ident.OutcomeUnknown
	return nil, refusal
}

func (e *Entry) takeReport(s ident.Service, reply *wire.ForwardReply) {
	if l := reply.GetLoad(); l != nil {
		e.TakeReport(e.Clock.Now(), s, l)
	}
}

// TakeReport takes in a guard's word, given at a time, on a target of a service.
func (e *Entry) TakeReport(at clock.Millis, s ident.Service, l *wire.LoadReport) {
	e.Picker.Report(at, s, ident.Target(l.GetTarget()), choose.Load{
		State:    ident.TargetState(l.GetState()),
		InFlight: int(l.GetInFlight()),
		Queued:   int(l.GetQueued()),

		Suspicion: float64(l.GetSuspicion()) / ident.Permill,
	})
}

// lastWord makes the refusal true for all attempts together.
func (e *Entry) lastWord(r *request, last *fault.Refusal) *fault.Refusal {
	if last == nil {
		last = fault.NotRun(fault.NoCapacity, "service %s has no target that takes work: repeat after the given time", r.route.Service).
			After(retryNoTarget)
	}
	if r.unknown {
		last.Outcome = ident.OutcomeUnknown
	}
	return last
}
