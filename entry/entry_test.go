package entry

import (
	"bufio"
	"crypto/sha256"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc/credentials/insecure"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/guard"
	"chestnutlatch/health"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/meter"
	"chestnutlatch/once"
	"chestnutlatch/peers"
	"chestnutlatch/record"
	"chestnutlatch/table"
	"chestnutlatch/wire"
)

// singleDaemonFleet is a Fleet and Drawer with this daemon as the only member. It
// grants rate tokens unless overRate is set.
type singleDaemonFleet struct {
	keysOutdated bool
	overRate     bool
	// coldRate is the limit of cold targets, in requests per second.
	coldRate atomic.Uint32
}

// ColdLimits returns the limits of cold targets. Targets in tests stay cold.
func (f *singleDaemonFleet) ColdLimits(ident.Service) (clock.Millis, uint32) {
	return clock.Hour, f.coldRate.Load()
}

func (*singleDaemonFleet) Locate(ident.Instance) (string, ident.Incarnation, bool) {
	return "self", 1, true
}

func (*singleDaemonFleet) Region(ident.Instance) ident.Region { return "r" }

func (*singleDaemonFleet) Relays(int, ident.Instance, func(ident.Region) bool) []Peer { return nil }

func (*singleDaemonFleet) SlotHolder(limit.Slot) (ident.Instance, string, bool) {
	return "i", "self", true
}

func (f *singleDaemonFleet) CheckKeysCurrent(clock.Millis) *fault.Refusal {
	if f.keysOutdated {
		return fault.NotRun(fault.NotReady, "keys may be outdated")
	}
	return nil
}

func (f *singleDaemonFleet) Draw(req *wire.DrawRequest) *wire.DrawReply {
	g := &wire.GrantItem{Team: req.GetItems()[0].GetTeam(), Tokens: 1000, TtlMs: 60_000, Rich: true}
	if f.overRate {
		g = &wire.GrantItem{Team: g.GetTeam()}
	}
	return &wire.DrawReply{HoldsSlot: true, Items: []*wire.GrantItem{g}}
}

func (*singleDaemonFleet) Peers(clock.Millis, ident.Service, ident.Target) health.PeerSummary {
	return health.PeerSummary{}
}

// testEntry is an Entry with two local targets.
type testEntry struct {
	*Entry
	fleet *singleDaemonFleet
	// hits counts the requests that each target received.
	hits [2]atomic.Int64
	// specs holds the targets as they are registered.
	specs [2]guard.TargetSpec
	// lastRequest is the last *http.Request that a target received.
	lastRequest atomic.Value
}

func newTestEntry(t testing.TB, answers [2]string) *testEntry {
	t.Helper()
	s := &testEntry{fleet: &singleDaemonFleet{}}
	pool, err := ants.NewPool(256)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	clk := clock.NewSystem()
	tickets := once.NewTicketTable(once.TicketConfig{Instance: "i", Incarnation: 1, Secret: []byte("s"), TTL: clock.Minute, MaxTickets: 1000, MaxCachedBytes: 1 << 20})
	counts := meter.New()
	g := guard.New(guard.Config{QueueLimit: 64, MaxAnswerBytes: 1 << 20, ColdOvershoot: 1, Region: "r", DataCentre: "dc"}, guard.Deps{
		ColdLimits: s.fleet.ColdLimits,
		Meter:      counts, Clock: clk, Log: hclog.NewNullLogger(), Peers: s.fleet, Pool: pool, Tickets: tickets,
		IsDrained: func(ident.Target) bool { return false },
	})
	picker := choose.New("dc", "r", 1)
	for i, a := range answers {
		id := ident.Target([]string{"t0", "t1"}[i])
		s.specs[i] = guard.TargetSpec{ID: id, Service: "svc", Address: s.startTarget(t, i, a), Slots: 64}
		g.Add(s.specs[i])
		picker.Put("svc", choose.Candidate{Target: id, Instance: "i", DataCentre: "dc", Region: "r", Slots: 64, Up: true})
	}
	s.Entry = New(Deps{
		Instance: "i", Incarnation: 1, Clock: clk, Log: hclog.NewNullLogger(), Meter: counts, Table: testTable(t),
		Picker: picker, TokenCache: limit.NewTokenCache(3, func(limit.Slot) int { return 0 }), Guard: g,
		Peers: peers.New(insecure.NewCredentials(), "secret", clk, hclog.NewNullLogger()), Fleet: s.fleet, Drawer: s.fleet, Pool: pool, MaxBody: 1000, Costs: choose.DefaultCosts(),
		ColdLimit: func(ident.Service) int { return int(s.fleet.coldRate.Load()) },
	})
	return s
}

