// Package choose selects a target for each request. It holds the targets of every
// service, the load reports of their guards, the unreachable paths and the retry
// budgets. The entry calls it for each attempt and the daemon updates the targets.
// It does no I/O.
package choose

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/region"
)

const (
	// reportTTL is how long a load report is valid, in milliseconds.
	reportTTL = 2 * clock.Second
	// coldLoadFactor multiplies the load of a cold target; its square multiplies
	// that of a sick one.
	coldLoadFactor = 4
)

// Candidate is a target with the data of its member record.
type Candidate struct {
	Target     ident.Target
	Instance   ident.Instance
	Address    string
	DataCentre ident.DataCentre
	Region     ident.Region
	State      ident.TargetState
	// Slots is the number of requests that the target serves at once, at least 1.
	Slots int
	// Up is false if the member is dead or has left the fleet.
	Up bool
	// Local is true if the target is beside this daemon, which gets no load reports of it
	// from others.
	Local bool
	// PickLowestCost sets the remaining fields. Suspicion is 0 to 1. Utilization
	// is the number of running and queued requests per slot. Cost is in the unit
	// of Costs; a random part of it breaks ties. Distance is 0 in the own data
	// centre, 1 in the own region and 2 elsewhere. Age is the age of the guard's
	// load report in milliseconds, or -1 if there is none.
	Suspicion   float64
	Utilization float64
	Cost        float64
	Distance    int
	Age         clock.Millis
	// IsColdFull is true if the target is cold and has probably received all requests that
	// it may get now, and the same holds for all others that could be chosen. Its guard
	// would refuse the request.
	IsColdFull bool
}

// Load is the state and the load of a target as its guard reports them.
type Load struct {
	State    ident.TargetState
	InFlight int
	Queued   int
	// Suspicion is the guard's estimate of the probability that the target is in
	// a failure episode, 0 to 1.
	Suspicion float64
	// ColdUsed is the used part of a cold target's request limit, 0 to 1; 0 if the target
	// is warm or has no limit.
	ColdUsed float64
	// Shed is the share of the requests that the target refuses without running them, 0
	// to 1.
	Shed float64
}

type target struct {
	Candidate
	load Load
	// reportedAt is the time of the load report; 0 if there is none.
	reportedAt clock.Millis
	// ownInFlight counts this daemon's own requests in flight.
	ownInFlight int
	// ownSends counts this daemon's own requests of the last second while the target is
	// cold; nil if it was not since the target was added.
	ownSends *limit.ColdWindow
}

type service struct {
	mu      sync.Mutex
	targets map[ident.Target]*target
	// sorted holds the targets in the order of their ids.
	sorted []*target
	rnd    *rand.Rand
	budget budget
}

// Picker holds the targets, retry budgets and paths of every service. It is safe
// for concurrent use; each service has its own lock.
type Picker struct {
	dc     ident.DataCentre
	region ident.Region
	seed   uint64

	mu       sync.RWMutex
	services map[ident.Service]*service

	retryLimits atomic.Pointer[RetryLimits]

	reportMu sync.RWMutex
	// lastReport is the time of the newest load report of another daemon of the own data
	// centre.
	lastReport clock.Millis

	pathMu sync.RWMutex
	// paths holds the failed paths only.
	paths map[ident.Instance]*path
}

// New returns a picker without targets for a daemon in the given data centre and
// region. Equal seeds and calls give equal choices.
func New(dc ident.DataCentre, region ident.Region, seed uint64) *Picker {
	p := &Picker{
		dc: dc, region: region, seed: seed,
		services: map[ident.Service]*service{},
		paths:    map[ident.Instance]*path{},
	}
	p.SetRetryLimits(DefaultRetryLimits())
	return p
}

// service returns the state of a service, or nil if there is none and create is
// false.
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

// Put adds or replaces a target of a service. A target that stays on its instance
// keeps its load report, except for the state, and its count of requests.
func (p *Picker) Put(id ident.Service, c Candidate) {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[c.Target]
	if t == nil || t.Instance != c.Instance {
		t = &target{}
		s.targets[c.Target] = t
		defer s.rebuildSorted()
	}
	t.Candidate = c
	t.load.State = c.State
}

