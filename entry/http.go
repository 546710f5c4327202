package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/guard"
	"chestnutlatch/ident"
	"chestnutlatch/wire"
)

const (
	problemContentType = "application/problem+json"
	bearerPrefix       = "Bearer "
	// maxAuthorizationBytes is the maximum size of an Authorization header, in
	// bytes. Longer ones count as no key.
	maxAuthorizationBytes = 512
	// retryAfterNoTarget is the Retry-After when a service has no available
	// target.
	retryAfterNoTarget = clock.Second
)

// strippedRequestHeaders are the request headers that are not forwarded to a target:
// credentials, headers that the daemon sets itself, and hop-by-hop headers.
var strippedRequestHeaders = map[string]bool{
	"authorization": true, "proxy-authorization": true, "idempotency-key": true,
	"x-team": true, "x-request-timeout": true,
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true, "expect": true,
}

// strippedAnswerHeaders are the hop-by-hop, length and exchange headers of a target's
// answer, which are not passed to callers.
var strippedAnswerHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "transfer-encoding": true, "content-length": true,
	"trailer": true, "upgrade": true, strings.ToLower(guard.ExchangeHeader): true,
}

// hostOf returns the request's host in lower case without its port.
func hostOf(c *fasthttp.RequestCtx) string {
	host := c.Host()
	if i := bytes.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(string(host))
}

// bearerKey returns the key of the Authorization header, or "" if the header is
// missing, too long or not of the Bearer scheme.
func bearerKey(c *fasthttp.RequestCtx) string {
	v := c.Request.Header.Peek(fasthttp.HeaderAuthorization)
	if len(v) <= len(bearerPrefix) || len(v) > maxAuthorizationBytes || !bytes.EqualFold(v[:len(bearerPrefix)], []byte(bearerPrefix)) {
		return ""
	}
	return string(v[len(bearerPrefix):])
}

// headSize returns the size of a request's head as it was sent, in bytes.
func headSize(c *fasthttp.RequestCtx) int {
	h := &c.Request.Header
	return len(h.Method()) + len(" ") + len(h.RequestURI()) + len(" HTTP/1.1\r\n") + len(h.RawHeaders())
}

// rawPath returns the path as the caller sent it, without the query. The path that
// selects the route must be the one that reaches the target, so paths that servers
// may normalize are refused, unless callers send their own attempt IDs.
func (e *Entry) rawPath(c *fasthttp.RequestCtx) (string, *fault.Refusal) {
	path, _, _ := strings.Cut(string(c.Request.Header.RequestURI()), "?")
	if !strings.HasPrefix(path, "/") {
		return "", fault.NotRun(fault.Malformed, "request target is no path: send an absolute path")
	}
	if !e.usesAttemptIDs() && isAmbiguousPath(path) {
		return "", fault.NotRun(fault.Malformed, "path has dot segments, empty segments or encoded slashes: send it in its plain form")
	}
	return path, nil
}

// isAmbiguousPath reports whether servers may interpret the path in different ways.
func isAmbiguousPath(path string) bool {
	lower := strings.ToLower(path)
	for _, part := range []string{"//", "/./", "/../", "%2f", "%2e", "%5c", "\\", "#"} {
		if strings.Contains(lower, part) {
			return true
		}
	}
	return strings.HasSuffix(lower, "/.") || strings.HasSuffix(lower, "/..")
}

// callerTimeout returns the time limit that the caller sent, at most routeTimeout,
// or routeTimeout if the caller sent none.
func (e *Entry) callerTimeout(c *fasthttp.RequestCtx, routeTimeout clock.Millis) (clock.Millis, *fault.Refusal) {
	name := e.Dialect.Timeout
	v := c.Request.Header.Peek(name)
	if len(v) == 0 {
		return routeTimeout, nil
	}
	n, err := strconv.ParseInt(string(v), 10, 64)
	if err != nil || n < 1 {
		return 0, fault.NotRun(fault.Malformed, "%s is not a number: give whole milliseconds, at least 1", name)
	}
	return min(clock.Millis(n), routeTimeout), nil
}

// newForwardRequest builds the request for guards from the parts of the caller's
// request that may reach a target. Every header whose value contains the key is
// left out.
func (e *Entry) newForwardRequest(c *fasthttp.RequestCtx, r *request, body []byte) *wire.ForwardRequest {
	out := &wire.ForwardRequest{
		Service:  string(r.route.Service),
		Team:     string(r.team.ID),
		Priority: uint32(r.route.Priority),
		Weight:   r.team.Weight,
		Rank:     r.team.Rank,
		Method:   string(c.Method()),
		Uri:      append([]byte(nil), c.Request.Header.RequestURI()...),
		Body:     body,
	}
	out.Regions, out.NoRegion = r.regions.Encode()
	key := []byte(bearerKey(c))
	for k, v := range c.Request.Header.All() {
		name := string(k)
		if strippedRequestHeaders[strings.ToLower(name)] || e.Dialect.IsReserved(name) || len(key) > 0 && bytes.Contains(v, key) {
			continue
		}
		out.Headers = append(out.Headers, &wire.Header{Name: []byte(name), Value: append([]byte(nil), v...)})
	}
	return out
}