// startTarget starts target i, which sends answer to each request, and returns its
// address. It closes the connection after an answer without Content-Length.
func (s *testEntry) startTarget(t testing.TB, i int, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					s.hits[i].Add(1)
					s.lastRequest.Store(req)
					if _, err := c.Write([]byte(answer)); err != nil || !strings.Contains(answer, "Content-Length") {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func testTable(t testing.TB) *table.Table {
	t.Helper()
	tb := table.New()
	applyRecords(t, tb,
		record.Team{ID: "team", Rate: 1000, Burst: 1000, Weight: 1},
		record.Key{ID: "k", Team: "team", Hash: sha256.Sum256([]byte("secret-key"))},
		record.Route{ID: "lookup", Prefix: "/lookup", Service: "svc", Timeout: 2000, Priority: ident.PriorityLow},
		record.Route{ID: "action", Prefix: "/action", Service: "svc", Timeout: 2000, OneTime: true},
		record.Route{ID: "no-targets", Prefix: "/no-targets", Service: "none", Timeout: 2000},
	)
	return tb
}

// applyRecords applies the next change of the configuration.
func applyRecords(t interface{ Fatal(...any) }, tb *table.Table, bodies ...record.Body) {
	var items []record.Item
	for _, b := range bodies {
		raw, err := record.Encode(b, record.SchemaCurrent, nil)
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, record.Item{Kind: record.KindOf(b), ID: record.IDOf(b), After: raw})
	}
	change, err := record.EncodeChange(record.Change{Revision: tb.Revision() + 1, Items: items})
	if err != nil {
		t.Fatal(err)
	}
	if err := tb.Apply(change); err != nil {
		t.Fatal(err)
	}
}

const (
	okAnswer    = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
	errorAnswer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad"
	noAnswer    = ""
)

// request handles one request and returns the status, and the kind and the outcome of
// the refusal if there is one.
func (s *testEntry) request(method, path string, headers map[string]string, body string) (int, string, string) {
	var c fasthttp.RequestCtx
	c.Request.Header.SetMethod(method)
	c.Request.SetRequestURI(path)
	c.Request.Header.Set("Host", "any.example")
	for k, v := range headers {
		c.Request.Header.Set(k, v)
	}
	c.Request.SetBodyString(body)
	s.Handle(&c)
	var p struct{ Kind, Outcome string }
	_ = json.Unmarshal(c.Response.Body(), &p)
	return c.Response.StatusCode(), p.Kind, p.Outcome
}

// withKey returns an Authorization header and the given pairs of name and value.
func withKey(more ...string) map[string]string {
	h := map[string]string{"Authorization": "Bearer secret-key"}
	for i := 0; i+1 < len(more); i += 2 {
		h[more[i]] = more[i+1]
	}
	return h
}

// TestIdempotentRequestIsRetriedElsewhere covers a failing target: requests are sent
// again to the other target, within the retry budget.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	for name, answer := range map[string]string{"server error": errorAnswer, "no answer": noAnswer} {
		t.Run(name, func(t *testing.T) {
			s := newTestEntry(t, [2]string{answer, okAnswer})
			served := 0
			for range 10 {
				if status, _, _ := s.request("GET", "/lookup", withKey(), ""); status == 200 {
					served++
				}
			}
			first, second := s.hits[0].Load(), s.hits[1].Load()
			if first == 0 || first+second > 10+3 {
				t.Errorf("targets received %d and %d requests for 10 lookups: the retry budget allows 3 more", first, second)
			}
			if served < int(second) {
				t.Errorf("%d requests were served, the working target answered %d", served, second)
			}
		})
	}
}

