package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/record"
	"chestnutlatch/wire"
)

// TestAmbiguousPathsAreRefused covers paths that servers interpret in different ways:
// the path that selects the route must be the one that reaches the target.
func TestAmbiguousPathsAreRefused(t *testing.T) {
	for _, path := range []string{
		"/lookup/../action", "/lookup/%2e%2e/action", "/lookup%2fx", "/lookup//x", "/lookup/./x", "/lookup/..", `/lookup\x`, "http://any.example/lookup",
	} {
		t.Run(path, func(t *testing.T) {
			s := newTestEntry(t, [2]string{okAnswer, okAnswer})
			status, kind, _ := s.request("GET", path, withKey(), "")
			if status != 400 || kind != "malformed" || s.hits[0].Load()+s.hits[1].Load() > 0 {
				t.Errorf("status is %d (%s), want 400 (malformed); %d requests arrived", status, kind, s.hits[0].Load()+s.hits[1].Load())
			}
		})
	}
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	if status, _, _ := s.request("GET", "/lookup/a%20b?x=..//", withKey(), ""); status != 200 {
		t.Fatalf("status is %d for an unambiguous path, want 200", status)
	}
	if req, _ := s.lastRequest.Load().(*http.Request); req == nil || req.RequestURI != "/lookup/a%20b?x=..//" {
		t.Errorf("target received %+v", req)
	}
}

// TestAttemptIDPathIsMatchedAsSent covers callers that send their own attempt IDs: the
// path is matched as sent, without normalization.
func TestAttemptIDPathIsMatchedAsSent(t *testing.T) {
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	s.Dialect = guard.Dialect{AttemptID: "X-Id", Timeout: "X-Left"}
	for path, want := range map[string]int{"/action/../lookup": 400, "/none/../lookup": 404, "/lookup%2fx": 404} {
		if status, _, _ := s.request("GET", path, withKey(), ""); status != want {
			t.Errorf("status of %s is %d, want %d", path, status, want)
		}
	}
}

func TestTwoAuthorizationHeadersAreRefused(t *testing.T) {
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	var c fasthttp.RequestCtx
	c.Request.SetRequestURI("/lookup")
	c.Request.Header.Set("Host", "any.example")
	c.Request.Header.Add("Authorization", "Bearer secret-key")
	c.Request.Header.Add("Authorization", "Bearer other-key")
	s.Handle(&c)
	if c.Response.StatusCode() != 400 || s.hits[0].Load()+s.hits[1].Load() > 0 {
		t.Errorf("status is %d with two Authorization headers, want 400", c.Response.StatusCode())
	}
}

// TestErrorsDoNotEchoInput covers invalid requests: the refusal names the fault, but
// contains neither the caller's input nor internal addresses.
func TestErrorsDoNotEchoInput(t *testing.T) {
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	var c fasthttp.RequestCtx
	serverConn, callerConn := net.Pipe()
	_ = callerConn.Close()
	c.Init2(serverConn, nil, false)
	s.OnError(&c, errors.New(`error when reading request headers: "secret-bytes" 10.0.0.1:8080`))
	body := string(c.Response.Body())
	if c.Response.StatusCode() != 400 || strings.Contains(body, "secret-bytes") || strings.Contains(body, "10.0.0.1") {
		t.Errorf("answer is %d %s", c.Response.StatusCode(), body)
	}
	for _, path := range []string{"/none-secret-bytes", "/lookup?x"} {
		var c fasthttp.RequestCtx
		c.Request.SetRequestURI(path)
		c.Request.Header.Set("Host", "secret-bytes.example")
		c.Request.Header.Set("Authorization", "Bearer secret-bytes")
		c.Request.Header.Set("X-Request-Timeout", "secret-bytes")
		s.Handle(&c)
		if strings.Contains(string(c.Response.Body()), "secret-bytes") {
			t.Errorf("answer to %s echoes the input: %s", path, c.Response.Body())
		}
	}
}

