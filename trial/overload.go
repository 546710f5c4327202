package trial

import (
	"math/rand/v2"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/queue"
)

// The service of the overload trial has four targets with four slots each. They
// serve 160 requests per second; the normal demand is 60 % of that.
const (
	overloadDuration    = 60 * clock.Second
	overloadStart       = 20 * clock.Second
	overloadEnd         = 40 * clock.Second
	overloadTargets     = 4
	overloadSlots       = 4
	overloadQueueLimit  = 40
	overloadServiceTime = 100 * clock.Millisecond
	overloadRate        = 96.0
	// overloadWindow is the length of the windows of which the worst is reported.
	overloadWindow = 2 * clock.Second
	// maxCallerRetries is the number of retries of an impatient caller, and
	// callerRetryDelay the delay before each.
	maxCallerRetries = 4
	callerRetryDelay = 10 * clock.Millisecond
	// nestedCallTime and nestedCallTimeout are the mean service time and the time
	// limit of a call that a request makes while it holds its slot.
	nestedCallTime    = 20 * clock.Millisecond
	nestedCallTimeout = 400 * clock.Millisecond
)

// overloadTeam is a team of the overload trial.
type overloadTeam struct {
	// demandShare is the team's share of the normal demand, 0 to 1.
	demandShare float64
	// rank is the team's rank; 0 is served first.
	rank uint32
}

// overloadTeams lists the teams of the overload trial.
var overloadTeams = [...]overloadTeam{{0.3, 0}, {0.2, 1}, {0.2, 1}, {0.15, 2}, {0.1, 2}, {0.05, 2}}

// hotTeam is the index of the team whose demand a pattern can multiply on its own.
const hotTeam = 4

// requestKind is a kind of request. A request earns its full value if it is answered
// within the objective, half of it within the timeout, and nothing after that.
type requestKind struct {
	// demandShare is the kind's share of all requests, 0 to 1.
	demandShare float64
	priority    ident.Priority
	value       float64
	objective   clock.Millis
	timeout     clock.Millis
}

// requestKinds lists the kinds of requests. A higher priority has a higher value.
var requestKinds = [...]requestKind{
	{0.2, ident.PriorityHigh, 3, 1500, 8000},
	{0.6, ident.PriorityNormal, 2, 2000, 8000},
	{0.2, ident.PriorityLow, 1, 2000, 6000},
}

// OverloadPattern is an overload pattern. It applies between overloadStart and
// overloadEnd.
type OverloadPattern struct {
	Name string
	// RateFactor multiplies the demand of all teams, HotTeamFactor in addition that
	// of hotTeam, and SlowFactor the service time; 1 is normal.
	RateFactor    float64
	HotTeamFactor float64
	SlowFactor    float64
	// LostTargets is the number of targets that are not available.
	LostTargets int
	// Impatient makes callers retry a refused request almost immediately.
	Impatient bool
	// NestedCalls makes requests of normal priority call the same service while
	// they hold their slot.
	NestedCalls bool
}

// OverloadPatterns lists the overload patterns, with normal demand first.
var OverloadPatterns = []OverloadPattern{
	{Name: "calm", RateFactor: 1, HotTeamFactor: 1, SlowFactor: 1},
	{Name: "rush at 2 times", RateFactor: 2, HotTeamFactor: 1, SlowFactor: 1},
	{Name: "one team at 7.5 times", RateFactor: 1, HotTeamFactor: 7.5, SlowFactor: 1},
	{Name: "clients that repeat at once", RateFactor: 2, HotTeamFactor: 1, SlowFactor: 1, Impatient: true},
	{Name: "half of the targets", RateFactor: 1, HotTeamFactor: 1, SlowFactor: 1, LostTargets: overloadTargets / 2},
	{Name: "slow service", RateFactor: 1, HotTeamFactor: 1, SlowFactor: 3},
	{Name: "calls at full targets", RateFactor: 1.5, HotTeamFactor: 1, SlowFactor: 1, NestedCalls: true},
}

// OverloadPolicy defines how requests are scheduled at full targets.
type OverloadPolicy struct {
	Name         string
	newScheduler func() Scheduler
	// basic schedules without ranks, without times by which requests should
	// start, and without urgent priority for nested calls.
	basic bool
}

// OverloadPolicies lists the scheduling policies to compare: order of arrival, the
// product's queue with the basic policy, and the product's queue with its full
// policy.
var OverloadPolicies = []OverloadPolicy{
	{"order of arrival", func() Scheduler { return &fifoScheduler{slots: overloadSlots, queueLimit: overloadQueueLimit} }, true},
	{"teams and priorities", func() Scheduler { return queue.New(overloadSlots, overloadQueueLimit) }, true},
	{"product", func() Scheduler { return queue.New(overloadSlots, overloadQueueLimit) }, false},
}

