package guard

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/queue"
	"chestnutlatch/wire"
)

const (
	// TeamHeader carries the team's name to the target.
	TeamHeader = "X-Team"
	// TimeoutHeader carries the time left, in milliseconds.
	TimeoutHeader = "X-Request-Timeout"
)

// serve waits for a slot and exchanges the request with the target. It reports
// whether the request reached the target.
func (g *Guard) serve(ctx context.Context, t *target, req *wire.ForwardRequest) (*wire.Answer, *fault.Refusal, bool) {
	if g.isDrained(t.spec.ID) {
		return nil, fault.NotRun(fault.Draining, "target %s takes no new work: repeat the request", t.spec.ID), false
	}
	now := g.clk.Now()
	if r := g.refuseSuspect(now, t, req); r != nil {
		return nil, r, false
	}
	timeout := clock.Millis(req.GetTimeoutMs())
	job := queue.Job{
		Team:     ident.Team(req.GetTeam()),
		Priority: min(ident.Priority(req.GetPriority()), ident.PriorityUrgent),
		Weight:   max(req.GetWeight(), 1),
		Rank:     req.GetRank(),
		Deadline: now + timeout,
	}
	if g.cfg.Dialect.Attempt != "" {
		// What cannot end in time would only take a slot from others.
		job.Deadline = now + max(timeout-t.needs(job.Priority), 1)
	}
	if objective := clock.Millis(req.GetObjectiveMs()); objective > 0 {
		job.Start = now + max(objective-t.needs(job.Priority), 1)
	}
	if wait := clock.Millis(req.GetWaitMs()); wait > 0 {
		job.Deadline = min(job.Deadline, now+wait)
	}
	spare := clock.Millis(req.GetSpareMs())
	if spare == 0 {
		spare = job.Deadline - now
	}
	if g.cfg.Dialect.Attempt != "" {
		if wait := t.waitFor(now, job); wait > spare {
			return nil, refusalOf(fault.QueueFull, t.spec.ID).After(wait), false
		}
	}
	if r := t.acquire(ctx, now, job, ident.Instance(req.GetSenderInstance())); r != nil {
		return nil, r, false
	}
	defer func() { t.release(g.clk.Now()) }()
	g.meter.QueueWait.Update(float64(g.clk.Now()-now) / float64(clock.Second))
	if req.GetRepeat() {
		g.repeats.Add(1)
		defer g.repeats.Add(-1)
	}
	if ctx.Err() != nil {
		return nil, fault.NotRun(fault.Canceled, "request ended while it waited for target %s", t.spec.ID), false
	}
	left := now + timeout - g.clk.Now()
	if left <= 0 {
		return nil, refusalOf(fault.DeadlineExceeded, t.spec.ID), false
	}
	if req.GetOneTime() {
		// The target works on, whatever becomes of the sender.
		ctx = context.WithoutCancel(ctx)
	}
	return g.exchange(ctx, t, req, left)
}

// refuseSuspect sends a request elsewhere while the target probably fails. A
// few idempotent ones, which can be repeated, show whether it is well again.
func (g *Guard) refuseSuspect(now clock.Millis, t *target, req *wire.ForwardRequest) *fault.Refusal {
	if g.cfg.RefuseAt <= 0 || req.GetLastResort() || t.suspicion(now) < g.cfg.RefuseAt {
		return nil
	}
	if !req.GetOneTime() && t.mayTest(now) {
		return nil
	}
	return fault.NotRun(fault.Suspect, "target %s probably fails: repeat the request", t.spec.ID)
}

