// Package health judges targets from the full statistics of their guard. A
// Detector takes samples of requests and, at regular times, gives a verdict.
// The package does no I/O.
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
	// ResultOK is a whole answer without a server error.
	ResultOK Result = iota
	// ResultError is a server error or a refused connection.
	ResultError
	// ResultHalf is an answer that broke off or was shorter than declared.
	ResultHalf
	// ResultTimeout is a request without an answer in time.
	ResultTimeout
	// ResultCanceled is a request whose caller went away; it says nothing
	// about the target.
	ResultCanceled
)

// IsFailure reports whether the result speaks against the target.
func (r Result) IsFailure() bool {
	return r == ResultError || r == ResultHalf || r == ResultTimeout
}

// Sample is one request at a target.
type Sample struct {
	At      clock.Millis
	Result  Result
	Latency ident.Micros
}

// Summary is the median of the other targets of a service.
type Summary struct {
	// Count is the number of targets with enough samples.
	Count int
	// Latency is the median of their mean latencies.
	Latency ident.Micros
	// SuccessPermill is the median of their success rates, in thousandths.
	SuccessPermill uint32
}

// Peers tells how the other targets of the service fare.
type Peers struct {
	// At is when the summaries were taken: the median of the peers.
	At clock.Millis
	// Windows summarise the 1 s, 5 s and 60 s windows.
	Windows [WindowCount]Summary
}

// PeerStats are one peer's statistics as it told them.
type PeerStats struct {
	At clock.Millis
	// Windows are the counts of the 1 s, 5 s and 60 s windows.
	Windows [WindowCount]Stats
}

// Verdict is a detector's word on a target.
type Verdict struct {
	Sick   bool
	Reason string
}

// Detector judges one target.
type Detector interface {
	// Observe takes in one sample.
	Observe(s Sample)
	// Judge gives the verdict at a time.
	Judge(now clock.Millis, peers Peers) Verdict
	// Reset forgets all samples, for a target that gets another try.
	Reset()
}

// Window counts the samples of the recent past in a ring of equal spans.
type Window struct {
	span  clock.Millis
	cells []cell
}

type cell struct {
	// start is the time at which the cell's span began.
	start    clock.Millis
	count    int
	failures int
	// latency is the sum over all samples. A time-out counts with the time
	// waited, else a target that answers nothing would look fast.
	latency ident.Micros
}

// NewWindow returns a window of n spans.
func NewWindow(span clock.Millis, n int) *Window {
	w := &Window{span: span, cells: make([]cell, n)}
	w.Reset()
	return w
}

// Reset forgets all samples.
func (w *Window) Reset() {
	for i := range w.cells {
		w.cells[i] = cell{start: -1}
	}
}

// Observe counts one sample.
func (w *Window) Observe(s Sample) {
	if s.Result == ResultCanceled {
		return
	}
	start := s.At - s.At%w.span
	c := &w.cells[int(s.At/w.span)%len(w.cells)]
	if c.start != start {
		*c = cell{start: start}
	}
	c.count++
	if s.Result.IsFailure() {
		c.failures++
	}
	c.latency += s.Latency
}

// Stats are the counts of a window.
type Stats struct {
	Count    int
	Failures int
	// Latency is the mean, in microseconds.
	Latency ident.Micros
}

// SuccessPermill returns the success rate in thousandths.
func (s Stats) SuccessPermill() uint32 {
	if s.Count == 0 {
		return 1000
	}
	return uint32((s.Count - s.Failures) * 1000 / s.Count)
}

// Stats sums the cells that are not older than the window.
func (w *Window) Stats(now clock.Millis) Stats {
	var s Stats
	var total ident.Micros
	oldest := now - now%w.span - w.span*clock.Millis(len(w.cells)-1)
	for _, c := range w.cells {
		if c.start < oldest || c.start > now {
			continue
		}
		s.Count += c.count
		s.Failures += c.failures
		total += c.latency
	}
	if s.Count > 0 {
		s.Latency = total / ident.Micros(s.Count)
	}
	return s
}

// MinPeerSamples is the least number of samples of a peer that counts.
const MinPeerSamples = 5

// Summarise makes the summary of peers that a detector compares with.
func Summarise(list []PeerStats) Peers {
	if len(list) == 0 {
		return Peers{}
	}
	times := make([]clock.Millis, 0, len(list))
	for _, p := range list {
		times = append(times, p.At)
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	out := Peers{At: times[len(times)/2]}
	for w := range out.Windows {
		out.Windows[w] = summary(list, w)
	}
	return out
}

func summary(list []PeerStats, window int) Summary {
	var latencies []ident.Micros
	var successes []uint32
	for _, p := range list {
		s := p.Windows[window]
		if s.Count < MinPeerSamples {
			continue
		}
		latencies = append(latencies, s.Latency)
		successes = append(successes, s.SuccessPermill())
	}
	if len(latencies) == 0 {
		return Summary{}
	}
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	sort.Slice(successes, func(i, j int) bool { return successes[i] < successes[j] })
	mid := len(latencies) / 2
	return Summary{Count: len(latencies), Latency: latencies[mid], SuccessPermill: successes[mid]}
}
