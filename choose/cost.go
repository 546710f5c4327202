package choose

import (
	"chestnutlatch/clock"
	"chestnutlatch/health"
)

// Costs holds the cost of each disadvantage of a target, in units of a request's
// value: 1 is the value of a request that is served.
type Costs struct {
	// SameRegion is the latency cost of a target in another data centre of the
	// region, and OtherRegion that of a target in another region.
	SameRegion  float64
	OtherRegion float64
	// SameRegionByte and OtherRegionByte are the costs of each byte on these
	// links.
	SameRegionByte  float64
	OtherRegionByte float64
	// OneTimeFailure and IdempotentFailure are the costs of a failed one-time and
	// a failed idempotent request. The latter can be retried, but failure
	// episodes at a third of a service's targets use up the retry budget.
	OneTimeFailure    float64
	IdempotentFailure float64
	// QueuePerSlot is the cost of one request ahead in the queue for each slot.
	// MaxQueue bounds the queue cost: a late response is worth less than one in
	// time, but more than a failure.
	QueuePerSlot float64
	MaxQueue     float64
	// ProbeValue is the value of the information from a request to a target
	// whose health is unknown, and from a recovery probe.
	ProbeValue float64
	// UnreachablePath is the cost of an unreachable path.
	UnreachablePath float64
	// Shed is the cost of a target that refuses every request without running it: about
	// that of the retry. A smaller share costs less.
	Shed float64
	// SilentDaemon is the cost of a target whose daemon has sent no load report for
	// SilentAfter, although others of its data centre have; 0 ignores silence.
	SilentDaemon float64
	SilentAfter  clock.Millis
	// Cold is the cost of a cold target whose request limit is nearly used up; a smaller
	// used part costs less. ColdFull is the cost of one whose limit is used up: its guard
	// refuses the request.
	Cold     float64
	ColdFull float64
}

// DefaultCosts returns costs for data centres whose links are charged by volume.
func DefaultCosts() Costs {
	return Costs{
		SameRegion: 0.05, OtherRegion: 0.1, SameRegionByte: 0.05 / 1000, OtherRegionByte: 0.08 / 1000,
		OneTimeFailure: 1, IdempotentFailure: 0.9, QueuePerSlot: 0.2, MaxQueue: 0.6, ProbeValue: 0.12, UnreachablePath: 2,
		Shed: 0.3, SilentDaemon: 1,
		// A cold target of the own data centre costs as much as a warm one of another
		// region when half of its limit is used. ColdFull is above the cost of any warm
		// target that can take the request.
		Cold: 0.2, ColdFull: 1.9,
	}
}

// queueingUtilization is the slot utilization above which another request counts
// as queued, because a target slows down before all of its slots are in use.
const queueingUtilization = 0.75

// remoteQueueFactor multiplies the queue cost of a target outside the data centre.
const remoteQueueFactor = 2

