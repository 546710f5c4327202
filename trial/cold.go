package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"chestnutlatch/choose"
	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/limit"
	"chestnutlatch/queue"
)

// The service of the cold trial has coldCentres data centres with coldPerCentre targets
// each, and a daemon beside each target. A warm target serves 200 requests/s. The demand
// is the same at every daemon. Between coldFrom and coldUntil, the targets of the first
// data centres are cold.
const (
	coldDuration    = 16 * clock.Second
	coldFrom        = 4 * clock.Second
	coldUntil       = 12 * clock.Second
	coldCentres     = 3
	coldPerCentre   = 4
	coldSlots       = 8
	coldQueueLimit  = 40
	coldServiceTime = 40 * clock.Millisecond
	// coldRate, coldOvershoot and coldSlack bound the requests that reach a cold target in
	// any one second.
	coldRate      = 10
	coldOvershoot = 1.5
	coldSlack     = 8
	// coldJitter bounds the difference in the time that requests take from the guard to
	// the target, and coldRemoteDelay is the time between two data centres.
	coldJitter      = 3 * clock.Millisecond
	coldRemoteDelay = 10 * clock.Millisecond
	// Load reports are sent each coldReportTick in the data centre; each coldSummaryTick
	// they go to the others, where they arrive after coldSummaryDelay.
	coldReportTick   = 100 * clock.Millisecond
	coldSummaryTick  = clock.Second
	coldSummaryDelay = 500 * clock.Millisecond
	coldMaxCalls     = 8
	coldService      = ident.Service("svc")
)

// ColdPattern is a load pattern of the cold trial.
type ColdPattern struct {
	Name string
	// Rate is the demand on the whole service, in requests per second.
	Rate float64
	// ColdCentres is the number of data centres whose targets become cold together.
	ColdCentres int
}

// ColdPatterns lists the load patterns. The eight warm targets of the first ones serve
// 1,600 requests/s.
var ColdPatterns = []ColdPattern{
	{"one data centre returns at 3/4 of what the others serve", 1200, 1},
	{"one data centre returns at 9/10 of what the others serve", 1440, 1},
	{"all data centres start cold", 600, coldCentres},
}

// ColdPolicy says which parts of the product take part in a cold trial.
type ColdPolicy struct {
	// IsBounded is true if guards keep the bound.
	IsBounded bool
	// IsInformed is true if entries use the used part of the limits.
	IsInformed bool
}

// ColdResult is the result of one cold trial, of the time in which targets are cold.
type ColdResult struct {
	// WorstSecond is the highest number of requests that reached a cold target in any
	// 1,000 ms, and ColdServed the number that all cold targets got.
	WorstSecond, ColdServed int
	// LongestQueue is the longest queue of a warm target, and QueueFull the number of
	// requests that one refused because of its queue.
	LongestQueue, QueueFull int
	// Refused is the number of requests that were refused, by priority, and Requested the
	// number of all. RefusedAfter is the longest time until a refusal, in milliseconds.
	Refused, Requested [ident.PriorityUrgent + 1]int
	RefusedAfter       clock.Millis
	// Calls is the number of calls to guards for each request.
	Calls float64
}

// coldTarget is a target with its guard.
type coldTarget struct {
	id       ident.Target
	centre   int
	queue    *queue.Queue
	window   *limit.ColdWindow
	waiting  map[queue.JobID]*coldRequest
	arrivals []clock.Millis
}

// coldRequest is one request at an entry.
type coldRequest struct {
	daemon   int
	priority ident.Priority
	began    clock.Millis
	calls    int
	skip     []ident.Target
	target   *coldTarget
	// coldRefusals counts the targets that refused because they are cold.
	coldRefusals int
}

type coldRun struct {
	schedule eventQueue
	now      clock.Millis
	rnd      *rand.Rand
	pattern  ColdPattern
	policy   ColdPolicy
	targets  []*coldTarget
	pickers  []*choose.Picker
	lastID   queue.JobID
	limit    int
	calls    int
	total    int
	result   ColdResult
}

