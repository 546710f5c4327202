package trial

import (
	"container/heap"
	"math/rand/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
)

// RateScript is a pattern of demand: how much of its rate a team asks for, and
// at which entries.
type RateScript struct {
	Name string
	// Demand returns the part of a team's rate that it asks for at a time.
	Demand func(team int, at clock.Millis) float64
	// Entry returns the entry of one request.
	Entry func(rnd *rand.Rand, team int, at clock.Millis) int
}

const (
	rateTrial   = 60 * clock.Second
	rateEntries = 36
	rateTeams   = 8
	// entriesPerDC is the number of entries in a data centre.
	entriesPerDC = 6
	// entriesPerRegion is the number of entries in a region.
	entriesPerRegion = 12
	rateSlots        = 36
	sameDC           = 1 * clock.Millisecond
	sameRegion       = 2 * clock.Millisecond
	farRegion        = 16 * clock.Millisecond
)

// rateAllowances are a few large and some small teams; the burst is one
// second's rate.
var rateAllowances = [rateTeams]limit.Allowance{
	{Rate: 400, Burst: 400},
	{Rate: 400, Burst: 400},
	{Rate: 100, Burst: 100},
	{Rate: 50, Burst: 50},
	{Rate: 20, Burst: 20},
	{Rate: 10, Burst: 10},
	{Rate: 5, Burst: 5},
	{Rate: 2, Burst: 4},
}

func anywhere(rnd *rand.Rand, _ int, _ clock.Millis) int { return rnd.IntN(rateEntries) }

func oneDC(rnd *rand.Rand, _ int, _ clock.Millis) int { return rnd.IntN(entriesPerDC) }

func moving(rnd *rand.Rand, team int, at clock.Millis) int {
	dc := (int(at/(10*clock.Second)) + team) % (rateEntries / entriesPerDC)
	return dc*entriesPerDC + rnd.IntN(entriesPerDC)
}

func steadyDemand(int, clock.Millis) float64 { return 0.8 }