func TestRefusalOutcomes(t *testing.T) {
	tests := []struct {
		name    string
		method  string
		path    string
		headers map[string]string
		body    string
		prepare func(*testEntry)
		status  int
		kind    string
		outcome string
	}{
		{"over rate", "GET", "/lookup", withKey(), "", func(s *testEntry) { s.fleet.overRate = true }, 429, "over_rate", "not_run"},
		{"keys may be outdated", "GET", "/lookup", withKey(), "", func(s *testEntry) { s.fleet.keysOutdated = true }, 503, "not_ready", "not_run"},
		{"keys may be outdated, with a ticket", "POST", "/action", withKey("Idempotency-Key", "t1~i~1~1~1~x"), "", func(s *testEntry) { s.fleet.keysOutdated = true }, 503, "not_ready", "unknown"},
		{"no target", "GET", "/no-targets", withKey(), "", nil, 503, "no_capacity", "not_run"},
		{"large body", "POST", "/lookup", withKey(), strings.Repeat("x", 1001), nil, 413, "too_large", "not_run"},
		{"large body, with a ticket", "POST", "/action", withKey("Idempotency-Key", "t1~i~1~1~1~x"), strings.Repeat("x", 1001), nil, 413, "too_large", "unknown"},
		{"draining", "GET", "/lookup", withKey(), "", func(s *testEntry) { s.Guard.Drain() }, 503, "draining", "not_run"},
		{"forged ticket", "POST", "/action", withKey("Idempotency-Key", "t1~i~1~1~1~x"), "", nil, 400, "ticket_invalid", "unknown"},
		{"ticket of an earlier incarnation", "POST", "/action", withKey("Idempotency-Key", "t1~i~0~1~1~x"), "", nil, 503, "home_gone", "unknown"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestEntry(t, [2]string{okAnswer, okAnswer})
			if tt.prepare != nil {
				tt.prepare(s)
			}
			status, kind, outcome := s.request(tt.method, tt.path, tt.headers, tt.body)
			if status != tt.status || kind != tt.kind || outcome != tt.outcome {
				t.Errorf("got %d %s %s, want %d %s %s", status, kind, outcome, tt.status, tt.kind, tt.outcome)
			}
		})
	}
}

// TestRefusedRetryIsNotReportedAsNotRun covers a target that ran a request and failed
// it, and another one that refuses the retry: the caller must not read that nothing ran.
func TestRefusedRetryIsNotReportedAsNotRun(t *testing.T) {
	ran := 0
	for failing := range 2 {
		answers := [2]string{okAnswer, okAnswer}
		answers[failing] = errorAnswer
		s := newTestEntry(t, answers)
		s.Guard.DrainTarget([]ident.Target{"t1", "t0"}[failing])
		for range 10 {
			before := s.hits[failing].Load()
			status, kind, outcome := s.request("GET", "/lookup", withKey(), "")
			if s.hits[failing].Load() == before {
				continue
			}
			if ran++; outcome == "not_run" {
				t.Errorf("a request that ran got %d %s %s", status, kind, outcome)
			}
		}
	}
	if ran == 0 {
		t.Error("no request reached the failing target")
	}
}

// TestPausedEntryRefusesExpiredRequests covers requests that are read after a pause that
// was longer than their time limit.
func TestPausedEntryRefusesExpiredRequests(t *testing.T) {
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	now := s.Clock.Now()
	s.Guard.Tick(now)
	s.Guard.Tick(now + 5000)
	s.Clock = clock.NewManual(now + 5000)
	if status, kind, outcome := s.request("GET", "/lookup", withKey(), ""); status != 504 || kind != "deadline_exceeded" || outcome != "not_run" {
		t.Errorf("got %d %s %s, want 504 deadline_exceeded not_run", status, kind, outcome)
	}
	if n := s.hits[0].Load() + s.hits[1].Load(); n != 0 {
		t.Errorf("targets got %d requests", n)
	}
}

