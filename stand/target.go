package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
)

// ActionHeader names the action that a request runs, for counting.
const ActionHeader = "X-Action"

// TargetFaults are the faults of a target that can be switched at run time.
type TargetFaults struct {
	// SlowFactor times the service time; 0 and 1 change nothing.
	SlowFactor float64 `json:"slow_factor"`
	// ErrorRate, HalfRate and HangRate are parts of the requests, 0 to 1.
	ErrorRate float64 `json:"error_rate"`
	HalfRate  float64 `json:"half_rate"`
	HangRate  float64 `json:"hang_rate"`
	// Silent makes the connections that are open now give no more bytes.
	Silent bool `json:"silent"`
	// Refuse closes every new connection at once.
	Refuse bool `json:"refuse"`
	// SickHealth makes the health endpoint fail, whatever the target does.
	SickHealth bool `json:"sick_health"`
	// Drain makes the target leave its daemon.
	Drain bool `json:"drain"`
	// DropAfterRate is the part of the requests that get no answer after
	// the work is done.
	DropAfterRate float64 `json:"drop_after_rate"`
}

// TargetConfig describes a stand-in target.
type TargetConfig struct {
	ID      ident.Target
	Service ident.Service
	// Slots is the number of requests served at once; more are shed.
	Slots int
	// Work is the mean service time, in milliseconds.
	Work clock.Millis
	// ColdFor and ColdFactor slow the target down after its start.
	ColdFor    clock.Millis
	ColdFactor float64
	Seed       uint64
	// Dialect is the interface between daemon and target; the zero value is the
	// product's own.
	Dialect guard.Dialect
	// CallThrough is the address of the daemon through which each request calls
	// CallPath while it is worked on; empty makes no calls.
	CallThrough string
	CallPath    string
}

// callLimit bounds a call, in milliseconds.
const callLimit = 400 * clock.Millisecond

// Record is what a target has seen.
type Record struct {
	Target ident.Target `json:"target"`
	// Runs counts the runs of each action.
	Runs     map[string]int `json:"runs"`
	Requests int            `json:"requests"`
	Shed     int            `json:"shed"`
	// KeysSeen counts the requests with anything like a key.
	KeysSeen int `json:"keys_seen"`
	// Canceled counts the requests whose connection closed during the work.
	Canceled int `json:"canceled"`
	// Calls counts the calls that the target made.
	Calls       int `json:"calls"`
	CallsFailed int `json:"calls_failed"`
}

// Target is a stand-in target.
type Target struct {
	cfg     TargetConfig
	clk     clock.Clock
	started clock.Millis

	mu     sync.Mutex
	rnd    *rand.Rand
	faults TargetFaults
	busy   int
	rec    Record
	conns  map[*silentConn]bool
	// calls makes the target's own calls, each once.
	calls *fasthttp.Client
}

// NewTarget returns a target that is cold from now on.
func NewTarget(cfg TargetConfig, clk clock.Clock) *Target {
	return &Target{
		cfg: cfg, clk: clk, started: clk.Now(),
		rnd:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		rec:   Record{Target: cfg.ID, Runs: map[string]int{}},
		conns: map[*silentConn]bool{},
		calls: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// Serve serves the target's port until the listener closes.
func (t *Target) Serve(l net.Listener) error {
	s := &fasthttp.Server{Handler: t.handle, NoDefaultServerHeader: true}
	return s.Serve(&faultListener{Listener: l, t: t})
}

// Control serves the switches: PUT /faults, GET /record.
func (t *Target) Control(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/faults":
		var f TargetFaults
		if err := json.Unmarshal(c.PostBody(), &f); err != nil {
			c.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		t.SetFaults(f)
	case "/record":
		t.mu.Lock()
		body, err := json.Marshal(t.rec)
		t.mu.Unlock()
		if err != nil {
			c.Error(err.Error(), fasthttp.StatusInternalServerError)
			return
		}
		c.SetBody(body)
	default:
		c.Error("use /faults or /record", fasthttp.StatusNotFound)
	}
}

// SetFaults switches the faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	for c := range t.conns {
		c.setSilent(f.Silent)
	}
}

// IsDraining reports whether the target should leave its daemon.
func (t *Target) IsDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults.Drain
}

// Record returns a copy of what the target has seen.
func (t *Target) Record() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.rec
	out.Runs = make(map[string]int, len(t.rec.Runs))
	for k, v := range t.rec.Runs {
		out.Runs[k] = v
	}
	return out
}

// plan is what one request will meet.
type plan struct {
	shed bool
	work time.Duration
	fail bool
	half bool
	hang bool
	mute bool
}

