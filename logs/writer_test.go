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

// blockedPipe never takes a byte.
type blockedPipe struct{ forever chan struct{} }

func (p blockedPipe) Write([]byte) (int, error) {
	<-p.forever
	return 0, nil
}

func TestBlockedReaderHoldsNobody(t *testing.T) {
	w := New(blockedPipe{make(chan struct{})}, Limits{LinesPerSecond: 1 << 20, BytesPerSecond: 1 << 30}, clock.NewManual(1))
	const lines = 5000
	for i := range lines {
		if n, err := fmt.Fprintf(w, "line %d\n", i); err != nil || n == 0 {
			t.Fatalf("line %d: %d, %v", i, n, err)
		}
	}
	if w.Dropped() < lines-queueLines-1 {
		t.Errorf("%d lines are dropped, want all that do not fit", w.Dropped())
	}
}

// sink collects what is written.
type sink struct {
	mu  sync.Mutex
	buf bytes.Buffer
	got chan struct{}
}

func (s *sink) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.got <- struct{}{} }()
	return s.buf.Write(b)
}

func TestDroppedLinesAreTold(t *testing.T) {
	clk := clock.NewManual(1)
	out := &sink{got: make(chan struct{}, 100)}
	w := New(out, Limits{LinesPerSecond: 1, BytesPerSecond: 1000}, clk)
	for range 10 {
		_, _ = w.Write([]byte(`{"@level":"info"}` + "\n"))
	}
	clk.Advance(reportEvery)
	_, _ = w.Write([]byte(`{"@level":"error"}` + "\n"))
	written := 10 - int(w.Dropped()) + 2
	for range written {
		<-out.got
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	if text := out.buf.String(); strings.Count(text, "log lines dropped") != 1 || !strings.Contains(text, `"@level":"error"`) {
		t.Errorf("wrote:\n%s", text)
	}
}

func TestCloseHandsOverTheLastLines(t *testing.T) {
	out := &sink{got: make(chan struct{}, 100)}
	w := New(out, Limits{LinesPerSecond: 100, BytesPerSecond: 10_000}, clock.NewManual(1))
	for range 10 {
		_, _ = w.Write([]byte("last\n"))
	}
	w.Close()
	_, _ = w.Write([]byte("after\n"))
	out.mu.Lock()
	defer out.mu.Unlock()
	if got := out.buf.String(); got != strings.Repeat("last\n", 10) {
		t.Errorf("wrote %q", got)
	}
}

// TestBudgetBoundsEverySecond draws lines of any size and counts what passes.
func TestBudgetBoundsEverySecond(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := Limits{LinesPerSecond: rapid.IntRange(1, 50).Draw(rt, "lines"), BytesPerSecond: rapid.IntRange(100, 5000).Draw(rt, "bytes")}
		b := NewBudget(l, 0)
		lines, bytes := 0, 0
		now := clock.Millis(0)
		for range 200 {
			now += clock.Millis(rapid.IntRange(0, 30).Draw(rt, "pass"))
			size := rapid.IntRange(1, 400).Draw(rt, "size")
			if b.Allow(now, size, rapid.Bool().Draw(rt, "urgent")) {
				lines++
				bytes += size
			}
		}
		seconds := float64(now)/1000 + 2
		if float64(lines) > seconds*float64(l.LinesPerSecond) || float64(bytes) > seconds*float64(l.BytesPerSecond) {
			rt.Fatalf("%d lines and %d bytes in %d ms", lines, bytes, now)
		}
	})
}

// counted is a field that counts how often it is formatted.
type counted struct{ times *atomic.Int64 }

// MarshalText implements encoding.TextMarshaler.
func (c counted) MarshalText() ([]byte, error) {
	c.times.Add(1)
	return []byte("x"), nil
}

// TestGateFormatsNoLineThatIsDropped covers a storm of lines over the budget.
func TestGateFormatsNoLineThatIsDropped(t *testing.T) {
	clk := clock.NewManual(1)
	out := &sink{got: make(chan struct{}, 10_000)}
	w := New(out, Limits{LinesPerSecond: 50, BytesPerSecond: 1 << 20}, clk)
	log := Gate(hclog.New(&hclog.LoggerOptions{Level: hclog.Info, JSONFormat: true, Output: w}), w).Named("entry").With("instance", "i")
	var plain, urgent atomic.Int64
	const storm = 1000
	for range storm {
		log.Info("request refused", "id", counted{&plain})
		log.Debug("never written", "id", counted{&plain})
	}
	if n := plain.Load(); n > 100 || w.Dropped() != storm-uint64(n) {
		t.Errorf("%d lines are formatted with room for 100, %d of %d are dropped", n, w.Dropped(), storm)
	}
	log.Warn("store lost", "id", counted{&urgent})
	if urgent.Load() != 1 {
		t.Error("a warning is not formatted")
	}
	clk.Advance(reportEvery)
	before := plain.Load()
	log.Info("request refused", "id", counted{&plain})
	if plain.Load() == before {
		t.Error("no line passes when there is room again")
	}
}

func BenchmarkWrite(b *testing.B) {
	w := New(&bytes.Buffer{}, Limits{LinesPerSecond: 200, BytesPerSecond: 100_000}, clock.NewSystem())
	line := []byte(`{"@level":"info","@message":"request refused","id":"58e92d0cfa0c0474"}` + "\n")
	for b.Loop() {
		_, _ = w.Write(line)
	}
}
