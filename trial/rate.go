package trial

import (
	"container/heap"
	"math/rand/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
)

// DemandPattern defines how many requests each team sends relative to its rate, and
// through which entries.
type DemandPattern struct {
	Name string
	// Demand returns a team's demand at a time as a multiple of its rate.
	Demand func(team int, at clock.Millis) float64
	// Entry returns the index of the entry that gets one request.
	Entry func(rnd *rand.Rand, team int, at clock.Millis) int
}

const (
	rateDuration  = 60 * clock.Second
	rateEntries   = 36
	rateTeamCount = 8
	// entriesPerDC is the number of entries in a data centre.
	entriesPerDC = 6
	// entriesPerRegion is the number of entries in a region.
	entriesPerRegion = 12
	rateSlots        = 36
	rttSameDC        = 1 * clock.Millisecond
	rttSameRegion    = 2 * clock.Millisecond
	rttOtherRegion   = 16 * clock.Millisecond
)

// rateAllowances are the limits of a few large and some small teams. The burst
// is one second's rate, and two seconds' rate for the smallest team.
var rateAllowances = [rateTeamCount]limit.Allowance{
	{Rate: 400, Burst: 400},
	{Rate: 400, Burst: 400},
	{Rate: 100, Burst: 100},
	{Rate: 50, Burst: 50},
	{Rate: 20, Burst: 20},
	{Rate: 10, Burst: 10},
	{Rate: 5, Burst: 5},
	{Rate: 2, Burst: 4},
}

func anyEntry(rnd *rand.Rand, _ int, _ clock.Millis) int { return rnd.IntN(rateEntries) }

func entryOfFirstDC(rnd *rand.Rand, _ int, _ clock.Millis) int { return rnd.IntN(entriesPerDC) }

// entryOfMovingDC sends all requests of a team to one data centre, and moves to the
// next one every 10 s.
func entryOfMovingDC(rnd *rand.Rand, team int, at clock.Millis) int {
	dc := (int(at/(10*clock.Second)) + team) % (rateEntries / entriesPerDC)
	return dc*entriesPerDC + rnd.IntN(entriesPerDC)
}

func steadyDemand(int, clock.Millis) float64 { return 0.8 }

func surgeDemand(_ int, at clock.Millis) float64 {
	if at > rateDuration*2/3 {
		return 0.95
	}
	return 0.2
}

func greedyDemand(team int, _ clock.Millis) float64 {
	if team == 0 {
		return 4
	}
	return 0.8
}

// DemandPatterns lists the demand patterns that every rate limiter is tested with.
var DemandPatterns = []DemandPattern{
	{"steady", steadyDemand, anyEntry},
	{"closing-time rush", surgeDemand, anyEntry},
	{"all at one data centre", steadyDemand, entryOfFirstDC},
	{"moving between data centres", steadyDemand, entryOfMovingDC},
	{"one team at 4x its rate", greedyDemand, anyEntry},
}

// RateResult is the result of one rate limit trial.
type RateResult struct {
	// Sent counts all requests.
	Sent int
	// WronglyRefused counts how many fewer requests were admitted than one exact
	// token bucket for the whole fleet would have admitted, summed over the teams.
	WronglyRefused int
	// WorstTeam is the lowest ratio, over the teams, of admitted requests to those
	// that an exact bucket would have admitted.
	WorstTeam float64
	// AdmittedOverLimit counts the requests that were admitted although an exact
	// bucket, from which every admitted request takes a token, was empty.
	AdmittedOverLimit int
	// Draws counts the draw messages to slot holders. Waited counts the requests
	// that had to wait for a draw.
	Draws  int
	Waited int
	// DrawsToOtherRegions counts the draws to another region that requests waited
	// for.
	DrawsToOtherRegions int
}

// event is an action at a simulated time. Events of the same time run in the order
// in which they were added.
type event struct {
	at    clock.Millis
	order int
	run   func()
}

// eventQueue is the heap of scheduled events, earliest first.
type eventQueue struct {
	events    []event
	lastOrder int
}

// Len implements heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less implements heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	if q.events[i].at != q.events[j].at {
		return q.events[i].at < q.events[j].at
	}
	return q.events[i].order < q.events[j].order
}

