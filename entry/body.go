package entry

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/memory"
	"chestnutlatch/record"
)

const (
	// maxDrainedBytes is the length up to which the HTTP server reads the body of a
	// refused request and keeps the connection. Longer bodies are not read.
	maxDrainedBytes = 8 << 10
	// firstBodyBytes is the largest buffer that a body takes before anything has been
	// read.
	firstBodyBytes = memory.SmallBytes
	// retryAfterNoMemory is the Retry-After of a request for whose body there is no
	// memory.
	retryAfterNoMemory = clock.Second
)

var (
	errBodyTooLarge = errors.New("request body is over the limit")
	errNoMemory     = errors.New("no memory for the request body")
)

// inputBody is the body of a caller's request.
type inputBody struct {
	// stream is nil if the body was read by the server or there is none.
	stream io.Reader
	// length is the announced length, or negative for a chunked body.
	length int
	// limit is the maximum length.
	limit int
	// holder is nil until the body is read.
	holder *memory.Holder
	// unread is true while more bytes may be left on the connection than the server
	// drains.
	unread bool
}

// newInputBody returns the body of a request, of which nothing has been read.
func (e *Entry) newInputBody(c *fasthttp.RequestCtx) inputBody {
	b := inputBody{limit: e.MaxBody}
	if l := e.Table.CallerLimits().MaxBodyBytes; l > 0 {
		b.limit = min(b.limit, l)
	}
	if b.stream = c.RequestBodyStream(); b.stream == nil {
		b.length = len(c.PostBody())
		return b
	}
	b.length = c.Request.Header.ContentLength()
	b.unread = b.length < 0 || b.length > maxDrainedBytes
	return b
}

// checkLength refuses a body whose announced length is over the limit.
func (e *Entry) checkLength(b *inputBody) *fault.Refusal {
	switch {
	case b.length > e.MaxBody:
		return fault.NotRun(fault.TooLarge, "request body has %d bytes, max_request_bytes is %d: send less", b.length, e.MaxBody)
	case b.length > b.limit && b.stream != nil:
		return bodyRefusal(errBodyTooLarge)
	}
	return nil
}

// readBody reads the body of a request. The holder of b keeps the memory of the
// returned bytes until it is closed.
func (e *Entry) readBody(c *fasthttp.RequestCtx, team record.Team, b *inputBody) ([]byte, *fault.Refusal) {
	if b.stream == nil {
		return append([]byte(nil), c.PostBody()...), nil
	}
	if b.length == 0 {
		return nil, nil
	}
	conn := c.Conn()
	b.holder = e.Memory.Open(e.Clock.Now(), c.RemoteIP().String(), team.ID, func() { interruptRead(conn) })
	stop := e.interruptReadAtEnd(c)
	body, err := e.fill(b)
	stop()
	if !e.Memory.Finish(b.holder) {
		err = errNoMemory
		e.Meter.CountBody("given_up", "stalled")
		e.Log.Info("request body given up", "address", c.RemoteIP(), "team", team.ID, "announced", b.length, "read", len(body))
	}
	if err != nil {
		b.unread = true
		return nil, bodyRefusal(err)
	}
	b.unread = false
	return body, nil
}

// fill reads the body into one buffer, which grows in steps that it takes from the
// account.
func (e *Entry) fill(b *inputBody) ([]byte, error) {
	// One byte over the limit shows that a chunked body is too large.
	size := b.limit + 1
	if b.length >= 0 {
		size = b.length
	}
	var buf []byte
	for {
		if len(buf) > b.limit {
			return buf, errBodyTooLarge
		}
		if len(buf) == cap(buf) {
			grown, err := e.grow(b, buf, size)
			if err != nil {
				return buf, err
			}
			buf = grown
		}
		n, err := b.stream.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if n > 0 {
			e.Memory.Progress(e.Clock.Now(), b.holder, int64(n))
		}
		switch {
		case len(buf) == b.length:
			return buf, nil
		case errors.Is(err, io.EOF) && b.length >= 0:
			return buf, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return buf, err
		}
	}
}

