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

// ActionHeader is the request header that names the caller's action. A target
// counts its runs by it.
const ActionHeader = "X-Action"

// AnswerBytesHeader is the request header that sets the length of the answer's body, at
// most maxAnswerBytes.
const AnswerBytesHeader = "X-Answer-Bytes"

const maxAnswerBytes = 16 << 20

// TargetFaults are the faults that can be injected into a target at run time. The
// zero value injects none.
type TargetFaults struct {
	// SlowFactor multiplies the service time; values up to 1 have no effect.
	SlowFactor float64 `json:"slow_factor"`
	// ErrorRate is the fraction of the requests, 0 to 1, answered with status 500.
	ErrorRate float64 `json:"error_rate"`
	// TruncateRate is the fraction of the requests, 0 to 1, whose answer ends in the
	// middle of its body.
	TruncateRate float64 `json:"half_rate"`
	// HangRate is the fraction of the requests, 0 to 1, answered only after a
	// minute, with an empty body.
	HangRate float64 `json:"hang_rate"`
	// Silent makes the connections that are open now lose all further bytes
	// without closing. They stay so after the fault is cleared; new connections
	// work.
	Silent bool `json:"silent"`
	// Refuse closes every new connection immediately.
	Refuse bool `json:"refuse"`
	// FailHealthCheck makes /health answer 503 while other requests are served as
	// usual.
	FailHealthCheck bool `json:"sick_health"`
	// Drain makes the target report to its daemon that it is shutting down.
	Drain bool `json:"drain"`
	// DropAnswerRate is the fraction of the requests, 0 to 1, that run but whose
	// connection closes without an answer.
	DropAnswerRate float64 `json:"drop_after_rate"`
}

// TargetConfig configures a Target.
type TargetConfig struct {
	ID      ident.Target
	Service ident.Service
	// Slots is the number of requests served at once; further ones get status 503.
	Slots int
	// MeanServiceTime is the mean service time, in milliseconds.
	MeanServiceTime clock.Millis
	// ColdDuration is the time after the start, in milliseconds, in which
	// ColdFactor multiplies the service time. A ColdFactor up to 1 has no effect.
	ColdDuration clock.Millis
	ColdFactor   float64
	// Seed seeds the service times and the faults.
	Seed uint64
	// Dialect names the headers between daemon and target; the zero value is the
	// product's own interface.
	Dialect guard.Dialect
	// CallAddress is the address of the daemon through which each request calls
	// CallPath after its service time; empty disables the calls. Requests whose
	// path begins with CallPath make no call.
	CallAddress string
	CallPath    string
}

// callTimeout is the time limit of a call that a target makes, in milliseconds.
const callTimeout = 400 * clock.Millisecond

// TargetCounts holds the counts of a target since its start.
type TargetCounts struct {
	Target ident.Target `json:"target"`
	// Runs is the number of runs of each action named by ActionHeader.
	Runs map[string]int `json:"runs"`
	// Requests counts all requests except health checks and requests meant for
	// another target. Shed counts those of them that were refused because all
	// slots were taken.
	Requests int `json:"requests"`
	Shed     int `json:"shed"`
	// KeysSeen counts the requests that carry an authorization header or a bearer
	// token. Daemons must remove the teams' keys, so it should be 0.
	KeysSeen int `json:"keys_seen"`
	// Canceled is always 0: connections that close during a request are not
	// counted.
	Canceled int `json:"canceled"`
	// Calls counts the calls that the target made. CallsFailed counts those that
	// failed or got a status other than 200.
	Calls       int `json:"calls"`
	CallsFailed int `json:"calls_failed"`
}

// Target is a stand-in for a target instance: an HTTP server with a limited
// number of slots, random service times and injected faults. It is safe for
// concurrent use.
type Target struct {
	cfg     TargetConfig
	clk     clock.Clock
	started clock.Millis

	mu        sync.Mutex
	rng       *rand.Rand
	faults    TargetFaults
	inFlight  int
	counts    TargetCounts
	openConns map[*silenceableConn]bool
	// callClient makes the target's own calls and never repeats one.
	callClient *fasthttp.Client
}