// OverloadResult is the result of one overload trial. Ratios, 0 to 1, are those of
// the value earned to the value of the requests that arrived during the overload.
type OverloadResult struct {
	// Earned is the ratio for all requests. WorstKind, WorstTeam and WorstWindow
	// are the lowest ratios over the kinds, teams and windows.
	Earned      float64
	WorstKind   float64
	WorstTeam   float64
	WorstWindow float64
	// FirstRank is the ratio for the teams of rank 0.
	FirstRank float64
	// Refused is the share of requests that were refused. Wait is the mean wait of
	// the served requests, in milliseconds.
	Refused float64
	Wait    clock.Millis
}

// valueTotals sums the value of the arrived requests and the value earned.
type valueTotals struct{ requested, earned float64 }

// earnedRatio returns the earned share of the requested value; 1 if no request
// arrived.
func (v valueTotals) earnedRatio() float64 {
	if v.requested == 0 {
		return 1
	}
	return v.earned / v.requested
}

// overloadJob is one request, or one nested call of a request.
type overloadJob struct {
	team      int
	kind      int
	arrivedAt clock.Millis
	retries   int
	// onCallEnd gets the result of a nested call; nil for requests.
	onCallEnd func(ok bool)
}

// overloadRun holds the state of one overload trial.
type overloadRun struct {
	schedule   eventQueue
	now        clock.Millis
	rnd        *rand.Rand
	pattern    OverloadPattern
	policy     OverloadPolicy
	schedulers []Scheduler
	targetLoad []int
	jobs       map[queue.JobID]*overloadJob
	targetOf   map[queue.JobID]int
	lastID     queue.JobID

	kindTotals   [len(requestKinds)]valueTotals
	teamTotals   [len(overloadTeams)]valueTotals
	windowTotals map[clock.Millis]*valueTotals
	requested    int
	refused      int
	served       int
	totalWait    clock.Millis
}

// RunOverload simulates one overload pattern with one scheduling policy. Equal
// arguments give equal results.
func RunOverload(pattern OverloadPattern, policy OverloadPolicy, seed uint64) OverloadResult {
	r := &overloadRun{
		rnd: rand.New(rand.NewPCG(seed, 11)), pattern: pattern, policy: policy, targetLoad: make([]int, overloadTargets),
		jobs: map[queue.JobID]*overloadJob{}, targetOf: map[queue.JobID]int{}, windowTotals: map[clock.Millis]*valueTotals{},
	}
	for range overloadTargets {
		r.schedulers = append(r.schedulers, policy.newScheduler())
	}
	for team := range overloadTeams {
		r.scheduleArrival(team, 0)
	}
	r.schedule.run(&r.now)
	return r.result()
}

// inOverload reports whether the overload pattern applies now.
func (r *overloadRun) inOverload() bool { return r.now >= overloadStart && r.now < overloadEnd }

// scheduleArrival adds the next request of a team. at is the time of its previous
// request in milliseconds, not rounded.
func (r *overloadRun) scheduleArrival(team int, at float64) {
	rate := overloadRate * overloadTeams[team].demandShare
	if r.inOverload() {
		rate *= r.pattern.RateFactor
		if team == hotTeam {
			rate *= r.pattern.HotTeamFactor
		}
	}
	nextAt := at + r.rnd.ExpFloat64()/rate*float64(clock.Second)
	if clock.Millis(nextAt) >= overloadDuration {
		return
	}
	r.schedule.add(clock.Millis(nextAt), func() {
		r.request(team)
		r.scheduleArrival(team, nextAt)
	})
}

func (r *overloadRun) request(team int) {
	x, kind := r.rnd.Float64(), 0
	for ; x >= requestKinds[kind].demandShare && kind < len(requestKinds)-1; kind++ {
		x -= requestKinds[kind].demandShare
	}
	j := &overloadJob{team: team, kind: kind, arrivedAt: r.now}
	if r.inOverload() {
		r.requested++
		value := requestKinds[kind].value
		r.kindTotals[kind].requested += value
		r.teamTotals[team].requested += value
		r.totalsOfWindow(j).requested += value
	}
	r.offer(j)
}

// totalsOfWindow returns the totals of the window in which a job arrived.
func (r *overloadRun) totalsOfWindow(j *overloadJob) *valueTotals {
	window := j.arrivedAt / overloadWindow
	if r.windowTotals[window] == nil {
		r.windowTotals[window] = &valueTotals{}
	}
	return r.windowTotals[window]
}

// offer sends a job to the available target with the fewest jobs.
func (r *overloadRun) offer(j *overloadJob) {
	targets := overloadTargets
	if r.inOverload() {
		targets -= r.pattern.LostTargets
	}
	best := r.rnd.IntN(targets)
	for i := range targets {
		if r.targetLoad[i] < r.targetLoad[best] {
			best = i
		}
	}
	r.lastID++
	id := r.lastID
	r.jobs[id], r.targetOf[id] = j, best
	r.targetLoad[best]++
	r.apply(r.schedulers[best].Offer(r.now, r.queueJob(id, j)))
}

