package entry

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
	"chestnutlatch/wire"
)

const (
	problemType = "application/problem+json"
	bearer      = "Bearer "
	// maxKeyBytes bounds a key that is looked up.
	maxKeyBytes = 512
	// retryNoTarget is what a caller waits for a service without targets.
	retryNoTarget = clock.Second
)

// dropped are the request headers that never reach a target: credentials,
// what the daemon sets itself, and what belongs to one connection only.
var dropped = map[string]bool{
	"authorization": true, "proxy-authorization": true, "idempotency-key": true,
	"x-team": true, "x-request-timeout": true,
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true, "expect": true,
}

// droppedBack are the answer headers that belong to the inner connection.
var droppedBack = map[string]bool{
	"connection": true, "keep-alive": true, "transfer-encoding": true, "content-length": true,
	"trailer": true, "upgrade": true,
}

// hostOf returns the request's host in lower case without its port.
func hostOf(c *fasthttp.RequestCtx) string {
	host := c.Host()
	if i := bytes.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(string(host))
}

func keyOf(c *fasthttp.RequestCtx) string {
	v := c.Request.Header.Peek(fasthttp.HeaderAuthorization)
	if len(v) <= len(bearer) || len(v) > maxKeyBytes || !bytes.EqualFold(v[:len(bearer)], []byte(bearer)) {
		return ""
	}
	return string(v[len(bearer):])
}

// sizeOfHead is the length of a request's head as it was sent.
func sizeOfHead(c *fasthttp.RequestCtx) int {
	h := &c.Request.Header
	return len(h.Method()) + len(" ") + len(h.RequestURI()) + len(" HTTP/1.1\r\n") + len(h.RawHeaders())
}

// sentPath returns the path as the caller sent it. What selects the route must
// be what reaches the target.
func (e *Entry) sentPath(c *fasthttp.RequestCtx) (string, *fault.Refusal) {
	path, _, _ := strings.Cut(string(c.Request.Header.RequestURI()), "?")
	if !strings.HasPrefix(path, "/") {
		return "", fault.NotRun(fault.Malformed, "request target is no path: send an absolute path")
	}
	if !e.byAttempt() && isAmbiguous(path) {
		return "", fault.NotRun(fault.Malformed, "path has dot segments, empty segments or encoded slashes: send it in its plain form")
	}
	return path, nil
}

// isAmbiguous reports whether servers differ in what a path means.
func isAmbiguous(path string) bool {
	lower := strings.ToLower(path)
	for _, odd := range []string{"//", "/./", "/../", "%2f", "%2e", "%5c", "\\", "#"} {
		if strings.Contains(lower, odd) {
			return true
		}
	}
	return strings.HasSuffix(lower, "/.") || strings.HasSuffix(lower, "/..")
}

// timeoutOf returns the caller's time limit, at most the route's.
func (e *Entry) timeoutOf(c *fasthttp.RequestCtx, most clock.Millis) (clock.Millis, *fault.Refusal) {
	name := e.Dialect.Timeout
	v := c.Request.Header.Peek(name)
	if len(v) == 0 {
		return most, nil
	}
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil || n < 1 {
		return 0, fault.NotRun(fault.Malformed, "%s is not a number: give whole milliseconds, at least 1", name)
	}
	return min(clock.Millis(n), most), nil
}

// toForward copies what may reach a target. A header that repeats the key is
// left out, whatever its name.
func (e *Entry) toForward(c *fasthttp.RequestCtx, r *request) *wire.ForwardRequest {
	out := &wire.ForwardRequest{
		Service:  string(r.route.Service),
		Team:     string(r.team.ID),
		Priority: uint32(r.route.Priority),
		Weight:   r.team.Weight,
		Rank:     r.team.Rank,
		Method:   string(c.Method()),
		Uri:      string(c.Request.Header.RequestURI()),
		Body:     append([]byte(nil), c.PostBody()...),
	}
	key := []byte(keyOf(c))
	for k, v := range c.Request.Header.All() {
		name := string(k)
		if dropped[strings.ToLower(name)] || e.Dialect.Sets(name) || len(key) > 0 && bytes.Contains(v, key) {
			continue
		}
		out.Headers = append(out.Headers, &wire.Header{Name: name, Value: string(v)})
	}
	return out
}

