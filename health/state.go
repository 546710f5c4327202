package health

import (
	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// firstHold is the first time out of service, in milliseconds.
	firstHold = 3 * clock.Second
	// maxHold bounds the time out of service, in milliseconds.
	maxHold = 60 * clock.Second
	// coldFor is the time over which a returning target's share grows.
	coldFor = 5 * clock.Second
	// calmFor is the time in health after which the hold starts anew.
	calmFor = 2 * clock.Minute
)

// Keeper turns a detector's verdicts into a target's state. A target that
// turns sick again soon after its return stays out twice as long, so that a
// flapping one costs little.
type Keeper struct {
	detector Detector
	state    ident.TargetState
	// until is when the hold or the cold time ends.
	until  clock.Millis
	hold   clock.Millis
	since  clock.Millis
	reason string
	// fresh counts the samples of the current hold.
	fresh int
}

// NewKeeper returns a keeper of a target that starts cold.
func NewKeeper(d Detector, now clock.Millis) *Keeper {
	return &Keeper{detector: d, state: ident.TargetCold, until: now + coldFor, hold: firstHold, since: now}
}

// State returns the target's state.
func (k *Keeper) State() ident.TargetState { return k.state }

// Reason returns why the target was last called sick.
func (k *Keeper) Reason() string { return k.reason }

// Observe takes in one sample. While the target is sick, samples come from
// probes and from requests that keep the floor.
func (k *Keeper) Observe(s Sample) {
	k.fresh++
	k.detector.Observe(s)
}

// Judge moves the state on and reports whether it changed.
func (k *Keeper) Judge(now clock.Millis, peers Peers) bool {
	before := k.state
	v := k.detector.Judge(now, peers)
	switch k.state {
	case ident.TargetSick:
		k.endHold(now, v)
	case ident.TargetCold:
		if v.Sick {
			k.eject(now, v)
		} else if now >= k.until {
			k.enter(now, ident.TargetWell, 0)
		}
	case ident.TargetWell:
		if v.Sick {
			k.eject(now, v)
		} else if now-k.since > calmFor {
			k.hold = firstHold
		}
	case ident.TargetDraining:
	}
	return k.state != before
}

// endHold gives a sick target another try, unless the requests that it got
// meanwhile show that it is still sick.
func (k *Keeper) endHold(now clock.Millis, v Verdict) {
	if now < k.until {
		return
	}
	if v.Sick && k.fresh >= minSamples {
		k.until = now + k.hold/2
		k.fresh = 0
		return
	}
	k.detector.Reset()
	k.enter(now, ident.TargetCold, now+coldFor)
}

func (k *Keeper) eject(now clock.Millis, v Verdict) {
	k.reason = v.Reason
	k.enter(now, ident.TargetSick, now+k.hold)
	k.hold = min(2*k.hold, maxHold)
}

func (k *Keeper) enter(now clock.Millis, s ident.TargetState, until clock.Millis) {
	k.state = s
	k.until = until
	k.since = now
	k.fresh = 0
}