// exchange runs the request at the target. A silent connection is replaced
// and, for an idempotent request, the request is sent again on a fresh one.
func (g *Guard) exchange(ctx context.Context, t *target, req *wire.ForwardRequest, left clock.Millis) (*wire.Answer, *fault.Refusal, bool) {
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	out := fasthttp.AcquireRequest()
	in := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	g.fill(out, req, t, left)
	began := time.Now()
	err := g.attempt(ctx, t, out, in, !req.GetOneTime())
	latency := ident.Micros(time.Since(began).Microseconds())
	g.meter.TargetTime.UpdateDuration(began)
	sample := g.endOf(t, err, in.StatusCode(), latency)
	before, after := t.judgeEnd(sample, ident.Priority(req.GetPriority()))
	g.logEnd(t, req, sample, in.StatusCode(), err, before, after)
	if err != nil {
		return nil, explain(err, t.spec.ID), !errors.Is(err, errDial)
	}
	if r := g.notRun(t, in); r != nil {
		return nil, r, true
	}
	if len(in.Header.ContentEncoding()) > 0 && g.cfg.Dialect.Attempt != "" {
		return nil, explain(errHalf, t.spec.ID), true
	}
	return toAnswer(in), nil, true
}

// notRun returns the refusal of a target that says that it did not run the
// request.
func (g *Guard) notRun(t *target, in *fasthttp.Response) *fault.Refusal {
	d := g.cfg.Dialect
	if d.Expect != "" && in.StatusCode() == fasthttp.StatusMisdirectedRequest {
		// Another target has the address; heartbeats will name it.
		t.setDraining(true)
		return fault.NotRun(fault.Draining, "target %s has gone: repeat the request", t.spec.ID)
	}
	if d.NotRun == "" || len(in.Header.Peek(d.NotRun)) == 0 || in.StatusCode() == fasthttp.StatusBadRequest {
		return nil
	}
	return fault.NotRun(fault.Shed, "target %s refused the request: repeat after the given time", t.spec.ID).After(clock.Second)
}

// attempt makes one exchange. For an idempotent request, a reused connection
// is given up early enough that time is left for a fresh one. The second
// exchange is bounded for each target, so that a slow target does not get its
// load twice.
func (g *Guard) attempt(ctx context.Context, t *target, out *fasthttp.Request, in *fasthttp.Response, idempotent bool) error {
	var firstByte time.Duration
	if idempotent && !g.cfg.KeepAlive {
		firstByte = firstByteWait(ctx)
	}
	err := t.conns.exchange(ctx, out, in, g.cfg.MaxAnswerBytes, firstByte)
	if !idempotent || !errors.Is(err, errSilent) || ctx.Err() != nil || !t.mayRefresh(g.clk.Now()) {
		return err
	}
	in.Reset()
	return t.conns.exchange(ctx, out, in, g.cfg.MaxAnswerBytes, 0)
}

// firstByteWait is the part of the time left that a reused connection gets.
func firstByteWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return dialTimeout
	}
	return time.Until(deadline) / 2
}

// fill writes the target's request. The caller's key never gets here: the
// entry sends only the headers that may pass.
func (g *Guard) fill(out *fasthttp.Request, req *wire.ForwardRequest, t *target, left clock.Millis) {
	d := g.cfg.Dialect
	out.Header.SetMethod(req.GetMethod())
	out.Header.SetRequestURI(req.GetUri())
	out.Header.SetNoDefaultContentType(true)
	for _, h := range req.GetHeaders() {
		out.Header.Add(h.GetName(), h.GetValue())
	}
	if len(out.Header.Host()) == 0 {
		out.Header.SetHost(t.spec.Address)
	}
	for _, name := range d.own() {
		if name != "" {
			out.Header.Del(name)
		}
	}
	setHeader(out, d.Team, req.GetTeam())
	setHeader(out, d.Timeout, strconv.FormatInt(int64(left), 10))
	setHeader(out, d.Origin, req.GetOriginService())
	setHeader(out, d.Expect, string(t.spec.ID))
	out.SetBodyRaw(req.GetBody())
}

func setHeader(out *fasthttp.Request, name, value string) {
	if name != "" && value != "" {
		out.Header.Set(name, value)
	}
}

