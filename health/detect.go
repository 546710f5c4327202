package health

import (
	"fmt"
	"math"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// consecutiveLimit is the number of consecutive failures from which the
	// naive detector reports a target as sick.
	consecutiveLimit = 5

	// WindowCount is the number of sliding windows of a target: 1 s, 5 s and
	// 60 s.
	WindowCount = 3
	// shortBucketSpan and shortBucketCount make a window of 1 s.
	shortBucketSpan  = 100 * clock.Millisecond
	shortBucketCount = 10
	// mediumBucketSpan and mediumBucketCount make a window of 5 s.
	mediumBucketSpan  = 500 * clock.Millisecond
	mediumBucketCount = 10
	// longBucketSpan and longBucketCount make a window of 60 s for targets with
	// little traffic.
	longBucketSpan  = 6 * clock.Second
	longBucketCount = 10
	// LongWindow is the length of the longest window, in milliseconds.
	LongWindow = longBucketSpan * longBucketCount
	// minSamples is the least number of samples for a verdict on latency, for
	// any verdict by the own baseline, and for extending an ejection.
	minSamples = 8
	// minFailures is the least number of failures for a verdict on errors.
	minFailures = 3
	// minDeviations is the number of standard deviations by which the failures
	// of a sick target must exceed the expected number.
	minDeviations = 4
	// minFailureRate is the least failure rate assumed of the peers. Without it,
	// peers with no failures would have a standard deviation of 0.
	minFailureRate = 0.01

	// successRateGap is how far a sick target's success rate must lie below
	// that of its peers, in thousandths.
	successRateGap = 200
	// slowFactor is how many times slower than its peers a sick target is.
	slowFactor = 3
	// slowMargin is added to the latency limit, in microseconds. Without it, a
	// difference of a few milliseconds between fast targets would count.
	slowMargin = ident.Micros(20_000)

	// baselineFactor is how many times slower than its own baseline a sick
	// target is.
	baselineFactor = 4
	// baselineInterval is the time between two updates of the baseline, in
	// milliseconds. Each update has a weight of 1/baselineSmoothing. The
	// baseline must change more slowly than any fault to be detected.
	baselineInterval  = clock.Second
	baselineSmoothing = 256
	// confirmDelay is how much newer than the first sign of a fault the peers'
	// statistics must be to confirm it, in milliseconds.
	confirmDelay = 500 * clock.Millisecond
	// recoveryPercent scales the limits on latency and failure rate for a target
	// that is already sick, in percent. This hysteresis keeps a target near a
	// threshold from flapping.
	recoveryPercent = 60
)

// ConsecutiveDetector is a naive detector. It reports a target as sick after five
// consecutive failures, until a request succeeds. It is not safe for concurrent use.
type ConsecutiveDetector struct {
	// run is the number of failures since the last success.
	run int
}

// NewConsecutiveDetector returns a detector without samples.
func NewConsecutiveDetector() *ConsecutiveDetector { return &ConsecutiveDetector{} }

// Observe implements Detector.
func (d *ConsecutiveDetector) Observe(s Sample) {
	switch {
	case s.Result.IsFailure():
		d.run++
	case s.Result == ResultOK:
		d.run = 0
	}
}

// Evaluate implements Detector.
func (d *ConsecutiveDetector) Evaluate(clock.Millis, PeerSummary) Verdict {
	if d.run >= consecutiveLimit {
		return Verdict{Sick: true, Reason: fmt.Sprintf("%d consecutive failures", d.run)}
	}
	return Verdict{}
}

// Reset implements Detector.
func (d *ConsecutiveDetector) Reset() { d.run = 0 }

// BaselineDetector detects a target that is much slower than its own baseline or
// fails more often than a fixed limit, with hysteresis. It uses the 5 s window. It
// is not safe for concurrent use.
type BaselineDetector struct {
	window *Window
	// baseline is the smoothed mean latency while the target is well, in
	// microseconds; 0 until it is known.
	baseline float64
	// updatedAt is when the baseline was last updated.
	updatedAt clock.Millis
	sick      bool
}

// NewBaselineDetector returns a detector without samples or a baseline.
func NewBaselineDetector() *BaselineDetector {
	return &BaselineDetector{window: NewWindow(mediumBucketSpan, mediumBucketCount)}
}

// Observe implements Detector.
func (d *BaselineDetector) Observe(s Sample) { d.window.Observe(s) }

// Evaluate implements Detector.
func (d *BaselineDetector) Evaluate(now clock.Millis, _ PeerSummary) Verdict {
	s := d.window.Stats(now)
	if s.Count < minSamples {
		return Verdict{Sick: d.sick}
	}
	limit := d.baseline*baselineFactor + float64(slowMargin)
	failLimit := uint32(successRateGap)
	if d.sick {
		limit = limit * recoveryPercent / 100
		failLimit = failLimit * recoveryPercent / 100
	}
	slow := d.baseline > 0 && float64(s.Latency) > limit
	failing := s.Failures >= minFailures && 1000-s.SuccessPerMille() > failLimit
	d.sick = slow || failing
	if d.sick {
		return Verdict{Sick: true, Reason: fmt.Sprintf("mean latency %d us, own baseline %.0f us; %d of %d requests failed",
			s.Latency, d.baseline, s.Failures, s.Count)}
	}
	if d.baseline == 0 {
		d.baseline = float64(s.Latency)
	}
	if now-d.updatedAt >= baselineInterval {
		d.updatedAt = now
		d.baseline += (float64(s.Latency) - d.baseline) / baselineSmoothing
	}
	return Verdict{}
}

// Reset implements Detector. The latency baseline stays.
func (d *BaselineDetector) Reset() {
	d.window.Reset()
	d.sick = false
}

