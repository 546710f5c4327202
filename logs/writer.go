// Package logs bounds what a daemon writes to its log. A log that nobody reads
// must not hold a request, and a storm of refusals must not cost the processor
// that requests need.
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
	// queueLines is the number of lines that may wait for a slow reader.
	queueLines = 1024
	// reservedPart is the part of the budget, one in reservedPart, that is kept
	// for warnings and errors.
	reservedPart = 5
	// reportEvery is the time between two lines that tell of dropped ones, in
	// milliseconds.
	reportEvery = 5 * clock.Second
)

// Limits bound the log.
type Limits struct {
	// LinesPerSecond and BytesPerSecond are what is written on average; twice
	// as much may be saved up.
	LinesPerSecond int
	BytesPerSecond int
}

// Budget decides which lines are written. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	lines  float64
	bytes  float64
	at     clock.Millis
}

// NewBudget returns a full budget.
func NewBudget(l Limits, now clock.Millis) *Budget {
	return &Budget{limits: l, lines: float64(2 * l.LinesPerSecond), bytes: float64(2 * l.BytesPerSecond), at: now}
}

// Allow takes a line of a size from the budget. An urgent line may use all of
// it, others leave a reserve.
func (b *Budget) Allow(now clock.Millis, size int, urgent bool) bool {
	seconds := float64(max(now-b.at, 0)) / float64(clock.Second)
	b.at = max(b.at, now)
	b.lines = min(b.lines+seconds*float64(b.limits.LinesPerSecond), float64(2*b.limits.LinesPerSecond))
	b.bytes = min(b.bytes+seconds*float64(b.limits.BytesPerSecond), float64(2*b.limits.BytesPerSecond))
	reserve := 0.0
	if !urgent {
		reserve = 2.0 / reservedPart
	}
	if b.lines-1 < reserve*float64(b.limits.LinesPerSecond) || b.bytes-float64(size) < reserve*float64(b.limits.BytesPerSecond) {
		return false
	}
	b.lines--
	b.bytes -= float64(size)
	return true
}

// Room reports whether a plain line would be written now.
func (b *Budget) Room(now clock.Millis) bool {
	fresh := *b
	return fresh.Allow(now, 1, false)
}

// Writer hands lines to a slow or blocked destination without waiting for it.
type Writer struct {
	clk     clock.Clock
	lines   chan []byte
	dropped atomic.Uint64

	budgetMu sync.Mutex
	budget   *Budget
	// told is the number of dropped lines told so far, reported is when.
	told     uint64
	reported clock.Millis
	// written is closed when the last line has been handed over.
	written chan struct{}

	mu     sync.RWMutex
	closed bool
}

// closeWait bounds the wait for a slow reader at the end of the process.
const closeWait = 200 * time.Millisecond

// Close hands over the lines that wait, for a short while. What is written after
// it is dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	select {
	case <-w.written:
	case <-time.After(closeWait):
	}
}

// New returns a writer and starts to copy its lines to out.
func New(out io.Writer, l Limits, clk clock.Clock) *Writer {
	w := &Writer{clk: clk, budget: NewBudget(l, clk.Now()), lines: make(chan []byte, queueLines), written: make(chan struct{})}
	go func() {
		defer close(w.written)
		for line := range w.lines {
			// There is nobody left to tell of a log that cannot be written.
			_, _ = out.Write(line)
		}
	}()
	return w
}

// Dropped returns the number of lines that were not written.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Write implements io.Writer. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	now := w.clk.Now()
	w.budgetMu.Lock()
	defer w.budgetMu.Unlock()
	urgent := bytes.Contains(line, []byte(`"@level":"warn"`)) || bytes.Contains(line, []byte(`"@level":"error"`))
	if !w.budget.Allow(now, len(line), urgent) || !w.offer(append([]byte(nil), line...)) {
		w.dropped.Add(1)
	}
	w.report(now)
	return len(line), nil
}

// HasRoom reports whether a plain line would be written now. If not, the line
// counts as dropped and need not be formatted.
func (w *Writer) HasRoom() bool {
	now := w.clk.Now()
	w.budgetMu.Lock()
	defer w.budgetMu.Unlock()
	if w.budget.Room(now) {
		return true
	}
	w.dropped.Add(1)
	w.report(now)
	return false
}

func (w *Writer) offer(line []byte) bool {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return false
	}
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// report tells of dropped lines, in one line for many.
func (w *Writer) report(now clock.Millis) {
	total := w.dropped.Load()
	if total == w.told || now-w.reported < reportEvery {
		return
	}
	line := fmt.Sprintf(`{"@level":"warn","@message":"log lines dropped","count":%d,"total":%d}`+"\n", total-w.told, total)
	if w.offer([]byte(line)) {
		w.told, w.reported = total, now
	}
}