// TestRequestMetrics covers the metrics that count requests by kind and result.
func TestRequestMetrics(t *testing.T) {
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	s.request("GET", "/lookup", withKey(), "")
	s.request("GET", "/no-targets", withKey(), "")
	s.request("POST", "/action", withKey("Idempotency-Key", "t1~i~0~1~1~x"), "")
	s.request("POST", "/action", withKey(), "")
	failing := newTestEntry(t, [2]string{errorAnswer, errorAnswer})
	failing.request("GET", "/lookup", withKey(), "")
	var text strings.Builder
	s.Meter.Write(&text)
	failing.Meter.Write(&text)
	for _, want := range []string{
		`chestnutlatch_requests_total{kind="idempotent",end="served"} 1`,
		`chestnutlatch_requests_total{kind="idempotent",end="not_run"} 1`,
		`chestnutlatch_requests_total{kind="one_time",end="unknown"} 1`,
		`chestnutlatch_requests_total{kind="one_time",end="not_run"} 1`,
		`chestnutlatch_requests_total{kind="idempotent",end="failed"} 1`,
		`chestnutlatch_target_time_seconds_count 1`, `chestnutlatch_queue_wait_seconds_count 1`,
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("metrics do not contain %s", want)
		}
	}
}

// TestOverRateVoidsTicket covers an action that is refused as not run because its
// team is over its rate: a delayed copy of the action must not run afterwards.
func TestOverRateVoidsTicket(t *testing.T) {
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	tickets, r := s.Guard.IssueTickets("team", "svc", 1)
	if r != nil {
		t.Fatal(r)
	}
	headers := withKey("Idempotency-Key", tickets[0])
	s.fleet.overRate = true
	if _, kind, outcome := s.request("POST", "/action", headers, ""); kind != "over_rate" || outcome != "not_run" {
		t.Fatalf("got %s %s, want over_rate not_run", kind, outcome)
	}
	s.fleet.overRate = false
	if _, kind, outcome := s.request("POST", "/action", headers, ""); kind != "ticket_void" || outcome != "not_run" {
		t.Errorf("the delayed copy got %s %s, want ticket_void not_run", kind, outcome)
	}
	if n := s.hits[0].Load() + s.hits[1].Load(); n != 0 {
		t.Errorf("targets ran %d actions", n)
	}
}

// TestTargetGetsTeamButNoKey covers the forwarded headers: the daemon sets the team,
// and no header contains the key.
func TestTargetGetsTeamButNoKey(t *testing.T) {
	s := newTestEntry(t, [2]string{okAnswer, okAnswer})
	s.request("GET", "/lookup", withKey("X-Team", "other", "X-Copy", "secret-key", "Idempotency-Key", "x", "X-Kept", "yes"), "")
	req, _ := s.lastRequest.Load().(*http.Request)
	if req == nil {
		t.Fatal("target received no request")
	}
	if req.Header.Get("X-Team") != "team" || req.Header.Get("X-Kept") != "yes" || req.Header.Get("X-Request-Timeout") == "" {
		t.Errorf("headers are %v", req.Header)
	}
	for name, values := range req.Header {
		if name == "Authorization" || name == "Idempotency-Key" || strings.Contains(strings.Join(values, " "), "secret-key") {
			t.Errorf("target received header %s: %v", name, values)
		}
	}
}

// BenchmarkHandle measures one lookup through entry, guard and a target on loopback,
// without a call between daemons.
func BenchmarkHandle(b *testing.B) {
	s := newTestEntry(b, [2]string{okAnswer, okAnswer})
	b.ReportAllocs()
	for range b.N {
		if status, kind, _ := s.request("GET", "/lookup", withKey(), ""); status != 200 {
			b.Fatal(status, kind)
		}
	}
}
