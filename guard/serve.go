package guard

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"chestnutlatch/answer"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/queue"
	"chestnutlatch/region"
	"chestnutlatch/wire"
)

const (
	// ExchangeHeader carries an ID of the request that a target may repeat in its
	// answer.
	ExchangeHeader = "X-Exchange-Id"
	// TeamHeader carries the team's ID to the target.
	TeamHeader = "X-Team"
	// TimeoutHeader carries the remaining time of the request, in milliseconds.
	TimeoutHeader = "X-Request-Timeout"
)

// serve waits for a slot and sends the request to the target. It reports whether
// the request reached, or may have reached, the target.
func (g *Guard) serve(ctx context.Context, t *target, req *wire.ForwardRequest) (*wire.Answer, *fault.Refusal, bool) {
	if r := g.refusePlace(t, req); r != nil {
		return nil, r, false
	}
	if g.isDrained(t.spec.ID) {
		return nil, fault.NotRun(fault.Draining, "target %s takes no new work: repeat the request", t.spec.ID), false
	}
	now := g.clk.Now()
	if r := g.refuseSuspect(now, t, req); r != nil {
		return nil, r, false
	}
	timeout := clock.Millis(req.GetTimeoutMs())
	if ident.Incarnation(req.GetSenderIncarnation()) != g.cfg.Incarnation {
		// The entry of this daemon has taken its own pause into account.
		timeout -= g.UnreadTime(now)
	}
	if timeout <= 0 {
		return nil, queueRefusal(fault.DeadlineExceeded, t.spec.ID), false
	}
	job := queue.Job{
		Team:     ident.Team(req.GetTeam()),
		Priority: min(ident.Priority(req.GetPriority()), ident.PriorityUrgent),
		Weight:   max(req.GetWeight(), 1),
		Rank:     req.GetRank(),
		Deadline: now + timeout,
	}
	if r := t.coldRefusal(now, job); r != nil {
		return nil, r, false
	}
	if g.cfg.Dialect.AttemptID != "" {
		// A request that cannot end before its deadline must not take a slot.
		job.Deadline = now + max(timeout-t.estimateServiceTime(job.Priority), 1)
	}
	if objective := clock.Millis(req.GetObjectiveMs()); objective > 0 {
		job.StartBy = now + max(objective-t.estimateServiceTime(job.Priority), 1)
	}
	if wait := clock.Millis(req.GetWaitMs()); wait > 0 {
		job.Deadline = min(job.Deadline, now+wait)
	}
	maxWait := clock.Millis(req.GetSpareMs())
	if maxWait == 0 {
		maxWait = job.Deadline - now
	}
	if g.cfg.Dialect.AttemptID != "" {
		if wait := t.estimateWait(now, job); wait > maxWait {
			return nil, queueRefusal(fault.QueueFull, t.spec.ID).WithRetryAfter(wait), false
		}
	}
	if r := t.acquire(ctx, now, job, ident.Instance(req.GetSenderInstance())); r != nil {
		return nil, r, false
	}
	defer func() { t.release(g.clk.Now()) }()
	if req.GetOneTime() {
		g.runningActions.Add(1)
		defer g.runningActions.Add(-1)
	}
	g.meter.QueueWait.Update(float64(g.clk.Now()-now) / float64(clock.Second))
	if req.GetRepeat() {
		g.runningRetries.Add(1)
		defer g.runningRetries.Add(-1)
	}
	if ctx.Err() != nil {
		return nil, fault.NotRun(fault.Canceled, "request ended while it waited for target %s", t.spec.ID), false
	}
	if r := g.refusePlace(t, req); r != nil {
		// The evacuation began while the request waited.
		return nil, r, false
	}
	remaining := now + timeout - g.clk.Now()
	if remaining <= 0 {
		return nil, queueRefusal(fault.DeadlineExceeded, t.spec.ID), false
	}
	if req.GetOneTime() {
		// The action must finish even if the sender cancels.
		ctx = context.WithoutCancel(ctx)
	}
	return g.exchange(ctx, t, req, remaining)
}

// refusePlace refuses a request that may not be served in this region, and every request
// while the data centre is evacuated. The refusal for the region takes precedence. The
// tables of one-time requests decide before it, so the answer to an earlier copy is still
// returned.
func (g *Guard) refusePlace(t *target, req *wire.ForwardRequest) *fault.Refusal {
	policy := region.Decode(req.GetRegions(), req.GetNoRegion())
	if policy.IsEmpty() {
		return fault.NotRun(fault.NoRegion, "no region is allowed for this request: allow a region in both the route and the team")
	}
	if !policy.Permits(g.cfg.Region) {
		g.log.Info("request refused outside its allowed regions", "id", req.GetAttempt(), "target", t.spec.ID, "region", g.cfg.Region, "allowed", req.GetRegions())
		return fault.NotRun(fault.NoRegion, "target %s is outside the allowed regions: repeat the request", t.spec.ID).WithRetryAfter(clock.Second)
	}
	if g.isEvacuatedHere() {
		return queueRefusal(fault.Evacuated, t.spec.ID)
	}
	return nil
}