// UpdateLoad applies a load report that a guard made at the given time, in
// milliseconds. Reports on unknown targets and reports that are older than the last
// one are ignored.
func (p *Picker) UpdateLoad(at clock.Millis, serviceID ident.Service, targetID ident.Target, load Load) {
	s := p.service(serviceID, false)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[targetID]; t != nil && at >= t.reportedAt {
		t.load = load
		t.reportedAt = at
		p.recordReport(at, t)
	}
}

// recordReport records the time of a load report of another daemon of the own data centre.
func (p *Picker) recordReport(at clock.Millis, t *target) {
	if t.Local || p.distance(t) > 0 {
		return
	}
	p.reportMu.Lock()
	defer p.reportMu.Unlock()
	p.lastReport = max(p.lastReport, at)
}

// Done ends one of this daemon's requests in flight at a target.
func (p *Picker) Done(serviceID ident.Service, targetID ident.Target) {
	s := p.service(serviceID, false)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[targetID]; t != nil && t.ownInFlight > 0 {
		t.ownInFlight--
	}
}

// Request describes a request that needs a target.
type Request struct {
	Service ident.Service
	// FloorPercent is the percentage of the targets that must stay selectable, 0 to
	// 100, of those that are up, neither draining nor drained by operators, and where
	// the request may be served. The number of targets is rounded up.
	FloorPercent uint32
	// Skip holds the targets that must not be chosen, such as those that were
	// tried before.
	Skip []ident.Target
	// Bytes is the expected size of the request and its response together. Pick
	// does not use it.
	Bytes float64
	// OneTime marks a request that must not run twice.
	OneTime bool
	// ColdLimit is the number of requests that a cold target of the service may get in one
	// second, and ColdShare the part of it that requests of this priority may use. If
	// ColdLimit is 0, ColdUsed in load reports has no effect.
	ColdLimit, ColdShare int
	// ColdRefusals is the number of targets that refused the request because they are cold.
	ColdRefusals int
	// IsDrained reports whether operators drain a target; nil means that none is
	// drained.
	IsDrained func(ident.Target) bool
	// Regions are the regions in which the request may be served.
	Regions region.Policy
	// IsEvacuated reports whether a data centre is evacuated; nil means that none is.
	IsEvacuated func(ident.DataCentre) bool
}

