package choose

import (
	"fmt"
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Report is what is known of one target.
type Report struct {
	Service ident.Service
	Target  ident.Target
	Load    Load
	// Age is how old the guard's word is, in milliseconds.
	Age clock.Millis
	// busy is the part of the slots in use.
	busy float64
}

// News is the part of a report whose change matters to other data centres: a
// target that leaves or enters service, and how busy it is if it is busier
// than a part of its slots.
func (r Report) News(busy float64) string {
	const steps = 2
	level := 0
	if r.busy > busy {
		level = 1 + int(r.busy*steps)
	}
	return fmt.Sprintf("%s:%d:%t:%d;", r.Target, r.Load.State, r.Load.Suspicion >= 0.5, level)
}

// Reports returns the fresh reports on the targets of a data centre.
func (p *Picker) Reports(now clock.Millis, dc ident.DataCentre) []Report {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []Report
	for id, s := range p.services {
		s.mu.Lock()
		for _, t := range s.order {
			if t.DataCentre == dc && t.Up && t.isKnown(now) {
				out = append(out, Report{Service: id, Target: t.Target, Load: t.load, Age: now - t.reported, busy: t.busy(now)})
			}
		}
		s.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}
