package limit

import (
	"math"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// coldSpan is the length of the window in which the requests to a cold target are
// bounded, in milliseconds.
const coldSpan = clock.Second

// ColdWindow counts the requests of the last second to one target. Times are whole
// milliseconds, so two requests are counted together if their times differ by up to
// coldSpan: they may be less than a second apart. It is not safe for concurrent use.
type ColdWindow struct {
	// counts is a ring of the times of the requests, the oldest at first.
	counts      []coldCount
	first, size int
	// total is the sum of counts.
	total int
	// unknownBefore is the time before which requests may have been sent that are not
	// counted.
	unknownBefore clock.Millis
}

// coldCount is the number of requests at one time.
type coldCount struct {
	at clock.Millis
	n  int
}

// NewColdWindow returns a window that has no record of the time before unknownBefore:
// that time counts as full.
func NewColdWindow(unknownBefore clock.Millis) *ColdWindow {
	return &ColdWindow{unknownBefore: unknownBefore}
}

// Admit counts a request and reports true if fewer than limit requests are in the
// window, and no time without a record.
func (w *ColdWindow) Admit(now clock.Millis, limit int) bool {
	if w.IsUnknown(now) || w.Used(now) >= limit {
		return false
	}
	w.Add(now)
	return true
}

// Add counts a request without a limit.
func (w *ColdWindow) Add(now clock.Millis) {
	w.drop(now)
	w.total++
	if w.size > 0 {
		if last := w.at(w.size - 1); last.at >= now {
			last.n++
			return
		}
	}
	if w.size == len(w.counts) {
		w.grow()
	}
	w.size++
	*w.at(w.size - 1) = coldCount{at: now, n: 1}
}

// Used returns the number of requests in the window.
func (w *ColdWindow) Used(now clock.Millis) int {
	w.drop(now)
	return w.total
}

// IsUnknown reports whether the window includes time without a record.
func (w *ColdWindow) IsUnknown(now clock.Millis) bool { return now-w.unknownBefore <= coldSpan }

// Since returns the number of requests in the window that were counted after a time.
func (w *ColdWindow) Since(now, after clock.Millis) int {
	w.drop(now)
	n := 0
	for i := w.size - 1; i >= 0 && w.at(i).at > after; i-- {
		n += w.at(i).n
	}
	return n
}

// Wait returns how long it takes until Admit succeeds if no other request is counted, in
// milliseconds. A limit of 0 counts as 1.
func (w *ColdWindow) Wait(now clock.Millis, limit int) clock.Millis {
	w.drop(now)
	wait := max(w.unknownBefore+coldSpan+1-now, 0)
	left := w.total
	for i := 0; i < w.size && left >= max(limit, 1); i++ {
		left -= w.at(i).n
		wait = max(wait, w.at(i).at+coldSpan+1-now)
	}
	return wait
}

// at returns the i-th oldest count.
func (w *ColdWindow) at(i int) *coldCount { return &w.counts[(w.first+i)%len(w.counts)] }

// drop removes the counts that have left the window.
func (w *ColdWindow) drop(now clock.Millis) {
	for w.size > 0 && now-w.at(0).at > coldSpan {
		w.total -= w.at(0).n
		w.first = (w.first + 1) % len(w.counts)
		w.size--
	}
}

// grow doubles the ring. It holds one count for each millisecond of the window at most.
func (w *ColdWindow) grow() {
	const initialSize = 16
	counts := make([]coldCount, max(2*len(w.counts), initialSize))
	for i := range w.size {
		counts[i] = *w.at(i)
	}
	w.counts, w.first = counts, 0
}

// ColdLimit returns the number of requests that a cold target may get in one second: its
// rate times overshoot. The slack is for requests that arrive closer together than they
// were sent; it is used only if the limit would be 0.
func ColdLimit(rate uint32, overshoot, slack float64) int {
	limit := float64(rate) * overshoot
	if rate > 0 && limit < 1 && limit+slack >= 1 {
		return 1
	}
	return int(min(limit, math.MaxInt32))
}

// ColdShare returns the part of a cold target's limit that requests of a priority may
// use: urgent and high ones use all of it, normal ones 3/4 and low ones 1/2. While there
// is a limit, each priority may use at least one request.
func ColdShare(limit int, p ident.Priority) int {
	share := limit
	switch {
	case p >= ident.PriorityHigh:
	case p == ident.PriorityNormal:
		share = limit * 3 / 4
	default:
		share = limit / 2
	}
	return max(share, min(limit, 1))
}

// ColdService describes a service of which some targets are cold.
type ColdService struct {
	// Targets is the number of targets, Cold the number of those that are cold.
	Targets, Cold int
	// Limit is the limit of a cold target, in requests per second, and WarmRate the
	// rate that a warm target takes.
	Limit    int
	WarmRate float64
}

// Rate returns the rate of requests that the service takes before it refuses those of a
// priority, in requests per second of all priorities together.
func (s ColdService) Rate(p ident.Priority) float64 {
	return float64(s.Cold)*float64(ColdShare(s.Limit, p)) + float64(s.Targets-s.Cold)*s.WarmRate
}

// Served returns the rates that the service serves of a demand, both in requests per
// second by priority. The least urgent requests are refused first.
func (s ColdService) Served(demand [ident.PriorityUrgent + 1]float64) (served [ident.PriorityUrgent + 1]float64) {
	total := 0.0
	for p := ident.PriorityUrgent; p >= 0; p-- {
		served[p] = min(demand[p], max(s.Rate(p)-total, 0))
		total += served[p]
	}
	return served
}