// writeAnswer writes a target's answer to the caller.
func writeAnswer(c *fasthttp.RequestCtx, a *wire.Answer) {
	c.SetStatusCode(int(a.GetStatus()))
	for _, h := range a.GetHeaders() {
		if !strippedAnswerHeaders[strings.ToLower(string(h.GetName()))] {
			c.Response.Header.AddBytesKV(h.GetName(), h.GetValue())
		}
	}
	c.Response.SetBodyRaw(a.GetBody())
}

// refusalDocument returns the problem+json document of a refusal. An empty ticket is left
// out.
func (e *Entry) refusalDocument(r *fault.Refusal, ticket string) ([]byte, error) {
	return json.Marshal(struct {
		Title        string       `json:"title"`
		Status       int          `json:"status"`
		Detail       string       `json:"detail"`
		Kind         string       `json:"kind"`
		Outcome      string       `json:"outcome"`
		RetryAfterMS clock.Millis `json:"retry_after_ms,omitempty"`
		Ticket       string       `json:"ticket,omitempty"`
	}{strings.ReplaceAll(r.Kind.String(), "_", " "), e.statusOf(r), r.Message, r.Kind.String(), r.Outcome.String(), r.RetryAfter, ticket})
}

// NoMemoryAnswer returns the whole answer to a request that is not read because there is
// no memory for its head. Its connection ends. The outcome is unknown: an earlier copy of
// the request may have run if it has a ticket, which was not read.
func (e *Entry) NoMemoryAnswer() []byte {
	r := fault.NotRun(fault.NoMemory, "this daemon has no memory for another request: repeat after the given time").WithRetryAfter(retryAfterNoMemory)
	if !e.usesAttemptIDs() {
		r.Outcome = ident.OutcomeUnknown
	}
	body, err := e.refusalDocument(r, "")
	if err != nil {
		return nil
	}
	status := e.statusOf(r)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nRetry-After: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		status, fasthttp.StatusMessage(status), problemContentType, e.retryAfterValue(r.RetryAfter), len(body), body)
}

// writeRefusal answers with a problem+json document. An empty ticket is left out.
func (e *Entry) writeRefusal(c *fasthttp.RequestCtx, r *fault.Refusal, ticket string) {
	body, err := e.refusalDocument(r, ticket)
	if err != nil {
		c.Error("refusal cannot be written", fasthttp.StatusInternalServerError)
		return
	}
	c.Response.Reset()
	c.SetStatusCode(e.statusOf(r))
	c.SetContentType(problemContentType)
	if r.RetryAfter > 0 {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, e.retryAfterValue(r.RetryAfter))
	}
	c.SetBody(body)
}

// retryAfterValue formats a Retry-After header in seconds: rounded up to whole
// seconds, or with three decimals for callers that send their own attempt IDs.
func (e *Entry) retryAfterValue(wait clock.Millis) string {
	if e.usesAttemptIDs() {
		return strconv.FormatFloat(float64(wait)/float64(clock.Second), 'f', 3, 64)
	}
	seconds := (wait + clock.Second - 1) / clock.Second
	return strconv.FormatInt(int64(seconds), 10)
}

// statusOf returns the HTTP status of a refusal. Callers that send their own attempt
// IDs read 408, 429 and 503 as proof that the request has not run, and other 4xx as a
// request that is not allowed. For them, a refusal gets 502 or 504 if its outcome is
// unknown. If the request has not run, 499 and those from 500 on become 503.
func (e *Entry) statusOf(r *fault.Refusal) int {
	status := r.Status()
	switch {
	case !e.usesAttemptIDs():
		return status
	case r.Outcome == ident.OutcomeUnknown && r.Kind == fault.DeadlineExceeded:
		return fasthttp.StatusGatewayTimeout
	case r.Outcome == ident.OutcomeUnknown:
		return fasthttp.StatusBadGateway
	case status < fasthttp.StatusInternalServerError && r.Kind != fault.Canceled:
		return status
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// OnError refuses a request that could not be read because of err, and closes the
// connection. The refusal contains no text of err.
func (e *Entry) OnError(c *fasthttp.RequestCtx, err error) {
	r := bodyRefusal(err)
	if _, ok := err.(*fasthttp.ErrSmallBuffer); ok { //nolint:errorlint // the server hands the error over unwrapped
		r = fault.NotRun(fault.TooLarge, "request headers are too large: send fewer or shorter ones")
	}
	discardInput(c.Conn())
	e.Log.Debug("cannot read request", "kind", r.Kind, "error", err)
	e.Meter.CountRefusal(r)
	e.writeRefusal(c, r, "")
	c.SetConnectionClose()
}

const (
	// discardIdleTimeout is the time without input after which discardInput stops.
	discardIdleTimeout = 50 * time.Millisecond
	// discardTimeout and discardMaxBytes limit discardInput as a whole.
	discardTimeout  = 2 * time.Second
	discardMaxBytes = 16 << 20
)

// discardInput reads and discards the rest of a refused request. Closing the
// connection with unread input would reset it before the caller has read the
// refusal.
func discardInput(c net.Conn) {
	buf := make([]byte, 16<<10)
	end := time.Now().Add(discardTimeout)
	for total := 0; total < discardMaxBytes && time.Now().Before(end); {
		if err := c.SetReadDeadline(time.Now().Add(discardIdleTimeout)); err != nil {
			return
		}
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		total += n
	}
}
