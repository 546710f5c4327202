package trial

import (
	"math/rand/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/queue"
)

// The service of the overload trial: four targets of four slots that serve 160
// requests a second, asked for six in ten of that on a calm day.
const (
	rushTrial   = 60 * clock.Second
	rushFrom    = 20 * clock.Second
	rushUntil   = 40 * clock.Second
	rushTargets = 4
	rushSlots   = 4
	rushPlaces  = 40
	rushWork    = 100 * clock.Millisecond
	rushRate    = 96.0
	// rushWindow is the span of the worst window, in milliseconds.
	rushWindow = 2 * clock.Second
	// rushTries is how often callers of the impatient pattern come again, and
	// rushPause the time before that.
	rushTries = 4
	rushPause = 10 * clock.Millisecond
	// callWork and callLimit are the work and the time limit of a call that a
	// request makes while it holds its slot.
	callWork  = 20 * clock.Millisecond
	callLimit = 400 * clock.Millisecond
)

// rushTeam is a team of the overload trial.
type rushTeam struct {
	part float64
	rank uint32
}

// rushTeams share the demand; the one asked for more in the pattern of a hot
// team is hotTeam.
var rushTeams = [...]rushTeam{{0.3, 0}, {0.2, 1}, {0.2, 1}, {0.15, 2}, {0.1, 2}, {0.05, 2}}

const hotTeam = 4

// rushKind is a kind of request.
type rushKind struct {
	part     float64
	priority ident.Priority
	worth    float64
	aim      clock.Millis
	limit    clock.Millis
}

// rushKinds have worth in full within their aim and half within their limit.
var rushKinds = [...]rushKind{
	{0.2, ident.PriorityHigh, 3, 1500, 8000},
	{0.6, ident.PriorityNormal, 2, 2000, 8000},
	{0.2, ident.PriorityLow, 1, 2000, 6000},
}

// RushScript is a pattern of overload between rushFrom and rushUntil.
type RushScript struct {
	Name string
	// Rate times all demand, Hot that of one team, Work the service time.
	Rate float64
	Hot  float64
	Work float64
	// Lost is the number of targets that do not work.
	Lost int
	// Impatient callers come again at once after a refusal.
	Impatient bool
	// Calls tells that normal requests call the service again while they hold
	// their slot.
	Calls bool
}

// RushScripts are the patterns of overload.
var RushScripts = []RushScript{
	{Name: "calm", Rate: 1, Hot: 1, Work: 1},
	{Name: "rush at 2 times", Rate: 2, Hot: 1, Work: 1},
	{Name: "one team at 7.5 times", Rate: 1, Hot: 7.5, Work: 1},
	{Name: "clients that repeat at once", Rate: 2, Hot: 1, Work: 1, Impatient: true},
	{Name: "half of the targets", Rate: 1, Hot: 1, Work: 1, Lost: rushTargets / 2},
	{Name: "slow service", Rate: 1, Hot: 1, Work: 3},
	{Name: "calls at full targets", Rate: 1.5, Hot: 1, Work: 1, Calls: true},
}

// RushWay is a way of sharing full targets.
type RushWay struct {
	Name string
	line func() Line
	// plain leaves out ranks, times of use and the urgency of calls.
	plain bool
}

// RushWays are the naive way, the line without ranks, times of use and urgent
// calls, and the product's.
var RushWays = []RushWay{
	{"order of arrival", func() Line { return &firstCome{slots: rushSlots, places: rushPlaces} }, true},
	{"teams and priorities", func() Line { return queue.New(rushSlots, rushPlaces) }, true},
	{"product", func() Line { return queue.New(rushSlots, rushPlaces) }, false},
}

// RushResult is one trial's outcome; parts are of the worth asked for during the
// disturbance.
type RushResult struct {
	Earned      float64
	WorstKind   float64
	WorstTeam   float64
	WorstWindow float64
	// FirstRank is the part of the teams of the first rank.
	FirstRank float64
	// Refused is the part of the requests that were refused, and Wait the mean
	// wait of those served.
	Refused float64
	Wait    clock.Millis
}

