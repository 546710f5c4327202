package fleet

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutlatch/load"
	"chestnutlatch/stand"
)

// answer is what a caller sees of one request.
type answer struct {
	status  int
	kind    string
	outcome string
	ticket  string
	retry   string
	typ     string
	body    string
}

// ask sends one request over kept connections.
func ask(t *testing.T, method, url string, headers map[string]string, body string) answer {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range headers {
		if k == "Host" {
			req.Host = v
		}
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	a := answer{status: resp.StatusCode, retry: resp.Header.Get("Retry-After"), typ: resp.Header.Get("Content-Type"), body: string(b)}
	var p struct{ Kind, Outcome, Ticket string }
	if json.Unmarshal(b, &p) == nil {
		a.kind, a.outcome, a.ticket = p.Kind, p.Outcome, p.Ticket
	}
	return a
}

func bearer(key string) map[string]string { return map[string]string{"Authorization": "Bearer " + key} }

func TestCallersAndOperators(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f, teams := startFleet(t, "")
	t.Run("caller interface", func(t *testing.T) { testCallerInterface(t, f, teams[0].Key) })
	t.Run("withdrawn key", func(t *testing.T) { testWithdrawnKey(t, f) })
	t.Run("restart while the store is away", func(t *testing.T) { testRestartInOutage(t, f) })
	t.Run("lost answer", func(t *testing.T) { testLostAnswer(t, f) })
	t.Run("rate", func(t *testing.T) { testRate(t, f) })
	t.Run("drained target", func(t *testing.T) { testDrainedTarget(t, f, teams) })
	t.Run("brown-out", func(t *testing.T) { testBrownOut(t, f, teams) })
	t.Run("planned stop", func(t *testing.T) { testPlannedStop(t, f, teams) })
}

func testCallerInterface(t *testing.T, f *Fleet, key string) {
	if _, err := f.Operator("route", "set", "open", "--prefix", "/open", "--service", DemoServices()[0], "--open", "--wait", "30s"); err != nil {
		t.Fatal(err)
	}
	with := func(k, v string) map[string]string {
		h := bearer(key)
		h[k] = v
		return h
	}
	tests := []struct {
		name    string
		method  string
		path    string
		headers map[string]string
		body    string
		status  int
		kind    string
		outcome string
	}{
		{"look-up", "GET", "/status", bearer(key), "", 200, "", ""},
		{"open route", "GET", "/open/x", nil, "", 200, "", ""},
		{"no key", "GET", "/status", nil, "", 401, "unknown_key", "not_run"},
		{"wrong key", "GET", "/status", bearer("nonsense"), "", 401, "unknown_key", "not_run"},
		{"no route", "GET", "/nowhere", bearer(key), "", 404, "no_route", "not_run"},
		{"bad timeout", "GET", "/status", with("X-Request-Timeout", "soon"), "", 400, "malformed", "not_run"},
		{"large body", "POST", "/status", bearer(key), strings.Repeat("x", 2<<20), 413, "too_large", "not_run"},
		{"large headers", "GET", "/status", with("X-Large", strings.Repeat("x", 20_000)), "", 413, "too_large", "not_run"},
		{"no ticket", "POST", "/bookings", bearer(key), "", 428, "ticket_required", "not_run"},
		{"own idempotency key", "POST", "/bookings", with("Idempotency-Key", "my-own"), "", 400, "ticket_invalid", "unknown"},
		{"wrong key with a ticket", "POST", "/bookings", map[string]string{"Authorization": "Bearer no", "Idempotency-Key": "t1~x"}, "", 401, "unknown_key", "unknown"},
		{"key in another header", "GET", "/status", with("X-Copy", "Bearer "+key), "", 200, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, e := range f.Entries() {
				a := ask(t, tt.method, "http://"+e+tt.path, tt.headers, tt.body)
				if a.status != tt.status || a.kind != tt.kind || a.outcome != tt.outcome {
					t.Errorf("%s: %d %s %s, want %d %s %s", e, a.status, a.kind, a.outcome, tt.status, tt.kind, tt.outcome)
				}
				if tt.kind != "" && a.typ != "application/problem+json" {
					t.Errorf("content type is %q", a.typ)
				}
			}
		})
	}
	t.Run("ticket runs once", func(t *testing.T) {
		first := ask(t, "POST", "http://"+f.Entries()[0]+"/bookings", bearer(key), "")
		headers := with("Idempotency-Key", first.ticket)
		headers[stand.ActionHeader] = "only-once"
		bodies := map[string]bool{}
		for _, e := range f.Entries() {
			bodies[ask(t, "POST", "http://"+e+"/bookings", headers, "").body] = true
		}
		if len(bodies) != 1 {
			t.Errorf("repeats through other daemons got %d different answers", len(bodies))
		}
	})
	keysUnseen(t, f)
}

