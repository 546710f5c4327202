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

// TestPathAsSentSelectsTheRoute covers paths that servers read in different
// ways: what selects the route is what reaches the target.
func TestPathAsSentSelectsTheRoute(t *testing.T) {
	for _, path := range []string{
		"/look/../act", "/look/%2e%2e/act", "/look%2fx", "/look//x", "/look/./x", "/look/..", `/look\x`, "http://any.example/look",
	} {
		t.Run(path, func(t *testing.T) {
			s := newSite(t, [2]string{good, good})
			status, kind, _ := s.do("GET", path, keyed(), "")
			if strings.Contains(path, `\`) {
				// A lone backslash is an odd but plain character.
				return
			}
			if status != 400 || kind != "malformed" || s.hits[0].Load()+s.hits[1].Load() > 0 {
				t.Errorf("status is %d (%s), %d requests arrived", status, kind, s.hits[0].Load()+s.hits[1].Load())
			}
		})
	}
	s := newSite(t, [2]string{good, good})
	if status, _, _ := s.do("GET", "/look/a%20b?x=..//", keyed(), ""); status != 200 {
		t.Fatalf("status is %d for a plain path", status)
	}
	if req, _ := s.seen.Load().(*http.Request); req == nil || req.RequestURI != "/look/a%20b?x=..//" {
		t.Errorf("target saw %+v", req)
	}
}

// TestPlatformPathIsMatchedAsSent covers callers who name their attempts: the
// path passes byte for byte and is matched as it is.
func TestPlatformPathIsMatchedAsSent(t *testing.T) {
	s := newSite(t, [2]string{good, good})
	s.Dialect = guard.Dialect{Attempt: "X-Id", Timeout: "X-Left"}
	for path, want := range map[string]int{"/act/../look": 400, "/none/../look": 404, "/look%2fx": 404} {
		if status, _, _ := s.do("GET", path, keyed(), ""); status != want {
			t.Errorf("status of %s is %d, want %d", path, status, want)
		}
	}
}

func TestTwoKeysAreRefused(t *testing.T) {
	s := newSite(t, [2]string{good, good})
	var c fasthttp.RequestCtx
	c.Request.SetRequestURI("/look")
	c.Request.Header.Set("Host", "any.example")
	c.Request.Header.Add("Authorization", "Bearer secret-key")
	c.Request.Header.Add("Authorization", "Bearer other-key")
	s.Handle(&c)
	if c.Response.StatusCode() != 400 || s.hits[0].Load()+s.hits[1].Load() > 0 {
		t.Errorf("status is %d with two keys", c.Response.StatusCode())
	}
}

// TestErrorsEchoNothing covers what cannot be read: the answer says what is
// wrong and shows neither the caller's bytes nor inner addresses.
func TestErrorsEchoNothing(t *testing.T) {
	s := newSite(t, [2]string{good, good})
	var c fasthttp.RequestCtx
	ours, theirs := net.Pipe()
	_ = theirs.Close()
	c.Init2(ours, nil, false)
	s.OnError(&c, errors.New(`error when reading request headers: "secret-bytes" 10.0.0.1:8080`))
	body := string(c.Response.Body())
	if c.Response.StatusCode() != 400 || strings.Contains(body, "secret-bytes") || strings.Contains(body, "10.0.0.1") {
		t.Errorf("answer is %d %s", c.Response.StatusCode(), body)
	}
	for _, path := range []string{"/none-secret-bytes", "/look?x"} {
		var c fasthttp.RequestCtx
		c.Request.SetRequestURI(path)
		c.Request.Header.Set("Host", "secret-bytes.example")
		c.Request.Header.Set("Authorization", "Bearer secret-bytes")
		c.Request.Header.Set("X-Request-Timeout", "secret-bytes")
		s.Handle(&c)
		if strings.Contains(string(c.Response.Body()), "secret-bytes") {
			t.Errorf("answer to %s echoes: %s", path, c.Response.Body())
		}
	}
}

// TestStatusesArePromises covers callers who take 429 and 503 as the word that
// nothing has run.
func TestStatusesArePromises(t *testing.T) {
	s := newSite(t, [2]string{good, good})
	s.Dialect = guard.Dialect{Attempt: "X-Id", Timeout: "X-Left"}
	for _, kind := range fault.KindValues() {
		notRun, unknown := fault.NotRun(kind, ""), fault.Unknown(kind, "")
		if got := s.statusOf(unknown); got == 429 || got == 503 || got == 408 || got == 421 {
			t.Errorf("%s with an unknown outcome has status %d", kind, got)
		}
		if got := s.statusOf(notRun); got == 499 || got == 502 || got == 504 {
			t.Errorf("%s that has not run has status %d", kind, got)
		}
	}
	if got := s.retryAfter(1500 * clock.Millisecond); got != "1.500" {
		t.Errorf("Retry-After is %s", got)
	}
}

// TestRouteAttemptsBoundRetries covers the most targets that a route allows.
func TestRouteAttemptsBoundRetries(t *testing.T) {
	for most, want := range map[uint32]int64{1: 1, 2: 2} {
		s := newSite(t, [2]string{bad, bad})
		s.Dialect = guard.Dialect{Attempt: "X-Id", Timeout: "X-Left"}
		r := &request{route: record.Route{ID: "look", Service: "svc", Timeout: 2000, Attempts: most}, deadline: s.Clock.Now() + 2000}
		var c fasthttp.RequestCtx
		c.Request.SetRequestURI("/look")
		r.out = s.toForward(&c, r)
		reply, refusal := s.dispatch(s.base, r)
		if n := s.hits[0].Load() + s.hits[1].Load(); n != want || refusal != nil || reply.GetAnswer().GetStatus() != 500 {
			t.Errorf("%d requests arrived with %d attempts (%v)", n, most, refusal)
		}
	}
}

// TestWaitsRatherThanFails covers a rush beside a failing target: a request
// whose good targets are full waits for one of them.
func TestWaitsRatherThanFails(t *testing.T) {
	tests := []struct {
		name  string
		trail trail
		next  choose.Candidate
		found bool
		want  bool
	}{
		{"nothing asked yet", trail{}, choose.Candidate{Cost: 0.9}, true, false},
		{"another one is nearly as good", trail{full: []ident.Target{"a"}, fullCost: 0.3}, choose.Candidate{Cost: 0.4}, true, false},
		{"the next one probably fails", trail{full: []ident.Target{"a"}, fullCost: 0.3}, choose.Candidate{Cost: 0.9}, true, true},
		{"several are full", trail{full: []ident.Target{"a", "b", "c"}, fullCost: 0.3}, choose.Candidate{Cost: 0.3}, true, true},
		{"none is left but suspects", trail{suspects: []ident.Target{"a"}}, choose.Candidate{}, false, true},
		{"none is left", trail{}, choose.Candidate{}, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.trail.mustSettle(tt.next, tt.found); got != tt.want {
				t.Errorf("settles is %v, want %v", got, tt.want)
			}
		})
	}
}

// TestRefusedRetryStaysInTheBudget covers a repeat that no other target takes:
// the budget counts arrivals, and none came of it.
func TestRefusedRetryStaysInTheBudget(t *testing.T) {
	s := newSite(t, [2]string{bad, good})
	s.Dialect = guard.Dialect{Attempt: "X-Id", Timeout: "X-Left"}
	s.Picker.SetRetries(choose.Retries{Most: 1})
	s.Guard.Leave("t1")
	r := &request{route: record.Route{ID: "look", Service: "svc", Timeout: 2000, Attempts: 2}, deadline: s.Clock.Now() + 2000}
	var c fasthttp.RequestCtx
	c.Request.SetRequestURI("/look")
	r.out = s.toForward(&c, r)
	for s.hits[0].Load() == 0 {
		r.trail = trail{}
		if _, refusal := s.dispatch(s.base, r); refusal != nil && s.hits[0].Load() > 0 {
			t.Fatalf("the failed answer is not returned: %v", refusal)
		}
	}
	if counts := s.Picker.RetryCounts(); len(counts) != 1 || counts[0].Retries != 0 {
		t.Errorf("others are told of %+v, want no repeat", counts)
	}
	if !s.Picker.MayRetry(s.Clock.Now(), "svc") {
		t.Error("the budget lost a repeat that never arrived")
	}
}

// TestLeavingCallerIsNoTimeout covers a caller that goes away while a target
// works: the log must not call it a deadline.
func TestLeavingCallerIsNoTimeout(t *testing.T) {
	s := newSite(t, [2]string{good, good})
	ctx, leave := context.WithCancel(context.Background())
	leave()
	if got := s.lost(ctx, choose.Candidate{}, context.Canceled); got.Kind != fault.Canceled {
		t.Errorf("a caller that left is told as %s", got.Kind)
	}
}

// agingFleet names a later life of every daemon once something was sent.
type agingFleet struct {
	lone

	link *link
}

func (f *agingFleet) Locate(ident.Instance) (string, ident.Incarnation, bool) {
	return "127.0.0.1:1", ident.Incarnation(1 + f.link.sequence.Load()), true
}

// TestQuestionNamesTheLifeThatGotTheAction covers a daemon that starts again
// between an action and the question for its answer: the new life must not
// promise that the action has not run.
func TestQuestionNamesTheLifeThatGotTheAction(t *testing.T) {
	s := newSite(t, [2]string{good, good})
	s.Dialect = guard.Dialect{Attempt: "X-Id", Timeout: "X-Left"}
	s.Fleet = &agingFleet{link: s.link}
	r := &request{
		route: record.Route{ID: "act", Service: "svc", Timeout: 300, OneTime: true}, deadline: s.Clock.Now() + 300,
		out: &wire.ForwardRequest{Attempt: "a1", OneTime: true},
	}
	ctx, done := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer done()
	final := s.attempt(ctx, r, choose.Candidate{Target: "t", Instance: "other", Address: "127.0.0.1:1"}, &r.trail)
	if !final || r.trail.last.Outcome != ident.OutcomeUnknown {
		t.Errorf("final is %v, last word %v", final, r.trail.last)
	}
	if r.out.GetHomeIncarnation() != 1 || !r.out.GetVoidOnly() {
		t.Errorf("life %d is asked, the action went to life 1", r.out.GetHomeIncarnation())
	}
}