// TestStatusMatchesOutcome covers callers that read 408, 421, 429 and 503 as proof
// that the request has not run, and other 4xx as a request that is not allowed: one that
// may have run gets neither.
func TestStatusMatchesOutcome(t *testing.T) {
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	s.Dialect = guard.Dialect{AttemptID: "X-Id", Timeout: "X-Left"}
	for _, kind := range fault.KindValues() {
		notRun, unknown := fault.NotRun(kind, ""), fault.Unknown(kind, "")
		if got := s.statusOf(unknown); got != 502 && got != 504 {
			t.Errorf("%s with an unknown outcome has status %d", kind, got)
		}
		if got := s.statusOf(notRun); got == 499 || got == 502 || got == 504 {
			t.Errorf("%s that has not run has status %d", kind, got)
		}
	}
	if got := s.retryAfterValue(1500 * clock.Millisecond); got != "1.500" {
		t.Errorf("Retry-After is %s, want 1.500", got)
	}
}

// TestRouteLimitsAttempts covers the number of targets that a route allows for one
// request.
func TestRouteLimitsAttempts(t *testing.T) {
	for attempts, want := range map[uint32]int64{1: 1, 2: 2} {
		s := newTestEntry(t, [2]string{errorAnswer, errorAnswer})
		s.Dialect = guard.Dialect{AttemptID: "X-Id", Timeout: "X-Left"}
		r := &request{route: record.Route{ID: "lookup", Service: "svc", Timeout: 2000, Attempts: attempts}, deadline: s.Clock.Now() + 2000}
		var c fasthttp.RequestCtx
		c.Request.SetRequestURI("/lookup")
		r.out = s.newForwardRequest(&c, r, nil)
		reply, refusal := s.dispatch(s.baseCtx, r)
		if n := s.hits[0].Load() + s.hits[1].Load(); n != want || refusal != nil || reply.GetAnswer().GetStatus() != 500 {
			t.Errorf("%d requests arrived with %d attempts allowed (%v)", n, attempts, refusal)
		}
	}
}

// TestRequestWaitsAtFullTarget covers a traffic surge while a target fails: a request
// whose good targets are all full waits for one of them instead of going to the
// failing one.
func TestRequestWaitsAtFullTarget(t *testing.T) {
	tests := []struct {
		name  string
		trace attemptTrace
		next  choose.Candidate
		found bool
		want  bool
	}{
		{"no guard called yet", attemptTrace{}, choose.Candidate{Cost: 0.9}, true, false},
		{"next target is nearly as good", attemptTrace{full: []ident.Target{"a"}, minFullCost: 0.3}, choose.Candidate{Cost: 0.4}, true, false},
		{"next target probably fails", attemptTrace{full: []ident.Target{"a"}, minFullCost: 0.3}, choose.Candidate{Cost: 0.9}, true, true},
		{"several targets are full", attemptTrace{full: []ident.Target{"a", "b", "c"}, minFullCost: 0.3}, choose.Candidate{Cost: 0.3}, true, true},
		{"only suspect targets are left", attemptTrace{suspects: []ident.Target{"a"}}, choose.Candidate{}, false, true},
		{"no target is left", attemptTrace{}, choose.Candidate{}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.trace.shouldWait(tt.next, tt.found); got != tt.want {
				t.Errorf("shouldWait is %v, want %v", got, tt.want)
			}
		})
	}
}

// TestRefusedRetryReturnsToBudget covers a retry that no other target accepts: it goes
// back to the budget, which counts only retries that reached a target.
func TestRefusedRetryReturnsToBudget(t *testing.T) {
	s := newTestEntry(t, [2]string{errorAnswer, okAnswer})
	s.Dialect = guard.Dialect{AttemptID: "X-Id", Timeout: "X-Left"}
	s.Picker.SetRetryLimits(choose.RetryLimits{MaxSaved: 1})
	s.Guard.DrainTarget("t1")
	r := &request{route: record.Route{ID: "lookup", Service: "svc", Timeout: 2000, Attempts: 2}, deadline: s.Clock.Now() + 2000}
	var c fasthttp.RequestCtx
	c.Request.SetRequestURI("/lookup")
	r.out = s.newForwardRequest(&c, r, nil)
	for s.hits[0].Load() == 0 {
		r.trace = attemptTrace{}
		if _, refusal := s.dispatch(s.baseCtx, r); refusal != nil && s.hits[0].Load() > 0 {
			t.Fatalf("got a refusal instead of the target's error answer: %v", refusal)
		}
	}
	if counts := s.Picker.RetryCounts(); len(counts) != 1 || counts[0].Retries != 0 {
		t.Errorf("retry counts for other daemons are %+v, want no retry", counts)
	}
	if !s.Picker.TakeRetry(s.Clock.Now(), "svc", choose.RetryLookup) {
		t.Error("the budget lost a retry that reached no target")
	}
}

