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
	// maxGuards bounds the guards asked for one request. Most of them say at
	// once that they do not take it.
	maxGuards = 8
	// askPause is the time between two questions about a lost answer.
	askPause = 150 * time.Millisecond
	// sparePart is the part of the time left to a route's objective that a
	// request waits at one target while others may take it at once, one in
	// sparePart.
	sparePart = 4
	// waitBusy is the part of the slots in use, with those who wait, from which
	// the best target is waited for.
	waitBusy = 3
	// waitCost is what a wait at a full target may cost more, in parts of the
	// request's value, before a worse target is tried: a late answer is worth
	// half or less, a probable failure nothing.
	waitCost = 0.2
	// fullGuards is the number of full targets after which the request waits:
	// when several are full, the service is.
	fullGuards = 3
	// retryCapacity is what a caller waits for a service without room.
	retryCapacity = 400 * clock.Millisecond
)

// serveAttempt serves a request that its caller named.
func (e *Entry) serveAttempt(ctx context.Context, c *fasthttp.RequestCtx, r *request) *fault.Refusal {
	if refusal := e.takeShare(r); refusal != nil {
		return refusal
	}
	r.route.Service = e.splits.Service(r.route)
	r.out.Service = string(r.route.Service)
	r.out.OriginService = string(e.Service)
	r.out.OneTime = r.route.OneTime
	if r.route.Open {
		// Open routes are calls that work under way waits for.
		r.out.Priority = uint32(ident.PriorityUrgent)
	}
	if r.route.OneTime && r.out.Attempt == "" {
		return fault.NotRun(fault.Malformed, "a one-time request needs an id: send it in %s", e.Dialect.Attempt)
	}
	reply, refusal := e.dispatch(ctx, r)
	if r.route.Open && (refusal != nil || isServerError(reply)) {
		e.Guard.CallFailed(e.Clock.Now())
	}
	if refusal != nil {
		return refusal
	}
	e.sizes.Add(r.route.ID, len(r.out.GetBody())+headBytes, len(reply.GetAnswer().GetBody())+headBytes)
	writeAnswer(c, reply.GetAnswer())
	return nil
}

// headBytes is about the size of a request's or an answer's head on the inner
// protocol.
const headBytes = 250

// takeShare spends one request of this daemon's part of the team's rate.
func (e *Entry) takeShare(r *request) *fault.Refusal {
	if r.route.Open || r.team.Rate == 0 || e.Shares == nil {
		return nil
	}
	d := e.Shares.Take(r.began, r.team)
	r.taking = &d
	e.Meter.ShareDecided(meter.ShareEndOf(d.OK, d.Level))
	if d.OK {
		return nil
	}
	return fault.NotRun(fault.OverRate, "team %s is over its rate of %d/s and burst of %d: wait as told, or ask for a higher rate",
		r.team.ID, r.team.Rate, r.team.Burst).After(d.Wait)
}

// trail is what is known of a request after some guards were asked.
type trail struct {
	// arrived counts the targets that the request reached or may have reached.
	arrived int
	asked   int
	// reply is the last answer that another target may better.
	reply *wire.ForwardReply
	last  *fault.Refusal
	// steps tell what each guard said, for the log.
	steps []step
	// suspects were refused since their targets probably fail, full since
	// they would wait too long.
	suspects []ident.Target
	full     []ident.Target
	// fullCost is the least cost among the full ones.
	fullCost float64
	// settled tells that the request waits wherever it is taken.
	settled bool
	// retry tells that a retry was taken from the budget and has not arrived.
	retry bool
}

// dispatch finds a target that serves the request. An idempotent one is sent
// again after a failure while the route and the retry budget allow it; a
// one-time one moves on only when it certainly has not run.
func (e *Entry) dispatch(ctx context.Context, r *request) (*wire.ForwardReply, *fault.Refusal) {
	e.Picker.CountRequest(e.Clock.Now(), r.route.Service)
	if r.route.Open {
		e.Picker.ChargeRetries(e.Clock.Now(), r.route.Service, e.Guard.RepeatShare())
	}
	want := choose.Want{
		Service: r.route.Service, OneTime: r.route.OneTime, Bytes: e.sizes.Of(r.route.ID), IsDrained: e.Table.Draining,
	}
	t := &r.trail
	defer func() {
		if t.retry {
			e.Picker.ReturnRetry(r.route.Service)
		}
	}()
	for t.asked < maxGuards && ctx.Err() == nil {
		if t.asked >= lastAsks && e.waitOf(e.Clock.Now()) > 0 {
			break
		}
		c, ok := e.Picker.Best(e.Clock.Now(), want, e.Costs)
		if !t.settled && t.mustSettle(c, ok) {
			// Nobody good takes it at once: the best of those who would is
			// waited for, and a suspect target is better than none.
			if ok {
				e.Picker.Done(r.route.Service, c.Target)
			}
			t.settled = true
			want.Skip = except(except(want.Skip, t.full), t.suspects)
			continue
		}
		if !ok || t.arrived > 0 && !e.mayRepeat(r, t) {
			if ok {
				e.Picker.Done(r.route.Service, c.Target)
			}
			break
		}
		want.Skip = append(want.Skip, c.Target)
		if e.attempt(ctx, r, c, t) {
			return t.reply, t.last
		}
	}
	if t.reply != nil {
		return t.reply, nil
	}
	return nil, e.verdict(ctx, r, t.last)
}

// mustSettle reports whether the request should wait where it is taken, rather
// than go to the next candidate or to none.
func (t *trail) mustSettle(next choose.Candidate, found bool) bool {
	if !found || len(t.full) >= fullGuards {
		return len(t.full)+len(t.suspects) > 0
	}
	return len(t.full) > 0 && next.Cost > t.fullCost+waitCost
}

