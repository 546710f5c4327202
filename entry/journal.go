package entry

import (
	"fmt"
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

// note keeps what a guard said about a request.
func (t *trail) note(c choose.Candidate, reply *wire.ForwardReply, err error, took clock.Millis) {
	word := "lost"
	switch {
	case err != nil:
	case reply.GetRefusal() != nil:
		word = guard.FromWire(reply.GetRefusal()).Kind.String()
	default:
		word = fmt.Sprint(reply.GetAnswer().GetStatus())
	}
	t.steps = append(t.steps, fmt.Sprintf("%s@%s(%.2f,%s)=%s/%dms", c.Target, c.Instance, c.Cost, c.Why, word, int64(took)))
}

// logEnd writes the one line that tells how a request ended and why. It never
// holds a key.
func (e *Entry) logEnd(c *fasthttp.RequestCtx, r *request, refusal *fault.Refusal, took time.Duration) {
	if r == nil {
		e.Log.Info("request refused", "id", string(c.Request.Header.Peek(e.Dialect.Attempt)), "kind", refusal.Kind.String(),
			"revision", uint64(e.Table.Revision()))
		return
	}
	args := []any{
		"id", r.out.GetAttempt(), "route", r.route.ID, "service", r.route.Service, "team", r.team.ID, "one_time", r.route.OneTime,
		"revision", uint64(e.Table.Revision()), "steps", r.trail.steps, "took_ms", took.Milliseconds(),
		"limit_ms", int64(r.deadline - r.began),
	}
	if refusal == nil {
		level := hclog.Debug
		if c.Response.StatusCode() >= fasthttp.StatusInternalServerError || e.isSampled(r.out.GetAttempt()) {
			level = hclog.Info
		}
		e.Log.Log(level, "request answered", append(args, "status", c.Response.StatusCode())...)
		return
	}
	e.Log.Info("request refused", append(args, "kind", refusal.Kind.String(), "outcome", refusal.Outcome.String(),
		"retry_after_ms", int64(refusal.RetryAfter), "status", e.statusOf(refusal))...)
}

// isSampled reports whether the plain success of a request is logged. All
// daemons keep the same ids.
func (e *Entry) isSampled(id string) bool {
	return e.LogSample > 0 && xxhash.Sum64String(id)%uint64(e.LogSample) == 0
}
