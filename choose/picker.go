// Package choose picks the target for a request: the nearest data centre with
// room first, the less loaded of two, never a draining target, and a sick one
// or one behind a broken path only to keep the floor. It does no I/O.
package choose

import (
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// reportLife is how long a load report is believed, in milliseconds.
	reportLife = 2 * clock.Second
	// coldFactor times the load is what a cold target counts as.
	coldFactor = 4
)

// Candidate is one target as known from its member's record.
type Candidate struct {
	Target     ident.Target
	Instance   ident.Instance
	Address    string
	DataCentre ident.DataCentre
	Region     ident.Region
	State      ident.TargetState
	// Slots is the number of requests served at once, at least 1.
	Slots int
	// Up tells whether the member is not dead or left.
	Up bool
	// The rest is set by Best: what spoke against the target. Busy is the part
	// of the slots in use, with those who wait; Distance is 0 in the own data
	// centre, 1 in the region, 2 beyond; Age is how old the guard's word was,
	// in milliseconds, -1 for none.
	Suspicion float64
	Busy      float64
	Cost      float64
	Distance  int
	Age       clock.Millis
}

// Load is a guard's report on a target.
type Load struct {
	State    ident.TargetState
	InFlight int
	Queued   int
	// Suspicion is the guard's belief that the target fails, 0 to 1.
	Suspicion float64
}

type target struct {
	Candidate
	load     Load
	reported clock.Millis
	// mine counts this daemon's own requests under way.
	mine int
}

type service struct {
	mu      sync.Mutex
	targets map[ident.Target]*target
	// order holds the targets by id.
	order  []*target
	rnd    *rand.Rand
	budget budget
}

// Picker holds the candidates of every service. It is safe for concurrent
// use; each service is a shard with its own lock.
type Picker struct {
	dc     ident.DataCentre
	region ident.Region
	seed   uint64

	mu       sync.RWMutex
	services map[ident.Service]*service

	retries atomic.Pointer[Retries]

	pathMu sync.RWMutex
	paths  map[ident.Instance]*path
}

// New returns a picker for a daemon in a data centre. Its choices follow from
// the seed.
func New(dc ident.DataCentre, region ident.Region, seed uint64) *Picker {
	p := &Picker{
		dc: dc, region: region, seed: seed,
		services: map[ident.Service]*service{},
		paths:    map[ident.Instance]*path{},
	}
	p.SetRetries(DefaultRetries())
	return p
}