func toAnswer(in *fasthttp.Response) *wire.Answer {
	a := &wire.Answer{Status: uint32(in.StatusCode()), Body: append([]byte(nil), in.Body()...)}
	for k, v := range in.Header.All() {
		a.Headers = append(a.Headers, &wire.Header{Name: string(k), Value: string(v)})
	}
	return a
}

// logEnd writes what a request showed about its target, if it failed or changed
// the belief.
func (g *Guard) logEnd(t *target, req *wire.ForwardRequest, s health.Sample, status int, err error, before, after float64) {
	if g.cfg.RefuseAt <= 0 {
		return
	}
	switch {
	case before < g.cfg.RefuseAt && after >= g.cfg.RefuseAt:
		g.log.Info("target suspect", "target", t.spec.ID, "suspicion", after, "before", before, "last_id", req.GetAttempt())
	case before >= g.cfg.RefuseAt && after < g.cfg.RefuseAt:
		g.log.Info("target trusted", "target", t.spec.ID, "suspicion", after, "before", before, "last_id", req.GetAttempt())
	}
	if err != nil || status >= fasthttp.StatusInternalServerError {
		g.log.Info("target failed a request", "id", req.GetAttempt(), "target", t.spec.ID, "status", status, "error", err,
			"took_us", int64(s.Latency), "counts_as", s.Result.String(), "suspicion", after, "before", before)
	}
}

// endOf is what the end of a request says about its target.
func (g *Guard) endOf(t *target, err error, status int, took ident.Micros) health.Sample {
	s := health.Sample{At: g.clk.Now(), Result: resultOf(err, status), Latency: took}
	switch {
	case s.Result == health.ResultTimeout && took < ident.Micros(t.usual()*patience):
		// The caller had little time; the target did not take long.
		s.Result = health.ResultCanceled
	case err == nil && s.Result == health.ResultError && g.callFailedDuring(s.At, took):
		// The target only passes on that a call of its own failed.
		s.Result = health.ResultCanceled
	}
	return s
}

const (
	// patience times a target's usual time is what a request may take before
	// a missing answer speaks against the target.
	patience = 4
	// callBlame is how soon after a failed call of its own a target gives up
	// the request that made it, in milliseconds.
	callBlame = 250 * clock.Millisecond
)

// CallFailed notes that a call made by a local target ended without success.
func (g *Guard) CallFailed(now clock.Millis) {
	g.callFailed.Store(int64(max(now, 1)))
}

// callFailedDuring reports whether a call failed late in a request that took
// so long.
func (g *Guard) callFailedDuring(now clock.Millis, took ident.Micros) bool {
	at := clock.Millis(g.callFailed.Load())
	span := clock.Millis(took / 1000)
	return at > 0 && now-at <= min(span, callBlame)
}

func resultOf(err error, status int) health.Result {
	switch {
	case errors.Is(err, errCanceled):
		return health.ResultCanceled
	case errors.Is(err, errSilent):
		// The connection's fault, not the target's.
		return health.ResultCanceled
	case errors.Is(err, errTimeout):
		return health.ResultTimeout
	case errors.Is(err, errHalf):
		return health.ResultHalf
	case err != nil || status >= fasthttp.StatusInternalServerError:
		return health.ResultError
	default:
		return health.ResultOK
	}
}

func explain(err error, id ident.Target) *fault.Refusal {
	switch {
	case errors.Is(err, errDial):
		return fault.NotRun(fault.TargetFailed, "target %s refused the connection: repeat the request", id)
	case errors.Is(err, errTooLarge):
		return fault.Unknown(fault.AnswerTooLarge, "answer of target %s is over max_answer_bytes: raise the setting or ask for less", id)
	case errors.Is(err, errHalf):
		return fault.Unknown(fault.HalfAnswer, "answer of target %s broke off or has no length: repeat a lookup, look an action up", id)
	case errors.Is(err, errCanceled):
		return fault.Unknown(fault.Canceled, "request ended while target %s worked on it", id)
	default:
		return fault.Unknown(fault.DeadlineExceeded, "target %s did not answer in time: allow more time or look the action up", id)
	}
}