// refuseSuspect refuses a request while the target's suspicion is at least the
// threshold. It admits last-resort requests and, as recovery probes, a few
// idempotent requests, which can be repeated if they fail.
func (g *Guard) refuseSuspect(now clock.Millis, t *target, req *wire.ForwardRequest) *fault.Refusal {
	if g.cfg.SuspectThreshold <= 0 || req.GetLastResort() || t.suspicion(now) < g.cfg.SuspectThreshold {
		return nil
	}
	if !req.GetOneTime() && t.allowProbe(now) {
		return nil
	}
	return fault.NotRun(fault.Suspect, "target %s probably fails: repeat the request", t.spec.ID)
}

// exchange sends the request to the target, records the result for the target's
// health and converts the answer. It reports whether the request reached, or may
// have reached, the target.
func (g *Guard) exchange(ctx context.Context, t *target, req *wire.ForwardRequest, remaining clock.Millis) (*wire.Answer, *fault.Refusal, bool) {
	ctx, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	httpReq := fasthttp.AcquireRequest()
	httpResp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpReq)
	defer fasthttp.ReleaseResponse(httpResp)
	g.buildRequest(httpReq, req, t, remaining)
	startedAt := time.Now()
	priority := min(ident.Priority(req.GetPriority()), ident.PriorityUrgent)
	admit := func() bool { return t.cold.admit(t.spec.Service, priority) }
	resent, err := g.send(ctx, t, httpReq, httpResp, !req.GetOneTime(), admit)
	if errors.Is(err, errCold) {
		return nil, t.coldFullRefusal(priority), false
	}
	if err == nil && g.lacksSignature(httpResp) {
		err = errors.Wrap(errIncomplete, "success without the target's signature")
	}
	latency := ident.Micros(time.Since(startedAt).Microseconds())
	g.meter.TargetTime.UpdateDuration(startedAt)
	status := httpResp.StatusCode()
	if err == nil && g.promisesWithoutProof(httpResp) {
		// It counts like the failure that the caller gets.
		status = fasthttp.StatusBadGateway
	}
	sample := g.healthSample(t, err, status, latency)
	if overdue := clock.Millis(req.GetOverdueMs()); overdue > 0 && errors.Is(err, errCanceled) && latency/microsPerMilli >= ident.Micros(overdue) {
		sample.Result = health.ResultTimeout
	}
	refused := err == nil && g.isShed(httpResp)
	if refused && g.cfg.ShedIsNoFailure {
		sample.Result = health.ResultCanceled
	}
	t.recordShed(sample, refused)
	before, after := t.recordSample(sample, ident.Priority(req.GetPriority()))
	g.logSample(t, req, sample, httpResp.StatusCode(), err, before, after)
	if err != nil {
		return nil, unknownIf(resent, refusalForError(err, t.spec.ID)), resent || !errors.Is(err, errDial)
	}
	if r := g.targetRefusal(t, httpResp); r != nil {
		return nil, unknownIf(resent, r), true
	}
	if len(httpResp.Header.ContentEncoding()) > 0 && g.cfg.Dialect.AttemptID != "" {
		return nil, refusalForError(errIncomplete, t.spec.ID), true
	}
	return toWireAnswer(httpResp), nil, true
}

// unknownIf sets the outcome of a refusal to unknown if the request was sent more than
// once: the refusal is about the last send, and an earlier one may have run.
func unknownIf(resent bool, r *fault.Refusal) *fault.Refusal {
	if resent {
		r.Outcome = ident.OutcomeUnknown
	}
	return r
}

// lacksSignature reports whether the answer is a success that does not have exactly one
// signature of the target, although targets sign theirs.
func (g *Guard) lacksSignature(resp *fasthttp.Response) bool {
	name := g.cfg.Dialect.Signature
	if name == "" || resp.StatusCode() >= fasthttp.StatusMultipleChoices {
		return false
	}
	signatures := resp.Header.PeekAll(name)
	return len(signatures) != 1 || len(signatures[0]) == 0
}

// isShed reports whether the answer says that the target refused the request without
// running it.
func (g *Guard) isShed(resp *fasthttp.Response) bool {
	d := g.cfg.Dialect
	return d.NotRun != "" && len(resp.Header.Peek(d.NotRun)) > 0 && resp.StatusCode() != fasthttp.StatusBadRequest
}