// queueJob returns the job that is offered to the scheduler under the run's policy.
func (r *overloadRun) queueJob(id queue.JobID, j *overloadJob) queue.Job {
	kind := requestKinds[j.kind]
	out := queue.Job{ID: id, Team: teamName(j.team), Priority: kind.priority, Weight: 1, Deadline: j.arrivedAt + kind.timeout}
	if j.onCallEnd != nil {
		out.Team, out.Deadline = "", j.arrivedAt+nestedCallTimeout
	}
	if r.policy.basic {
		return out
	}
	out.Rank, out.StartBy = overloadTeams[j.team].rank, j.arrivedAt+kind.objective-overloadServiceTime
	if j.onCallEnd != nil {
		out.Rank, out.Priority, out.StartBy = 0, ident.PriorityUrgent, 0
	}
	return out
}

func (r *overloadRun) apply(effects []queue.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case queue.Start:
			r.runJob(e.ID)
		case queue.Refuse:
			j := r.jobs[e.ID]
			r.targetLoad[r.targetOf[e.ID]]--
			r.removeJob(e.ID)
			r.handleRefusal(j)
		}
	}
}

func (r *overloadRun) removeJob(id queue.JobID) {
	delete(r.jobs, id)
	delete(r.targetOf, id)
}

func (r *overloadRun) handleRefusal(j *overloadJob) {
	switch {
	case j.onCallEnd != nil:
		j.onCallEnd(false)
	case r.pattern.Impatient && j.retries < maxCallerRetries:
		j.retries++
		r.schedule.add(r.now+callerRetryDelay, func() { r.offer(j) })
	case r.isCounted(j):
		r.refused++
	}
}

// isCounted reports whether a job is a request that arrived during the overload.
func (r *overloadRun) isCounted(j *overloadJob) bool {
	return j.onCallEnd == nil && j.arrivedAt >= overloadStart && j.arrivedAt < overloadEnd
}

// runJob runs a job that has a slot. A request with a nested call keeps the slot
// until the call ends.
func (r *overloadRun) runJob(id queue.JobID) {
	j := r.jobs[id]
	meanTime := overloadServiceTime
	if j.onCallEnd != nil {
		meanTime = nestedCallTime
	}
	serviceTime := float64(meanTime) * (0.5 + r.rnd.ExpFloat64()/2)
	if r.inOverload() {
		serviceTime *= r.pattern.SlowFactor
	}
	startedAt := r.now
	end := func(ok bool) {
		target := r.targetOf[id]
		r.targetLoad[target]--
		r.removeJob(id)
		r.recordEnd(j, ok, startedAt)
		r.apply(r.schedulers[target].Done(r.now))
	}
	r.schedule.add(r.now+clock.Millis(serviceTime)+1, func() {
		if !r.pattern.NestedCalls || j.onCallEnd != nil || requestKinds[j.kind].priority != ident.PriorityNormal {
			end(true)
			return
		}
		r.startNestedCall(j, end)
	})
}

// startNestedCall starts a call for a job that holds its slot, and calls end once:
// with the result of the call, or with false after nestedCallTimeout.
func (r *overloadRun) startNestedCall(j *overloadJob, end func(ok bool)) {
	ended := false
	endOnce := func(ok bool) {
		if !ended {
			ended = true
			end(ok)
		}
	}
	r.schedule.add(r.now+nestedCallTimeout, func() { endOnce(false) })
	r.offer(&overloadJob{team: j.team, kind: j.kind, arrivedAt: r.now, onCallEnd: endOnce})
}

// recordEnd reports the result of a nested call to its request, or adds the value
// that a request earned.
func (r *overloadRun) recordEnd(j *overloadJob, ok bool, startedAt clock.Millis) {
	if j.onCallEnd != nil {
		j.onCallEnd(true)
		return
	}
	if !r.isCounted(j) || !ok {
		return
	}
	kind := requestKinds[j.kind]
	value := kind.value
	switch took := r.now - j.arrivedAt; {
	case took > kind.timeout:
		return
	case took > kind.objective:
		value /= 2
	}
	r.served++
	r.totalWait += startedAt - j.arrivedAt
	r.kindTotals[j.kind].earned += value
	r.teamTotals[j.team].earned += value
	r.totalsOfWindow(j).earned += value
}

func (r *overloadRun) result() OverloadResult {
	out := OverloadResult{WorstKind: 1, WorstTeam: 1, WorstWindow: 1, Wait: r.totalWait / clock.Millis(max(r.served, 1))}
	var all, firstRank valueTotals
	for _, k := range r.kindTotals {
		all.requested += k.requested
		all.earned += k.earned
		out.WorstKind = min(out.WorstKind, k.earnedRatio())
	}
	for i, t := range r.teamTotals {
		if overloadTeams[i].rank == 0 {
			firstRank.requested += t.requested
			firstRank.earned += t.earned
		}
		// A team with many times its normal demand is not entitled to all of it.
		if r.pattern.HotTeamFactor == 1 || i != hotTeam {
			out.WorstTeam = min(out.WorstTeam, t.earnedRatio())
		}
	}
	for _, w := range r.windowTotals {
		out.WorstWindow = min(out.WorstWindow, w.earnedRatio())
	}
	out.Earned, out.FirstRank = all.earnedRatio(), firstRank.earnedRatio()
	out.Refused = float64(r.refused) / float64(max(r.requested, 1))
	return out
}