func rushDemand(_ int, at clock.Millis) float64 {
	if at > rateTrial*2/3 {
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

// RateScripts are the patterns that the ways of limiting are tried on.
var RateScripts = []RateScript{
	{"steady", steadyDemand, anywhere},
	{"closing-time rush", rushDemand, anywhere},
	{"all at one data centre", steadyDemand, oneDC},
	{"moving between data centres", steadyDemand, moving},
	{"one team at 4x its rate", greedyDemand, anywhere},
}

// RateResult is one trial's outcome.
type RateResult struct {
	Sent int
	// Wrong counts, over the teams, by how many fewer requests were admitted
	// than by an exact bucket for the whole fleet.
	Wrong int
	// WorstTeam is the lowest part of its rightful requests that a team got
	// served.
	WorstTeam float64
	// Over counts the requests admitted although the exact bucket was empty.
	Over int
	// Draws counts the messages to slot holders; Waited counts the requests
	// that had to wait for one.
	Draws  int
	Waited int
	// Far counts the requests that waited for a draw to another region.
	Far int
}

// arrival is a request, or a grant on its way back.
type arrival struct {
	at    clock.Millis
	order int
	run   func()
}

type agenda struct {
	list []arrival
	next int
}

// Len implements heap.Interface.
func (a *agenda) Len() int { return len(a.list) }

// Less implements heap.Interface.
func (a *agenda) Less(i, j int) bool {
	if a.list[i].at != a.list[j].at {
		return a.list[i].at < a.list[j].at
	}
	return a.list[i].order < a.list[j].order
}

// Swap implements heap.Interface.
func (a *agenda) Swap(i, j int) { a.list[i], a.list[j] = a.list[j], a.list[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { a.list = append(a.list, x.(arrival)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := a.list[len(a.list)-1]
	a.list = a.list[:len(a.list)-1]
	return last
}

// play runs everything in order of time, and keeps the time.
func (a *agenda) play(now *clock.Millis) {
	for a.Len() > 0 {
		next := heap.Pop(a).(arrival)
		*now = next.at
		next.run()
	}
}

func (a *agenda) add(at clock.Millis, run func()) {
	a.next++
	heap.Push(a, arrival{at: at, order: a.next, run: run})
}

// exact is one bucket for the whole fleet.
type exact struct {
	level float64
	at    clock.Millis
	a     limit.Allowance
}

func (b *exact) refill(now clock.Millis) {
	b.level = min(float64(b.a.Burst), b.level+float64(now-b.at)*float64(b.a.Rate)/1000)
	b.at = now
}

// rateTrialRun is one run: the requests, the exact buckets, and a way to
// admit.
type rateTrialRun struct {
	agenda agenda
	now    clock.Millis
	// oracle follows what was admitted; ideal follows what an exact bucket
	// would have admitted of all requests.
	oracle [rateTeams]exact
	ideal  [rateTeams]exact
	right  [rateTeams]int
	served [rateTeams]int
	result RateResult
}

// Admitter is a way of limiting: it calls done with its word, at once or later.
type Admitter func(r *rateTrialRun, entry, team int, done func(bool))

// Rate runs one way of limiting on one pattern.
func Rate(script RateScript, admit Admitter, seed uint64) RateResult {
	r := &rateTrialRun{}
	for i, a := range rateAllowances {
		r.oracle[i] = exact{level: float64(a.Burst), a: a}
		r.ideal[i] = exact{level: float64(a.Burst), a: a}
		r.schedule(script, admit, i, rand.New(rand.NewPCG(seed, uint64(i))), 0)
	}
	r.agenda.play(&r.now)
	r.result.WorstTeam = 1
	for i := range rateTeams {
		r.result.Wrong += max(0, r.right[i]-r.served[i])
		if r.right[i] > 0 {
			r.result.WorstTeam = min(r.result.WorstTeam, float64(r.served[i])/float64(r.right[i]))
		}
	}
	return r.result
}

// schedule adds a team's next arrival. at is in fractions of a millisecond, so
// that rounding does not raise the rate.
func (r *rateTrialRun) schedule(script RateScript, admit Admitter, team int, rnd *rand.Rand, at float64) {
	now := clock.Millis(at)
	rate := script.Demand(team, now) * float64(rateAllowances[team].Rate)
	next := at + rnd.ExpFloat64()/rate*float64(clock.Second)
	if clock.Millis(next) >= rateTrial {
		return
	}
	r.agenda.add(clock.Millis(next), func() {
		r.request(admit, script.Entry(rnd, team, clock.Millis(next)), team)
		r.schedule(script, admit, team, rnd, next)
	})
}

func (r *rateTrialRun) request(admit Admitter, entry, team int) {
	r.result.Sent++
	ideal := &r.ideal[team]
	ideal.refill(r.now)
	if ideal.level >= 1 {
		ideal.level--
		r.right[team]++
	}
	admit(r, entry, team, func(ok bool) {
		o := &r.oracle[team]
		o.refill(r.now)
		switch {
		case ok:
			o.level--
			if o.level < -1e-6 {
				r.result.Over++
			}
			r.served[team]++
		}
	})
}

// EqualSplit gives every entry an equal part of each team's rate and burst.
func EqualSplit() Admitter {
	var parts [rateEntries][rateTeams]exact
	for e := range parts {
		for i, a := range rateAllowances {
			parts[e][i] = exact{a: a, level: float64(a.Burst) / rateEntries}
		}
	}
	return func(r *rateTrialRun, entry, team int, done func(bool)) {
		b := &parts[entry][team]
		b.level = min(float64(b.a.Burst)/rateEntries, b.level+float64(r.now-b.at)*float64(b.a.Rate)/1000/rateEntries)
		b.at = r.now
		if b.level < 1 {
			done(false)
			return
		}
		b.level--
		done(true)
	}
}

// DrawnTokens is the product's way: rate slots with exact buckets, and entries
// that draw tokens that expire.
func DrawnTokens() Admitter {
	alloc := limit.NewAllocator(rateSlots)
	purses := make([]*limit.Purse, rateEntries)
	for i := range purses {
		purses[i] = limit.NewPurse(rateSlots, func(slot limit.Slot) int { return int(distance(i, int(slot))) })
	}
	d := &drawn{alloc: alloc, purses: purses}
	return d.admit
}

type drawn struct {
	alloc  *limit.Allocator
	purses []*limit.Purse
}

func teamName(i int) ident.Team { return ident.Team(rune('a' + i)) }

func (d *drawn) admit(r *rateTrialRun, entry, team int, done func(bool)) {
	d.take(r, entry, team, nil, done)
}

func (d *drawn) take(r *rateTrialRun, entry, team int, tried []limit.Slot, done func(bool)) {
	// Slots were held for an hour before the trial, so that buckets are full.
	switch v := d.purses[entry].Take(r.now+clock.Hour, teamName(team), rateAllowances[team], tried).(type) {
	case limit.Admit:
		done(true)
		if v.Prefetch.Want > 0 {
			d.draw(r, entry, team, v.Prefetch, func() {})
		}
	case limit.Wait:
		done(false)
	case limit.Draw:
		if len(tried) == 0 {
			r.result.Waited++
		}
		if distance(entry, int(v.Slot)) == farRegion {
			r.result.Far++
		}
		d.draw(r, entry, team, v, func() { d.take(r, entry, team, append(tried, v.Slot), done) })
	}
}

func (d *drawn) draw(r *rateTrialRun, entry, team int, v limit.Draw, then func()) {
	r.result.Draws++
	asked := r.now + clock.Hour
	oneWay := distance(entry, int(v.Slot)) / 2
	r.agenda.add(r.now+oneWay, func() {
		g := d.alloc.Grant(r.now+clock.Hour, 0, v.Slot, teamName(team), rateAllowances[team], v.Want)
		r.agenda.add(r.now+oneWay, func() {
			d.purses[entry].Granted(asked, teamName(team), v.Slot, g)
			then()
		})
	})
}

// distance is the round trip from an entry to the holder of a slot. Slots that
// differ modulo three lie in different regions, as limit.Place puts them.
func distance(entry, slot int) clock.Millis {
	region := slot % 3
	holder := region*entriesPerRegion + slot/3
	switch {
	case holder/entriesPerDC == entry/entriesPerDC:
		return sameDC
	case holder/entriesPerRegion == entry/entriesPerRegion:
		return sameRegion
	default:
		return farRegion
	}
}