func except(list, drop []ident.Target) []ident.Target {
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

// defaultAttempts bounds the targets of a request if the route does not.
const defaultAttempts = 3

// mayRepeat reports whether a request that reached a target may go to another.
// The retry that it takes from the budget lasts until it arrives.
func (e *Entry) mayRepeat(r *request, t *trail) bool {
	most := int(r.route.Attempts)
	if most == 0 {
		most = defaultAttempts
	}
	if t.arrived >= most || !t.retry && !e.Picker.MayRetry(e.Clock.Now(), r.route.Service) {
		return false
	}
	t.retry = true
	return true
}

// arrive counts a target that the request reached, or may have reached.
func (e *Entry) arrive(r *request, t *trail) {
	t.arrived++
	if t.retry {
		t.retry = false
		e.Picker.Retried(r.route.Service)
		e.Meter.Retries.Inc()
	}
}

// attempt asks one guard and reports whether its word is final.
func (e *Entry) attempt(ctx context.Context, r *request, c choose.Candidate, t *trail) bool {
	defer e.Picker.Done(r.route.Service, c.Target)
	t.asked++
	now := e.Clock.Now()
	r.out.Target = string(c.Target)
	r.out.TimeoutMs = uint32(max(r.deadline-now, 1))
	left := max(objectiveOf(r.route)-(now-r.began), 1)
	r.out.ObjectiveMs = uint32(left)
	r.out.SpareMs = uint32(max(left/sparePart, 1))
	// For want of a better target, its guard takes the request.
	r.out.LastResort = c.Suspicion >= choose.SuspectAt
	if t.settled {
		r.out.SpareMs, r.out.LastResort = 0, true
	}
	if c.Busy > waitBusy {
		// Everything better is taken: to ask others would only cost time.
		r.out.SpareMs = 0
	}
	r.out.WaitMs = uint32(e.waitOf(now))
	if r.out.WaitMs > 0 && (r.out.SpareMs == 0 || r.out.SpareMs > r.out.WaitMs) {
		r.out.SpareMs = r.out.WaitMs
	}
	r.out.Repeat = t.arrived > 0
	// A later life of the daemon knows nothing of what is sent now.
	_, home, _ := e.Fleet.Locate(c.Instance)
	r.out.HomeIncarnation = uint64(home)
	r.out.VoidOnly = false
	reply, err := e.link.call(ctx, c.Instance, c.Address, r.out)
	if err != nil {
		e.Log.Debug("guard not reached", "id", r.out.GetAttempt(), "target", c.Target, "at", c.Instance, "error", err)
		reply, err = e.recover(ctx, r, c, err)
	}
	t.steps = append(t.steps, step{c, reply, err, e.Clock.Now() - now})
	if err != nil {
		r.unknown = true
		e.arrive(r, t)
		t.last = e.lost(ctx, c, err)
		return r.route.OneTime
	}
	e.takeReport(r.route.Service, reply)
	if reply.GetRefusal() == nil {
		e.arrive(r, t)
		t.reply, t.last = reply, nil
		return r.route.OneTime || !isServerError(reply)
	}
	return e.weigh(r, c, t, reply)
}

// weigh takes in a guard's refusal and reports whether it is final.
func (e *Entry) weigh(r *request, c choose.Candidate, t *trail, reply *wire.ForwardReply) bool {
	refusal := guard.FromWire(reply.GetRefusal())
	t.last = refusal
	if reply.GetArrived() {
		e.arrive(r, t)
	}
	switch {
	case refusal.Outcome == ident.OutcomeUnknown:
		r.unknown = true
		return r.route.OneTime
	case refusal.Kind == fault.Suspect:
		t.suspects = append(t.suspects, c.Target)
	case refusal.Kind == fault.QueueFull:
		if len(t.full) == 0 || c.Cost < t.fullCost {
			t.fullCost = c.Cost
		}
		t.full = append(t.full, c.Target)
	}
	return false
}

// recover asks the guard of a one-time request for its answer after the path
// was lost. The guard holds the answer, or voids the request.
func (e *Entry) recover(ctx context.Context, r *request, c choose.Candidate, lost error) (*wire.ForwardReply, error) {
	if !r.route.OneTime || c.Instance == e.Instance {
		return nil, lost
	}
	r.out.VoidOnly = true
	for ctx.Err() == nil {
		e.Peers.Forget(c.Address)
		reply, err := e.link.call(ctx, c.Instance, c.Address, r.out)
		if err == nil {
			return reply, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(askPause):
		}
	}
	return nil, lost
}

// lost is the refusal of a request whose guard does not answer.
func (e *Entry) lost(ctx context.Context, c choose.Candidate, err error) *fault.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.Unknown(fault.Canceled, "request ended while it was served")
	}
	if isOverTime(ctx, err) {
		return fault.Unknown(fault.DeadlineExceeded, "no answer in time: allow more time with %s", e.Dialect.Timeout)
	}
	return fault.Unknown(fault.PathFailed, "instance %s cannot be reached: repeat the request", c.Instance)
}

// verdict makes the refusal true for all guards together.
func (e *Entry) verdict(ctx context.Context, r *request, last *fault.Refusal) *fault.Refusal {
	if ctx.Err() != nil && (last == nil || last.Kind != fault.Canceled) {
		last = fault.NotRun(fault.DeadlineExceeded, "no answer in time: allow more time with %s", e.Dialect.Timeout)
	}
	refusal := e.lastWord(r, last)
	if refusal.Outcome == ident.OutcomeNotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = retryCapacity
	}
	return refusal
}

// objectiveOf returns the time in which an answer is worth most.
func objectiveOf(r record.Route) clock.Millis {
	if r.Objective > 0 {
		return r.Objective
	}
	return r.Timeout
}