// Swap implements heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// run runs all events in order of time and sets now to the time of each event
// before it runs. It returns when no events are left.
func (q *eventQueue) run(now *clock.Millis) {
	for q.Len() > 0 {
		next := heap.Pop(q).(event)
		*now = next.at
		next.run()
	}
}

func (q *eventQueue) add(at clock.Millis, run func()) {
	q.lastOrder++
	heap.Push(q, event{at: at, order: q.lastOrder, run: run})
}

// tokenBucket is an exact token bucket: its level is not rounded to whole tokens.
type tokenBucket struct {
	level      float64
	refilledAt clock.Millis
	allowance  limit.Allowance
}

func (b *tokenBucket) refill(now clock.Millis) {
	b.level = min(float64(b.allowance.Burst), b.level+float64(now-b.refilledAt)*float64(b.allowance.Rate)/1000)
	b.refilledAt = now
}

// rateRun holds the state of one rate limit trial.
type rateRun struct {
	schedule eventQueue
	now      clock.Millis
	// admitted has one bucket for each team, from which every admitted request
	// takes a token; a negative level means that the team is over its limit.
	// ideal has one bucket for each team, which decides on every request
	// independently of the rate limiter. idealServed counts the requests that it
	// admits.
	admitted    [rateTeamCount]tokenBucket
	ideal       [rateTeamCount]tokenBucket
	idealServed [rateTeamCount]int
	served      [rateTeamCount]int
	result      RateResult
}

// RateLimiter is a rate limiter under test. It decides on one request and calls done
// once with its decision, immediately or at a later simulated time.
type RateLimiter func(r *rateRun, entry, team int, done func(bool))

// RunRateLimit simulates one demand pattern with one rate limiter and compares its
// decisions with exact token buckets. admit must be new, because it keeps state.
// Equal seeds give equal results.
func RunRateLimit(pattern DemandPattern, admit RateLimiter, seed uint64) RateResult {
	r := &rateRun{}
	for i, a := range rateAllowances {
		r.admitted[i] = tokenBucket{level: float64(a.Burst), allowance: a}
		r.ideal[i] = tokenBucket{level: float64(a.Burst), allowance: a}
		r.scheduleArrival(pattern, admit, i, rand.New(rand.NewPCG(seed, uint64(i))), 0)
	}
	r.schedule.run(&r.now)
	r.result.WorstTeam = 1
	for i := range rateTeamCount {
		r.result.WronglyRefused += max(0, r.idealServed[i]-r.served[i])
		if r.idealServed[i] > 0 {
			r.result.WorstTeam = min(r.result.WorstTeam, float64(r.served[i])/float64(r.idealServed[i]))
		}
	}
	return r.result
}

// scheduleArrival adds the next request of a team. at is the time of its previous
// request in milliseconds, not rounded, because rounding would raise the rate.
func (r *rateRun) scheduleArrival(pattern DemandPattern, admit RateLimiter, team int, rnd *rand.Rand, at float64) {
	now := clock.Millis(at)
	rate := pattern.Demand(team, now) * float64(rateAllowances[team].Rate)
	nextAt := at + rnd.ExpFloat64()/rate*float64(clock.Second)
	if clock.Millis(nextAt) >= rateDuration {
		return
	}
	r.schedule.add(clock.Millis(nextAt), func() {
		r.request(admit, pattern.Entry(rnd, team, clock.Millis(nextAt)), team)
		r.scheduleArrival(pattern, admit, team, rnd, nextAt)
	})
}

func (r *rateRun) request(admit RateLimiter, entry, team int) {
	r.result.Sent++
	ideal := &r.ideal[team]
	ideal.refill(r.now)
	if ideal.level >= 1 {
		ideal.level--
		r.idealServed[team]++
	}
	admit(r, entry, team, func(ok bool) {
		admitted := &r.admitted[team]
		admitted.refill(r.now)
		switch {
		case ok:
			admitted.level--
			if admitted.level < -1e-6 {
				r.result.AdmittedOverLimit++
			}
			r.served[team]++
		}
	})
}