// ledger adds up worth.
type ledger struct{ asked, earned float64 }

func (l ledger) part() float64 {
	if l.asked == 0 {
		return 1
	}
	return l.earned / l.asked
}

// rushJob is one request or call.
type rushJob struct {
	team  int
	kind  int
	began clock.Millis
	tries int
	// then is told how a call ended; nil for requests.
	then func(ok bool)
}

type rushRun struct {
	agenda agenda
	now    clock.Millis
	rnd    *rand.Rand
	script RushScript
	way    RushWay
	lines  []Line
	load   []int
	jobs   map[queue.JobID]*rushJob
	at     map[queue.JobID]int
	last   queue.JobID

	kinds   [len(rushKinds)]ledger
	teams   [len(rushTeams)]ledger
	windows map[clock.Millis]*ledger
	asked   int
	refused int
	served  int
	waited  clock.Millis
}

// Rush plays a pattern of overload.
func Rush(script RushScript, way RushWay, seed uint64) RushResult {
	r := &rushRun{
		rnd: rand.New(rand.NewPCG(seed, 11)), script: script, way: way, load: make([]int, rushTargets),
		jobs: map[queue.JobID]*rushJob{}, at: map[queue.JobID]int{}, windows: map[clock.Millis]*ledger{},
	}
	for range rushTargets {
		r.lines = append(r.lines, way.line())
	}
	for team := range rushTeams {
		r.arrive(team, 0)
	}
	r.agenda.play(&r.now)
	return r.sum()
}

func (r *rushRun) isDisturbed() bool { return r.now >= rushFrom && r.now < rushUntil }

// arrive makes a team's next request.
func (r *rushRun) arrive(team int, at float64) {
	rate := rushRate * rushTeams[team].part
	if r.isDisturbed() {
		rate *= r.script.Rate
		if team == hotTeam {
			rate *= r.script.Hot
		}
	}
	next := at + r.rnd.ExpFloat64()/rate*float64(clock.Second)
	if clock.Millis(next) >= rushTrial {
		return
	}
	r.agenda.add(clock.Millis(next), func() {
		r.request(team)
		r.arrive(team, next)
	})
}

func (r *rushRun) request(team int) {
	x, kind := r.rnd.Float64(), 0
	for ; x >= rushKinds[kind].part && kind < len(rushKinds)-1; kind++ {
		x -= rushKinds[kind].part
	}
	j := &rushJob{team: team, kind: kind, began: r.now}
	if r.isDisturbed() {
		r.asked++
		worth := rushKinds[kind].worth
		r.kinds[kind].asked += worth
		r.teams[team].asked += worth
		r.window(j).asked += worth
	}
	r.offer(j)
}

func (r *rushRun) window(j *rushJob) *ledger {
	at := j.began / rushWindow
	if r.windows[at] == nil {
		r.windows[at] = &ledger{}
	}
	return r.windows[at]
}

// offer sends a job to the target that has least to do.
func (r *rushRun) offer(j *rushJob) {
	targets := rushTargets
	if r.isDisturbed() {
		targets -= r.script.Lost
	}
	best := r.rnd.IntN(targets)
	for i := range targets {
		if r.load[i] < r.load[best] {
			best = i
		}
	}
	r.last++
	id := r.last
	r.jobs[id], r.at[id] = j, best
	r.load[best]++
	r.take(r.lines[best].Offer(r.now, r.jobOf(id, j)))
}

// jobOf is a job as the way sees it.
func (r *rushRun) jobOf(id queue.JobID, j *rushJob) queue.Job {
	kind := rushKinds[j.kind]
	out := queue.Job{ID: id, Team: teamName(j.team), Priority: kind.priority, Weight: 1, Deadline: j.began + kind.limit}
	if j.then != nil {
		out.Team, out.Deadline = "", j.began+callLimit
	}
	if r.way.plain {
		return out
	}
	out.Rank, out.Start = rushTeams[j.team].rank, j.began+kind.aim-rushWork
	if j.then != nil {
		out.Rank, out.Priority, out.Start = 0, ident.PriorityUrgent, 0
	}
	return out
}