// TestCanceledRequestIsNotTimeout covers a caller that disconnects while a target
// works: the request counts as canceled, not as timed out.
func TestCanceledRequestIsNotTimeout(t *testing.T) {
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got := s.lostRefusal(ctx, choose.Candidate{}, context.Canceled); got.Kind != fault.Canceled {
		t.Errorf("kind after a disconnect is %s, want canceled", got.Kind)
	}
}

// restartingFleet is a fleet whose daemons all have a later incarnation after each
// request that the client sends.
type restartingFleet struct {
	singleDaemonFleet

	client *guardClient
}

func (f *restartingFleet) Locate(ident.Instance) (string, ident.Incarnation, bool) {
	return "127.0.0.1:1", ident.Incarnation(1 + f.client.sequence.Load()), true
}

// TestRecoveryKeepsHomeIncarnation covers a daemon that restarts between an action and
// the request for its lost answer. That request must name the earlier incarnation, or
// the new one would report that the action has not run.
func TestRecoveryKeepsHomeIncarnation(t *testing.T) {
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	s.Dialect = guard.Dialect{AttemptID: "X-Id", Timeout: "X-Left"}
	s.Fleet = &restartingFleet{client: s.client}
	r := &request{
		route: record.Route{ID: "action", Service: "svc", Timeout: 300, OneTime: true}, deadline: s.Clock.Now() + 300,
		out: &wire.ForwardRequest{Attempt: "a1", OneTime: true},
	}
	ctx, done := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer done()
	final := s.dispatchTo(ctx, r, choose.Candidate{Target: "t", Instance: "other", Address: "127.0.0.1:1"}, &r.trace, &choose.Request{})
	if !final || r.trace.lastRefusal.Outcome != ident.OutcomeUnknown {
		t.Errorf("final is %v, last refusal is %v, want an unknown outcome", final, r.trace.lastRefusal)
	}
	if r.out.GetHomeIncarnation() != 1 || !r.out.GetVoidOnly() {
		t.Errorf("recovery names incarnation %d, want 1, to which the action was sent", r.out.GetHomeIncarnation())
	}
}

// TestShedAttemptsAreNoRuns answers targets that refuse part of what arrives. It guards
// against a request that is given up although no target has run it, and against one that
// runs at more targets than its route allows.
func TestShedAttemptsAreNoRuns(t *testing.T) {
	tests := []struct {
		name           string
		extra          int
		arrivals, shed int
		want           bool
	}{
		{"without extra attempts", 0, 2, 2, false},
		{"both refused", 2, 2, 2, true},
		{"one refused, one ran", 2, 2, 1, true},
		{"both ran", 2, 2, 0, false},
		{"two ran after refusals", 2, 4, 2, false},
		{"extra attempts used up", 2, 4, 4, false},
	}
	for _, tt := range tests {
		s := newTestEntry(t, [2]string{okAnswer, okAnswer})
		s.ShedAttempts = tt.extra
		r := &request{route: record.Route{ID: "lookup", Service: "svc", Timeout: 2000, Attempts: 2}}
		if got := s.reserveRetry(r, &attemptTrace{arrivals: tt.arrivals, shed: tt.shed}); got != tt.want {
			t.Errorf("%s: another attempt is %v, want %v", tt.name, got, tt.want)
		}
	}
}
