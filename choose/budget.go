package choose

import (
	"math"
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
)

// RetryLimits limits the retries of one daemon at one service. It is a token bucket
// that requests and time refill; each retry takes one token.
type RetryLimits struct {
	// PerRequest is the number of retries that each request adds.
	PerRequest float64
	// PerSecond is the number of retries added per second, which allows retries
	// at a service with little traffic.
	PerSecond float64
	// MaxSaved bounds the number of retries saved up.
	MaxSaved float64
	// Reserve is the share of MaxSaved, 0 to 1, that retries of look-ups leave for
	// those of the other classes.
	Reserve float64
}

// RetryClass orders the retries that compete for one budget by what they save.
type RetryClass int

// Retry classes, the least valuable first.
const (
	// RetryLookup is the retry of an idempotent request, which its caller can repeat.
	RetryLookup RetryClass = iota
	// RetryAction is the retry of a one-time request that has not run.
	RetryAction
	// RetryCall is the retry of a call that a running request needs. Without it, the
	// work of that request is lost.
	RetryCall
)

// reserved returns the number of retries that a retry of a class must leave.
func (r *RetryLimits) reserved(class RetryClass) float64 {
	switch class {
	case RetryCall:
		return 0
	case RetryAction:
		return r.MaxSaved * r.Reserve / 2
	default:
		return r.MaxSaved * r.Reserve
	}
}

// DefaultRetryLimits limits retries to a tenth of the requests, plus one per second.
func DefaultRetryLimits() RetryLimits {
	return RetryLimits{PerRequest: 0.1, PerSecond: 1, MaxSaved: 20}
}

// SetRetryLimits replaces the limits, for example with a daemon's share of the fleet's
// retry budget.
func (p *Picker) SetRetryLimits(r RetryLimits) {
	p.retryLimits.Store(&r)
}

// RetryCount holds the numbers of requests and retries that one daemon has counted
// for a service since it started. Retries include those of ChargeRetries.
type RetryCount struct {
	Service  ident.Service
	Requests uint64
	Retries  uint64
}

// budget holds the retries that a service may still make.
type budget struct {
	// tokens is the number of retries left. It is negative if more retries were
	// made elsewhere than were left.
	tokens      float64
	refilledAt  clock.Millis
	initialized bool
	// requests and retries count those of this daemon.
	requests uint64
	retries  uint64
	// fraction is the part of a charged retry that retries does not include yet.
	fraction float64
	// peerCounts holds the last counts of other daemons that share the budget.
	peerCounts map[ident.Instance]peerCount
}

// peerCount holds the last counts of one other daemon.
type peerCount struct {
	incarnation ident.Incarnation
	requests    uint64
	retries     uint64
	// at is when the counts arrived.
	at clock.Millis
}

// peerCountIdle is the time after which the counts of a silent daemon are dropped, in
// milliseconds. A daemon that returns sets a new starting point.
const peerCountIdle = 10 * clock.Minute

// SweepRetryCounts drops the counts of daemons that were silent for peerCountIdle.
func (p *Picker) SweepRetryCounts(now clock.Millis) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, s := range p.services {
		s.mu.Lock()
		for id, c := range s.budget.peerCounts {
			if now-c.at > peerCountIdle {
				delete(s.budget.peerCounts, id)
			}
		}
		s.mu.Unlock()
	}
}

// refill adds the retries earned since the last refill. The first time it starts
// with one retry and adds those earned since the daemon started.
func (b *budget) refill(now clock.Millis, r *RetryLimits) {
	if !b.initialized {
		b.initialized, b.tokens = true, min(1, r.MaxSaved)
	}
	b.add(float64(now-b.refilledAt)/float64(clock.Second)*r.PerSecond, r)
	b.refilledAt = now
}

func (b *budget) add(n float64, r *RetryLimits) {
	b.tokens = min(b.tokens+n, r.MaxSaved)
}

// CountRequest counts the first attempt of a request and adds its share of a retry
// to the service's budget.
func (p *Picker) CountRequest(now clock.Millis, id ident.Service) {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := p.retryLimits.Load()
	s.budget.refill(now, r)
	s.budget.add(r.PerRequest, r)
	s.budget.requests++
}

// TakeRetry takes one retry from a service's budget and reports whether there was
// one for the class. The caller must count the retry once it arrives at a target, or
// else give it back with ReturnRetry.
func (p *Picker) TakeRetry(now clock.Millis, id ident.Service, class RetryClass) bool {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := p.retryLimits.Load()
	s.budget.refill(now, r)
	if s.budget.tokens < 1+r.reserved(class) {
		return false
	}
	s.budget.tokens--
	return true
}

// CountRetry counts a retry, taken from the budget before, that arrived at a target.
func (p *Picker) CountRetry(id ident.Service) {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.retries++
}

// ReturnRetry gives back a retry that arrived at no target.
func (p *Picker) ReturnRetry(id ident.Service) {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.add(1, p.retryLimits.Load())
}

// ChargeRetries takes n retries, which may be a fraction, that were made elsewhere.
// For example, the calls that a target makes while it serves a retried request
// are retries too. They are not refused, so the budget may become negative. n must
// not be negative.
func (p *Picker) ChargeRetries(now clock.Millis, id ident.Service, n float64) {
	s := p.service(id, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.refill(now, p.retryLimits.Load())
	s.budget.tokens -= n
	s.budget.fraction += n
	whole := uint64(s.budget.fraction)
	s.budget.fraction -= float64(whole)
	s.budget.retries += whole
}

// RetriesLeft returns the number of retries left, which may be a fraction, for the
// service with the fewest; 0 if none is left or no service's budget was used yet.
func (p *Picker) RetriesLeft() float64 {
	p.mu.RLock()
	defer p.mu.RUnlock()
	fewest := math.Inf(1)
	for _, s := range p.services {
		s.mu.Lock()
		if s.budget.initialized {
			fewest = min(fewest, max(s.budget.tokens, 0))
		}
		s.mu.Unlock()
	}
	if math.IsInf(fewest, 1) {
		return 0
	}
	return fewest
}

// RetryCounts returns this daemon's counts for every service with requests, ordered
// by service.
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

// ApplyPeerRetries applies the counts of another daemon that shares the budget: its
// requests add retries and its retries take them. The first counts from an
// incarnation of a daemon only set the starting point, and so do counts that are
// lower than the ones before.
func (p *Picker) ApplyPeerRetries(now clock.Millis, from ident.Instance, incarnation ident.Incarnation, count RetryCount) {
	s := p.service(count.Service, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &s.budget
	if b.peerCounts == nil {
		b.peerCounts = map[ident.Instance]peerCount{}
	}
	previous, known := b.peerCounts[from]
	b.peerCounts[from] = peerCount{incarnation, count.Requests, count.Retries, now}
	if !known || previous.incarnation != incarnation || count.Requests < previous.requests || count.Retries < previous.retries {
		return
	}
	r := p.retryLimits.Load()
	b.refill(now, r)
	b.add(float64(count.Requests-previous.requests)*r.PerRequest, r)
	b.tokens -= float64(count.Retries - previous.retries)
}
