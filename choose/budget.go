package choose

import (
	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

const (
	// retryPart allows one retry for retryPart requests of a service.
	retryPart = 10
	// retryPerSecond is allowed on top, so that a quiet service can retry.
	retryPerSecond = 1
	// maxRetries bounds the retries saved up.
	maxRetries = 20
)

// budget counts the retries that a service may still make.
type budget struct {
	tokens float64
	at     clock.Millis
	seen   bool
}

func (b *budget) refill(now clock.Millis) {
	if !b.seen {
		b.seen, b.at, b.tokens = true, now, retryPerSecond
		return
	}
	b.add(float64(now-b.at) / float64(clock.Second) * retryPerSecond)
	b.at = now
}

func (b *budget) add(n float64) {
	b.tokens = min(b.tokens+n, maxRetries)
}

// CountRequest adds a first attempt to a service's retry budget.
func (p *Picker) CountRequest(now clock.Millis, id ident.Service) {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.refill(now)
	s.budget.add(1.0 / retryPart)
}

// MayRetry takes one retry from a service's budget.
func (p *Picker) MayRetry(now clock.Millis, id ident.Service) bool {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.refill(now)
	if s.budget.tokens < 1 {
		return false
	}
	s.budget.tokens--
	return true
}