// NewEqualSplitLimiter returns a rate limiter that gives every entry an equal share
// of each team's rate and burst. It is the baseline for the product's rate limiter.
func NewEqualSplitLimiter() RateLimiter {
	var shares [rateEntries][rateTeamCount]tokenBucket
	for e := range shares {
		for i, a := range rateAllowances {
			shares[e][i] = tokenBucket{allowance: a, level: float64(a.Burst) / rateEntries}
		}
	}
	return func(r *rateRun, entry, team int, done func(bool)) {
		b := &shares[entry][team]
		b.level = min(float64(b.allowance.Burst)/rateEntries, b.level+float64(r.now-b.refilledAt)*float64(b.allowance.Rate)/1000/rateEntries)
		b.refilledAt = r.now
		if b.level < 1 {
			done(false)
			return
		}
		b.level--
		done(true)
	}
}

// NewDrawLimiter returns the product's rate limiter: rate slots hold exact buckets,
// and entries draw tokens from them. Drawn tokens expire.
func NewDrawLimiter() RateLimiter {
	alloc := limit.NewAllocator(rateSlots)
	caches := make([]*limit.TokenCache, rateEntries)
	for i := range caches {
		caches[i] = limit.NewTokenCache(rateSlots, func(slot limit.Slot) int { return int(roundTripTime(i, int(slot))) })
	}
	d := &drawLimiter{alloc: alloc, tokenCaches: caches}
	return d.admit
}

// drawLimiter connects the token caches of all entries to the allocator of all rate
// slots, with simulated network delays.
type drawLimiter struct {
	alloc       *limit.Allocator
	tokenCaches []*limit.TokenCache
}

func teamName(i int) ident.Team { return ident.Team(rune('a' + i)) }

func (d *drawLimiter) admit(r *rateRun, entry, team int, done func(bool)) {
	d.tryTake(r, entry, team, nil, done)
}

// tryTake takes a token from the entry's cache and draws from slots that are not in
// tried until a request is admitted or refused.
func (d *drawLimiter) tryTake(r *rateRun, entry, team int, tried []limit.Slot, done func(bool)) {
	// The clock of the limiter is one hour ahead: slots have been held for that
	// time when the trial starts, and their buckets are full.
	switch v := d.tokenCaches[entry].Take(r.now+clock.Hour, teamName(team), rateAllowances[team], tried).(type) {
	case limit.Admit:
		done(true)
		if v.Prefetch.Want > 0 {
			d.draw(r, entry, team, v.Prefetch, func() {})
		}
	case limit.Refuse:
		done(false)
	case limit.Draw:
		if len(tried) == 0 {
			r.result.Waited++
		}
		if roundTripTime(entry, int(v.Slot)) == rttOtherRegion {
			r.result.DrawsToOtherRegions++
		}
		d.draw(r, entry, team, v, func() { d.tryTake(r, entry, team, append(tried, v.Slot), done) })
	}
}

// draw sends a draw to the holder of a slot and calls then when the grant has come
// back.
func (d *drawLimiter) draw(r *rateRun, entry, team int, v limit.Draw, then func()) {
	r.result.Draws++
	sentAt := r.now + clock.Hour
	oneWay := roundTripTime(entry, int(v.Slot)) / 2
	r.schedule.add(r.now+oneWay, func() {
		g := d.alloc.Grant(r.now+clock.Hour, 0, v.Slot, teamName(team), rateAllowances[team], v.Want)
		r.schedule.add(r.now+oneWay, func() {
			d.tokenCaches[entry].AddGrant(sentAt, teamName(team), v.Slot, g)
			then()
		})
	})
}

// roundTripTime returns the network round trip between an entry and the holder of a
// slot, in milliseconds. Slots that differ modulo three are in different regions, as
// in limit.Place.
func roundTripTime(entry, slot int) clock.Millis {
	region := slot % 3
	holder := region*entriesPerRegion + slot/3
	switch {
	case holder/entriesPerDC == entry/entriesPerDC:
		return rttSameDC
	case holder/entriesPerRegion == entry/entriesPerRegion:
		return rttSameRegion
	default:
		return rttOtherRegion
	}
}
