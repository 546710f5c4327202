package guard

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"chestnutlatch/answer"
	"chestnutlatch/clock"
	"chestnutlatch/sock"
)

const (
	// defaultIdleLimit is how long a connection may be idle and still be reused,
	// in milliseconds, if the target sends no Keep-Alive timeout. It is short
	// because a target may drop an idle connection without closing it.
	defaultIdleLimit = 4 * clock.Second
	// dialTimeout bounds the time to open a connection to a target.
	dialTimeout = time.Second
	// staleResetWindow is the time, in milliseconds, within which the other end
	// resets a request on a connection that it has dropped. The reset is quick
	// because the target's application does not take part in it.
	staleResetWindow = 50 * clock.Millisecond
	// reducedIdlePeriod is how long a reduced idle limit applies after such a
	// reset, in milliseconds.
	reducedIdlePeriod = 10 * clock.Second
	// idleTimeoutPercent is the percentage of a target's Keep-Alive timeout after
	// which an idle connection is not reused.
	idleTimeoutPercent = 80
	// maxInterimAnswers bounds the interim answers (status 1xx) before an answer.
	maxInterimAnswers = 8
	// maxFramingFactor and framingBytes bound the bytes that are read for one
	// exchange: maxFramingFactor times Config.MaxAnswerBytes, which admits a body in
	// chunks of one byte, and framingBytes for heads and trailers. A target in
	// trouble may send bytes without end.
	maxFramingFactor = 8
	framingBytes     = 64 << 10
	// smallAnswerBytes is the size up to which an answer is read without taking from
	// Config.AnswerMemory, and answerMemoryStep the step in which larger ones take.
	smallAnswerBytes = 64 << 10
	answerMemoryStep = 256 << 10
	// longBodyBytes is the size, in bytes, above which a request's body is written
	// while the answer is read. Shorter bodies fit into the socket's buffer.
	longBodyBytes = 4 << 10
	// overdueFactor is the multiple of the usual time of an exchange after which the first
	// byte on a reused connection is overdue, and minOverdueTime the shortest such time.
	overdueFactor  = 4
	minOverdueTime = time.Second
	// uploadEndTime is how long a target may go on reading a request after it has ended its
	// answer by closing its side of the connection.
	uploadEndTime = time.Second
)

// Errors of one exchange with a target.
var (
	// errDial reports that no connection was opened, so nothing was sent.
	errDial = errors.New("cannot connect to the target")
	// errIncomplete reports an answer that ended early, that does not belong to
	// the request, or whose end cannot be determined. On a new connection, it also
	// covers an exchange that failed before the first byte.
	errIncomplete = errors.New("answer of the target is incomplete")
	// errTooLarge reports an answer whose body is over Config.MaxAnswerBytes.
	errTooLarge = errors.New("answer of the target is over max_answer_bytes")
	// errNoAnswerMemory reports an answer that was given up because the large answers
	// that are being read fill Config.AnswerMemory.
	errNoAnswerMemory = errors.New("large answers of targets fill the memory for them")
	// errNoFirstByte reports a reused connection on which no byte arrived, also if
	// the exchange failed because its deadline passed.
	errNoFirstByte = errors.New("no answer on a reused connection")
	// errTimeout reports a target that did not answer before the deadline, either
	// on a new connection or after a first byte.
	errTimeout = errors.New("target did not answer before the deadline")
	// errCold reports a request that was not sent because the target is cold.
	errCold = errors.New("target is cold")
	// errCanceled reports that the request was canceled by its sender.
	errCanceled = errors.New("request was canceled by its sender")
)

