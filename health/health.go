// Package health decides whether a target is sick from the results of its
// requests, and estimates the probability that it is in a failure episode. The
// guard of a target passes in samples of requests and statistics of the peers,
// the other targets of the service, and gets back verdicts, the target's state
// and the estimate. The package does no I/O.
package health

import (
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

//go:generate enumer -type=Result -transform=snake -trimprefix=Result -output=health_enumer.go

// Result is how one request at a target ended.
type Result int

// Results of a request.
const (
	// ResultOK is a complete response without a server error.
	ResultOK Result = iota
	// ResultError is a server error or a refused connection.
	ResultError
	// ResultHalf is a response that broke off or was shorter than declared.
	ResultHalf
	// ResultTimeout is a request without a response in time.
	ResultTimeout
	// ResultCanceled is a request whose result gives no evidence about the
	// target, for example because its caller disconnected.
	ResultCanceled
)

// IsFailure reports whether the result counts as a failure of the target.
func (r Result) IsFailure() bool {
	return r == ResultError || r == ResultHalf || r == ResultTimeout
}

// Sample is the result of one request at a target.
type Sample struct {
	// At is when the request ended, in milliseconds.
	At     clock.Millis
	Result Result
	// Latency is in microseconds.
	Latency ident.Micros
}

// WindowSummary holds medians over the other targets of a service for one window;
// of an even number of targets, the higher middle value. The zero value means that
// no target has enough samples.
type WindowSummary struct {
	// Count is the number of targets with at least MinPeerSamples samples.
	Count int
	// Latency is the median of their mean latencies, in microseconds.
	Latency ident.Micros
	// SuccessPerMille is the median of their success rates, in thousandths.
	SuccessPerMille uint32
}

// PeerSummary summarises the statistics of the other targets of a service. The zero
// value means that there are none.
type PeerSummary struct {
	// At is the median time of the peers' statistics, in milliseconds.
	At clock.Millis
	// Windows holds the summaries of the 1 s, 5 s and 60 s windows, in this
	// order.
	Windows [WindowCount]WindowSummary
}

// PeerStats holds the statistics of one target.
type PeerStats struct {
	// At is the time of the statistics, in milliseconds.
	At clock.Millis
	// Windows holds the statistics of the 1 s, 5 s and 60 s windows, in this
	// order.
	Windows [WindowCount]Stats
}

// Verdict is a detector's decision about a target.
type Verdict struct {
	Sick bool
	// Reason describes the fault in text for logs; it may be empty.
	Reason string
}

// Detector decides whether one target is sick. Implementations need not be safe
// for concurrent use.
type Detector interface {
	// Observe adds one sample.
	Observe(s Sample)
	// Evaluate returns the verdict at the given time. peers may be the zero value:
	// there are no statistics of other targets.
	Evaluate(now clock.Millis, peers PeerSummary) Verdict
	// Reset discards all samples, for a target that returns to service.
	Reset()
}

// Window counts the samples of a sliding time window in a ring of buckets of
// equal length. It is not safe for concurrent use.
type Window struct {
	// span is the length of one bucket, in milliseconds.
	span    clock.Millis
	buckets []bucket
}

type bucket struct {
	// start is when the bucket's time span began; -1 if it is unused.
	start    clock.Millis
	count    int
	failures int
	// latency is the sum over all samples, in microseconds. It includes the time
	// waited for requests that timed out. Otherwise a target that never
	// responds would look fast.
	latency ident.Micros
}

// NewWindow returns an empty window of n buckets, each span milliseconds long.
func NewWindow(span clock.Millis, n int) *Window {
	w := &Window{span: span, buckets: make([]bucket, n)}
	w.Reset()
	return w
}

// Reset discards all samples.
func (w *Window) Reset() {
	for i := range w.buckets {
		w.buckets[i] = bucket{start: -1}
	}
}

// Observe adds one sample. It ignores canceled requests.
func (w *Window) Observe(s Sample) {
	if s.Result == ResultCanceled {
		return
	}
	start := s.At - s.At%w.span
	b := &w.buckets[int(s.At/w.span)%len(w.buckets)]
	if b.start != start {
		*b = bucket{start: start}
	}
	b.count++
	if s.Result.IsFailure() {
		b.failures++
	}
	b.latency += s.Latency
}

// Stats holds the counts and the mean latency of a window.
type Stats struct {
	Count    int
	Failures int
	// Latency is the mean over all samples, in microseconds; 0 if there are none.
	Latency ident.Micros
}

// SuccessPerMille returns the success rate in thousandths; 1000 if there are no
// samples.
func (s Stats) SuccessPerMille() uint32 {
	if s.Count == 0 {
		return 1000
	}
	return uint32((s.Count - s.Failures) * 1000 / s.Count)
}

// Stats returns the totals of the buckets that lie within the window at the given
// time.
func (w *Window) Stats(now clock.Millis) Stats {
	var s Stats
	var total ident.Micros
	oldest := now - now%w.span - w.span*clock.Millis(len(w.buckets)-1)
	for _, b := range w.buckets {
		if b.start < oldest || b.start > now {
			continue
		}
		s.Count += b.count
		s.Failures += b.failures
		total += b.latency
	}
	if s.Count > 0 {
		s.Latency = total / ident.Micros(s.Count)
	}
	return s
}

// MinPeerSamples is the least number of samples in a window for a peer to be
// included in the summary.
const MinPeerSamples = 5

// Summarise returns the medians over the given targets. It returns the zero
// value for an empty list.
func Summarise(list []PeerStats) PeerSummary {
	if len(list) == 0 {
		return PeerSummary{}
	}
	times := make([]clock.Millis, 0, len(list))
	for _, p := range list {
		times = append(times, p.At)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	out := PeerSummary{At: times[len(times)/2]}
	for w := range out.Windows {
		out.Windows[w] = summariseWindow(list, w)
	}
	return out
}

// summariseWindow returns the medians for one window, given by its index.
func summariseWindow(list []PeerStats, window int) WindowSummary {
	var latencies []ident.Micros
	var successes []uint32
	for _, p := range list {
		s := p.Windows[window]
		if s.Count < MinPeerSamples {
			continue
		}
		latencies = append(latencies, s.Latency)
		successes = append(successes, s.SuccessPerMille())
	}
	if len(latencies) == 0 {
		return WindowSummary{}
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	sort.Slice(successes, func(i, j int) bool { return successes[i] < successes[j] })
	mid := len(latencies) / 2
	return WindowSummary{Count: len(latencies), Latency: latencies[mid], SuccessPerMille: successes[mid]}
}