// PickLowestCost returns the target with the lowest cost for the request, or false if
// there is none. It considers all targets that are up, neither draining nor drained
// by operators, where the request may be served, and not in Skip. A sick target or one with an unreachable path costs
// more but may be chosen, and FloorPercent has no effect. It chooses a cold target whose
// limit is used up only if no other one can be reached. It counts the request as in
// flight at that target; the caller must end it with Done. While the service has a
// retry left, some idempotent requests go to a suspect target as recovery probes.
func (p *Picker) PickLowestCost(now clock.Millis, req Request, costs Costs) (Candidate, bool) {
	s := p.service(req.Service, false)
	if s == nil {
		return Candidate{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The target with the lowest cost of those that are not cold and full, and of those
	// that are.
	var best, bestFull *target
	var lowest, lowestFull float64
	mean := p.meanUtilization(now, s, req)
	probe := !req.OneTime && s.budget.tokens >= 1 && s.rnd.IntN(probeOneIn) == 0
	for _, t := range excluding(s.eligible(req), req.Skip) {
		// The random part spreads the requests of all daemons over targets of
		// equal cost.
		cost := p.costOf(now, t, req, costs, mean) + maxTieBreak*s.rnd.Float64()
		if t.isColdFull(now, req) {
			if bestFull == nil || cost < lowestFull {
				bestFull, lowestFull = t, cost
			}
			continue
		}
		if probe && p.isDueForProbe(now, t) && !p.isSilent(now, t, costs) {
			cost = -costs.ProbeValue
		}
		if best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	// The guard of a cold and full target refuses the request, so such a target is chosen
	// only if all others are unreachable and cost more. The bytes to another region can
	// cost more than ColdFull.
	if best == nil || bestFull != nil && lowestFull < lowest && p.IsPathUnreachable(now, best.Instance) {
		best, lowest = bestFull, lowestFull
	}
	if best == nil {
		return Candidate{}, false
	}
	best.ownInFlight++
	c := best.Candidate
	if c.IsColdFull = best.isColdFull(now, req); !c.IsColdFull {
		best.countColdSend(now, req)
	}
	c.Cost = lowest
	c.Suspicion = best.suspicionAt(now)
	c.Utilization = best.utilization(now)
	c.Distance = p.distance(best)
	c.Age = best.reportAge(now)
	return c, true
}

const (
	// On average, one in probeOneIn idempotent requests may be a recovery probe. A
	// probe that fails takes a retry from the budget.
	probeOneIn = 4
	// SuspectThreshold is the suspicion, 0 to 1, from which a target is suspect: it is
	// more likely than not in a failure episode.
	SuspectThreshold = 0.5
	// maxProbeSuspicion is the suspicion below which a suspect target may be
	// probed again. With the default failure model, suspicion falls below it about
	// 1.5 s after a failed probe.
	maxProbeSuspicion = 0.8
)

// isDueForProbe reports whether an idempotent request may test whether a suspect
// target has recovered. Only targets of the own data centre are probed, because a
// probe there has no network cost.
func (p *Picker) isDueForProbe(now clock.Millis, t *target) bool {
	suspicion := t.suspicionAt(now)
	return suspicion >= SuspectThreshold && suspicion < maxProbeSuspicion && p.distance(t) == 0
}

// hasFreshReport reports whether there is a load report that is at most reportTTL
// old.
func (t *target) hasFreshReport(now clock.Millis) bool {
	return t.reportedAt > 0 && now-t.reportedAt <= reportTTL
}

// meanUtilization returns the mean slot utilization of the service's targets that
// are up, have a fresh load report and are where the request may be served, or 0 if
// there are none.
func (p *Picker) meanUtilization(now clock.Millis, s *service, req Request) float64 {
	total, n := 0.0, 0
	for _, t := range s.sorted {
		if t.Up && t.hasFreshReport(now) && req.permits(t) {
			total += t.utilization(now)
			n++
		}
	}
	return total / float64(max(n, 1))
}

// reportAge returns the age of the guard's last load report, in milliseconds; -1 if
// there is none.
func (t *target) reportAge(now clock.Millis) clock.Millis {
	if t.reportedAt == 0 {
		return -1
	}
	return now - t.reportedAt
}

// maxTieBreak bounds the random part of a target's cost. It is small compared with
// the other costs.
const maxTieBreak = 0.02

// costOf returns the cost of sending the request to a target, without the random
// part. The argument mean is the mean utilization of the service's targets that the
// request may reach.
func (p *Picker) costOf(now clock.Millis, t *target, req Request, costs Costs, mean float64) float64 {
	suspicion, distance := t.suspicionAt(now), p.distance(t)
	silent := p.isSilent(now, t, costs)
	cost := costs.OneTimeFailure * suspicion
	if !req.OneTime {
		// A suspicion at or below the prior costs nothing. Idempotent requests
		// therefore reach all targets, also new ones, and produce samples of each.
		prior := health.DefaultFailureModel().Prior()
		cost = costs.IdempotentFailure * max(suspicion-prior, 0)
		// A request is worth more if less is known about its target. Otherwise a
		// target without requests would stay unknown and get no one-time requests
		// either.
		if !silent {
			cost -= costs.ProbeValue * min(suspicion/prior, 1)
		}
	}
	switch distance {
	case 1:
		cost += costs.SameRegion + costs.SameRegionByte*req.Bytes
	case 2:
		cost += costs.OtherRegion + costs.OtherRegionByte*req.Bytes
	}
	utilization := t.utilizationWith(now, 1)
	if !t.hasFreshReport(now) {
		// A traffic surge reaches all targets at once: a target without a fresh
		// report counts as at least as busy as the others.
		utilization = max(utilization, mean)
	}
	queueCost := costs.QueuePerSlot * max(utilization-queueingUtilization, 0)
	if distance > 0 {
		// Its load report is older, and a refusal there costs the network round
		// trip twice.
		queueCost *= remoteQueueFactor
	}
	cost += min(queueCost, costs.MaxQueue)
	if t.isColdFull(now, req) {
		cost += costs.ColdFull
	} else {
		cost += costs.Cold * t.coldUsed(now, req)
	}
	if p.IsPathUnreachable(now, t.Instance) {
		cost += costs.UnreachablePath
	}
	if silent {
		cost += costs.SilentDaemon
	}
	if t.load.Shed > 0 {
		cost += costs.Shed * health.DecayShed(t.load.Shed, now-t.reportedAt)
	}
	return cost
}

// isSilent reports whether the daemon of a target in the own data centre has stopped
// sending load reports while others go on. It is probably down or cut off; a request to it
// would be lost until the connection fails. Load summaries of other data centres say
// nothing about silence, because they are written only when they change.
func (p *Picker) isSilent(now clock.Millis, t *target, costs Costs) bool {
	if costs.SilentAfter == 0 || t.Local || t.reportedAt == 0 || p.distance(t) > 0 || now-t.reportedAt <= costs.SilentAfter {
		return false
	}
	p.reportMu.RLock()
	defer p.reportMu.RUnlock()
	return now-p.lastReport <= costs.SilentAfter
}

// suspicionAt returns the suspicion from the guard's last load report, decayed
// to the given time, or the prior if there is no report.
func (t *target) suspicionAt(now clock.Millis) float64 {
	m := health.DefaultFailureModel()
	if t.reportedAt == 0 {
		return m.Prior()
	}
	return m.Decay(t.load.Suspicion, now-t.reportedAt)
}

// utilizationWith returns the slot utilization with the given number of requests
// added.
func (t *target) utilizationWith(now clock.Millis, added int) float64 {
	return t.utilization(now) + float64(added)/float64(max(t.Slots, 1))
}
