package health

import (
	"testing"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// fixed is a detector with a set verdict.
type fixed struct{ sick bool }

func (f *fixed) Observe(Sample)                    {}
func (f *fixed) Judge(clock.Millis, Peers) Verdict { return Verdict{Sick: f.sick} }
func (f *fixed) Reset()                            {}

func TestFlappingTargetStaysOutLonger(t *testing.T) {
	d := &fixed{}
	k := NewKeeper(d, 0)
	now := coldFor
	k.Judge(now, Peers{})
	if k.State() != ident.TargetWell {
		t.Fatalf("state = %s after the cold time, want well", k.State())
	}
	var out []clock.Millis
	for range 6 {
		d.sick = true
		k.Judge(now, Peers{})
		left := now
		d.sick = false
		for k.State() == ident.TargetSick {
			now += 100
			k.Judge(now, Peers{})
		}
		out = append(out, now-left)
	}
	want := []clock.Millis{3000, 6000, 12000, 24000, 48000, 60000}
	for i := range want {
		if out[i] != want[i] {
			t.Errorf("time out of service %d = %d ms, want %d ms", i, out[i], want[i])
		}
	}
}

func TestFloorTrafficKeepsSickTargetOut(t *testing.T) {
	d := &fixed{sick: true}
	k := NewKeeper(d, 0)
	k.Judge(1, Peers{})
	for i := range minSamples {
		k.Observe(Sample{At: clock.Millis(i), Result: ResultError})
	}
	k.Judge(firstHold+1, Peers{})
	if k.State() != ident.TargetSick {
		t.Errorf("state = %s while requests still fail, want sick", k.State())
	}
}

func TestWindowForgets(t *testing.T) {
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
