package choose

import (
	"chestnutlatch/clock"
	"chestnutlatch/health"
	"chestnutlatch/ident"
)

// Costs weigh what speaks against a target, in parts of a request's value.
type Costs struct {
	// Region and Far are what it costs to leave the data centre and the
	// region: paid bytes and time on the way.
	Region float64
	Far    float64
	// FailOnce and FailSafe are the costs of a failure of a one-time and of an
	// idempotent request. The latter can be repeated, which makes it the
	// cheaper witness of a target's recovery.
	FailOnce float64
	FailSafe float64
	// Wait is the cost of one request waiting ahead for each slot.
	Wait float64
	// Cold is the cost of a target that has just started.
	Cold float64
	// Path is the cost of a path that failed lately.
	Path float64
}

// DefaultCosts suit data centres that are joined by links paid by volume.
func DefaultCosts() Costs {
	return Costs{Region: 0.2, Far: 0.35, FailOnce: 1, FailSafe: 0.35, Wait: 0.3, Cold: 0.2, Path: 2}
}

// nearWait is the part of the slots in use above which another request counts
// as waiting: its target slows down before it is full.
const nearWait = 0.75

// Best returns the target with the least cost for the request and counts a
// request under way there; the caller ends it with Done.
func (p *Picker) Best(now clock.Millis, w Want, costs Costs) (Candidate, bool) {
	s := p.service(w.Service, false)
	if s == nil {
		return Candidate{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var best *target
	least := 0.0
	for _, t := range without(s.eligible(w), w.Skip) {
		// The random part spreads the daemons over equal targets.
		cost := p.costOf(now, t, w, costs) + tieBreak*s.rnd.Float64()
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	if best == nil {
		return Candidate{}, false
	}
	best.mine++
	return best.Candidate, true
}

// tieBreak is small against every cost.
const tieBreak = 0.02

func (p *Picker) costOf(now clock.Millis, t *target, w Want, costs Costs) float64 {
	cost := costs.FailSafe
	if w.OneTime {
		cost = costs.FailOnce
	}
	cost *= t.suspicionAt(now)
	switch p.distance(t) {
	case 1:
		cost += costs.Region
	case 2:
		cost += costs.Far
	}
	cost += costs.Wait * max(t.busyWith(now, 1)-nearWait, 0)
	if now < t.cold {
		cost += costs.Cold
	}
	if p.IsPathBad(now, t.Instance) {
		cost += costs.Path
	}
	return cost
}

// suspicionAt is the belief that a target fails, from its guard's last report.
func (t *target) suspicionAt(now clock.Millis) float64 {
	m := health.DefaultModel()
	if t.reported == 0 {
		return m.Prior()
	}
	return m.Decay(t.load.Suspicion, now-t.reported)
}

// busyWith is the part of the slots in use with more requests added.
func (t *target) busyWith(now clock.Millis, more int) float64 {
	return t.busy(now) + float64(more)/float64(max(t.Slots, 1))
}

// Cold marks a target that stays slow until a time.
func (p *Picker) Cold(id ident.Service, t ident.Target, until clock.Millis) {
	s := p.service(id, false)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.targets[t]; old != nil {
		old.cold = until
	}
}
