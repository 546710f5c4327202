package choose

import (
	"fmt"
	"math"
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// TargetReport is the last load report on one target.
type TargetReport struct {
	Service ident.Service
	Target  ident.Target
	Load    Load
	// Age is the age of the load report, in milliseconds.
	Age clock.Millis
	// utilization is the number of running and queued requests per slot.
	utilization float64
}

// ChangeKey returns a text that changes when other data centres need an update: when
// the target's state changes, when it becomes or stops being suspect, when its
// utilization changes by about half of the slots, or when the used part of a cold
// target's limit changes by about a quarter. Utilization up to the given one counts as
// idle.
func (r TargetReport) ChangeKey(idle float64) string {
	const (
		steps     = 2
		coldSteps = 4
	)
	level := 0
	if r.utilization > idle {
		level = 1 + int(r.utilization*steps)
	}
	return fmt.Sprintf("%s:%d:%t:%d:%d;", r.Target, r.Load.State, r.Load.Suspicion >= 0.5, level, int(math.Ceil(r.Load.ColdUsed*coldSteps)))
}

// LoadReports returns the load reports that are still valid, at most 2 s old, on the
// targets of a data centre that are up, ordered by target.
func (p *Picker) LoadReports(now clock.Millis, dc ident.DataCentre) []TargetReport {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []TargetReport
	for id, s := range p.services {
		s.mu.Lock()
		for _, t := range s.sorted {
			if t.DataCentre == dc && t.Up && t.hasFreshReport(now) {
				out = append(out, TargetReport{Service: id, Target: t.Target, Load: t.load, Age: now - t.reportedAt, utilization: t.utilization(now)})
			}
		}
		s.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}