// writeAnswer passes a whole answer to the caller.
func writeAnswer(c *fasthttp.RequestCtx, a *wire.Answer) {
	c.SetStatusCode(int(a.GetStatus()))
	for _, h := range a.GetHeaders() {
		if !droppedBack[strings.ToLower(h.GetName())] {
			c.Response.Header.Add(h.GetName(), h.GetValue())
		}
	}
	c.Response.SetBodyRaw(a.GetBody())
}

// writeRefusal answers with a problem document.
func (e *Entry) writeRefusal(c *fasthttp.RequestCtx, r *fault.Refusal, ticket string) {
	body, err := json.Marshal(struct {
		Title        string       `json:"title"`
		Status       int          `json:"status"`
		Detail       string       `json:"detail"`
		Kind         string       `json:"kind"`
		Outcome      string       `json:"outcome"`
		RetryAfterMS clock.Millis `json:"retry_after_ms,omitempty"`
		Ticket       string       `json:"ticket,omitempty"`
	}{strings.ReplaceAll(r.Kind.String(), "_", " "), e.statusOf(r), r.Message, r.Kind.String(), r.Outcome.String(), r.RetryAfter, ticket})
	if err != nil {
		c.Error("refusal cannot be written", fasthttp.StatusInternalServerError)
		return
	}
	c.Response.Reset()
	c.SetStatusCode(e.statusOf(r))
	c.SetContentType(problemType)
	if r.RetryAfter > 0 {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, e.retryAfter(r.RetryAfter))
	}
	c.SetBody(body)
}

// retryAfter writes a span in seconds: whole ones in the product's own
// interface, with a fraction for callers who name their attempts.
func (e *Entry) retryAfter(wait clock.Millis) string {
	if e.byAttempt() {
		return strconv.FormatFloat(float64(wait)/float64(clock.Second), 'f', 3, 64)
	}
	seconds := (wait + clock.Second - 1) / clock.Second
	return strconv.FormatInt(int64(seconds), 10)
}

// statusOf returns the status of a refusal. Callers who name their attempts
// take 429 and 503 as the word that nothing has run.
func (e *Entry) statusOf(r *fault.Refusal) int {
	status := r.Status()
	switch {
	case !e.byAttempt() || status < fasthttp.StatusInternalServerError && !isPromise(status) && r.Kind != fault.Canceled:
		return status
	case r.Outcome == ident.OutcomeUnknown && r.Kind == fault.DeadlineExceeded:
		return fasthttp.StatusGatewayTimeout
	case r.Outcome == ident.OutcomeUnknown:
		return fasthttp.StatusBadGateway
	case isPromise(status):
		return status
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// isPromise reports whether a status under 500 says that nothing has run.
func isPromise(status int) bool {
	return status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusRequestTimeout
}

// OnError answers requests that could not be read.
func (e *Entry) OnError(c *fasthttp.RequestCtx, err error) {
	r := fault.NotRun(fault.Malformed, "request cannot be read: send valid HTTP/1.1 in time")
	switch err.(type) { //nolint:errorlint // the server hands the error over unwrapped
	case *fasthttp.ErrSmallBuffer:
		r = fault.NotRun(fault.TooLarge, "request headers are too large: send fewer or shorter ones")
	default:
		switch {
		case err == fasthttp.ErrBodyTooLarge: //nolint:errorlint // as above
			r = fault.NotRun(fault.TooLarge, "request body is over the limit: send less")
		case errors.Is(err, os.ErrDeadlineExceeded):
			r = fault.NotRun(fault.SlowRequest, "request did not arrive in time: send it without pauses")
		}
	}
	drain(c.Conn())
	e.Log.Debug("request not read", "kind", r.Kind, "error", err)
	e.Meter.Refused(r)
	e.writeRefusal(c, r, "")
	c.SetConnectionClose()
}

const (
	// drainIdle ends the reading of a refused request when nothing more comes.
	drainIdle = 50 * time.Millisecond
	// drainTime and drainBytes bound it altogether.
	drainTime  = 2 * time.Second
	drainBytes = 16 << 20
)

// drain reads what the caller still sends of a refused request. Closing the
// connection with bytes unread would reset it before the caller has read the
// refusal.
func drain(c net.Conn) {
	buf := make([]byte, 16<<10)
	end := time.Now().Add(drainTime)
	for total := 0; total < drainBytes && time.Now().Before(end); {
		if err := c.SetReadDeadline(time.Now().Add(drainIdle)); err != nil {
			return
		}
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		total += n
	}
}