func (p *Picker) service(id ident.Service, create bool) *service {
	p.mu.RLock()
	s := p.services[id]
	p.mu.RUnlock()
	if s != nil || !create {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s = p.services[id]; s == nil {
		s = &service{
			targets: map[ident.Target]*target{},
			rnd:     rand.New(rand.NewPCG(p.seed, uint64(len(p.services)))),
		}
		p.services[id] = s
	}
	return s
}

// Put adds or replaces a candidate.
func (p *Picker) Put(id ident.Service, c Candidate) {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[c.Target]
	if t == nil || t.Instance != c.Instance {
		t = &target{}
		s.targets[c.Target] = t
		defer s.sort()
	}
	t.Candidate = c
	t.load.State = c.State
}

// Report takes in a guard's load report.
func (p *Picker) Report(now clock.Millis, id ident.Service, t ident.Target, l Load) {
	s := p.service(id, false)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.targets[t]; old != nil && now >= old.reported {
		old.load = l
		old.reported = now
	}
}

// Done ends one of this daemon's own requests at a target.
func (p *Picker) Done(id ident.Service, t ident.Target) {
	s := p.service(id, false)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.targets[t]; old != nil && old.mine > 0 {
		old.mine--
	}
}

// Want describes the request to find a target for.
type Want struct {
	Service      ident.Service
	FloorPercent uint32
	// Skip holds the targets tried before.
	Skip []ident.Target
	// Bytes is what the request and its answer send over the way.
	Bytes float64
	// OneTime tells that the request cannot be repeated.
	OneTime bool
	// IsDrained reports the operators' word on a target; nil means none.
	IsDrained func(ident.Target) bool
}

// Pick returns a target and counts a request under way there; the caller ends
// it with Done.
func (p *Picker) Pick(now clock.Millis, w Want) (Candidate, bool) {
	s := p.service(w.Service, false)
	if s == nil {
		return Candidate{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	open := p.selectable(now, s, w)
	open = without(open, w.Skip)
	t := p.nearest(now, s, open)
	if t == nil {
		return Candidate{}, false
	}
	t.mine++
	return t.Candidate, true
}

// Selectable returns the targets among which Pick chooses before Skip, and the
// number of targets that the floor is a part of.
func (p *Picker) Selectable(now clock.Millis, w Want) (chosen []ident.Target, total int) {
	s := p.service(w.Service, false)
	if s == nil {
		return nil, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range p.selectable(now, s, w) {
		chosen = append(chosen, t.Target)
	}
	return chosen, len(s.eligible(w))
}

// sort brings order up to the targets.
func (s *service) sort() {
	s.order = s.order[:0]
	for _, t := range s.targets {
		s.order = append(s.order, t)
	}
	sort.Slice(s.order, func(i, j int) bool { return s.order[i].Target < s.order[j].Target })
}

// eligible returns the targets that may take work at all, in order.
func (s *service) eligible(w Want) []*target {
	out := make([]*target, 0, len(s.order))
	for _, t := range s.order {
		if !t.Up || t.load.State == ident.TargetDraining || t.State == ident.TargetDraining {
			continue
		}
		if w.IsDrained != nil && w.IsDrained(t.Target) {
			continue
		}
		out = append(out, t)
	}
	return out
}

// selectable returns the well targets behind working paths, filled up to the
// floor with the least bad others.
func (p *Picker) selectable(now clock.Millis, s *service, w Want) []*target {
	all := s.eligible(w)
	floor := (len(all)*int(w.FloorPercent) + 99) / 100
	var byBadness [worstBadness + 1][]*target
	good := all[:0]
	for _, t := range all {
		if bad := p.badness(now, t); bad > 0 {
			byBadness[bad] = append(byBadness[bad], t)
			continue
		}
		good = append(good, t)
	}
	for _, group := range byBadness {
		for _, t := range group {
			if len(good) < floor {
				good = append(good, t)
			}
		}
	}
	return good
}

// worstBadness is that of a sick target behind a broken path.
const worstBadness = 3

// badness is 0 for a target to choose freely. A sick target that answers
// slowly is better than one that cannot be reached.
func (p *Picker) badness(now clock.Millis, t *target) int {
	bad := 0
	if t.load.State == ident.TargetSick {
		bad++
	}
	if p.IsPathBad(now, t.Instance) {
		bad += 2
	}
	return bad
}

func without(ts []*target, skip []ident.Target) []*target {
	if len(skip) == 0 {
		return ts
	}
	out := ts[:0:0]
	for _, t := range ts {
		skipped := false
		for _, id := range skip {
			skipped = skipped || id == t.Target
		}
		if !skipped {
			out = append(out, t)
		}
	}
	return out
}

// nearest picks from the nearest group with room, or from the nearest group
// when none has room.
func (p *Picker) nearest(now clock.Millis, s *service, ts []*target) *target {
	var groups [3][]*target
	for _, t := range ts {
		g := p.distance(t)
		groups[g] = append(groups[g], t)
	}
	var first *target
	for _, g := range groups {
		t := lessLoaded(now, s.rnd, g)
		if t == nil {
			continue
		}
		if t.busy(now) < 1 {
			return t
		}
		if first == nil || t.busy(now) < first.busy(now)/2 {
			first = t
		}
	}
	return first
}

func (p *Picker) distance(t *target) int {
	switch {
	case t.DataCentre == p.dc:
		return 0
	case t.Region == p.region:
		return 1
	default:
		return 2
	}
}

// lessLoaded returns the better of two random targets.
func lessLoaded(now clock.Millis, rnd *rand.Rand, ts []*target) *target {
	if len(ts) == 0 {
		return nil
	}
	a := ts[rnd.IntN(len(ts))]
	if len(ts) == 1 {
		return a
	}
	b := ts[rnd.IntN(len(ts))]
	if b.cost(now) < a.cost(now) {
		return b
	}
	return a
}

// busy is the part of the slots in use as far as known; a report that is too
// old counts only this daemon's own requests.
func (t *target) busy(now clock.Millis) float64 {
	n := t.mine
	if now-t.reported <= reportLife && t.reported > 0 {
		n = max(n, t.load.InFlight+t.load.Queued)
	}
	return float64(n) / float64(max(t.Slots, 1))
}

// cost ranks two targets: busy slots, with cold targets counted higher.
func (t *target) cost(now clock.Millis) float64 {
	c := t.busy(now) + 0.1
	if t.load.State == ident.TargetCold {
		c *= coldFactor
	}
	if t.load.State == ident.TargetSick {
		c *= coldFactor * coldFactor
	}
	return c
}
