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
	// coldPeriod is how long a target stays in the cold state, in milliseconds.
	coldPeriod = 5 * clock.Second
	// backoffResetAfter is how long a target must stay well before its next
	// ejection has the initial length again.
	backoffResetAfter = 2 * clock.Minute
)

// StateTracker derives a target's state from a detector's verdicts. Each ejection is
// twice as long as the one before, up to a maximum, unless the target stayed well
// in between. A flapping target therefore gets few requests. It is not safe for concurrent use.
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
	// sampleCount counts the samples since the target entered its state or its
	// ejection was last extended.
	sampleCount int
}

// NewStateTracker returns a tracker of a target that starts in the cold state.
func NewStateTracker(d Detector, now clock.Millis) *StateTracker {
	return &StateTracker{detector: d, state: ident.TargetCold, until: now + coldPeriod, nextEjection: initialEjection, enteredAt: now}
}

// State returns the target's state.
func (k *StateTracker) State() ident.TargetState { return k.state }

// Reason returns the reason of the last ejection; empty if there was none.
func (k *StateTracker) Reason() string { return k.reason }

// Observe adds one sample. While the target is sick, samples come from probes
// and from requests that it gets because of the service's floor.
func (k *StateTracker) Observe(s Sample) {
	k.sampleCount++
	k.detector.Observe(s)
}

// Update updates the state from the detector's verdict at the given time and
// reports whether the state changed.
func (k *StateTracker) Update(now clock.Millis, peers PeerSummary) bool {
	before := k.state
	v := k.detector.Evaluate(now, peers)
	switch k.state {
	case ident.TargetSick:
		k.endEjection(now, v)
	case ident.TargetCold:
		if v.Sick {
			k.eject(now, v)
		} else if now >= k.until {
			k.enter(now, ident.TargetWell, 0)
		}
	case ident.TargetWell:
		if v.Sick {
			k.eject(now, v)
		} else if now-k.enteredAt > backoffResetAfter {
			k.nextEjection = initialEjection
		}
	case ident.TargetDraining:
	}
	return k.state != before
}

// endEjection returns a target to service in the cold state when its ejection
// is over. If enough requests of that time show that the target is still sick,
// it extends the ejection instead.
func (k *StateTracker) endEjection(now clock.Millis, v Verdict) {
	if now < k.until {
		return
	}
	if v.Sick && k.sampleCount >= minSamples {
		k.until = now + k.nextEjection/2
		k.sampleCount = 0
		return
	}
	k.detector.Reset()
	k.enter(now, ident.TargetCold, now+coldPeriod)
}

func (k *StateTracker) eject(now clock.Millis, v Verdict) {
	k.reason = v.Reason
	k.enter(now, ident.TargetSick, now+k.nextEjection)
	k.nextEjection = min(2*k.nextEjection, maxEjection)
}

func (k *StateTracker) enter(now clock.Millis, s ident.TargetState, until clock.Millis) {
	k.state = s
	k.until = until
	k.enteredAt = now
	k.sampleCount = 0
}