// promisesWithoutProof reports whether the caller would take the answer's status for the
// promise that the request has not run, although the target does not say so.
func (g *Guard) promisesWithoutProof(resp *fasthttp.Response) bool {
	return g.cfg.Dialect.NotRun != "" && answer.PromisesNotRun(resp.StatusCode()) && !g.isShed(resp)
}

// targetRefusal returns a refusal if the answer says, or its status would wrongly say, that
// the target did not run the request, and nil otherwise.
func (g *Guard) targetRefusal(t *target, resp *fasthttp.Response) *fault.Refusal {
	d := g.cfg.Dialect
	if d.ExpectedTarget != "" && resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		// Another target uses the address now. Its heartbeats will register it.
		t.setDraining(true)
		return fault.NotRun(fault.Draining, "target %s has gone: repeat the request", t.spec.ID)
	}
	if g.promisesWithoutProof(resp) {
		return fault.Unknown(fault.TargetFailed, "target %s failed the request with status %d, which does not prove that it has not run: repeat a lookup, look an action up",
			t.spec.ID, resp.StatusCode())
	}
	if !g.isShed(resp) {
		return nil
	}
	return fault.NotRun(fault.Shed, "target %s refused the request: repeat after the given time", t.spec.ID).WithRetryAfter(clock.Second)
}

// send sends the request and reads the answer. If a reused connection gives no
// byte, it sends an idempotent request again on another connection, with the time that
// is left, unless the target drains or is evacuated by then. The first-byte timeout leaves
// time for that. Such resends are limited for each target, so a slow target does not get
// twice its load. Each send counts towards the limit of a cold target; see
// connPool.exchange for admit. It reports whether the request was sent again.
func (g *Guard) send(ctx context.Context, t *target, req *fasthttp.Request, resp *fasthttp.Response, idempotent bool, admit func() bool) (resent bool, err error) {
	var firstByte time.Duration
	if idempotent && !g.cfg.KeepAlive {
		firstByte = firstByteTimeout(ctx)
	}
	err = t.conns.exchange(ctx, req, resp, g.cfg.MaxAnswerBytes, firstByte, admit)
	if !idempotent || !errors.Is(err, errNoFirstByte) || ctx.Err() != nil {
		return false, err
	}
	if t.isDraining() || g.isDrained(t.spec.ID) || g.isEvacuatedHere() || !t.allowResend(g.clk.Now()) {
		return false, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		setHeader(req, g.cfg.Dialect.Timeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	resp.Reset()
	if resendErr := t.conns.exchange(ctx, req, resp, g.cfg.MaxAnswerBytes, 0, admit); !errors.Is(resendErr, errCold) {
		return true, resendErr
	}
	return false, err
}

// firstByteTimeout returns how long a reused connection may take to give the first
// byte: half of the remaining time, or dialTimeout if ctx has no deadline.
func firstByteTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return dialTimeout
	}
	return time.Until(deadline) / 2
}

// buildRequest fills in the HTTP request to the target. The entry has already
// removed the caller's key and other headers that must not be forwarded.
func (g *Guard) buildRequest(out *fasthttp.Request, req *wire.ForwardRequest, t *target, remaining clock.Millis) {
	d := g.cfg.Dialect
	out.Header.SetMethod(req.GetMethod())
	out.Header.SetRequestURIBytes(req.GetUri())
	out.Header.SetNoDefaultContentType(true)
	for _, h := range req.GetHeaders() {
		out.Header.AddBytesKV(h.GetName(), h.GetValue())
	}
	if len(out.Header.Host()) == 0 {
		out.Header.SetHost(t.spec.Address)
	}
	for _, name := range d.reservedHeaders() {
		if name != "" {
			out.Header.Del(name)
		}
	}
	if d.AttemptID == "" {
		setHeader(out, d.Exchange, strconv.FormatUint(g.lastExchange.Add(1), 36))
	}
	setHeader(out, d.Team, req.GetTeam())
	setHeader(out, d.Timeout, strconv.FormatInt(int64(remaining), 10))
	setHeader(out, d.OriginService, req.GetOriginService())
	setHeader(out, d.ExpectedTarget, string(t.spec.ID))
	out.SetBodyRaw(req.GetBody())
}

func setHeader(out *fasthttp.Request, name, value string) {
	if name != "" && value != "" {
		out.Header.Set(name, value)
	}
}