// Pick returns a target of the nearest data centre or region with free slots: the
// less loaded of two random ones. It never returns a draining target, and returns a
// sick target or one with an unreachable path only to keep the floor. It chooses a cold
// target whose limit is used up only if there is no other. It returns false if no target may be chosen. It counts the request as in flight at the
// target; the caller must end it with Done.
func (p *Picker) Pick(now clock.Millis, req Request) (Candidate, bool) {
	s := p.service(req.Service, false)
	if s == nil {
		return Candidate{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := p.selectable(now, s, req)
	candidates = excluding(candidates, req.Skip)
	open := candidates
	if req.ColdLimit > 0 {
		open = slices.DeleteFunc(slices.Clone(candidates), func(t *target) bool { return t.isColdFull(now, req) })
	}
	t := p.nearest(now, s, open)
	if t == nil {
		t = p.nearest(now, s, candidates)
	}
	if t == nil {
		return Candidate{}, false
	}
	t.ownInFlight++
	c := t.Candidate
	if c.IsColdFull = len(open) == 0; !c.IsColdFull {
		t.countColdSend(now, req)
	}
	return c, true
}

// Selectable returns the targets that Pick chooses from before it applies Skip, and
// the number of targets that the floor is a percentage of.
func (p *Picker) Selectable(now clock.Millis, req Request) (selectable []ident.Target, total int) {
	s := p.service(req.Service, false)
	if s == nil {
		return nil, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range p.selectable(now, s, req) {
		selectable = append(selectable, t.Target)
	}
	return selectable, len(s.eligible(req))
}

// permits reports whether the request may be served where the target is: in a permitted
// region and not in an evacuated data centre.
func (r Request) permits(t *target) bool {
	return r.Regions.Permits(t.Region) && (r.IsEvacuated == nil || !r.IsEvacuated(t.DataCentre))
}

// rebuildSorted updates sorted after a change of targets.
func (s *service) rebuildSorted() {
	s.sorted = s.sorted[:0]
	for _, t := range s.targets {
		s.sorted = append(s.sorted, t)
	}
	sort.Slice(s.sorted, func(i, j int) bool { return s.sorted[i].Target < s.sorted[j].Target })
}

// eligible returns the targets that are up and not draining, in a permitted region and
// not in an evacuated data centre, in the order of their ids.
func (s *service) eligible(req Request) []*target {
	out := make([]*target, 0, len(s.sorted))
	for _, t := range s.sorted {
		if !t.Up || t.load.State == ident.TargetDraining || t.State == ident.TargetDraining {
			continue
		}
		if req.IsDrained != nil && req.IsDrained(t.Target) {
			continue
		}
		if !req.permits(t) {
			continue
		}
		out = append(out, t)
	}
	return out
}

// selectable returns the eligible targets that are not sick and have a reachable
// path. If these are fewer than the floor, it adds others by their fallback rank.
func (p *Picker) selectable(now clock.Millis, s *service, req Request) []*target {
	all := s.eligible(req)
	floor := (len(all)*int(req.FloorPercent) + 99) / 100
	var byRank [maxFallbackRank + 1][]*target
	selected := all[:0]
	for _, t := range all {
		if rank := p.fallbackRank(now, t); rank > 0 {
			byRank[rank] = append(byRank[rank], t)
			continue
		}
		selected = append(selected, t)
	}
	for _, targets := range byRank {
		for _, t := range targets {
			if len(selected) < floor {
				selected = append(selected, t)
			}
		}
	}
	return selected
}

// maxFallbackRank is the rank of a sick target with an unreachable path.
const maxFallbackRank = 3

// fallbackRank is 0 for a target that may be chosen freely. A higher rank is
// chosen later to keep the floor: a sick target that responds slowly is better
// than one that cannot be reached.
func (p *Picker) fallbackRank(now clock.Millis, t *target) int {
	rank := 0
	if t.load.State == ident.TargetSick {
		rank++
	}
	if p.IsPathUnreachable(now, t.Instance) {
		rank += 2
	}
	return rank
}

// excluding returns the targets that are not in skip.
func excluding(ts []*target, skip []ident.Target) []*target {
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

// nearest compares two random targets of each group, from the nearest group to the
// farthest, and returns the first with a free slot. Without free slots it returns
// one of the nearest group, unless a farther one is less than half as busy. It
// returns nil if there are no targets.
func (p *Picker) nearest(now clock.Millis, s *service, targets []*target) *target {
	var groups [3][]*target
	for _, t := range targets {
		distance := p.distance(t)
		groups[distance] = append(groups[distance], t)
	}
	var fallback *target
	for _, group := range groups {
		t := lessLoaded(now, s.rnd, group)
		if t == nil {
			continue
		}
		if t.utilization(now) < 1 {
			return t
		}
		if fallback == nil || t.utilization(now) < fallback.utilization(now)/2 {
			fallback = t
		}
	}
	return fallback
}

// distance is 0 in the own data centre, 1 in the own region and 2 elsewhere.
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

// lessLoaded returns the less loaded of two random targets, or nil if there are
// none.
func lessLoaded(now clock.Millis, rnd *rand.Rand, ts []*target) *target {
	if len(ts) == 0 {
		return nil
	}
	a := ts[rnd.IntN(len(ts))]
	if len(ts) == 1 {
		return a
	}
	b := ts[rnd.IntN(len(ts))]
	if b.weightedLoad(now) < a.weightedLoad(now) {
		return b
	}
	return a
}

// utilization returns the number of running and queued requests per slot. Without a
// fresh load report it counts only this daemon's own requests.
func (t *target) utilization(now clock.Millis) float64 {
	n := t.ownInFlight
	if now-t.reportedAt <= reportTTL && t.reportedAt > 0 {
		n = max(n, t.load.InFlight+t.load.Queued)
	}
	return float64(n) / float64(max(t.Slots, 1))
}

// weightedLoad returns the load by which two targets are compared. Cold and sick
// targets count as more loaded. The added 0.1 gives the factors an effect on targets
// without requests.
func (t *target) weightedLoad(now clock.Millis) float64 {
	load := t.utilization(now) + 0.1
	if t.load.State == ident.TargetCold {
		load *= coldLoadFactor
	}
	if t.load.State == ident.TargetSick {
		load *= coldLoadFactor * coldLoadFactor
	}
	return load
}
