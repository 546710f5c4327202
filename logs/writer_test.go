package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"chestnutlatch/clock"
)

// blockedWriter is an output whose Write never returns.
type blockedWriter struct{ unblock chan struct{} }

func (w blockedWriter) Write([]byte) (int, error) {
	<-w.unblock
	return 0, nil
}

// TestWriteDoesNotBlockOnStalledOutput guards against a log reader that stops
// reading: Write must drop lines instead of waiting for it.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	w := NewWriter(blockedWriter{make(chan struct{})}, Limits{LinesPerSecond: 1 << 20, BytesPerSecond: 1 << 30}, clock.NewManual(1))
	const lines = 5000
	for i := range lines {
		if n, err := fmt.Fprintf(w, "line %d\n", i); err != nil || n == 0 {
			t.Fatalf("line %d: wrote %d bytes, error %v", i, n, err)
		}
	}
	if w.Dropped() < lines-queueLength-1 {
		t.Errorf("dropped %d lines, want all that do not fit into the queue", w.Dropped())
	}
}

// recordingWriter records the written bytes and signals each call of Write.
type recordingWriter struct {
	mu    sync.Mutex
	buf   bytes.Buffer
	wrote chan struct{}
}

func (w *recordingWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer func() { w.wrote <- struct{}{} }()
	return w.buf.Write(b)
}

func TestDroppedLinesAreReported(t *testing.T) {
	clk := clock.NewManual(1)
	out := &recordingWriter{wrote: make(chan struct{}, 100)}
	w := NewWriter(out, Limits{LinesPerSecond: 1, BytesPerSecond: 1000}, clk)
	for range 10 {
		_, _ = w.Write([]byte(`{"@level":"info"}` + "\n"))
	}
	clk.Advance(reportInterval)
	_, _ = w.Write([]byte(`{"@level":"error"}` + "\n"))
	written := 10 - int(w.Dropped()) + 2
	for range written {
		<-out.wrote
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	if text := out.buf.String(); strings.Count(text, "log lines dropped") != 1 || !strings.Contains(text, `"@level":"error"`) {
		t.Errorf("want one report of dropped lines and the error line, got:\n%s", text)
	}
}

func TestCloseFlushesQueuedLines(t *testing.T) {
	out := &recordingWriter{wrote: make(chan struct{}, 100)}
	w := NewWriter(out, Limits{LinesPerSecond: 100, BytesPerSecond: 10_000}, clock.NewManual(1))
	for range 10 {
		_, _ = w.Write([]byte("last\n"))
	}
	w.Close()
	_, _ = w.Write([]byte("after\n"))
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := out.buf.String(); got != strings.Repeat("last\n", 10) {
		t.Errorf("output is %q, want the lines written before Close", got)
	}
}

// TestRateLimiterBoundsLinesAndBytes generates lines of random sizes and checks
// that the allowed lines and bytes never exceed the rate plus the saved burst.
func TestRateLimiterBoundsLinesAndBytes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := Limits{LinesPerSecond: rapid.IntRange(1, 50).Draw(rt, "lines"), BytesPerSecond: rapid.IntRange(100, 5000).Draw(rt, "bytes")}
		limiter := NewRateLimiter(l, 0)
		lines, bytes := 0, 0
		now := clock.Millis(0)
		for range 200 {
			now += clock.Millis(rapid.IntRange(0, 30).Draw(rt, "elapsed"))
			size := rapid.IntRange(1, 400).Draw(rt, "size")
			if limiter.Allow(now, size, rapid.Bool().Draw(rt, "urgent")) {
				lines++
				bytes += size
			}
		}
		seconds := float64(now)/1000 + 2
		if float64(lines) > seconds*float64(l.LinesPerSecond) || float64(bytes) > seconds*float64(l.BytesPerSecond) {
			rt.Fatalf("allowed %d lines and %d bytes in %d ms, more than the limits", lines, bytes, now)
		}
	})
}

// countingField is the value of a log field and counts how often it is formatted.
type countingField struct{ formatted *atomic.Int64 }

// MarshalText implements encoding.TextMarshaler.
func (c countingField) MarshalText() ([]byte, error) {
	c.formatted.Add(1)
	return []byte("x"), nil
}

// TestLimitedLoggerDoesNotFormatDroppedLines logs many more lines than the limit
// allows. Formatting lines that are then dropped cost more than writing the rest.
func TestLimitedLoggerDoesNotFormatDroppedLines(t *testing.T) {
	clk := clock.NewManual(1)
	out := &recordingWriter{wrote: make(chan struct{}, 10_000)}
	w := NewWriter(out, Limits{LinesPerSecond: 50, BytesPerSecond: 1 << 20}, clk)
	log := NewLimitedLogger(hclog.New(&hclog.LoggerOptions{Level: hclog.Info, JSONFormat: true, Output: w}), w).Named("entry").With("instance", "i")
	var infoCount, warnCount atomic.Int64
	const burst = 1000
	for range burst {
		log.Info("request refused", "id", countingField{&infoCount})
		log.Debug("never written", "id", countingField{&infoCount})
	}
	if n := infoCount.Load(); n > 100 || w.Dropped() != burst-uint64(n) {
		t.Errorf("formatted %d lines with capacity for 100, dropped %d of %d", n, w.Dropped(), burst)
	}
	log.Warn("store lost", "id", countingField{&warnCount})
	if warnCount.Load() != 1 {
		t.Error("warning was not formatted")
	}
	clk.Advance(reportInterval)
	before := infoCount.Load()
	log.Info("request refused", "id", countingField{&infoCount})
	if infoCount.Load() == before {
		t.Error("line was dropped after the limiter regained capacity")
	}
}

func BenchmarkWrite(b *testing.B) {
	w := NewWriter(&bytes.Buffer{}, Limits{LinesPerSecond: 200, BytesPerSecond: 100_000}, clock.NewSystem())
	line := []byte(`{"@level":"info","@message":"request refused","id":"58e92d0cfa0c0474"}` + "\n")
	for b.Loop() {
		_, _ = w.Write(line)
	}
}

// TestCloseTwice checks that a second Close is harmless.
func TestCloseTwice(t *testing.T) {
	w := NewWriter(&bytes.Buffer{}, Limits{LinesPerSecond: 1, BytesPerSecond: 100}, clock.NewSystem())
	w.Close()
	w.Close()
}