func toWireAnswer(resp *fasthttp.Response) *wire.Answer {
	a := &wire.Answer{Status: uint32(resp.StatusCode()), Body: append([]byte(nil), resp.Body()...)}
	for k, v := range resp.Header.All() {
		a.Headers = append(a.Headers, &wire.Header{Name: append([]byte(nil), k...), Value: append([]byte(nil), v...)})
	}
	return a
}

// logSample logs a failed request and a change of the target's suspicion across
// the threshold. Without a threshold it logs nothing.
func (g *Guard) logSample(t *target, req *wire.ForwardRequest, s health.Sample, status int, err error, before, after float64) {
	if g.cfg.SuspectThreshold <= 0 {
		return
	}
	switch {
	case before < g.cfg.SuspectThreshold && after >= g.cfg.SuspectThreshold:
		g.log.Info("target suspect", "target", t.spec.ID, "suspicion", after, "before", before, "last_id", req.GetAttempt())
	case before >= g.cfg.SuspectThreshold && after < g.cfg.SuspectThreshold:
		g.log.Info("target no longer suspect", "target", t.spec.ID, "suspicion", after, "before", before, "last_id", req.GetAttempt())
	}
	if err != nil || s.Result == health.ResultError || status >= fasthttp.StatusInternalServerError {
		g.log.Info("target failed a request", "id", req.GetAttempt(), "target", t.spec.ID, "status", status, "error", err,
			"took_us", int64(s.Latency), "counts_as", s.Result.String(), "suspicion", after, "before", before)
	}
}

// healthSample returns the health sample of a finished request. Failures that the
// target did not cause count as canceled.
func (g *Guard) healthSample(t *target, err error, status int, latency ident.Micros) health.Sample {
	s := health.Sample{At: g.clk.Now(), Result: classifyResult(err, status), Latency: latency}
	switch {
	case s.Result == health.ResultTimeout && latency < ident.Micros(t.typicalLatency()*timeoutFactor):
		// The caller's timeout was short; the target was not slow.
		s.Result = health.ResultCanceled
	case err == nil && s.Result == health.ResultError && g.callFailedDuring(s.At, latency):
		// The target failed because a call that it made failed.
		s.Result = health.ResultCanceled
	}
	return s
}

const (
	// timeoutFactor is the multiple of a target's mean latency after which a
	// missing answer counts against the target.
	timeoutFactor = 4
	// callFailureWindow is the time, in milliseconds, within which a target fails
	// a request after a call made for that request failed.
	callFailureWindow = 250 * clock.Millisecond
)

// RecordCallFailure records the time at which a call made by a local target failed.
func (g *Guard) RecordCallFailure(now clock.Millis) {
	g.lastCallFailure.Store(int64(max(now, 1)))
}

// callFailedDuring reports whether a call of a local target failed during a
// request that ended now, and within callFailureWindow of its end.
func (g *Guard) callFailedDuring(now clock.Millis, latency ident.Micros) bool {
	failedAt := clock.Millis(g.lastCallFailure.Load())
	duration := clock.Millis(latency / 1000)
	return failedAt > 0 && now-failedAt <= min(duration, callFailureWindow)
}

func classifyResult(err error, status int) health.Result {
	switch {
	case errors.Is(err, errCanceled):
		return health.ResultCanceled
	case errors.Is(err, errNoFirstByte):
		// The connection may have failed instead of the target. A target that
		// hangs is detected by the requests on new connections: the idle ones
		// have been closed.
		return health.ResultCanceled
	case errors.Is(err, errTimeout):
		return health.ResultTimeout
	case errors.Is(err, errIncomplete):
		return health.ResultHalf
	case err != nil || status >= fasthttp.StatusInternalServerError:
		return health.ResultError
	default:
		return health.ResultOK
	}
}

func refusalForError(err error, id ident.Target) *fault.Refusal {
	switch {
	case errors.Is(err, errDial):
		return fault.NotRun(fault.TargetFailed, "target %s refused the connection: repeat the request", id)
	case errors.Is(err, errTooLarge):
		return fault.Unknown(fault.AnswerTooLarge, "answer of target %s is over max_answer_bytes: raise the setting or ask for less", id)
	case errors.Is(err, errNoAnswerMemory):
		return fault.Unknown(fault.AnswerTooLarge, "large answers fill the memory for them at target %s: repeat a lookup, look an action up", id)
	case errors.Is(err, errIncomplete):
		return fault.Unknown(fault.HalfAnswer, "answer of target %s broke off or is not valid: repeat a lookup, look an action up", id)
	case errors.Is(err, errCanceled):
		return fault.Unknown(fault.Canceled, "request ended while target %s worked on it", id)
	default:
		return fault.Unknown(fault.DeadlineExceeded, "target %s did not answer in time: allow more time or look the action up", id)
	}
}