// targetConn is one connection to a target.
type targetConn struct {
	net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	idleSince clock.Millis
	// reused is true after the first successful exchange on the connection.
	reused bool
	// echoesExchange is true after an answer that repeated Dialect.Exchange.
	echoesExchange bool
	// receivedByte is true if the current exchange has read a byte.
	receivedByte atomic.Bool
	// lost is true if the other end closed or reset the connection during the current
	// exchange.
	lost atomic.Bool
	// strayAnswer is true after an answer that did not belong to the request. Another
	// one may follow, so the connection is not used again.
	strayAnswer bool
	// endedByClose is true if the body of the current answer ended with the connection.
	endedByClose bool
	// readLimit is the number of bytes that the current exchange may still read.
	readLimit int
	// maxBody is the maximum size of the answer's body in the current exchange.
	maxBody int
	// bytesRead is the number of bytes that the current exchange has read, and
	// memoryTaken what it has taken from memory for them.
	bytesRead, memoryTaken int
	memory                 AnswerMemory
	// onFirstByte is called when the first byte of an exchange arrives on a reused
	// connection.
	onFirstByte func()
	// noMemory is true if memory had nothing left for the current exchange.
	noMemory bool
	// idleLimit is how long the connection may be idle and still be reused, in
	// milliseconds.
	idleLimit clock.Millis
}

// Read records that the current exchange has received data. It returns an error once
// the exchange has read more than it may.
func (c *targetConn) Read(b []byte) (int, error) {
	if c.noMemory {
		return 0, errNoAnswerMemory
	}
	if c.readLimit <= 0 {
		return 0, errors.Wrap(errIncomplete, "target sends bytes without end")
	}
	n, err := c.Conn.Read(b)
	c.readLimit -= n
	c.bytesRead += n
	if n > 0 && !c.receivedByte.Swap(true) && c.reused {
		c.onFirstByte()
	}
	c.noteLost(err)
	for c.bytesRead > smallAnswerBytes+c.memoryTaken && c.memoryTaken < c.maxBody {
		if !c.memory.TakeAnswer(answerMemoryStep) {
			// Readers may ignore an error that comes with bytes.
			c.noMemory = true
			return n, nil
		}
		c.memoryTaken += answerMemoryStep
	}
	return n, err
}

// noteLost records an error by which the other end has ended the connection, as opposed
// to a deadline here.
func (c *targetConn) noteLost(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.lost.Store(true)
	}
}

// beginExchange resets the limits of an exchange with answers of at most maxBody bytes.
func (c *targetConn) beginExchange(maxBody int) {
	c.receivedByte.Store(false)
	c.lost.Store(false)
	c.readLimit = maxFramingFactor*maxBody + framingBytes
	c.bytesRead, c.maxBody, c.noMemory, c.endedByClose = 0, maxBody, false, false
}

// endExchange gives back the memory that the exchange has taken.
func (c *targetConn) endExchange() {
	c.memory.ReleaseAnswer(int64(c.memoryTaken))
	c.memoryTaken = 0
}

// AnswerMemory is the memory that the large answers of all targets share while they are
// read. It is safe for concurrent use.
type AnswerMemory interface {
	// TakeAnswer reports whether n bytes were left, and takes them.
	TakeAnswer(n int64) bool
	// ReleaseAnswer gives back n bytes.
	ReleaseAnswer(n int64)
}

// LargestAnswerMemory returns what an answer with a body of maxBody bytes takes from an
// AnswerMemory.
func LargestAnswerMemory(maxBody int) int64 {
	return int64((maxBody + answerMemoryStep - 1) / answerMemoryStep * answerMemoryStep)
}