// RunCold simulates one load pattern. Equal arguments give equal results.
func RunCold(pattern ColdPattern, policy ColdPolicy, seed uint64) ColdResult {
	r := &coldRun{
		rnd: rand.New(rand.NewPCG(seed, 13)), pattern: pattern, policy: policy, limit: limit.ColdLimit(coldRate, coldOvershoot, coldSlack),
	}
	for i := range coldCentres * coldPerCentre {
		r.targets = append(r.targets, &coldTarget{
			id: ident.Target(fmt.Sprintf("t%02d", i)), centre: i / coldPerCentre, queue: queue.New(coldSlots, coldQueueLimit),
			window: limit.NewColdWindow(-clock.Minute), waiting: map[queue.JobID]*coldRequest{},
		})
	}
	for i, t := range r.targets {
		p := choose.New(centreName(t.centre), "r", seed+uint64(i))
		for _, other := range r.targets {
			p.Put(coldService, choose.Candidate{
				Target: other.id, Instance: ident.Instance(other.id), DataCentre: centreName(other.centre), Region: "r", Slots: coldSlots, Up: true,
			})
		}
		r.pickers = append(r.pickers, p)
		r.scheduleArrival(i, 0)
	}
	for at := clock.Millis(1); at < coldDuration; at += coldReportTick {
		r.schedule.add(at, func() { r.report(at%coldSummaryTick == 1) })
	}
	r.schedule.run(&r.now)
	return r.summarize()
}

func centreName(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprint("dc", i)) }

// isCold reports whether a target is cold at a time.
func (r *coldRun) isCold(t *coldTarget, at clock.Millis) bool {
	return t.centre < r.pattern.ColdCentres && at >= coldFrom && at < coldUntil
}

// scheduleArrival adds the next request of a daemon's callers. at is the time of the
// previous one in milliseconds, not rounded.
func (r *coldRun) scheduleArrival(daemon int, at float64) {
	next := at + r.rnd.ExpFloat64()/r.pattern.Rate*float64(len(r.targets))*float64(clock.Second)
	if clock.Millis(next) >= coldDuration {
		return
	}
	r.schedule.add(clock.Millis(next), func() {
		q := &coldRequest{daemon: daemon, priority: ident.Priority(r.rnd.IntN(int(ident.PriorityUrgent) + 1)), began: r.now}
		if r.isCounted(q) {
			r.result.Requested[q.priority]++
			r.total++
		}
		r.try(q)
		r.scheduleArrival(daemon, next)
	})
}

func (r *coldRun) isCounted(q *coldRequest) bool { return q.began >= coldFrom && q.began < coldUntil }

// try sends a request to the next target, or refuses it.
func (r *coldRun) try(q *coldRequest) {
	req := choose.Request{Service: coldService, Skip: q.skip, ColdRefusals: q.coldRefusals}
	if r.policy.IsInformed {
		req.ColdLimit, req.ColdShare = r.limit, limit.ColdShare(r.limit, q.priority)
	}
	c, ok := r.pickers[q.daemon].PickLowestCost(r.now, req, choose.DefaultCosts())
	if ok && c.IsColdFull || q.calls == coldMaxCalls {
		r.pickers[q.daemon].Done(coldService, c.Target)
		ok = false
	}
	if !ok {
		if r.isCounted(q) {
			r.result.Refused[q.priority]++
			r.result.RefusedAfter = max(r.result.RefusedAfter, r.now-q.began)
		}
		return
	}
	q.skip = append(q.skip, c.Target)
	q.calls++
	if r.isCounted(q) {
		r.calls++
	}
	q.target = r.targets[slices.IndexFunc(r.targets, func(t *coldTarget) bool { return t.id == c.Target })]
	r.schedule.add(r.now+r.delay(q), func() { r.arrive(q) })
}

// delay is the time between the daemon of a request and its target's.
func (r *coldRun) delay(q *coldRequest) clock.Millis {
	if r.targets[q.daemon].centre == q.target.centre {
		return 0
	}
	return coldRemoteDelay
}