// NewTarget returns a target whose cold period begins now on clk.
func NewTarget(cfg TargetConfig, clk clock.Clock) *Target {
	return &Target{
		cfg: cfg, clk: clk, started: clk.Now(),
		rng:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		counts:    TargetCounts{Target: cfg.ID, Runs: map[string]int{}},
		openConns: map[*silenceableConn]bool{},
		callClient: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// Serve serves requests from l until the listener closes, and returns its error.
func (t *Target) Serve(l net.Listener) error {
	s := &fasthttp.Server{Handler: t.handle, NoDefaultServerHeader: true}
	return s.Serve(&faultListener{Listener: l, target: t})
}

// Control serves the control endpoints: PUT /faults, GET /record.
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
		body, err := json.Marshal(t.counts)
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

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	for c := range t.openConns {
		c.setSilent(f.Silent)
	}
}

// IsDraining reports whether the Drain fault is set.
func (t *Target) IsDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults.Drain
}

// Counts returns a copy of the target's counts.
func (t *Target) Counts() TargetCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.counts
	out.Runs = make(map[string]int, len(t.counts.Runs))
	for k, v := range t.counts.Runs {
		out.Runs[k] = v
	}
	return out
}

// requestBehavior is how the target treats one request. Only shed is set for a
// request that gets no slot.
type requestBehavior struct {
	shed        bool
	serviceTime time.Duration
	fails       bool
	truncated   bool
	hangs       bool
	dropped     bool
}

