// Package logs limits the lines and bytes that a daemon writes to its log. A
// blocked log reader must not delay requests, and a burst of refusals must not
// use the CPU time that requests need. The serve command puts it between the
// daemon's logger and its output.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"chestnutlatch/clock"
)

const (
	// queueLength is the maximum number of lines that wait for a slow reader.
	queueLength = 1024
	// reserveDivisor is the divisor that gives the reserve: 1/reserveDivisor of
	// a full bucket is kept for warnings and errors.
	reserveDivisor = 5
	// reportInterval is the minimum time between two reports of dropped lines,
	// in milliseconds.
	reportInterval = 5 * clock.Second
)

// Limits are the maximum average rates of the log.
type Limits struct {
	// LinesPerSecond and BytesPerSecond are the average rates. Up to twice
	// these amounts can be saved for a burst.
	LinesPerSecond int
	BytesPerSecond int
}

// RateLimiter decides which lines are written. It is a token bucket for lines and
// one for bytes. It is not safe for concurrent use.
type RateLimiter struct {
	limits    Limits
	lines     float64
	bytes     float64
	updatedAt clock.Millis
}

// NewRateLimiter returns a rate limiter with full buckets at the time now.
func NewRateLimiter(l Limits, now clock.Millis) *RateLimiter {
	return &RateLimiter{limits: l, lines: float64(2 * l.LinesPerSecond), bytes: float64(2 * l.BytesPerSecond), updatedAt: now}
}

// Allow reports whether a line of size bytes may be written at the time now, and
// if so, takes it from the buckets. Urgent lines can use the whole buckets; other
// lines leave the reserve.
func (r *RateLimiter) Allow(now clock.Millis, size int, urgent bool) bool {
	seconds := float64(max(now-r.updatedAt, 0)) / float64(clock.Second)
	r.updatedAt = max(r.updatedAt, now)
	r.lines = min(r.lines+seconds*float64(r.limits.LinesPerSecond), float64(2*r.limits.LinesPerSecond))
	r.bytes = min(r.bytes+seconds*float64(r.limits.BytesPerSecond), float64(2*r.limits.BytesPerSecond))
	reserve := 0.0
	if !urgent {
		reserve = 2.0 / reserveDivisor
	}
	if r.lines-1 < reserve*float64(r.limits.LinesPerSecond) || r.bytes-float64(size) < reserve*float64(r.limits.BytesPerSecond) {
		return false
	}
	r.lines--
	r.bytes -= float64(size)
	return true
}

// CanAllow reports whether a line that is not urgent and has one byte would be
// allowed at the time now. It takes nothing from the buckets.
func (r *RateLimiter) CanAllow(now clock.Millis) bool {
	trial := *r
	return trial.Allow(now, 1, false)
}

// Writer writes log lines to a slow or blocked output without waiting for it. It
// drops the lines that exceed its limits or do not fit into its queue. It is safe
// for concurrent use.
type Writer struct {
	clk     clock.Clock
	queue   chan []byte
	dropped atomic.Uint64

	limiterMu sync.Mutex
	limiter   *RateLimiter
	// reportedDrops is the number of dropped lines reported so far, and
	// lastReport is the time of the last report.
	reportedDrops uint64
	lastReport    clock.Millis
	// copyDone is closed when the last line has been written to the output.
	copyDone chan struct{}

	// mu guards closed and the closing of queue.
	mu     sync.RWMutex
	closed bool
}

// closeTimeout limits how long Close waits for a slow reader.
const closeTimeout = 200 * time.Millisecond

// Close waits until the queued lines are written, for at most closeTimeout. Lines
// written after Close are dropped. Close must be called only once.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.copyDone:
	case <-time.After(closeTimeout):
	}
}

// NewWriter returns a Writer and starts a goroutine that copies its lines to out
// until Close is called.
func NewWriter(out io.Writer, l Limits, clk clock.Clock) *Writer {
	w := &Writer{clk: clk, limiter: NewRateLimiter(l, clk.Now()), queue: make(chan []byte, queueLength), copyDone: make(chan struct{})}
	go func() {
		defer close(w.copyDone)
		for line := range w.queue {
			// An error cannot be logged, because the log itself failed.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Write implements io.Writer for one log line. It does not wait for the output and
// always returns len(line) and nil, also for a dropped line. Warnings and errors
// may use the reserve only in JSON format, because their level is not recognized
// in other formats.
func (w *Writer) Write(line []byte) (int, error) {
	now := w.clk.Now()
	w.limiterMu.Lock()
	defer w.limiterMu.Unlock()
	urgent := bytes.Contains(line, []byte(`"@level":"warn"`)) || bytes.Contains(line, []byte(`"@level":"error"`))
	if !w.limiter.Allow(now, len(line), urgent) || !w.enqueue(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	w.reportDrops(now)
	return len(line), nil
}

// CanWrite reports whether a line below warning level could be written now. If
// not, CanWrite counts that line as dropped, and the caller must not write it.
func (w *Writer) CanWrite() bool {
	now := w.clk.Now()
	w.limiterMu.Lock()
	defer w.limiterMu.Unlock()
	if w.limiter.CanAllow(now) {
		return true
	}
	w.dropped.Add(1)
	w.reportDrops(now)
	return false
}

// enqueue adds a line to the queue. It returns false if the queue is full or the
// writer is closed.
func (w *Writer) enqueue(line []byte) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return false
	}
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

// reportDrops writes one line with the number of lines dropped since the last
// report, at most once per reportInterval. The caller must hold limiterMu.
func (w *Writer) reportDrops(now clock.Millis) {
	total := w.dropped.Load()
	if total == w.reportedDrops || now-w.lastReport < reportInterval {
		return
	}
	line := fmt.Sprintf(`{"@level":"warn","@message":"log lines dropped","count":%d,"total":%d}`+"\n", total-w.reportedDrops, total)
	if w.enqueue([]byte(line)) {
		w.reportedDrops, w.lastReport = total, now
	}
}