// byteBudget is the AnswerMemory of a guard without an account.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// TakeAnswer implements AnswerMemory.
func (b *byteBudget) TakeAnswer(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// ReleaseAnswer implements AnswerMemory.
func (b *byteBudget) ReleaseAnswer(n int64) { b.used.Add(-n) }

// connPool holds the idle connections to one target, the most recently used one
// last. It is safe for concurrent use.
type connPool struct {
	address string
	dialect Dialect
	// keepAlive enables TCP keep-alive probes.
	keepAlive bool
	clk       clock.Clock
	memory    AnswerMemory
	// typicalLatency returns the usual time of an exchange, in microseconds; nil means that
	// it is not known.
	typicalLatency func() float64
	// heardAt is the time of the last first byte of an answer on a reused connection.
	heardAt atomic.Int64
	// onLost is called when a connection was refused, or was closed or reset by the
	// target; nil means that nothing is called.
	onLost func()

	mu   sync.Mutex
	idle []*targetConn
	// retired is true once the target is gone; connections are then not kept.
	retired bool
	// reducedIdleLimit bounds the idle time of a reused connection until
	// reducedUntil.
	reducedIdleLimit clock.Millis
	reducedUntil     clock.Millis
}

func newConnPool(address string, cfg Config, clk clock.Clock, memory AnswerMemory) *connPool {
	return &connPool{address: address, dialect: cfg.Dialect, keepAlive: cfg.KeepAlive, clk: clk, memory: memory}
}

// get returns the most recently used idle connection that can be reused, or a
// new one. If the target has closed all idle connections, it may have started again.
func (p *connPool) get(ctx context.Context) (*targetConn, error) {
	closed := false
	for {
		c := p.pop()
		if c == nil {
			if closed {
				p.connLost()
			}
			return p.dial(ctx)
		}
		if c.isReusable() {
			return c, nil
		}
		closed = closed || sock.StateOf(c.Conn) == sock.Closed
		_ = c.Close()
	}
}

// connLost calls onLost.
func (p *connPool) connLost() {
	if p.onLost != nil {
		p.onLost()
	}
}

// isReusable reports whether the idle connection is open and has no unread data.
// Unsolicited bytes would be read as the answer to the next request.
func (c *targetConn) isReusable() bool {
	return c.r.Buffered() == 0 && sock.StateOf(c.Conn) == sock.Quiet
}

// pop removes and returns the most recently used idle connection, or returns nil if
// there is none. If even that connection is over its idle limit, pop closes all
// idle connections and returns nil.
func (p *connPool) pop() *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	now := p.clk.Now()
	limit := c.idleLimit
	if now < p.reducedUntil {
		limit = min(limit, p.reducedIdleLimit)
	}
	if now-c.idleSince > limit {
		p.closeIdle()
		return nil
	}
	p.idle = p.idle[:n-1]
	return c
}

func (p *connPool) dial(ctx context.Context) (*targetConn, error) {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	if p.keepAlive {
		dial = func(ctx context.Context, _, address string) (net.Conn, error) {
			return sock.Dial(ctx, address, dialTimeout)
		}
	}
	raw, err := dial(ctx, "tcp", p.address)
	if err != nil {
		if ctx.Err() == nil {
			p.connLost()
		}
		return nil, errors.Wrap(errDial, err.Error())
	}
	c := newTargetConn(raw, p.memory)
	c.onFirstByte, c.idleSince = p.recordFirstByte, p.clk.Now()
	return c, nil
}

func newTargetConn(raw net.Conn, memory AnswerMemory) *targetConn {
	c := &targetConn{Conn: raw, idleLimit: defaultIdleLimit, memory: memory, onFirstByte: func() {}}
	c.r = bufio.NewReader(c)
	c.w = bufio.NewWriter(raw)
	return c
}

// put keeps a connection after a successful exchange.
func (p *connPool) put(c *targetConn) {
	c.reused, c.idleSince = true, p.clk.Now()
	p.keep(c)
}

