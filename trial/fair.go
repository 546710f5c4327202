package trial

import (
	"math/rand/v2"
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/queue"
)

const (
	fairDuration   = 120 * clock.Second
	fairSlots      = 5
	fairQueueLimit = 64
	// fairServiceTime is the mean service time. Five slots serve 200 requests per
	// second.
	fairServiceTime = 25 * clock.Millisecond
	// fairTimeout is the longest time that a request waits.
	fairTimeout = 2 * clock.Second
)

// fairDemand is each team's demand in requests per second. The total is twice the
// capacity of the target, and the first team exceeds its fair share several times.
var fairDemand = [8]float64{240, 50, 40, 30, 15, 12, 8, 5}

// FairResult is the result of one fairness trial. Arrays are indexed by
// ident.Priority, from low to high.
type FairResult struct {
	// WorstTeam is the lowest ratio, over the teams, of served requests to the
	// team's max-min fair share.
	WorstTeam float64
	// Served is the share of the requests of each priority that was served, 0 to 1.
	Served [3]float64
	// Wait is the mean wait of the served requests of each priority, in
	// milliseconds.
	Wait [3]clock.Millis
}

// Scheduler assigns the slots of one target to requests. It is not safe for
// concurrent use.
type Scheduler interface {
	// Offer adds a job and returns the jobs to start or refuse. A job that
	// appears in no effect waits.
	Offer(now clock.Millis, j queue.Job) []queue.Effect
	// Done frees the slot of a finished job and returns the jobs to start or
	// refuse.
	Done(now clock.Millis) []queue.Effect
}

// fifoScheduler serves all requests from one queue in order of arrival. It is the
// baseline that the product's queue is compared with.
type fifoScheduler struct {
	slots      int
	queueLimit int
	running    int
	waiting    []queue.Job
}

// NewFIFOScheduler returns a first-in, first-out scheduler.
func NewFIFOScheduler() Scheduler {
	return &fifoScheduler{slots: fairSlots, queueLimit: fairQueueLimit}
}

// NewQueueScheduler returns the product's queue, which shares slots between teams
// and priorities.
func NewQueueScheduler() Scheduler { return queue.New(fairSlots, fairQueueLimit) }

// Offer implements Scheduler.
func (f *fifoScheduler) Offer(_ clock.Millis, j queue.Job) []queue.Effect {
	if f.running < f.slots {
		f.running++
		return []queue.Effect{queue.Start{ID: j.ID}}
	}
	if len(f.waiting) >= f.queueLimit {
		return []queue.Effect{queue.Refuse{ID: j.ID}}
	}
	f.waiting = append(f.waiting, j)
	return nil
}

// Done implements Scheduler.
func (f *fifoScheduler) Done(now clock.Millis) []queue.Effect {
	f.running--
	var out []queue.Effect
	for len(f.waiting) > 0 {
		j := f.waiting[0]
		f.waiting = f.waiting[1:]
		if now < j.Deadline {
			f.running++
			return append(out, queue.Start{ID: j.ID})
		}
		out = append(out, queue.Refuse{ID: j.ID})
	}
	return out
}

// fairRun holds the state of one fairness trial.
type fairRun struct {
	schedule   eventQueue
	now        clock.Millis
	rnd        *rand.Rand
	scheduler  Scheduler
	jobs       map[queue.JobID]fairJob
	lastID     queue.JobID
	sent       [3]int
	served     [3]int
	totalWait  [3]clock.Millis
	teamServed [8]int
}

type fairJob struct {
	team      int
	priority  ident.Priority
	arrivedAt clock.Millis
}

// RunFairness simulates eight teams that together send twice the requests that one
// target can serve. scheduler must be new, because it keeps state. Equal seeds give
// equal results.
func RunFairness(scheduler Scheduler, seed uint64) FairResult {
	r := &fairRun{rnd: rand.New(rand.NewPCG(seed, 9)), scheduler: scheduler, jobs: map[queue.JobID]fairJob{}}
	for i := range fairDemand {
		r.scheduleArrival(i, 0)
	}
	r.schedule.run(&r.now)
	return r.result()
}

// scheduleArrival adds the next request of a team. at is the time of its previous
// request in milliseconds, not rounded.
func (r *fairRun) scheduleArrival(team int, at float64) {
	nextAt := at + r.rnd.ExpFloat64()/fairDemand[team]*float64(clock.Second)
	if clock.Millis(nextAt) >= fairDuration {
		return
	}
	r.schedule.add(clock.Millis(nextAt), func() {
		r.offer(team)
		r.scheduleArrival(team, nextAt)
	})
}

// offer sends a new request of a team to the scheduler.
func (r *fairRun) offer(team int) {
	r.lastID++
	j := fairJob{team: team, priority: ident.Priority(r.rnd.IntN(3)), arrivedAt: r.now}
	r.jobs[r.lastID] = j
	r.sent[j.priority]++
	r.apply(r.scheduler.Offer(r.now, queue.Job{
		ID: r.lastID, Team: teamName(team), Priority: j.priority, Weight: 1, Deadline: r.now + fairTimeout,
	}))
}

// apply starts and removes jobs as the scheduler decided.
func (r *fairRun) apply(effects []queue.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case queue.Start:
			j := r.jobs[e.ID]
			delete(r.jobs, e.ID)
			r.served[j.priority]++
			r.totalWait[j.priority] += r.now - j.arrivedAt
			r.teamServed[j.team]++
			serviceTime := clock.Millis(float64(fairServiceTime)*(0.5+r.rnd.ExpFloat64()/2)) + 1
			r.schedule.add(r.now+serviceTime, func() { r.apply(r.scheduler.Done(r.now)) })
		case queue.Refuse:
			delete(r.jobs, e.ID)
		}
	}
}

func (r *fairRun) result() FairResult {
	out := FairResult{WorstTeam: 1}
	total := 0
	for priority := range r.sent {
		out.Served[priority] = float64(r.served[priority]) / float64(r.sent[priority])
		out.Wait[priority] = r.totalWait[priority] / clock.Millis(max(r.served[priority], 1))
		total += r.served[priority]
	}
	seconds := float64(fairDuration / clock.Second)
	for i, share := range maxMin(float64(total) / seconds) {
		out.WorstTeam = min(out.WorstTeam, float64(r.teamServed[i])/seconds/share)
	}
	return out
}

// maxMin returns the max-min fair shares of a capacity, in requests per second. A
// team gets its whole demand or an equal share of what teams with a lower demand
// leave over.
func maxMin(capacity float64) [8]float64 {
	order := []int{0, 1, 2, 3, 4, 5, 6, 7}
	sort.Slice(order, func(i, j int) bool { return fairDemand[order[i]] < fairDemand[order[j]] })
	var out [8]float64
	for divided, i := range order {
		out[i] = min(fairDemand[i], capacity/float64(len(order)-divided))
		capacity -= out[i]
	}
	return out
}
