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

// step is what one guard said about a request.
type step struct {
	c     choose.Candidate
	reply *wire.ForwardReply
	err   error
	took  clock.Millis
}

// String is the step as operators read it.
func (s step) String() string {
	word := "lost"
	switch {
	case s.err != nil:
	case s.reply.GetRefusal() != nil:
		word = guard.FromWire(s.reply.GetRefusal()).Kind.String()
	default:
		word = strconv.Itoa(int(s.reply.GetAnswer().GetStatus()))
	}
	return fmt.Sprintf("%s@%s(%.2f,far %d suspicion %.2f busy %.2f age %d)=%s/%dms", s.c.Target, s.c.Instance, s.c.Cost,
		s.c.Distance, s.c.Suspicion, s.c.Busy, int64(s.c.Age), word, int64(s.took))
}

// story returns the steps as operators read them.
func (t *trail) story() []string {
	out := make([]string, 0, len(t.steps))
	for _, s := range t.steps {
		out = append(out, s.String())
	}
	return out
}

// logEnd writes the one line that tells how a request ended and why. It never
// holds a key.
func (e *Entry) logEnd(c *fasthttp.RequestCtx, r *request, refusal *fault.Refusal, took time.Duration) {
	if r == nil {
		e.Log.Info("request refused", "id", string(c.Request.Header.Peek(e.Dialect.Attempt)), "kind", refusal.Kind.String(),
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
		"revision", uint64(e.Table.Revision()), "steps", r.trail.story(), "took_ms", took.Milliseconds(),
		"limit_ms", int64(r.deadline - r.began),
	}
	if t := r.taking; t != nil {
		args = append(args, "team_rate", r.team.Rate, "share_level", hundredths(t.Level), "share_rivals", hundredths(t.Rivals))
	}
	if refusal == nil {
		e.Log.Log(level, "request answered", append(args, "status", c.Response.StatusCode())...)
		return
	}
	e.Log.Info("request refused", append(args, "kind", refusal.Kind.String(), "outcome", refusal.Outcome.String(),
		"retry_after_ms", int64(refusal.RetryAfter), "status", e.statusOf(refusal))...)
}

// hundredths rounds what operators read.
func hundredths(x float64) float64 { return math.Round(x*100) / 100 }

// isSampled reports whether the plain success of a request is logged. All
// daemons keep the same ids.
func (e *Entry) isSampled(id string) bool {
	return e.LogSample > 0 && xxhash.Sum64String(id)%uint64(e.LogSample) == 0
}
