package choose

import (
	"math"
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// Retries bounds one daemon's retries at one service.
type Retries struct {
	// Part is the number of retries for each request.
	Part float64
	// PerSecond is allowed on top, so that a quiet service can retry.
	PerSecond float64
	// Most bounds the retries saved up.
	Most float64
}

// DefaultRetries keeps retries to a tenth of the load.
func DefaultRetries() Retries {
	return Retries{Part: 0.1, PerSecond: 1, Most: 20}
}

// SetRetries replaces the bounds, for a part of a budget that the fleet shares.
func (p *Picker) SetRetries(r Retries) {
	p.retries.Store(&r)
}

// RetryCount is what one daemon has asked of a service since it started.
type RetryCount struct {
	Service  ident.Service
	Requests uint64
	Retries  uint64
}

// budget counts the retries that a service may still make.
type budget struct {
	tokens float64
	at     clock.Millis
	seen   bool
	// requests and retries are this daemon's own.
	requests uint64
	retries  uint64
	// owed is the part of a retry that retries does not hold yet.
	owed float64
	// heard is what other daemons that share the budget told last.
	heard map[ident.Instance]heardCount
}

type heardCount struct {
	inc      ident.Incarnation
	requests uint64
	retries  uint64
}

// refill brings the budget up to a time on the daemon's clock. A service that is
// asked for the first time has saved retries since the daemon started.
func (b *budget) refill(now clock.Millis, r *Retries) {
	if !b.seen {
		b.seen, b.tokens = true, min(1, r.Most)
	}
	b.add(float64(now-b.at)/float64(clock.Second)*r.PerSecond, r)
	b.at = now
}

func (b *budget) add(n float64, r *Retries) {
	b.tokens = min(b.tokens+n, r.Most)
}

// CountRequest adds a first attempt to a service's retry budget.
func (p *Picker) CountRequest(now clock.Millis, id ident.Service) {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := p.retries.Load()
	s.budget.refill(now, r)
	s.budget.add(r.Part, r)
	s.budget.requests++
}

// MayRetry takes one retry from a service's budget, for Retried when it has
// arrived at a target or ReturnRetry when it has not.
func (p *Picker) MayRetry(now clock.Millis, id ident.Service) bool {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.refill(now, p.retries.Load())
	if s.budget.tokens < 1 {
		return false
	}
	s.budget.tokens--
	return true
}

// Retried tells that a retry taken from the budget has arrived.
func (p *Picker) Retried(id ident.Service) {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.retries++
}

// ReturnRetry gives back a retry that arrived nowhere.
func (p *Picker) ReturnRetry(id ident.Service) {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.add(1, p.retries.Load())
}

// ChargeRetries takes a part of a retry that was made elsewhere: the calls of a
// repeated request are repeats, too. They are not refused.
func (p *Picker) ChargeRetries(now clock.Millis, id ident.Service, n float64) {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.refill(now, p.retries.Load())
	s.budget.tokens -= n
	s.budget.owed += n
	whole := uint64(s.budget.owed)
	s.budget.owed -= float64(whole)
	s.budget.retries += whole
}

// RetriesLeft returns the retries saved for the service that has least of them,
// 0 if no service was asked yet.
func (p *Picker) RetriesLeft() float64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	least := math.Inf(1)
	for _, s := range p.services {
		s.mu.Lock()
		if s.budget.seen {
			least = min(least, max(s.budget.tokens, 0))
		}
		s.mu.Unlock()
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// RetryCounts returns this daemon's counts of every service.
func (p *Picker) RetryCounts() []RetryCount {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []RetryCount
	for id, s := range p.services {
		s.mu.Lock()
		if s.budget.requests > 0 {
			out = append(out, RetryCount{Service: id, Requests: s.budget.requests, Retries: s.budget.retries})
		}
		s.mu.Unlock()
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// HeardRetries takes in the counts of another daemon that shares the budget.
// What it counted before it was first heard is left out.
func (p *Picker) HeardRetries(now clock.Millis, from ident.Instance, inc ident.Incarnation, c RetryCount) {
	s := p.service(c.Service, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.budget
	if b.heard == nil {
		b.heard = map[ident.Instance]heardCount{}
	}
	was, known := b.heard[from]
	b.heard[from] = heardCount{inc, c.Requests, c.Retries}
	if !known || was.inc != inc || c.Requests < was.requests || c.Retries < was.retries {
		return
	}
	r := p.retries.Load()
	b.refill(now, r)
	b.add(float64(c.Requests-was.requests)*r.Part, r)
	b.tokens -= float64(c.Retries - was.retries)
}