func (r *rushRun) take(effects []queue.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case queue.Start:
			r.run(e.ID)
		case queue.Refuse:
			j := r.jobs[e.ID]
			r.load[r.at[e.ID]]--
			r.forget(e.ID)
			r.refuse(j)
		}
	}
}

func (r *rushRun) forget(id queue.JobID) {
	delete(r.jobs, id)
	delete(r.at, id)
}

func (r *rushRun) refuse(j *rushJob) {
	switch {
	case j.then != nil:
		j.then(false)
	case r.script.Impatient && j.tries < rushTries:
		j.tries++
		r.agenda.add(r.now+rushPause, func() { r.offer(j) })
	case r.counts(j):
		r.refused++
	}
}

// counts reports whether a job was asked for during the disturbance.
func (r *rushRun) counts(j *rushJob) bool {
	return j.then == nil && j.began >= rushFrom && j.began < rushUntil
}

// run works on a job that has its slot.
func (r *rushRun) run(id queue.JobID) {
	j := r.jobs[id]
	mean := rushWork
	if j.then != nil {
		mean = callWork
	}
	work := float64(mean) * (0.5 + r.rnd.ExpFloat64()/2)
	if r.isDisturbed() {
		work *= r.script.Work
	}
	started := r.now
	end := func(ok bool) {
		target := r.at[id]
		r.load[target]--
		r.forget(id)
		r.finish(j, ok, started)
		r.take(r.lines[target].Done(r.now))
	}
	r.agenda.add(r.now+clock.Millis(work)+1, func() {
		if !r.script.Calls || j.then != nil || rushKinds[j.kind].priority != ident.PriorityNormal {
			end(true)
			return
		}
		r.call(j, end)
	})
}

// call makes a call for a job that holds its slot, and gives it up when its time
// is over.
func (r *rushRun) call(j *rushJob, end func(ok bool)) {
	over := false
	once := func(ok bool) {
		if !over {
			over = true
			end(ok)
		}
	}
	r.agenda.add(r.now+callLimit, func() { once(false) })
	r.offer(&rushJob{team: j.team, kind: j.kind, began: r.now, then: once})
}

// finish counts what a job earned.
func (r *rushRun) finish(j *rushJob, ok bool, started clock.Millis) {
	if j.then != nil {
		j.then(true)
		return
	}
	if !r.counts(j) || !ok {
		return
	}
	kind := rushKinds[j.kind]
	worth := kind.worth
	switch took := r.now - j.began; {
	case took > kind.limit:
		return
	case took > kind.aim:
		worth /= 2
	}
	r.served++
	r.waited += started - j.began
	r.kinds[j.kind].earned += worth
	r.teams[j.team].earned += worth
	r.window(j).earned += worth
}

func (r *rushRun) sum() RushResult {
	out := RushResult{WorstKind: 1, WorstTeam: 1, WorstWindow: 1, Wait: r.waited / clock.Millis(max(r.served, 1))}
	var all, first ledger
	for _, k := range r.kinds {
		all.asked += k.asked
		all.earned += k.earned
		out.WorstKind = min(out.WorstKind, k.part())
	}
	for i, t := range r.teams {
		if rushTeams[i].rank == 0 {
			first.asked += t.asked
			first.earned += t.earned
		}
		// A team that asks for many times its usual part is not owed it.
		if r.script.Hot == 1 || i != hotTeam {
			out.WorstTeam = min(out.WorstTeam, t.part())
		}
	}
	for _, w := range r.windows {
		out.WorstWindow = min(out.WorstWindow, w.part())
	}
	out.Earned, out.FirstRank = all.part(), first.part()
	out.Refused = float64(r.refused) / float64(max(r.asked, 1))
	return out
}
