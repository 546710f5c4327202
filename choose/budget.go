package choose

import (
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

// budget counts the retries that a service may still make.
type budget struct {
	tokens float64
	at     clock.Millis
	seen   bool
}

func (b *budget) refill(now clock.Millis, r *Retries) {
	if !b.seen {
		b.seen, b.at, b.tokens = true, now, min(1, r.Most)
		return
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
}

// MayRetry takes one retry from a service's budget.
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