// grow returns a larger buffer with the same bytes. Half of the final size is followed
// by the final size, so that the two buffers never have more than one and a half of it.
func (e *Entry) grow(b *inputBody, buf []byte, size int) ([]byte, error) {
	next := max(2*cap(buf), min(firstBodyBytes, size))
	if next > size/2 && cap(buf) > 0 {
		next = size
	}
	if reason := e.Memory.Take(e.Clock.Now(), b.holder, int64(next)); reason != memory.ReasonNone {
		if reason != memory.ReasonGivenUp {
			e.Meter.CountBody("refused", reason.String())
		}
		return nil, errNoMemory
	}
	grown := append(make([]byte, 0, next), buf...)
	e.Memory.Release(b.holder, int64(cap(buf)))
	return grown, nil
}

// bodyRefusal returns the refusal of a request whose body could not be read because of
// err. It contains no text of err.
func bodyRefusal(err error) *fault.Refusal {
	switch {
	case errors.Is(err, errNoMemory):
		return fault.NotRun(fault.NoMemory, "this daemon has no memory for the request's body: repeat after the given time").
			WithRetryAfter(retryAfterNoMemory)
	case errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.Is(err, errBodyTooLarge):
		return fault.NotRun(fault.TooLarge, "request body is over the limit: send less")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.NotRun(fault.SlowRequest, "request did not arrive in time: send it without pauses")
	}
	return fault.NotRun(fault.Malformed, "request cannot be read: send valid HTTP/1.1 in time")
}

// end frees the memory of the body. If bytes are left on the connection, it discards some
// of them and closes the connection after the answer.
func (e *Entry) end(c *fasthttp.RequestCtx, b *inputBody) {
	if b.holder != nil {
		e.Memory.Close(b.holder)
	}
	if b.unread {
		discardInput(c.Conn())
		c.SetConnectionClose()
	}
}

// interruptRead ends the blocked read of a connection.
func interruptRead(c net.Conn) {
	if i, ok := unwrap[interface{ InterruptRead() }](c); ok {
		i.InterruptRead()
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// answerHolder is a connection that reports the writing of an answer.
type answerHolder interface {
	HoldAnswer(progress func(n int), release func())
	InterruptWrite()
}

// holdAnswer counts a large answer in the account until it is written. If memory for
// answers runs out, the connections of callers that do not read are ended. If that does not
// suffice, the answer is dropped and its request is refused, with an unknown outcome
// because it has run.
func (e *Entry) holdAnswer(c *fasthttp.RequestCtx) *fault.Refusal {
	n := len(c.Response.Body())
	if n <= memory.SmallBytes {
		return nil
	}
	conn, ok := unwrap[answerHolder](c.Conn())
	if !ok {
		return nil
	}
	address := c.RemoteIP()
	h := e.Memory.OpenAnswer(e.Clock.Now(), int64(n), func() {
		e.Meter.CountBody("answer_given_up", "stalled")
		e.Log.Info("answer given up, because its caller does not read it", "address", address, "bytes", n)
		conn.InterruptWrite()
	})
	if h == nil {
		e.Meter.CountBody("answer_refused", memory.ReasonFull.String())
		return fault.Unknown(fault.AnswerTooLarge, "large answers for slow callers fill the memory for them: repeat a lookup, look an action up")
	}
	conn.HoldAnswer(func(n int) { e.Memory.Progress(e.Clock.Now(), h, int64(n)) }, func() { e.Memory.CloseAnswer(h) })
	return nil
}

// unwrap returns the first connection with the methods of T among c and those that it
// wraps.
func unwrap[T any](c net.Conn) (T, bool) {
	for {
		if t, ok := c.(T); ok {
			return t, true
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			var none T
			return none, false
		}
		c = wrapper.NetConn()
	}
}
