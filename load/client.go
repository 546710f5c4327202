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

// problem is the part of a refusal that a caller acts on.
type problem struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
	Ticket  string `json:"ticket"`
}

const (
	kindTransport = "transport"
	outcomeNotRun = "not_run"
)

// client makes requests as a careful caller would.
type client struct {
	cfg  Config
	http *fasthttp.Client
	// sent numbers the attempts.
	sent atomic.Uint64
}

func newClient(cfg Config) *client {
	return &client{cfg: cfg, http: &fasthttp.Client{
		MaxConnsPerHost: 4096,
		// A one-time action must not be sent again behind the caller's back.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// reply is one attempt's end.
type reply struct {
	ok      bool
	mixed   bool
	problem problem
}

func (c *client) do(ctx context.Context, j job, res *Result) {
	res.sent(j)
	began := time.Now()
	switch {
	case j.path.OneTime && c.cfg.Attempt != "":
		c.actByAttempt(ctx, j, res, began)
		return
	case j.path.OneTime:
		c.act(ctx, j, res, began)
		return
	}
	r := c.send(j, j.entry, "")
	if !r.ok && r.problem.Kind == kindTransport {
		// A look-up is idempotent: it goes to another daemon.
		r = c.send(j, (j.entry+1)%len(c.cfg.Entries), "")
	}
	if r.ok {
		res.served(j, time.Since(began), r.mixed)
		return
	}
	res.refused(j, r.problem.Kind+"/"+r.problem.Outcome, FinalUnknown)
}

// act runs a one-time action: take a ticket, send, and repeat with the same
// ticket through other daemons while the outcome is unknown. After not_run it
// takes a new ticket, which is safe if not_run is true.
func (c *client) act(ctx context.Context, j job, res *Result, began time.Time) {
	ticket := ""
	var last problem
	entry := j.entry
	uncertain := false
	for range c.cfg.Repeats + 1 {
		if ctx.Err() != nil {
			break
		}
		r := c.send(j, entry, ticket)
		if r.ok {
			res.served(j, time.Since(began), r.mixed)
			return
		}
		last = r.problem
		if ticket != "" && last.Kind == kindTransport {
			uncertain = true
		}
		ticket, uncertain = nextTicket(ticket, last, uncertain)
		if last.Kind != "ticket_required" {
			entry = (entry + 1) % len(c.cfg.Entries)
			time.Sleep(repeatPause)
		}
	}
	final := FinalUnknown
	if last.Outcome == outcomeNotRun && !uncertain {
		final = FinalNotRun
	}
	res.refused(j, last.Kind+"/"+last.Outcome, final)
}

// actByAttempt runs a one-time action under an id of the caller's own. Only what
// has not run is sent again, as a new attempt: nobody answers for the run of an
// attempt that was sent to another daemon.
func (c *client) actByAttempt(ctx context.Context, j job, res *Result, began time.Time) {
	var last problem
	final := FinalNotRun
	for i := range c.cfg.Repeats + 1 {
		r := c.send(j, (j.entry+i)%len(c.cfg.Entries), "")
		if r.ok {
			res.served(j, time.Since(began), r.mixed)
			return
		}
		last = r.problem
		if last.Outcome != outcomeNotRun {
			final = FinalUnknown
			break
		}
		if ctx.Err() != nil {
			break
		}
		time.Sleep(repeatPause)
	}
	res.refused(j, last.Kind+"/"+last.Outcome, final)
}

const repeatPause = 50 * time.Millisecond

// nextTicket keeps the ticket while its outcome is unknown.
func nextTicket(ticket string, p problem, uncertain bool) (next string, stillUncertain bool) {
	if p.Kind == "ticket_required" {
		return p.Ticket, uncertain
	}
	if p.Outcome == outcomeNotRun && ticket != "" {
		// The home says that this ticket has not run and never will.
		return "", false
	}
	return ticket, uncertain
}

func (c *client) send(j job, entry int, ticket string) reply {
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
	if c.cfg.Attempt != "" {
		req.Header.Set(c.cfg.Attempt, fmt.Sprintf("%s.%d", j.action, c.sent.Add(1)))
		req.Header.Set(c.cfg.Remaining, strconv.FormatInt(c.cfg.Timeout.Milliseconds(), 10))
	}
	if ticket != "" {
		req.Header.Set("Idempotency-Key", ticket)
	}
	if err := c.http.DoTimeout(req, resp, c.cfg.Timeout); err != nil {
		return reply{problem: problem{Kind: kindTransport, Outcome: "unknown"}}
	}
	if resp.StatusCode() < fasthttp.StatusBadRequest {
		return reply{ok: true, mixed: !bytes.Contains(resp.Body(), []byte(j.action))}
	}
	var p problem
	if err := json.Unmarshal(resp.Body(), &p); err != nil || p.Kind == "" {
		p = problem{Kind: "target_error", Outcome: "unknown"}
	}
	return reply{problem: p}
}
