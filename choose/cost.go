package choose

import (
	"chestnutlatch/clock"
	"chestnutlatch/health"
)

// Costs weigh what speaks against a target, in parts of a request's value.
type Costs struct {
	// Region and Far are what the time on the way costs outside the data
	// centre and outside the region.
	Region float64
	Far    float64
	// RegionByte and FarByte are what each byte on such links costs.
	RegionByte float64
	FarByte    float64
	// FailOnce and FailSafe are the costs of a failure of a one-time and of an
	// idempotent request. The latter can be repeated, but within a budget that
	// a spell of a third of a service uses up.
	FailOnce float64
	FailSafe float64
	// Wait is the cost of one request waiting ahead for each slot. MostWait
	// bounds it: a late answer is worth less, but more than a failure.
	Wait     float64
	MostWait float64
	// Look is what a request is worth that shows how a target fares of which
	// nothing is known.
	Look float64
	// Path is the cost of a path that failed lately.
	Path float64
}

// DefaultCosts suit data centres that are joined by links paid by volume.
func DefaultCosts() Costs {
	return Costs{
		Region: 0.05, Far: 0.1, RegionByte: 0.05 / 1000, FarByte: 0.08 / 1000,
		FailOnce: 1, FailSafe: 0.9, Wait: 0.2, MostWait: 0.6, Look: 0.12, Path: 2,
	}
}

// nearWait is the part of the slots in use above which another request counts
// as waiting: its target slows down before it is full.
const nearWait = 0.75

// farWait times the cost of a wait is what it costs outside the data centre.
const farWait = 2

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
	near := p.nearBusy(now, s)
	look := !w.OneTime && s.budget.tokens >= 1 && s.rnd.IntN(lookOneIn) == 0
	for _, t := range without(s.eligible(w), w.Skip) {
		// The random part spreads the daemons over equal targets.
		cost := p.costOf(now, t, w, costs, near) + tieBreak*s.rnd.Float64()
		if look && p.isDueForLook(now, t) {
			cost = -costs.Look
		}
		if best == nil || cost < least {
			best, least = t, cost
		}
	}
	if best == nil {
		return Candidate{}, false
	}
	best.mine++
	c := best.Candidate
	c.Cost = least
	c.Suspicion = best.suspicionAt(now)
	c.Busy = best.busy(now)
	c.Distance = p.distance(best)
	c.Age = best.age(now)
	return c, true
}

const (
	// lookOneIn is the part of the idempotent requests, one in lookOneIn, that
	// may look whether a suspect target is well again. A look that fails takes
	// a retry from the budget.
	lookOneIn = 4
	// SuspectAt is the suspicion from which failure is more likely than not.
	SuspectAt = 0.5
	// lookUnder is the suspicion under which the last look is old enough for
	// another one: with the model of spells, a second and a half after it.
	lookUnder = 0.8
)

// isDueForLook reports whether an idempotent request should find out whether a
// target of the own data centre, where a look costs no way, is well again.
func (p *Picker) isDueForLook(now clock.Millis, t *target) bool {
	suspicion := t.suspicionAt(now)
	return suspicion >= SuspectAt && suspicion < lookUnder && p.distance(t) == 0
}

// isKnown reports whether a guard's word on the target is fresh.
func (t *target) isKnown(now clock.Millis) bool {
	return t.reported > 0 && now-t.reported <= reportLife
}

// nearBusy is the mean part of the slots in use at the service's targets that
// are known, or 0.
func (p *Picker) nearBusy(now clock.Millis, s *service) float64 {
	total, n := 0.0, 0
	for _, t := range s.order {
		if t.Up && t.isKnown(now) {
			total += t.busy(now)
			n++
		}
	}
	return total / float64(max(n, 1))
}

// age is how old a guard's word on the target is, in milliseconds; -1 if there
// was none.
func (t *target) age(now clock.Millis) clock.Millis {
	if t.reported == 0 {
		return -1
	}
	return now - t.reported
}

// tieBreak is small against every cost.
const tieBreak = 0.02

func (p *Picker) costOf(now clock.Millis, t *target, w Want, costs Costs, near float64) float64 {
	suspicion, distance := t.suspicionAt(now), p.distance(t)
	cost := costs.FailOnce * suspicion
	if !w.OneTime {
		// Nothing known against a target costs nothing: idempotent requests go
		// to all and so tell how each one fares, new ones too.
		prior := health.DefaultModel().Prior()
		cost = costs.FailSafe * max(suspicion-prior, 0)
		// The less is known of a target, the more another look is worth: one
		// that nobody uses would else stay unknown and get no action either.
		cost -= costs.Look * min(suspicion/prior, 1)
	}
	switch distance {
	case 1:
		cost += costs.Region + costs.RegionByte*w.Bytes
	case 2:
		cost += costs.Far + costs.FarByte*w.Bytes
	}
	busy := t.busyWith(now, 1)
	if !t.isKnown(now) {
		// A rush comes everywhere at once: a target of which nothing is known
		// is as busy as the near ones.
		busy = max(busy, near)
	}
	wait := costs.Wait * max(busy-nearWait, 0)
	if distance > 0 {
		// Its load is older news, and a refusal there costs the way twice.
		wait *= farWait
	}
	cost += min(wait, costs.MostWait)
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
