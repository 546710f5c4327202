package trial

import (
	"math/rand/v2"
	"sort"

	"chestnutlatch/clock"
	"chestnutlatch/ident"
	"chestnutlatch/queue"
)

const (
	fairTrial  = 120 * clock.Second
	fairSlots  = 5
	fairPlaces = 64
	// fairWork is the mean service time; five slots serve 200 requests a
	// second.
	fairWork = 25 * clock.Millisecond
	// fairTimeout is how long a request may wait.
	fairTimeout = 2 * clock.Second
)

// fairDemand is each team's demand in requests a second. Together they ask for
// twice what the target serves; the first asks for several times its part.
var fairDemand = [8]float64{240, 50, 40, 30, 15, 12, 8, 5}

// FairResult is one trial's outcome.
type FairResult struct {
	// WorstTeam is the lowest part of its max-min fair share that a team got.
	WorstTeam float64
	// Served is the part of the requests of each priority that was served.
	Served [3]float64
	// Wait is the mean wait of the served requests of each priority.
	Wait [3]clock.Millis
}

// Line is a way of sharing a target's slots.
type Line interface {
	Offer(now clock.Millis, j queue.Job) []queue.Effect
	Done(now clock.Millis) []queue.Effect
}

// firstCome is the naive line: one queue for all, in order of arrival.
type firstCome struct {
	slots   int
	places  int
	running int
	waiting []queue.Job
}

// NewFirstCome returns the naive line.
func NewFirstCome() Line { return &firstCome{slots: fairSlots, places: fairPlaces} }

// NewShared returns the product's line.
func NewShared() Line { return queue.New(fairSlots, fairPlaces) }

// Offer implements Line.
func (f *firstCome) Offer(_ clock.Millis, j queue.Job) []queue.Effect {
	if f.running < f.slots {
		f.running++
		return []queue.Effect{queue.Start{ID: j.ID}}
	}
	if len(f.waiting) >= f.places {
		return []queue.Effect{queue.Refuse{ID: j.ID}}
	}
	f.waiting = append(f.waiting, j)
	return nil
}

// Done implements Line.
func (f *firstCome) Done(now clock.Millis) []queue.Effect {
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

type fairRun struct {
	agenda agenda
	now    clock.Millis
	rnd    *rand.Rand
	line   Line
	jobs   map[queue.JobID]fairJob
	last   queue.JobID
	sent   [3]int
	served [3]int
	waited [3]clock.Millis
	team   [8]int
}

type fairJob struct {
	team     int
	priority ident.Priority
	at       clock.Millis
}

// Fair floods one target from eight teams.
func Fair(line Line, seed uint64) FairResult {
	r := &fairRun{rnd: rand.New(rand.NewPCG(seed, 9)), line: line, jobs: map[queue.JobID]fairJob{}}
	for i := range fairDemand {
		r.arrive(i, 0)
	}
	r.agenda.play(&r.now)
	return r.sum()
}

func (r *fairRun) arrive(team int, at float64) {
	next := at + r.rnd.ExpFloat64()/fairDemand[team]*float64(clock.Second)
	if clock.Millis(next) >= fairTrial {
		return
	}
	r.agenda.add(clock.Millis(next), func() {
		r.offer(team)
		r.arrive(team, next)
	})
}

func (r *fairRun) offer(team int) {
	r.last++
	j := fairJob{team: team, priority: ident.Priority(r.rnd.IntN(3)), at: r.now}
	r.jobs[r.last] = j
	r.sent[j.priority]++
	r.take(r.line.Offer(r.now, queue.Job{
		ID: r.last, Team: teamName(team), Priority: j.priority, Weight: 1, Deadline: r.now + fairTimeout,
	}))
}

func (r *fairRun) take(effects []queue.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case queue.Start:
			j := r.jobs[e.ID]
			delete(r.jobs, e.ID)
			r.served[j.priority]++
			r.waited[j.priority] += r.now - j.at
			r.team[j.team]++
			work := clock.Millis(float64(fairWork)*(0.5+r.rnd.ExpFloat64()/2)) + 1
			r.agenda.add(r.now+work, func() { r.take(r.line.Done(r.now)) })
		case queue.Refuse:
			delete(r.jobs, e.ID)
		}
	}
}

func (r *fairRun) sum() FairResult {
	out := FairResult{WorstTeam: 1}
	total := 0
	for p := range r.sent {
		out.Served[p] = float64(r.served[p]) / float64(r.sent[p])
		out.Wait[p] = r.waited[p] / clock.Millis(max(r.served[p], 1))
		total += r.served[p]
	}
	seconds := float64(fairTrial / clock.Second)
	for i, share := range maxMin(float64(total) / seconds) {
		out.WorstTeam = min(out.WorstTeam, float64(r.team[i])/seconds/share)
	}
	return out
}

// maxMin divides the capacity so that no team gets more by taking from one
// that has less.
func maxMin(capacity float64) [8]float64 {
	order := []int{0, 1, 2, 3, 4, 5, 6, 7}
	sort.Slice(order, func(i, j int) bool { return fairDemand[order[i]] < fairDemand[order[j]] })
	var out [8]float64
	for n, i := range order {
		out[i] = min(fairDemand[i], capacity/float64(len(order)-n))
		capacity -= out[i]
	}
	return out
}
