package clock

import "testing"

func TestPauseDetector(t *testing.T) {
	var p PauseDetector
	if got := p.Waited(50 * Second); got != 0 {
		t.Errorf("before the first tick: waited %d, want 0", got)
	}
	for now := Millis(100); now <= 5000; now += 100 {
		p.Tick(now)
		if got := p.Waited(now + 90); got != 0 {
			t.Fatalf("at %d: waited %d without a pause", now, got)
		}
	}
	if got := p.Waited(12_000); got != 7000 {
		t.Errorf("after a pause, before the next tick: waited %d, want 7000", got)
	}
	p.Tick(12_000)
	if got := p.Waited(12_100); got != 7000 {
		t.Errorf("just after a pause: waited %d, want 7000", got)
	}
	p.Tick(12_250)
	if got := p.Waited(12_250); got != 0 {
		t.Errorf("when all is read: waited %d, want 0", got)
	}
}
