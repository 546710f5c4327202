package health

import (
	"fmt"
	"math"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// consecutiveLimit is the run of failures that the naive detector allows.
	consecutiveLimit = 5

	// WindowCount is the number of windows that are looked at: 1 s, 5 s and
	// 60 s.
	WindowCount = 3
	// quickSpan and quickCells make a window of 1 s.
	quickSpan  = 100 * clock.Millisecond
	quickCells = 10
	// windowSpan and windowCells make a window of 5 s.
	windowSpan  = 500 * clock.Millisecond
	windowCells = 10
	// longSpan and longCells make a window of 60 s for targets with little
	// traffic.
	longSpan  = 6 * clock.Second
	longCells = 10
	// LongWindow is the length of the longer window.
	LongWindow = longSpan * longCells
	// minSamples is the least number of samples for a verdict.
	minSamples = 8
	// minFailures is the least number of failures for a verdict on errors.
	minFailures = 3
	// deviations is how many standard deviations above the expected number
	// the failures of a sick target lie.
	deviations = 4
	// leastFailureRate keeps a service without failures comparable.
	leastFailureRate = 0.01

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
	// pastEvery is the time between two updates of the own past, in
	// milliseconds, and pastPart smooths it: each update counts one part in
	// pastPart. The past must change more slowly than any fault to be found.
	pastEvery = clock.Second
	pastPart  = 256
	// confirmAfter is how much newer than a sign of sickness the peers'
	// summaries must be, in milliseconds.
	confirmAfter = 500 * clock.Millisecond
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
	// updated is when the past was last updated.
	updated clock.Millis
	sick    bool
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
	if now-d.updated >= pastEvery {
		d.updated = now
		d.past += (float64(s.Latency) - d.past) / pastPart
	}
	return Verdict{}
}

// Reset implements Detector. The past of healthy times stays.
func (d *OwnPast) Reset() {
	d.window.Reset()
	d.sick = false
}

// AgainstPeers compares a target with the other targets of its service. What
// all of them suffer is not held against one. It looks at a short window to be
// quick, and at longer ones to be sure with little traffic, and compares each
// with the same window of its peers.
//
// The peers' summaries are older than the target's own samples. A fault that
// befalls the whole service is seen here before it is seen in the summaries,
// so a sign counts only once the summaries were taken after it showed.
//
// While no peer has samples, failures but not slowness count.
type AgainstPeers struct {
	// windows are ordered from the shortest to the longest.
	windows [WindowCount]*Window
	// signs holds since when each window shows a fault; 0 for none.
	signs [WindowCount]clock.Millis
	sick  bool
}

// NewAgainstPeers returns an AgainstPeers.
func NewAgainstPeers() *AgainstPeers {
	return &AgainstPeers{windows: [WindowCount]*Window{
		NewWindow(quickSpan, quickCells), NewWindow(windowSpan, windowCells), NewWindow(longSpan, longCells),
	}}
}

// Observe implements Detector.
func (d *AgainstPeers) Observe(s Sample) {
	for _, w := range d.windows {
		w.Observe(s)
	}
}

// Stats returns the recent statistics, for the peers.
func (d *AgainstPeers) Stats(now clock.Millis) PeerStats {
	p := PeerStats{At: now}
	for i, w := range d.windows {
		p.Windows[i] = w.Stats(now)
	}
	return p
}

// Judge implements Detector.
func (d *AgainstPeers) Judge(now clock.Millis, peers Peers) Verdict {
	var v Verdict
	for i, w := range d.windows {
		usual := peers.Windows[i]
		found, reason := d.compare(w.Stats(now), usual)
		if !found {
			d.signs[i] = 0
			continue
		}
		if d.signs[i] == 0 {
			d.signs[i] = max(now, 1)
		}
		if d.sick || isConfirmed(now, d.signs[i], usual, peers.At) {
			v = Verdict{Sick: true, Reason: reason}
			break
		}
	}
	d.sick = v.Sick
	return v
}

// isConfirmed reports whether a sign is older than what the peers told.
func isConfirmed(now, sign clock.Millis, usual Summary, told clock.Millis) bool {
	if usual.Count == 0 {
		return now-sign >= confirmAfter
	}
	return told >= sign+confirmAfter
}

func (d *AgainstPeers) compare(s Stats, usual Summary) (found bool, reason string) {
	scale := 100
	if d.sick {
		scale = recovery
	}
	success := uint32(1000)
	if usual.Count > 0 {
		success = usual.SuccessPermill
	}
	if failsMore(s, success, uint32(successGap*scale/100)) {
		return true, fmt.Sprintf("%d of %d failed; peers succeed %d in 1000", s.Failures, s.Count, success)
	}
	if usual.Count == 0 || s.Count < minSamples {
		return false, ""
	}
	limit := (usual.Latency*slowFactor + slowSlack) * ident.Micros(scale) / 100
	if s.Latency > limit {
		return true, fmt.Sprintf("mean latency %d us over %d requests; peers take %d us", s.Latency, s.Count, usual.Latency)
	}
	return false, ""
}

// failsMore reports whether the failures exceed the usual rate both by the
// gap and by more than chance explains.
func failsMore(s Stats, usual, gap uint32) bool {
	if s.Failures < minFailures || s.SuccessPermill()+gap >= usual {
		return false
	}
	rate := max(float64(1000-usual)/1000, leastFailureRate)
	n := float64(s.Count)
	return float64(s.Failures) > n*rate+deviations*math.Sqrt(n*rate*(1-rate))
}

// Reset implements Detector.
func (d *AgainstPeers) Reset() {
	for _, w := range d.windows {
		w.Reset()
	}
	d.sick = false
	d.signs = [WindowCount]clock.Millis{}
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

// Stats returns the recent statistics, for the peers.
func (d *Combined) Stats(now clock.Millis) PeerStats { return d.peers.Stats(now) }

// Judge implements Detector.
func (d *Combined) Judge(now clock.Millis, peers Peers) Verdict {
	against := d.peers.Judge(now, peers)
	past := d.past.Judge(now, peers)
	if peers.Windows[1].Count == 0 && past.Sick {
		return past
	}
	return against
}

// Reset implements Detector.
func (d *Combined) Reset() {
	d.peers.Reset()
	d.past.Reset()
}