// arrive offers a request to its target's guard.
func (r *coldRun) arrive(q *coldRequest) {
	t := q.target
	j := queue.Job{Priority: q.priority, Weight: 1, Deadline: r.now + clock.Minute}
	share := limit.ColdShare(r.limit, q.priority)
	if r.policy.IsBounded && r.isCold(t, r.now) && t.window.Used(r.now)+t.queue.CountAhead(r.now, j) >= share {
		r.refuseCold(q)
		return
	}
	r.lastID++
	j.ID = r.lastID
	t.waiting[j.ID] = q
	r.apply(t, t.queue.Offer(r.now, j))
	if !r.isCold(t, r.now) {
		r.result.LongestQueue = max(r.result.LongestQueue, t.queue.Waiting())
	}
}

func (r *coldRun) apply(t *coldTarget, effects []queue.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case queue.Start:
			r.start(t, t.waiting[e.ID])
			delete(t.waiting, e.ID)
		case queue.Refuse:
			q := t.waiting[e.ID]
			delete(t.waiting, e.ID)
			if !r.isCold(t, r.now) && r.isCounted(q) {
				r.result.QueueFull++
			}
			r.reply(q, func() { r.try(q) })
		}
	}
}

// start writes a request that has a slot to its target.
func (r *coldRun) start(t *coldTarget, q *coldRequest) {
	cold := r.isCold(t, r.now)
	if r.policy.IsBounded && cold && !t.window.Admit(r.now, limit.ColdShare(r.limit, q.priority)) {
		r.schedule.add(r.now, func() { r.apply(t, t.queue.Done(r.now)) })
		r.refuseCold(q)
		return
	}
	if !r.policy.IsBounded || !cold {
		t.window.Add(r.now)
	}
	at := r.now + clock.Millis(r.rnd.Int64N(int64(coldJitter)+1))
	t.arrivals = append(t.arrivals, at)
	r.schedule.add(at+clock.Millis(float64(coldServiceTime)*(0.5+r.rnd.ExpFloat64()/2))+1, func() {
		r.apply(t, t.queue.Done(r.now))
		r.reply(q, func() {})
	})
}

func (r *coldRun) refuseCold(q *coldRequest) {
	q.coldRefusals++
	r.reply(q, func() { r.try(q) })
}

// reply brings the reply of a guard, with its load, to the daemon of a request.
func (r *coldRun) reply(q *coldRequest, then func()) {
	load := r.load(q.target)
	r.schedule.add(r.now+r.delay(q), func() {
		p := r.pickers[q.daemon]
		p.UpdateLoad(r.now, coldService, q.target.id, load)
		p.Done(coldService, q.target.id)
		then()
	})
}

func (r *coldRun) load(t *coldTarget) choose.Load {
	l := choose.Load{InFlight: t.queue.Running(), Queued: t.queue.Waiting()}
	if r.isCold(t, r.now) {
		l.State = ident.TargetCold
		l.ColdUsed = min(max(float64(t.window.Used(r.now))/float64(r.limit), 0.001), 1)
	}
	return l
}

// report sends the load of all targets to the daemons of their data centres, and to the
// others if it is time for a summary.
func (r *coldRun) report(summary bool) {
	for _, t := range r.targets {
		load, at := r.load(t), r.now
		for i, p := range r.pickers {
			switch {
			case r.targets[i].centre == t.centre:
				p.UpdateLoad(at, coldService, t.id, load)
			case summary:
				r.schedule.add(at+coldSummaryDelay, func() { p.UpdateLoad(at, coldService, t.id, load) })
			}
		}
	}
}

// summarize counts the requests that reached cold targets. A second counts if all of it
// is in the time in which the target is cold.
func (r *coldRun) summarize() ColdResult {
	for _, t := range r.targets {
		var recent []clock.Millis
		slices.Sort(t.arrivals)
		for _, at := range t.arrivals {
			if !r.isCold(t, at) {
				continue
			}
			r.result.ColdServed++
			recent = slices.DeleteFunc(append(recent, at), func(earlier clock.Millis) bool { return at-earlier > clock.Second })
			r.result.WorstSecond = max(r.result.WorstSecond, len(recent))
		}
	}
	r.result.Calls = float64(r.calls) / float64(max(r.total, 1))
	return r.result
}