// keep adds an idle connection.
func (p *connPool) keep(c *targetConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.retired {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// reduceIdleLimit sets the idle limit for reducedIdlePeriod to half the idle time
// after which the other end dropped a connection. One-time actions cannot be
// sent again, so they must not use another dropped connection.
func (p *connPool) reduceIdleLimit(now, idleTime clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now < p.reducedUntil {
		idleTime = min(idleTime, p.reducedIdleLimit)
	}
	p.reducedIdleLimit, p.reducedUntil = idleTime/2, now+reducedIdlePeriod
}

// retire closes the idle connections and keeps no others.
func (p *connPool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.closeIdle()
}

// closeAll closes the idle connections.
func (p *connPool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle()
}

// closeIdle closes the idle connections. The caller holds mu.
func (p *connPool) closeIdle() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// pastDeadline is a deadline in the past. Setting it interrupts running reads and
// writes.
var pastDeadline = time.Unix(1, 0)

// exchange sends a request and reads the whole answer. When ctx ends, it closes
// the connection, so the target sees that the request is canceled. If a reused
// connection receives no byte within firstByte, exchange returns
// errNoFirstByte; 0 means no such limit. Bodies over maxBody bytes are refused.
// Right before the request is written, admit must return true, else exchange returns
// errCold and nothing is sent.
func (p *connPool) exchange(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response, maxBody int, firstByte time.Duration, admit func() bool) error {
	open := p.get
	hasNoID := p.dialect.lacksID(req)
	if hasNoID {
		// Its answer belongs to it only because nothing else is sent on the connection.
		open = p.dial
	}
	c, err := open(ctx)
	if err != nil {
		return err
	}
	if !admit() {
		p.keep(c)
		return errCold
	}
	c.beginExchange(maxBody)
	sentAt := p.clk.Now()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	if c.reused {
		defer time.AfterFunc(p.overdueTime(), func() { p.checkSilence(c, sentAt) }).Stop()
	}
	reusable, err := c.roundTrip(p.dialect, req, resp, maxBody, firstByte)
	// Once the connection is kept, another exchange may use it.
	c.endExchange()
	notCanceled := stop()
	if err != nil {
		_ = c.Close()
		if c.lost.Load() {
			p.connLost()
		}
		if c.reused && !c.receivedByte.Load() && ctx.Err() == nil && p.clk.Now()-sentAt <= staleResetWindow {
			p.reduceIdleLimit(sentAt, sentAt-c.idleSince)
		}
		return p.classifyError(ctx, c, err)
	}
	if hasNoID || resp.ConnectionClose() || !notCanceled || !reusable || c.r.Buffered() > 0 {
		_ = c.Close()
		return nil
	}
	c.idleLimit = idleLimitOf(resp)
	p.put(c)
	return nil
}

// recordFirstByte records that a reused connection delivers an answer.
func (p *connPool) recordFirstByte() { p.heardAt.Store(int64(p.clk.Now())) }

// overdueTime returns the time after which the first byte on a reused connection is overdue.
func (p *connPool) overdueTime() time.Duration {
	if p.typicalLatency == nil {
		return minOverdueTime
	}
	return max(time.Duration(p.typicalLatency()*overdueFactor)*time.Microsecond, minOverdueTime)
}

// checkSilence closes the idle connections if an answer is overdue on a reused connection and
// no other reused one has delivered a byte since the request was sent: connections may go
// silent without a reset while new ones work. The exchange itself goes on, because a slow
// target looks the same.
func (p *connPool) checkSilence(c *targetConn, sentAt clock.Millis) {
	if !c.receivedByte.Load() && clock.Millis(p.heardAt.Load()) < sentAt {
		p.closeAll()
	}
}

// classifyError maps the error of a failed round trip to one of the errors of an
// exchange, such as errTooLarge.
func (p *connPool) classifyError(ctx context.Context, c *targetConn, err error) error {
	noFirstByte := c.reused && !c.receivedByte.Load()
	if noFirstByte {
		// What dropped this connection may have dropped the other idle ones too.
		p.closeAll()
	}
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return errTooLarge
	case errors.Is(err, errNoAnswerMemory):
		return errNoAnswerMemory
	case errors.Is(ctx.Err(), context.Canceled):
		return errCanceled
	case noFirstByte:
		return errNoFirstByte
	case ctx.Err() != nil:
		return errTimeout
	case errors.Is(err, errIncomplete):
		return err
	case c.receivedByte.Load():
		return errIncomplete
	default:
		return errors.Wrap(errIncomplete, err.Error())
	}
}

// idleLimitOf returns how long a connection may be idle and still be reused. It
// is shorter than the target's Keep-Alive timeout, so no request is sent while
// the target closes the connection.
func idleLimitOf(resp *fasthttp.Response) clock.Millis {
	timeout, ok := bytes.CutPrefix(resp.Header.Peek("Keep-Alive"), []byte("timeout="))
	if !ok {
		return defaultIdleLimit
	}
	timeout, _, _ = bytes.Cut(timeout, []byte(","))
	seconds, err := strconv.Atoi(string(bytes.TrimSpace(timeout)))
	if err != nil || seconds < 1 {
		return defaultIdleLimit
	}
	return clock.Millis(seconds) * clock.Second * idleTimeoutPercent / 100
}

// roundTrip writes the request and reads its answer. It reports whether the
// connection can be used again.
func (c *targetConn) roundTrip(d Dialect, req *fasthttp.Request, resp *fasthttp.Response, maxBody int, firstByte time.Duration) (reusable bool, err error) {
	if c.reused && firstByte > 0 {
		timer := time.AfterFunc(firstByte, func() {
			if !c.receivedByte.Load() {
				_ = c.SetDeadline(pastDeadline)
			}
		})
		// A timer that has fired may still set the deadline of the connection.
		defer func() { reusable = timer.Stop() && reusable }()
	}
	if len(req.Body()) > longBodyBytes {
		return c.roundTripLong(d, req, resp, maxBody)
	}
	if err := c.write(req); err != nil {
		return false, err
	}
	return c.readAnswer(d, req, resp, maxBody)
}

// roundTripLong writes the request while it reads the answer, because the target
// may answer before it has read a long body. If the answer arrives before the
// whole body is written, the connection is closed. An answer that ends with its connection
// is complete only if the body was written without an error: of a reset, either the writing
// or the reading gets the error, and the other one may see a regular end.
func (c *targetConn) roundTripLong(d Dialect, req *fasthttp.Request, resp *fasthttp.Response, maxBody int) (bool, error) {
	written := make(chan error, 1)
	go func() { written <- c.write(req) }()
	reusable, err := c.readAnswer(d, req, resp, maxBody)
	if err == nil && c.endedByClose {
		return false, c.awaitUpload(written)
	}
	select {
	case writeErr := <-written:
		return reusable && writeErr == nil, err
	default:
	}
	_ = c.Close()
	// The answer is valid even if the rest of the body was not written.
	<-written //nolint:errcheck // the connection is closed in any case
	return false, err
}

// awaitUpload waits for the end of the writing of a request whose answer has ended with the
// connection, and returns an error unless all was written.
func (c *targetConn) awaitUpload(written <-chan error) error {
	timer := time.AfterFunc(uploadEndTime, func() { _ = c.SetDeadline(pastDeadline) })
	defer timer.Stop()
	if err := <-written; err != nil {
		return errors.Wrap(errIncomplete, "connection broke off while the request was written: "+err.Error())
	}
	return nil
}

func (c *targetConn) write(req *fasthttp.Request) error {
	err := req.Write(c.w)
	if err == nil {
		err = c.w.Flush()
	}
	c.noteLost(err)
	return err
}

// Values that fasthttp returns as the content length of an answer that has no
// Content-Length header.
const (
	chunkedBody  = -1
	identityBody = -2
)

// maxAnswersRead bounds the answers that are read for one request, including
// skipped answers to earlier requests.
const maxAnswersRead = 4

// readAnswer reads the whole answer to a request and skips answers to other
// requests. reusable is false if the connection cannot be used again.
func (c *targetConn) readAnswer(d Dialect, req *fasthttp.Request, resp *fasthttp.Response, maxBody int) (reusable bool, err error) {
	for range maxAnswersRead {
		framed, err := c.readResponse(d, req, resp, maxBody)
		if err != nil || c.isAnswerTo(d, req, resp) {
			return framed && !c.strayAnswer, err
		}
		if !framed {
			return false, errIncomplete
		}
		c.strayAnswer = true
		resp.Reset()
	}
	return false, errIncomplete
}

// isAnswerTo reports whether an answer belongs to the request. An error answer
// without an attempt ID is accepted on a new connection only, because a target may
// leave out the ID if it did not run the request. On a reused connection, or after a
// stray answer, it may be a late copy of the answer to an earlier request. If the request
// has no ID, any answer without an ID is accepted on a new connection.
func (c *targetConn) isAnswerTo(d Dialect, req *fasthttp.Request, resp *fasthttp.Response) bool {
	if d.AttemptID == "" {
		return c.isAnswerToExchange(d, req, resp)
	}
	id := resp.Header.Peek(d.AttemptID)
	if len(id) == 0 {
		return !c.reused && !c.strayAnswer && (resp.StatusCode() >= fasthttp.StatusBadRequest || d.lacksID(req))
	}
	return bytes.Equal(id, req.Header.Peek(d.AttemptID))
}

// isAnswerToExchange is isAnswerTo for targets that may, but need not, repeat the ID
// of the exchange.
func (c *targetConn) isAnswerToExchange(d Dialect, req *fasthttp.Request, resp *fasthttp.Response) bool {
	if d.Exchange == "" {
		return true
	}
	id := resp.Header.Peek(d.Exchange)
	if len(id) == 0 {
		return !c.echoesExchange
	}
	c.echoesExchange = true
	return bytes.Equal(id, req.Header.Peek(d.Exchange))
}

// readResponse reads one answer and skips interim answers. framed is false if the
// answer ended with its connection.
func (c *targetConn) readResponse(d Dialect, req *fasthttp.Request, resp *fasthttp.Response, maxBody int) (framed bool, err error) {
	for interim := 0; ; interim++ {
		if err := c.checkHead(); err != nil {
			return false, err
		}
		if err := resp.Header.Read(c.r); err != nil {
			return false, err
		}
		if status := resp.StatusCode(); status >= fasthttp.StatusOK {
			break
		} else if status < fasthttp.StatusContinue || status == fasthttp.StatusSwitchingProtocols || interim == maxInterimAnswers {
			return false, errIncomplete
		}
	}
	if req.Header.IsHead() || resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return true, nil
	}
	length := resp.Header.ContentLength()
	if length == identityBody {
		if !d.AllowUnframed {
			// A body that ends with the connection may have been cut off.
			return false, errIncomplete
		}
		c.endedByClose = true
		return false, c.readUntilClose(resp, maxBody)
	}
	if err := resp.ReadBody(c.r, maxBody); err != nil {
		return false, err
	}
	if length == chunkedBody {
		if err := c.checkFields(answer.Trailer()); err != nil {
			return false, err
		}
		return true, resp.Header.ReadTrailer(c.r)
	}
	return true, nil
}

