package choose

import (
	"math"

	"chestnutlatch/clock"
	"chestnutlatch/limit"
)

// coldSpan is the span of a cold target's limit, in milliseconds.
const coldSpan = clock.Second

// maxColdRefusals is the number of refusals as cold from which every cold target counts
// as full. Reports from other data centres are old, so each of many cold targets could
// seem to have a request left.
const maxColdRefusals = 2

// isCold reports whether the last load report says that the target is cold and has a
// limit.
func (t *target) isCold(now clock.Millis, req Request) bool {
	return req.ColdLimit > 0 && t.load.ColdUsed > 0 && t.hasFreshReport(now)
}

// coldUsed estimates the used part of a cold target's limit, 0 to 1: the part that was
// reported, less what has left the span since then, and this daemon's own requests since
// the report. It is 0 for a warm target.
func (t *target) coldUsed(now clock.Millis, req Request) float64 {
	if !t.isCold(now, req) {
		return 0
	}
	age := now - t.reportedAt
	used := t.load.ColdUsed * float64(max(coldSpan-age, 0)) / float64(coldSpan)
	if t.ownSends != nil {
		used += float64(t.ownSends.Since(now, t.reportedAt)) / float64(req.ColdLimit)
	}
	return min(used, 1)
}

// isColdFull reports whether a cold target has probably received all requests that it may
// get now.
func (t *target) isColdFull(now clock.Millis, req Request) bool {
	if !t.isCold(now, req) {
		return false
	}
	used := int(math.Round(t.coldUsed(now, req) * float64(req.ColdLimit)))
	return used >= req.ColdShare || req.ColdRefusals >= maxColdRefusals
}

// countColdSend counts a request that is sent to a cold target.
func (t *target) countColdSend(now clock.Millis, req Request) {
	if !t.isCold(now, req) {
		return
	}
	if t.ownSends == nil {
		t.ownSends = limit.NewColdWindow(0)
	}
	t.ownSends.Add(now)
}

// ColdTargets returns the number of targets that a request may be sent to, and the number
// of those that are cold and have a limit.
func (p *Picker) ColdTargets(now clock.Millis, req Request) (total, cold int) {
	s := p.service(req.Service, false)
	if s == nil {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	targets := s.eligible(req)
	for _, t := range targets {
		if t.isCold(now, req) {
			cold++
		}
	}
	return len(targets), cold
}