func keysUnseen(t *testing.T, f *Fleet) {
	t.Helper()
	v, err := f.Judge(&load.Result{})
	if err != nil || v.KeysSeen > 0 {
		t.Errorf("targets saw %d keys (%v)", v.KeysSeen, err)
	}
}

// testWithdrawnKey checks that an accepted withdrawal is in force at every
// daemon, for callers that stay connected too.
func testWithdrawnKey(t *testing.T, f *Fleet) {
	out, err := f.Operator("key", "issue", "--team", "makola", "--json", "--wait", "30s")
	if err != nil {
		t.Fatal(err)
	}
	var k struct{ ID, Key string }
	if err := json.Unmarshal([]byte(out), &k); err != nil {
		t.Fatal(err)
	}
	for _, e := range f.Entries() {
		if a := ask(t, "GET", "http://"+e+"/status", bearer(k.Key), ""); a.status != 200 {
			t.Errorf("%s: accepted key is refused: %+v", e, a)
		}
	}
	began := time.Now()
	if _, err := f.Operator("key", "withdraw", k.ID, "--wait", "30s"); err != nil {
		t.Fatal(err)
	}
	t.Logf("withdrawal accepted after %v", time.Since(began))
	for _, e := range f.Entries() {
		if a := ask(t, "GET", "http://"+e+"/status", bearer(k.Key), ""); a.status != 401 {
			t.Errorf("%s: withdrawn key answers %d", e, a.status)
		}
	}
}

// testRestartInOutage restarts a daemon while the store is away; it must take
// the newest configuration from its peers, not none and not an older one.
func testRestartInOutage(t *testing.T, f *Fleet) {
	before := f.revision(t, 0)
	f.storeFault(stand.StoreFaults{Outage: true})(t)
	defer f.storeFault(stand.StoreFaults{})(t)
	d := f.Daemons[1]
	if err := d.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := f.Restart(d); err != nil {
		t.Fatal(err)
	}
	// Without the store there is no first contact but the peers' own probes,
	// which go on for a while after a death.
	deadline := time.Now().Add(60 * time.Second)
	for !f.isReady(d) && time.Now().Before(deadline) {
		time.Sleep(pollEvery)
	}
	if got := f.revision(t, 1); got < before {
		t.Errorf("revision after the restart is %d, was %d", got, before)
	}
}

func (f *Fleet) revision(t *testing.T, i int) int {
	t.Helper()
	var s struct{ Revision int }
	if _, err := GetJSON(f.Daemons[i].Control, "/v1/status", &s); err != nil {
		t.Fatal(err)
	}
	return s.Revision
}

func testLostAnswer(t *testing.T, f *Fleet) {
	f.storeFault(stand.StoreFaults{LostAnswers: true})(t)
	_, err := f.Operator("team", "set", "bolga", "--weight", "3", "--wait", "0")
	f.storeFault(stand.StoreFaults{})(t)
	if err != nil {
		t.Errorf("the write took effect and the command fails: %v", err)
	}
	out, err := f.Operator("audit", "--kind", "team", "--id", "bolga", "--json")
	if n := strings.Count(out, `"weight":3`) + strings.Count(out, `"weight": 3`); err != nil || n != 1 {
		t.Errorf("the change stands %d times in the audit trail (%v)", n, err)
	}
}

// testRate sends one team's requests to all entries at once, several times its
// rate, and compares with what an exact bucket allows in that time at most.
func testRate(t *testing.T, f *Fleet) {
	const rate, burst = 50, 50
	if err := f.WaitSlots(); err != nil {
		t.Fatal(err)
	}
	key, err := f.IssueKey("tamale")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Operator("team", "set", "tamale", "--rate", "50", "--burst", "50", "--wait", "30s"); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	res := load.Run(context.Background(), load.Config{
		Entries: f.Entries(), Teams: []load.Team{{Name: "tamale", Key: key, Rate: 400}}, Paths: DemoPaths()[:1],
		Duration: 3 * time.Second, Timeout: 3 * time.Second, Seed: 1, Label: "rate", MaxRequests: 2000,
	})
	most := burst + int(rate*time.Since(began).Seconds()) + 1
	t.Logf("sent %d, served %d, at most %d allowed, refused %v", res.Sent, res.Served, most, res.Refused)
	if res.Served > most {
		t.Errorf("served %d, rate and burst allow %d", res.Served, most)
	}
	if res.Served == 0 {
		t.Error("nothing was served")
	}
}

