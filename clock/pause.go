package clock

import "sync"

const (
	// pauseLimit is the gap between ticks after which the process counts as paused.
	pauseLimit = Second
	// resumeSpan is the time after a pause in which bytes that had arrived during the
	// pause are read.
	resumeSpan = 200 * Millisecond
)

// PauseDetector notices that the process was paused, by the gaps between its ticks. A
// request that is read after a pause may have waited for all of it, while its sender's
// time limit went on. It is safe for concurrent use.
type PauseDetector struct {
	mu sync.Mutex
	// lastTick is 0 before the first tick.
	lastTick  Millis
	resumedAt Millis
	// pausedFor is the length of the pause that ended at resumedAt.
	pausedFor Millis
}

// Tick must be called several times per pauseLimit while the process runs.
func (p *PauseDetector) Tick(now Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if gap := now - p.lastTick; p.lastTick > 0 && gap > pauseLimit {
		p.resumedAt, p.pausedFor = now, gap
	}
	p.lastTick = max(now, 1)
}

// Waited returns the time for which bytes that are read now may have lain unread, in
// milliseconds; 0 if the process was not paused.
func (p *PauseDetector) Waited(now Millis) Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := now - p.lastTick
	switch {
	case p.lastTick > 0 && gap > pauseLimit:
		return gap
	case p.pausedFor > 0 && now-p.resumedAt <= resumeSpan:
		return p.pausedFor
	default:
		return 0
	}
}

// ResumedAt returns the time of the first tick after the last pause; 0 without one.
func (p *PauseDetector) ResumedAt() Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumedAt
}
