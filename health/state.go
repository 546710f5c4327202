package health

import (
	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// initialEjection is the length of the first ejection, in milliseconds.
	initialEjection = 3 * clock.Second
	// maxEjection bounds the length of an ejection, in milliseconds.
	maxEjection = 60 * clock.Second
	// coldPeriod is how long a new or returning target stays in the cold state, in
	// milliseconds. Picker.Pick sends fewer requests to a cold target.
	coldPeriod = 5 * clock.Second
	// backoffResetAfter is how long a target must stay well before its next
	// ejection has the initial length again, in milliseconds.
	backoffResetAfter = 2 * clock.Minute
)

// StateTracker derives a target's state from a detector's verdicts. Each ejection is
// twice as long as the one before, up to a maximum, unless the target stayed well
// in between. A flapping target therefore gets few requests. StateTracker is not
// safe for concurrent use.
type StateTracker struct {
	detector Detector
	state    ident.TargetState
	// until is when the ejection or the cold period ends.
	until clock.Millis
	// nextEjection is the length of the next ejection.
	nextEjection clock.Millis
	// enteredAt is when the target entered its state.
	enteredAt clock.Millis
	reason    string
	// sampleCount counts the samples, those of canceled requests included, since
	// the target entered its state or its ejection was last extended.
	sampleCount int
}

// NewStateTracker returns a tracker of a target that starts in the cold state.
func NewStateTracker(d Detector, now clock.Millis) *StateTracker {
	return &StateTracker{detector: d, state: ident.TargetCold, until: now + coldPeriod, nextEjection: initialEjection, enteredAt: now}
}

// State returns the target's state.
func (t *StateTracker) State() ident.TargetState { return t.state }

// Reason returns the reason of the last ejection; empty if there was none.
func (t *StateTracker) Reason() string { return t.reason }

// Observe adds one sample. While the target is sick, samples come from probes
// and from requests that it gets because of the service's floor.
func (t *StateTracker) Observe(s Sample) {
	t.sampleCount++
	t.detector.Observe(s)
}

// Update updates the state from the detector's verdict at the given time and
// reports whether the state changed.
func (t *StateTracker) Update(now clock.Millis, peers PeerSummary) bool {
	before := t.state
	v := t.detector.Evaluate(now, peers)
	switch t.state {
	case ident.TargetSick:
		t.endEjection(now, v)
	case ident.TargetCold:
		if v.Sick {
			t.eject(now, v)
		} else if now >= t.until {
			t.enter(now, ident.TargetWell, 0)
		}
	case ident.TargetWell:
		if v.Sick {
			t.eject(now, v)
		} else if now-t.enteredAt > backoffResetAfter {
			t.nextEjection = initialEjection
		}
	case ident.TargetDraining:
	}
	return t.state != before
}

// endEjection returns a target to service in the cold state when its ejection
// is over. If enough requests of that time show that the target is still sick,
// it extends the ejection instead, by half of the length of the next one.
func (t *StateTracker) endEjection(now clock.Millis, v Verdict) {
	if now < t.until {
		return
	}
	if v.Sick && t.sampleCount >= minSamples {
		t.until = now + t.nextEjection/2
		t.sampleCount = 0
		return
	}
	t.detector.Reset()
	t.enter(now, ident.TargetCold, now+coldPeriod)
}

func (t *StateTracker) eject(now clock.Millis, v Verdict) {
	t.reason = v.Reason
	t.enter(now, ident.TargetSick, now+t.nextEjection)
	t.nextEjection = min(2*t.nextEjection, maxEjection)
}

func (t *StateTracker) enter(now clock.Millis, s ident.TargetState, until clock.Millis) {
	t.state = s
	t.until = until
	t.enteredAt = now
	t.sampleCount = 0
}