// checkHead waits for the whole head of an answer and returns an error unless it is one
// that may be passed on. It reads nothing, so that the library can parse the head then. An
// error is returned when the wrong byte arrives: more may never come.
func (c *targetConn) checkHead() error {
	for {
		b, err := c.r.Peek(1)
		if err != nil {
			return err
		}
		if b[0] != '\r' && b[0] != '\n' {
			break
		}
		// fasthttp skips empty lines before an answer, too.
		if _, err := c.r.Discard(1); err != nil {
			return err
		}
	}
	return c.checkFields(answer.Head{})
}

// checkFields waits until head finds the end of the fields, and returns an error as soon as
// it finds a defect. It reads nothing.
func (c *targetConn) checkFields(head answer.Head) error {
	for n := c.r.Buffered(); ; n = c.r.Buffered() + 1 {
		if _, err := c.r.Peek(n); err != nil {
			return err
		}
		b, err := c.r.Peek(c.r.Buffered())
		if err != nil {
			return err
		}
		if done, err := head.Check(b); err != nil {
			return errors.Wrap(errIncomplete, err.Error())
		} else if done {
			return nil
		}
	}
}

// readUntilClose reads a body that ends when the target closes the connection. A
// reset is an error.
func (c *targetConn) readUntilClose(resp *fasthttp.Response, maxBody int) error {
	body, err := io.ReadAll(io.LimitReader(c.r, int64(maxBody)+1))
	if err != nil {
		return err
	}
	if len(body) > maxBody {
		return fasthttp.ErrBodyTooLarge
	}
	resp.SetBodyRaw(body)
	return nil
}
