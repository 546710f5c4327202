package health

import (
	"fmt"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// consecutiveLimit is the run of failures that the naive detector allows.
	consecutiveLimit = 5

	// windowSpan and windowCells make a window of 5 s.
	windowSpan  = 500 * clock.Millisecond
	windowCells = 10
	// longSpan and longCells make a window of 60 s for targets with little
	// traffic.
	longSpan  = 6 * clock.Second
	longCells = 10
	// minSamples is the least number of samples for a verdict.
	minSamples = 8
	// minFailures is the least number of failures for a verdict on errors.
	minFailures = 3

	// successGap is how far, in thousandths, a sick target's success rate
	// lies under its peers'.
	successGap = 200
	// slowFactor is how many times slower than its peers a sick target is.
	slowFactor = 3
	// slowSlack is added to the peers' latency, so that a difference of a few
	// milliseconds between fast targets does not count.
	slowSlack = ident.Micros(20_000)

	// pastFactor is how many times slower than its own past a sick target is.
	pastFactor = 4
	// pastPart smooths the own past: each judgement in health counts one part
	// in pastPart.
	pastPart = 64
	// strikes is how many judgements in a row must agree before a target with
	// doubtful signs is called sick.
	strikes = 2
	// recovery is the part of a threshold, in hundredths, under which a sick
	// target must come to be well again.
	recovery = 60
)

// Consecutive is the naive detector: a run of failures makes a target sick,
// one success makes it well.
type Consecutive struct {
	run int
}

// NewConsecutive returns a Consecutive.
func NewConsecutive() *Consecutive { return &Consecutive{} }

// Observe implements Detector.
func (d *Consecutive) Observe(s Sample) {
	switch {
	case s.Result.IsFailure():
		d.run++
	case s.Result == ResultOK:
		d.run = 0
	}
}

// Judge implements Detector.
func (d *Consecutive) Judge(clock.Millis, Peers) Verdict {
	if d.run >= consecutiveLimit {
		return Verdict{Sick: true, Reason: fmt.Sprintf("%d failures in a row", d.run)}
	}
	return Verdict{}
}

// Reset implements Detector.
func (d *Consecutive) Reset() { d.run = 0 }

// OwnPast compares a target with its own past, with hysteresis.
type OwnPast struct {
	window *Window
	// past is the smoothed latency of healthy times; 0 until known.
	past float64
	sick bool
}

// NewOwnPast returns an OwnPast.
func NewOwnPast() *OwnPast {
	return &OwnPast{window: NewWindow(windowSpan, windowCells)}
}

// Observe implements Detector.
func (d *OwnPast) Observe(s Sample) { d.window.Observe(s) }

// Judge implements Detector.
func (d *OwnPast) Judge(now clock.Millis, _ Peers) Verdict {
	s := d.window.Stats(now)
	if s.Count < minSamples {
		return Verdict{Sick: d.sick}
	}
	limit := d.past*pastFactor + float64(slowSlack)
	failLimit := uint32(successGap)
	if d.sick {
		limit = limit * recovery / 100
		failLimit = failLimit * recovery / 100
	}
	slow := d.past > 0 && float64(s.Latency) > limit
	failing := s.Failures >= minFailures && 1000-s.SuccessPermill() > failLimit
	d.sick = slow || failing
	if d.sick {
		return Verdict{Sick: true, Reason: fmt.Sprintf("mean latency %d us against %.0f us before, %d of %d failed",
			s.Latency, d.past, s.Failures, s.Count)}
	}
	if d.past == 0 {
		d.past = float64(s.Latency)
	}
	d.past += (float64(s.Latency) - d.past) / pastPart
	return Verdict{}
}

// Reset implements Detector. The past of healthy times stays.
func (d *OwnPast) Reset() {
	d.window.Reset()
	d.sick = false
}

// AgainstPeers compares a target with the other targets of its service. What
// all of them suffer is not held against one. With little traffic it uses a
// longer window; while no peer has samples it holds failures, but no slowness,
// against the target.
type AgainstPeers struct {
	short *Window
	long  *Window
	sick  bool
	// signs counts the judgements in a row that found the target sick.
	signs int
}

// NewAgainstPeers returns an AgainstPeers.
func NewAgainstPeers() *AgainstPeers {
	return &AgainstPeers{short: NewWindow(windowSpan, windowCells), long: NewWindow(longSpan, longCells)}
}

// Observe implements Detector.
func (d *AgainstPeers) Observe(s Sample) {
	d.short.Observe(s)
	d.long.Observe(s)
}

// Stats returns the recent statistics, for the peers' vitals.
func (d *AgainstPeers) Stats(now clock.Millis) Stats {
	s := d.short.Stats(now)
	if s.Count < minSamples {
		s = d.long.Stats(now)
	}
	return s
}

// Judge implements Detector.
func (d *AgainstPeers) Judge(now clock.Millis, peers Peers) Verdict {
	s := d.Stats(now)
	found, reason := d.compare(s, peers)
	if !found {
		d.signs = 0
		d.sick = false
		return Verdict{}
	}
	d.signs++
	if d.sick || d.signs >= strikes {
		d.sick = true
		return Verdict{Sick: true, Reason: reason}
	}
	return Verdict{}
}

func (d *AgainstPeers) compare(s Stats, peers Peers) (found bool, reason string) {
	scale := 100
	if d.sick {
		scale = recovery
	}
	usual := uint32(1000)
	if peers.Count > 0 {
		usual = peers.SuccessPermill
	}
	gap := uint32(successGap * scale / 100)
	if s.Failures >= minFailures && s.SuccessPermill()+gap < usual {
		return true, fmt.Sprintf("%d of %d failed; peers succeed %d in 1000", s.Failures, s.Count, usual)
	}
	if peers.Count == 0 || s.Count < minSamples {
		return false, ""
	}
	limit := (peers.Latency*slowFactor + slowSlack) * ident.Micros(scale) / 100
	if s.Latency > limit {
		return true, fmt.Sprintf("mean latency %d us over %d requests; peers take %d us", s.Latency, s.Count, peers.Latency)
	}
	return false, ""
}

// Reset implements Detector.
func (d *AgainstPeers) Reset() {
	d.short.Reset()
	d.long.Reset()
	d.sick = false
	d.signs = 0
}

// Combined calls a target sick when it stands out against its peers, or when
// it has no peers to compare with and fails or slows down against its own
// past.
type Combined struct {
	peers *AgainstPeers
	past  *OwnPast
}

// NewCombined returns a Combined.
func NewCombined() *Combined {
	return &Combined{peers: NewAgainstPeers(), past: NewOwnPast()}
}

// Observe implements Detector.
func (d *Combined) Observe(s Sample) {
	d.peers.Observe(s)
	d.past.Observe(s)
}

// Stats returns the recent statistics, for the peers' vitals.
func (d *Combined) Stats(now clock.Millis) Stats { return d.peers.Stats(now) }

// Judge implements Detector.
func (d *Combined) Judge(now clock.Millis, peers Peers) Verdict {
	against := d.peers.Judge(now, peers)
	past := d.past.Judge(now, peers)
	if peers.Count == 0 && past.Sick {
		return past
	}
	return against
}

// Reset implements Detector.
func (d *Combined) Reset() {
	d.peers.Reset()
	d.past.Reset()
}