// handle serves one request according to the slots and the injected faults.
func (t *Target) handle(c *fasthttp.RequestCtx) {
	if string(c.Path()) == "/health" {
		t.serveHealth(c)
		return
	}
	dialect := t.cfg.Dialect
	if dialect.ExpectedTarget != "" && string(c.Request.Header.Peek(dialect.ExpectedTarget)) != string(t.cfg.ID) {
		c.Error("another target is meant", fasthttp.StatusMisdirectedRequest)
		return
	}
	if id := c.Request.Header.Peek(dialect.Exchange); len(id) > 0 {
		c.Response.Header.SetBytesV(dialect.Exchange, id)
	}
	if dialect.AttemptID != "" {
		c.Response.Header.SetBytesV(dialect.AttemptID, c.Request.Header.Peek(dialect.AttemptID))
	}
	if dialect.Signature != "" {
		c.Response.Header.Set(dialect.Signature, string(t.cfg.ID))
	}
	behavior := t.admit(c)
	if behavior.shed {
		if dialect.NotRun != "" {
			c.Response.Header.Set(dialect.NotRun, "1")
		}
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		c.SetBodyString("busy")
		return
	}
	time.Sleep(behavior.serviceTime)
	behavior.fails = behavior.fails || !t.makeCall(c)
	t.release()
	switch {
	case behavior.hangs:
		time.Sleep(time.Minute)
	case behavior.dropped:
		writeRawAndClose(c, "")
	case behavior.truncated:
		writeRawAndClose(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nonly the beginning")
	case behavior.fails:
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		c.SetBodyString("failed")
	case len(c.Request.Header.Peek(EndlessHeader)) > 0:
		t.sendEndless(c, string(c.Request.Header.Peek(EndlessHeader)))
	case len(c.Request.Header.Peek(AnswerBytesHeader)) > 0:
		if n, err := fasthttp.ParseUint(c.Request.Header.Peek(AnswerBytesHeader)); err == nil {
			c.Response.SetBodyRaw(make([]byte, min(n, maxAnswerBytes)))
		}
	default:
		fmt.Fprintf(c, "%s %s %s\n", t.cfg.ID, c.Path(), c.Request.Header.Peek(ActionHeader))
	}
}

// makeCall makes the call that belongs to a request and reports whether it
// succeeded. If the request makes no call, it returns true. The attempt id of the
// call is that of the request with the suffix ".c1".
func (t *Target) makeCall(c *fasthttp.RequestCtx) bool {
	dialect := t.cfg.Dialect
	if t.cfg.CallAddress == "" || strings.HasPrefix(string(c.Path()), t.cfg.CallPath) {
		return true
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.cfg.CallAddress + t.cfg.CallPath)
	req.Header.Set(dialect.AttemptID, string(c.Request.Header.Peek(dialect.AttemptID))+".c1")
	req.Header.Set(dialect.Timeout, strconv.FormatInt(int64(callTimeout), 10))
	err := t.callClient.DoTimeout(req, resp, callTimeout.Duration())
	ok := err == nil && resp.StatusCode() == fasthttp.StatusOK
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Calls++
	if !ok {
		t.counts.CallsFailed++
	}
	return ok
}

// writeRawAndClose writes raw to the connection in place of a response, and
// closes it.
func writeRawAndClose(c *fasthttp.RequestCtx, raw string) {
	c.HijackSetNoResponse(true)
	c.Hijack(func(conn net.Conn) {
		w := bufio.NewWriter(conn)
		_, _ = w.WriteString(raw)
		_ = w.Flush()
		_ = conn.Close()
	})
}

// serveHealth answers the health check.
func (t *Target) serveHealth(c *fasthttp.RequestCtx) {
	t.mu.Lock()
	sick := t.faults.FailHealthCheck
	t.mu.Unlock()
	if sick {
		c.Error("sick", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetBodyString("ok")
}

// admit counts a request, takes a slot for it, and draws its service time and
// faults. The caller releases the slot unless the request is shed.
func (t *Target) admit(c *fasthttp.RequestCtx) requestBehavior {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Requests++
	if carriesKey(c) {
		t.counts.KeysSeen++
	}
	if t.inFlight >= t.cfg.Slots {
		t.counts.Shed++
		return requestBehavior{shed: true}
	}
	t.inFlight++
	if action := string(c.Request.Header.Peek(ActionHeader)); action != "" {
		t.counts.Runs[action]++
	}
	f := t.faults
	return requestBehavior{
		serviceTime: t.drawServiceTime(f),
		fails:       t.rng.Float64() < f.ErrorRate,
		truncated:   t.rng.Float64() < f.TruncateRate,
		hangs:       t.rng.Float64() < f.HangRate,
		dropped:     t.rng.Float64() < f.DropAnswerRate,
	}
}

// carriesKey reports whether a request has an authorization header, or a bearer
// token anywhere.
func carriesKey(c *fasthttp.RequestCtx) bool {
	return len(c.Request.Header.Peek(fasthttp.HeaderAuthorization)) > 0 ||
		strings.Contains(c.Request.String(), "Bearer ")
}

// drawServiceTime returns a service time: half of the mean is fixed, the other
// half is exponentially distributed. The caller holds t.mu.
func (t *Target) drawServiceTime(f TargetFaults) time.Duration {
	millis := float64(t.cfg.MeanServiceTime) * (0.5 + t.rng.ExpFloat64()/2)
	if f.SlowFactor > 1 {
		millis *= f.SlowFactor
	}
	if t.cfg.ColdFactor > 1 && t.clk.Now()-t.started < t.cfg.ColdDuration {
		millis *= t.cfg.ColdFactor
	}
	return time.Duration(millis * float64(time.Millisecond))
}

// release frees the slot of a request.
func (t *Target) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// faultListener accepts connections that can be silenced, and closes them at once
// while the Refuse fault is set.
type faultListener struct {
	net.Listener
	target *Target
}

// Accept implements net.Listener.
func (l *faultListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.target.mu.Lock()
		refuse := l.target.faults.Refuse
		l.target.mu.Unlock()
		if refuse {
			_ = raw.Close()
			continue
		}
		c := &silenceableConn{Conn: raw, target: l.target}
		l.target.mu.Lock()
		l.target.openConns[c] = true
		l.target.mu.Unlock()
		return c, nil
	}
}

// silenceableConn is a connection that can be made to lose every byte in both
// directions without closing, as behind a broken network path.
type silenceableConn struct {
	net.Conn
	target *Target

	mu     sync.Mutex
	silent bool
}

// setSilent silences the connection if v is true. It is never undone.
func (c *silenceableConn) setSilent(v bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = c.silent || v
}

func (c *silenceableConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// Read implements net.Conn. On a silenced connection it discards what arrives
// and blocks until the connection fails.
func (c *silenceableConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isSilent() {
			return n, err
		}
	}
}

// Write implements net.Conn. On a silenced connection it discards b and reports
// success.
func (c *silenceableConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn. The target no longer silences a closed connection.
func (c *silenceableConn) Close() error {
	c.target.mu.Lock()
	delete(c.target.openConns, c)
	c.target.mu.Unlock()
	return c.Conn.Close()
}