func (t *Target) handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) == "/health" {
		t.health(c)
		return
	}
	d := t.cfg.Dialect
	if d.Expect != "" && string(c.Request.Header.Peek(d.Expect)) != string(t.cfg.ID) {
		c.Error("another target is meant", fasthttp.StatusMisdirectedRequest)
		return
	}
	if d.Attempt != "" {
		c.Response.Header.SetBytesV(d.Attempt, c.Request.Header.Peek(d.Attempt))
	}
	p := t.begin(c)
	if p.shed {
		if d.NotRun != "" {
			c.Response.Header.Set(d.NotRun, "1")
		}
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString("busy")
		return
	}
	time.Sleep(p.work)
	p.fail = p.fail || !t.call(c)
	t.end()
	switch {
	case p.hang:
		time.Sleep(time.Minute)
	case p.mute:
		hijackClose(c, "")
	case p.half:
		hijackClose(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nonly the beginning")
	case p.fail:
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		c.SetBodyString("failed")
	default:
		fmt.Fprintf(c, "%s %s %s\n", t.cfg.ID, c.Path(), c.Request.Header.Peek(ActionHeader))
	}
}

// call makes the call that belongs to a request and reports whether it was served.
// The id of a call is that of its request with a mark.
func (t *Target) call(c *fasthttp.RequestCtx) bool {
	d := t.cfg.Dialect
	if t.cfg.CallThrough == "" || strings.HasPrefix(string(c.Path()), t.cfg.CallPath) {
		return true
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.cfg.CallThrough + t.cfg.CallPath)
	req.Header.Set(d.Attempt, string(c.Request.Header.Peek(d.Attempt))+".c1")
	req.Header.Set(d.Timeout, strconv.FormatInt(int64(callLimit), 10))
	err := t.calls.DoTimeout(req, resp, callLimit.Duration())
	ok := err == nil && resp.StatusCode() == fasthttp.StatusOK
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rec.Calls++
	if !ok {
		t.rec.CallsFailed++
	}
	return ok
}

// hijackClose writes raw bytes and closes the connection.
func hijackClose(c *fasthttp.RequestCtx, raw string) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) {
		w := bufio.NewWriter(conn)
		_, _ = w.WriteString(raw)
		_ = w.Flush()
		_ = conn.Close()
	})
}

func (t *Target) health(c *fasthttp.RequestCtx) {
	t.mu.Lock()
	sick := t.faults.SickHealth
	t.mu.Unlock()
	if sick {
		c.Error("sick", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ok")
}

func (t *Target) begin(c *fasthttp.RequestCtx) plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rec.Requests++
	if seesKey(c) {
		t.rec.KeysSeen++
	}
	if t.busy >= t.cfg.Slots {
		t.rec.Shed++
		return plan{shed: true}
	}
	t.busy++
	if action := string(c.Request.Header.Peek(ActionHeader)); action != "" {
		t.rec.Runs[action]++
	}
	f := t.faults
	return plan{
		work: t.workTime(f),
		fail: t.rnd.Float64() < f.ErrorRate,
		half: t.rnd.Float64() < f.HalfRate,
		hang: t.rnd.Float64() < f.HangRate,
		mute: t.rnd.Float64() < f.DropAfterRate,
	}
}

func seesKey(c *fasthttp.RequestCtx) bool {
	return len(c.Request.Header.Peek(fasthttp.HeaderAuthorization)) > 0 ||
		strings.Contains(c.Request.String(), "Bearer ")
}

// workTime draws a service time around the mean.
func (t *Target) workTime(f TargetFaults) time.Duration {
	work := float64(t.cfg.Work) * (0.5 + t.rnd.ExpFloat64()/2)
	if f.SlowFactor > 1 {
		work *= f.SlowFactor
	}
	if t.cfg.ColdFactor > 1 && t.clk.Now()-t.started < t.cfg.ColdFor {
		work *= t.cfg.ColdFactor
	}
	return time.Duration(work * float64(time.Millisecond))
}

func (t *Target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
}

// faultListener hands out connections that can go silent.
type faultListener struct {
	net.Listener
	t *Target
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.t.mu.Lock()
		refuse := l.t.faults.Refuse
		l.t.mu.Unlock()
		if refuse {
			_ = raw.Close()
			continue
		}
		c := &silentConn{Conn: raw, t: l.t}
		l.t.mu.Lock()
		l.t.conns[c] = true
		l.t.mu.Unlock()
		return c, nil
	}
}

// silentConn is a connection that can lose every byte in both directions
// without closing.
type silentConn struct {
	net.Conn
	t *Target

	mu     sync.Mutex
	silent bool
}

func (c *silentConn) setSilent(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = c.silent || v
}

func (c *silentConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read implements net.Conn.
func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *silentConn) Close() error {
	c.t.mu.Lock()
	delete(c.t.conns, c)
	c.t.mu.Unlock()
	return c.Conn.Close()
}