// testPlannedStop stops one daemon as planned under load.
func testPlannedStop(t *testing.T, f *Fleet, teams []load.Team) {
	stopped := make(chan error, 1)
	time.AfterFunc(time.Second, func() { stopped <- f.Daemons[5].Terminate() })
	res := load.Run(context.Background(), load.Config{
		Entries: f.Entries()[:5], Teams: teams, Paths: DemoPaths(), Duration: 4 * time.Second,
		Timeout: 5 * time.Second, Repeats: 4, Seed: 3, Label: "stop", MaxRequests: 2000,
	})
	if err := <-stopped; err != nil {
		t.Errorf("daemon did not stop cleanly: %v", err)
	}
	v, err := f.Judge(res)
	t.Logf("sent %d, served %d, refused %v, verdict %+v", res.Sent, res.Served, res.Refused, v)
	if err != nil || !v.IsClean() || v.Unknown > 0 {
		t.Errorf("verdict %+v (%v)", v, err)
	}
}

// requests returns how many requests a target has got.
func (f *Fleet) requests(t *testing.T, i int) int {
	t.Helper()
	var rec stand.Record
	if _, err := GetJSON(f.Targets[i].Control, "/record", &rec); err != nil {
		t.Fatal(err)
	}
	return rec.Requests
}

// testDrainedTarget drains a target by an operator's command; once that is
// accepted the target gets nothing more, not even for tickets taken before.
func testDrainedTarget(t *testing.T, f *Fleet, teams []load.Team) {
	const drained = 1
	id := "t-" + strings.TrimPrefix(f.Targets[drained].Name, "target-")
	var tickets []string
	for _, e := range f.Entries() {
		tickets = append(tickets, ask(t, "POST", "http://"+e+"/bookings", bearer(teams[0].Key), "").ticket)
	}
	if _, err := f.Operator("target", "drain", id, "--wait", "30s"); err != nil {
		t.Fatal(err)
	}
	before := f.requests(t, drained)
	for i, e := range f.Entries() {
		headers := bearer(teams[0].Key)
		headers["Idempotency-Key"] = tickets[i]
		if a := ask(t, "POST", "http://"+e+"/bookings", headers, ""); a.status != 200 && a.outcome != "not_run" {
			t.Errorf("ticket taken before the drain: %+v", a)
		}
	}
	res := load.Run(context.Background(), load.Config{
		Entries: f.Entries(), Teams: teams, Paths: DemoPaths(), Duration: 2 * time.Second, Timeout: 3 * time.Second,
		Repeats: 4, Seed: 5, Label: "drained", MaxRequests: 500,
	})
	if n := f.requests(t, drained) - before; n != 0 {
		t.Errorf("the drained target got %d requests", n)
	}
	if _, err := f.Operator("target", "restore", id, "--wait", "30s"); err != nil {
		t.Error(err)
	}
	if v, err := f.Judge(res); err != nil || !v.IsClean() || res.Served == 0 {
		t.Errorf("served %d, verdict %+v (%v)", res.Served, v, err)
	}
}

// testBrownOut lets every target of a service fail; retries must not multiply
// its load.
func testBrownOut(t *testing.T, f *Fleet, teams []load.Team) {
	total := func() (n int) {
		for i, p := range f.Targets {
			if string(p.Service) == DemoServices()[0] {
				n += f.requests(t, i)
			}
		}
		return n
	}
	for i, p := range f.Targets {
		if string(p.Service) == DemoServices()[0] {
			f.targetFault(i, stand.TargetFaults{ErrorRate: 1})(t)
			defer f.targetFault(i, stand.TargetFaults{})(t)
		}
	}
	before, began := total(), time.Now()
	res := load.Run(context.Background(), load.Config{
		Entries: f.Entries(), Teams: teams, Paths: DemoPaths()[:1], Duration: 3 * time.Second, Timeout: 3 * time.Second,
		Seed: 6, Label: "brown", MaxRequests: 1000,
	})
	// One retry in ten requests, and for each daemon one a second and what it
	// has saved up.
	const saved = 20
	most := res.Sent + res.Sent/10 + len(f.Daemons)*(int(time.Since(began).Seconds())+1+saved)
	got := total() - before
	t.Logf("sent %d, targets got %d, at most %d allowed", res.Sent, got, most)
	if got > most {
		t.Errorf("targets got %d requests for %d, at most %d are allowed", got, res.Sent, most)
	}
}
