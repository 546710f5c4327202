package health

import (
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// fixedDetector is a detector whose verdict is set by the test.
type fixedDetector struct{ sick bool }

func (f *fixedDetector) Observe(Sample)                             {}
func (f *fixedDetector) Evaluate(clock.Millis, PeerSummary) Verdict { return Verdict{Sick: f.sick} }
func (f *fixedDetector) Reset()                                     {}

func TestFlappingTargetStaysOutLonger(t *testing.T) {
	detector := &fixedDetector{}
	tracker := NewStateTracker(detector, 0)
	now := coldPeriod
	tracker.Update(now, PeerSummary{})
	if tracker.State() != ident.TargetWell {
		t.Fatalf("state = %s after the cold period, want well", tracker.State())
	}
	var ejections []clock.Millis
	for range 6 {
		detector.sick = true
		tracker.Update(now, PeerSummary{})
		ejectedAt := now
		detector.sick = false
		for tracker.State() == ident.TargetSick {
			now += 100
			tracker.Update(now, PeerSummary{})
		}
		ejections = append(ejections, now-ejectedAt)
	}
	want := []clock.Millis{3000, 6000, 12000, 24000, 48000, 60000}
	for i := range want {
		if ejections[i] != want[i] {
			t.Errorf("length of ejection %d = %d ms, want %d ms", i, ejections[i], want[i])
		}
	}
}

func TestFloorTrafficKeepsSickTargetOut(t *testing.T) {
	detector := &fixedDetector{sick: true}
	tracker := NewStateTracker(detector, 0)
	tracker.Update(1, PeerSummary{})
	for i := range minSamples {
		tracker.Observe(Sample{At: clock.Millis(i), Result: ResultError})
	}
	tracker.Update(initialEjection+1, PeerSummary{})
	if tracker.State() != ident.TargetSick {
		t.Errorf("state = %s while requests still fail, want sick", tracker.State())
	}
}

func TestWindowDropsOldSamples(t *testing.T) {
	w := NewWindow(100, 10)
	for i := range 50 {
		w.Observe(Sample{At: clock.Millis(i * 100), Result: ResultError, Latency: 10})
	}
	tests := []struct {
		name string
		now  clock.Millis
		want int
	}{
		{"at the last sample", 4900, 10},
		{"half a window later", 5400, 5},
		{"a window later", 5900, 0},
		{"much later", 600_000, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := w.Stats(tt.now).Count; got != tt.want {
				t.Errorf("Stats(%d).Count = %d, want %d", tt.now, got, tt.want)
			}
		})
	}
}
