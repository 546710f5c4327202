package entry

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/guard"
	"chestnutlatch/wire"
)

// attemptRecord is the result of one guard call.
type attemptRecord struct {
	candidate choose.Candidate
	// reply is nil if err is set.
	reply *wire.ForwardReply
	// err is set if the guard did not reply.
	err  error
	took clock.Millis
}

// String formats the attempt for the request log as
// TARGET@INSTANCE(COST,far D suspicion S busy B age A)=RESULT/TIME. D, S, B and A are
// the candidate's distance, suspicion, utilization and age of the load report.
// RESULT is the status of the answer, the kind of the refusal, or "lost" if the guard
// did not reply.
func (a attemptRecord) String() string {
	result := "lost"
	switch {
	case a.err != nil:
	case a.reply.GetRefusal() != nil:
		result = guard.RefusalFromWire(a.reply.GetRefusal()).Kind.String()
	default:
		result = strconv.Itoa(int(a.reply.GetAnswer().GetStatus()))
	}
	return fmt.Sprintf("%s@%s(%.2f,far %d suspicion %.2f busy %.2f age %d)=%s/%dms", a.candidate.Target, a.candidate.Instance, a.candidate.Cost,
		a.candidate.Distance, a.candidate.Suspicion, a.candidate.Utilization, int64(a.candidate.Age), result, int64(a.took))
}

// summaries returns the formatted attempts.
func (t *attemptTrace) summaries() []string {
	out := make([]string, 0, len(t.attempts))
	for _, a := range t.attempts {
		out = append(out, a.String())
	}
	return out
}

// logResult writes one log line with the result of a request. A successful request
// is logged at debug level unless it is sampled. The line never contains a key.
func (e *Entry) logResult(c *fasthttp.RequestCtx, r *request, refusal *fault.Refusal, took time.Duration) {
	if r == nil {
		e.Log.Info("request refused", "id", string(c.Request.Header.Peek(e.Dialect.AttemptID)), "kind", refusal.Kind.String(),
			"revision", uint64(e.Table.Revision()))
		return
	}
	level := hclog.Info
	if refusal == nil && c.Response.StatusCode() < fasthttp.StatusInternalServerError && !e.isSampled(r.out.GetAttempt()) {
		level = hclog.Debug
	}
	if level == hclog.Debug && !e.Log.IsDebug() {
		return
	}
	args := []any{
		"id", r.out.GetAttempt(), "route", r.route.ID, "service", r.route.Service, "team", r.team.ID, "one_time", r.route.OneTime,
		"revision", uint64(e.Table.Revision()), "steps", r.trace.summaries(), "took_ms", took.Milliseconds(),
		"limit_ms", int64(r.deadline - r.began),
	}
	if decision := r.shareDecision; decision != nil {
		args = append(args, "team_rate", r.team.Rate, "share_level", roundHundredths(decision.Level), "share_rivals", roundHundredths(decision.CompetingRequests))
	}
	if refusal == nil {
		e.Log.Log(level, "request answered", append(args, "status", c.Response.StatusCode())...)
		return
	}
	e.Log.Info("request refused", append(args, "kind", refusal.Kind.String(), "outcome", refusal.Outcome.String(),
		"retry_after_ms", int64(refusal.RetryAfter), "status", e.statusOf(refusal))...)
}

// roundHundredths rounds x to two decimals.
func roundHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// isSampled reports whether a successful request is logged at info level. It
// depends only on the ID, so all daemons select the same requests.
func (e *Entry) isSampled(id string) bool {
	return e.LogSample > 0 && xxhash.Sum64String(id)%uint64(e.LogSample) == 0
}
