package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"chestnutlatch/stand"
)

// refusal holds the fields of a refusal's body that a caller acts on.
type refusal struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Ticket  string `json:"ticket"`
}

// kindTransport is the kind recorded for an attempt without an answer.
// outcomeNotRun is the outcome of a refusal that says that the request has not
// run.
const (
	kindTransport = "transport"
	outcomeNotRun = "not_run"
)

// client sends requests as a careful caller does: it sends a one-time action again
// only if the action has not run or the ticket lets the fleet recognize it.
type client struct {
	cfg  Config
	http *fasthttp.Client
	// attempts is the number of attempts sent with an id; it makes the ids unique.
	attempts atomic.Uint64
}

func newClient(cfg Config) *client {
	return &client{cfg: cfg, http: &fasthttp.Client{
		MaxConnsPerHost: 4096,
		// A retry by the HTTP client could run a one-time action twice.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// reply is the result of one attempt. The refusal is set unless ok.
type reply struct {
	ok         bool
	mismatched bool
	refusal    refusal
}

// runJob sends a job, retries it where that is safe, and records the result.
func (c *client) runJob(ctx context.Context, j job, result *Result) {
	result.recordSent(j)
	start := time.Now()
	switch {
	case j.path.OneTime && c.cfg.AttemptHeader != "":
		c.sendOneTimeByAttempt(ctx, j, result, start)
		return
	case j.path.OneTime:
		c.sendOneTime(ctx, j, result, start)
		return
	}
	r := c.sendAttempt(j, j.firstEntry, "")
	if !r.ok && r.refusal.Kind == kindTransport {
		// A look-up is idempotent, so it is retried through another daemon.
		r = c.sendAttempt(j, (j.firstEntry+1)%len(c.cfg.Entries), "")
	}
	if r.ok {
		result.recordServed(j, time.Since(start), r.mismatched)
		return
	}
	result.recordRefused(j, r.refusal.Kind+"/"+r.refusal.Outcome, FinalUnknown)
}

// sendOneTime runs a one-time action: it gets a ticket, sends the action with it,
// and retries with the same ticket through other daemons while the outcome is
// unknown. After not_run it gets a new ticket, which is safe only if not_run is
// true: a false not_run shows as an action that ran twice.
func (c *client) sendOneTime(ctx context.Context, j job, result *Result, start time.Time) {
	ticket := ""
	var last refusal
	entry := j.firstEntry
	uncertain := false
	for range c.cfg.MaxRetries + 1 {
		if ctx.Err() != nil {
			break
		}
		r := c.sendAttempt(j, entry, ticket)
		if r.ok {
			result.recordServed(j, time.Since(start), r.mismatched)
			return
		}
		last = r.refusal
		if ticket != "" && last.Kind == kindTransport {
			uncertain = true
		}
		ticket, uncertain = nextTicket(ticket, last, uncertain)
		if last.Kind != "ticket_required" {
			entry = (entry + 1) % len(c.cfg.Entries)
			time.Sleep(retryDelay)
		}
	}
	final := FinalUnknown
	if last.Outcome == outcomeNotRun && !uncertain {
		final = FinalNotRun
	}
	result.recordRefused(j, last.Kind+"/"+last.Outcome, final)
}

// sendOneTimeByAttempt runs a one-time action under the caller's own attempt id. It
// retries only after not_run, as a new attempt, because no daemon can report
// whether an attempt ran that was sent to another daemon.
func (c *client) sendOneTimeByAttempt(ctx context.Context, j job, result *Result, start time.Time) {
	var last refusal
	final := FinalNotRun
	for i := range c.cfg.MaxRetries + 1 {
		r := c.sendAttempt(j, (j.firstEntry+i)%len(c.cfg.Entries), "")
		if r.ok {
			result.recordServed(j, time.Since(start), r.mismatched)
			return
		}
		last = r.refusal
		if last.Outcome != outcomeNotRun {
			final = FinalUnknown
			break
		}
		if ctx.Err() != nil {
			break
		}
		time.Sleep(retryDelay)
	}
	result.recordRefused(j, last.Kind+"/"+last.Outcome, final)
}

// retryDelay is the pause before a one-time action is sent again.
const retryDelay = 50 * time.Millisecond

// nextTicket returns the ticket for the next attempt, empty to get a new one, and
// whether an earlier attempt may still run. It keeps the ticket while its outcome
// is unknown.
func nextTicket(ticket string, last refusal, uncertain bool) (next string, stillUncertain bool) {
	if last.Kind == "ticket_required" {
		return last.Ticket, uncertain
	}
	if last.Outcome == outcomeNotRun && ticket != "" {
		// The home daemon has answered that this ticket has not run and never will.
		return "", false
	}
	return ticket, uncertain
}

// sendAttempt sends one attempt to a daemon, with the ticket unless it is empty.
// A refusal that is not in the daemons' format becomes target_error with unknown
// outcome.
func (c *client) sendAttempt(j job, entry int, ticket string) reply {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.cfg.Entries[entry] + j.path.Path)
	if j.team.Key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+j.team.Key)
	}
	req.Header.Set(stand.ActionHeader, j.action)
	if j.path.OneTime {
		req.Header.SetMethod(fasthttp.MethodPost)
	}
	if c.cfg.AttemptHeader != "" {
		req.Header.Set(c.cfg.AttemptHeader, fmt.Sprintf("%s.%d", j.action, c.attempts.Add(1)))
		req.Header.Set(c.cfg.TimeLeftHeader, strconv.FormatInt(c.cfg.Timeout.Milliseconds(), 10))
	}
	if ticket != "" {
		req.Header.Set("Idempotency-Key", ticket)
	}
	if err := c.http.DoTimeout(req, resp, c.cfg.Timeout); err != nil {
		return reply{refusal: refusal{Kind: kindTransport, Outcome: "unknown"}}
	}
	if resp.StatusCode() < fasthttp.StatusBadRequest {
		return reply{ok: true, mismatched: !bytes.Contains(resp.Body(), []byte(j.action))}
	}
	var refused refusal
	if err := json.Unmarshal(resp.Body(), &refused); err != nil || refused.Kind == "" {
		refused = refusal{Kind: "target_error", Outcome: "unknown"}
	}
	return reply{refusal: refused}
}