// PeerDetector detects a target that is slower or fails more often than the
// other targets of its service. A fault of the whole service ejects no target.
// A short window gives a quick verdict and longer ones a reliable
// verdict with little traffic. Each window is compared with the same window of
// the peers.
//
// The peers' statistics are older than the target's own samples. A fault of the
// whole service shows in the samples before it shows in those statistics, so a
// sign of a fault counts only once the peers' statistics are newer than it.
//
// While no peer has enough samples, failures count but latency does not.
//
// PeerDetector is not safe for concurrent use.
type PeerDetector struct {
	// windows are ordered from the shortest to the longest.
	windows [WindowCount]*Window
	// faultSince is when each window began to show a fault; 0 for none.
	faultSince [WindowCount]clock.Millis
	sick       bool
}

// NewPeerDetector returns a detector without samples.
func NewPeerDetector() *PeerDetector {
	return &PeerDetector{windows: [WindowCount]*Window{
		NewWindow(shortBucketSpan, shortBucketCount), NewWindow(mediumBucketSpan, mediumBucketCount), NewWindow(longBucketSpan, longBucketCount),
	}}
}

// Observe implements Detector.
func (d *PeerDetector) Observe(s Sample) {
	for _, w := range d.windows {
		w.Observe(s)
	}
}

// Stats returns the statistics of all windows, to be sent to the peers.
func (d *PeerDetector) Stats(now clock.Millis) PeerStats {
	p := PeerStats{At: now}
	for i, w := range d.windows {
		p.Windows[i] = w.Stats(now)
	}
	return p
}

// Evaluate implements Detector.
func (d *PeerDetector) Evaluate(now clock.Millis, peers PeerSummary) Verdict {
	var v Verdict
	for i, w := range d.windows {
		summary := peers.Windows[i]
		found, reason := d.compareWithPeers(w.Stats(now), summary)
		if !found {
			d.faultSince[i] = 0
			continue
		}
		if d.faultSince[i] == 0 {
			d.faultSince[i] = max(now, 1)
		}
		if d.sick || isConfirmed(now, d.faultSince[i], summary, peers.At) {
			v = Verdict{Sick: true, Reason: reason}
			break
		}
	}
	d.sick = v.Sick
	return v
}

// isConfirmed reports whether the peers' statistics are recent enough to tell a
// fault of the target, seen first at faultSince, from one of the whole service.
// Without peers, the fault must last for confirmDelay.
func isConfirmed(now, faultSince clock.Millis, peers WindowSummary, peersAt clock.Millis) bool {
	if peers.Count == 0 {
		return now-faultSince >= confirmDelay
	}
	return peersAt >= faultSince+confirmDelay
}

// compareWithPeers reports whether one window shows a fault, and describes it.
func (d *PeerDetector) compareWithPeers(s Stats, peers WindowSummary) (found bool, reason string) {
	scale := 100
	if d.sick {
		scale = recoveryPercent
	}
	peerSuccess := uint32(1000)
	if peers.Count > 0 {
		peerSuccess = peers.SuccessPerMille
	}
	if exceedsFailureRate(s, peerSuccess, uint32(successRateGap*scale/100)) {
		return true, fmt.Sprintf("%d of %d requests failed; peers succeed in %d of 1000", s.Failures, s.Count, peerSuccess)
	}
	if peers.Count == 0 || s.Count < minSamples {
		return false, ""
	}
	limit := (peers.Latency*slowFactor + slowMargin) * ident.Micros(scale) / 100
	if s.Latency > limit {
		return true, fmt.Sprintf("mean latency %d us over %d requests; peers' median %d us", s.Latency, s.Count, peers.Latency)
	}
	return false, ""
}

// exceedsFailureRate reports whether the success rate lies below that of the
// peers by more than the gap, both in thousandths, and the failures are more
// than chance explains.
func exceedsFailureRate(s Stats, peerSuccess, gap uint32) bool {
	if s.Failures < minFailures || s.SuccessPerMille()+gap >= peerSuccess {
		return false
	}
	rate := max(float64(1000-peerSuccess)/1000, minFailureRate)
	n := float64(s.Count)
	return float64(s.Failures) > n*rate+minDeviations*math.Sqrt(n*rate*(1-rate))
}

// Reset implements Detector.
func (d *PeerDetector) Reset() {
	for _, w := range d.windows {
		w.Reset()
	}
	d.sick = false
	d.faultSince = [WindowCount]clock.Millis{}
}

// CombinedDetector reports a target as sick if it is worse than its peers. While no
// peer has enough samples in the 5 s window, a target is also sick if it fails too
// often or is much slower than its own baseline. It is not safe for concurrent use.
type CombinedDetector struct {
	peers    *PeerDetector
	baseline *BaselineDetector
}

// NewCombinedDetector returns a detector without samples.
func NewCombinedDetector() *CombinedDetector {
	return &CombinedDetector{peers: NewPeerDetector(), baseline: NewBaselineDetector()}
}

// Observe implements Detector.
func (d *CombinedDetector) Observe(s Sample) {
	d.peers.Observe(s)
	d.baseline.Observe(s)
}

// Stats returns the statistics of all windows, to be sent to the peers.
func (d *CombinedDetector) Stats(now clock.Millis) PeerStats { return d.peers.Stats(now) }

// Evaluate implements Detector.
func (d *CombinedDetector) Evaluate(now clock.Millis, peers PeerSummary) Verdict {
	fromPeers := d.peers.Evaluate(now, peers)
	fromBaseline := d.baseline.Evaluate(now, peers)
	if peers.Windows[1].Count == 0 && fromBaseline.Sick {
		return fromBaseline
	}
	return fromPeers
}

// Reset implements Detector.
func (d *CombinedDetector) Reset() {
	d.peers.Reset()
	d.baseline.Reset()
}
