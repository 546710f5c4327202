// Package queue decides which request a full target serves next. It shares the
// target's slots between priorities and teams by virtual time, keeps a bounded
// number of requests waiting, and does no I/O.
package queue

import (
	"math"

	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// priorityCount is the number of priorities.
const priorityCount = int(ident.PriorityUrgent) + 1

// priorityWeights are the parts of the slots that busy priorities get, lowest
// priority first.
var priorityWeights = [priorityCount]float64{1, 4, 16, 64}

// rankWeights times a team's weight is its part of the slots, by rank, first
// rank first. The last one holds for all ranks after it.
var rankWeights = [...]float64{16, 4, 1}

// shareSlack is how many requests, by its weight, a team may be ahead of the
// team served least. Within it the priority decides, beyond it the team waits.
const shareSlack = 4

// JobID names one request at this queue.
type JobID uint64

// Job is one request that wants a slot.
type Job struct {
	ID       JobID
	Team     ident.Team
	Priority ident.Priority
	// Weight is the team's part against other teams of its rank, at least 1.
	Weight uint32
	// Rank is the team's, 0 first; it goes before the priority.
	Rank uint32
	// Deadline is when the request is of no use any more.
	Deadline clock.Millis
	// Start is when the request should have started to be answered in time; 0
	// means the deadline. A later one goes behind those that can still make
	// it, whatever its priority: it has lost most of its worth already.
	Start clock.Millis
}

// part is the team's part against all other teams.
func (j Job) part() float64 {
	return float64(max(j.Weight, 1)) * rankWeights[min(int(j.Rank), len(rankWeights)-1)]
}

// isLate reports whether the job can no longer be answered in time.
func (j Job) isLate(now clock.Millis) bool { return j.Start > 0 && now > j.Start }

// Effect is what the owner of the queue has to do: Start or Refuse.
type Effect interface {
	effect()
}

// Start gives a job its slot.
type Start struct {
	ID JobID
}

// Refuse ends a waiting job. The job has not started.
type Refuse struct {
	ID   JobID
	Kind fault.Kind
}

func (Start) effect()  {}
func (Refuse) effect() {}

// line holds the waiting jobs of one team.
type line struct {
	// jobs are in order of arrival, by priority.
	jobs  [priorityCount][]Job
	count int
	// weight and rank are those of the newest job.
	weight float64
	rank   uint32
	// pass is the line's virtual time: the requests served, by weight.
	pass float64
}

// share returns the waiting jobs by weight.
func (l *line) share() float64 { return float64(l.count) / l.weight }

// Queue shares one target's slots. It is not safe for concurrent use.
type Queue struct {
	// slots is the number of requests that run at once, at least 1.
	slots int
	// limit is the number of requests that may wait.
	limit   int
	running int
	waiting int
	lines   map[ident.Team]*line
	// floor is the virtual time of the line served least when a job last
	// started; idle teams start there.
	floor float64
	// classes holds the virtual time of each priority, counts its jobs.
	classes [priorityCount]float64
	counts  [priorityCount]int
	// classFloor is the virtual time of the priority served last.
	classFloor float64
}

// New returns an empty queue.
func New(slots, limit int) *Queue {
	return &Queue{slots: max(slots, 1), limit: limit, lines: map[ident.Team]*line{}}
}

// Running returns the number of started jobs.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting jobs.
func (q *Queue) Waiting() int { return q.waiting }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// Offer asks for a slot. The effects start or refuse the job or an earlier
// one; a job with no effect waits.
func (q *Queue) Offer(now clock.Millis, j Job) []Effect {
	effects := q.Expire(now)
	if now >= j.Deadline {
		return append(effects, Refuse{ID: j.ID, Kind: fault.DeadlineExceeded})
	}
	if q.running < q.slots && q.waiting == 0 {
		q.running++
		return append(effects, Start{ID: j.ID})
	}
	if q.waiting >= q.limit {
		victim, ok := q.makeRoom(j)
		if !ok {
			return append(effects, Refuse{ID: j.ID, Kind: fault.QueueFull})
		}
		effects = append(effects, Refuse{ID: victim, Kind: fault.QueueFull})
	}
	q.enqueue(j)
	return append(effects, q.fill(now)...)
}

// Done returns a slot and starts the next job.
func (q *Queue) Done(now clock.Millis) []Effect {
	q.running--
	effects := q.Expire(now)
	return append(effects, q.fill(now)...)
}

// Ahead returns the number of waiting jobs that start before a new one that is
// not late, as long as its team is not ahead of its share.
func (q *Queue) Ahead(now clock.Millis, j Job) int {
	n := 0
	for _, l := range q.lines {
		if l.rank > j.Rank {
			continue
		}
		first := int(j.Priority)
		if l.rank < j.Rank {
			first = 0
		}
		for c := first; c < priorityCount; c++ {
			for _, j := range l.jobs[c] {
				if !j.isLate(now) {
					n++
				}
			}
		}
	}
	return n
}

// Cancel drops a waiting job and reports whether it was waiting.
func (q *Queue) Cancel(id JobID) bool {
	return q.dropIf(func(j Job) bool { return j.ID == id }) != nil
}

// Expire refuses the waiting jobs whose deadline has come.
func (q *Queue) Expire(now clock.Millis) []Effect {
	var effects []Effect
	for _, j := range q.dropIf(func(j Job) bool { return now >= j.Deadline }) {
		effects = append(effects, Refuse{ID: j.ID, Kind: fault.DeadlineExceeded})
	}
	return effects
}

// Flush refuses all waiting jobs.
func (q *Queue) Flush(k fault.Kind) []Effect {
	var effects []Effect
	for _, j := range q.dropIf(func(Job) bool { return true }) {
		effects = append(effects, Refuse{ID: j.ID, Kind: k})
	}
	return effects
}

func (q *Queue) enqueue(j Job) {
	l := q.lines[j.Team]
	if l == nil {
		l = &line{pass: q.floor}
		q.lines[j.Team] = l
	}
	if l.count == 0 {
		l.pass = max(l.pass, q.floor)
	}
	if q.counts[j.Priority] == 0 {
		q.classes[j.Priority] = max(q.classes[j.Priority], q.classFloor)
	}
	l.weight, l.rank = j.part(), j.Rank
	l.jobs[j.Priority] = append(l.jobs[j.Priority], j)
	l.count++
	q.counts[j.Priority]++
	q.waiting++
}

// fill starts waiting jobs while slots are free.
func (q *Queue) fill(now clock.Millis) []Effect {
	var effects []Effect
	for q.running < q.slots && q.waiting > 0 {
		j, ok := q.next(func(j Job) bool { return !j.isLate(now) })
		if !ok {
			j, _ = q.next(func(Job) bool { return true })
		}
		q.running++
		effects = append(effects, Start{ID: j.ID})
	}
	return effects
}

// next takes the job to start among those that match: of the teams that are not
// ahead of their share, those of the first rank, among these the priority with
// the lowest virtual time, and in it the team served least.
func (q *Queue) next(match func(Job) bool) (Job, bool) {
	low := q.lowest(match)
	if math.IsInf(low, 1) {
		return Job{}, false
	}
	q.floor = low
	q.forgetIdle()
	best := -1
	var team ident.Team
	rank := q.firstRank(match)
	for p := priorityCount - 1; p >= 0; p-- {
		t, ok := q.leastServed(p, rank, match)
		if ok && (best < 0 || q.classes[p] < q.classes[best]) {
			best, team = p, t
		}
	}
	q.classFloor = q.classes[best]
	q.classes[best] += 1 / priorityWeights[best]
	l := q.lines[team]
	i := l.first(best, match)
	j := l.jobs[best][i]
	l.pass += 1 / l.weight
	q.take(l, best, i)
	return j, true
}

// first returns the place of the line's first job of a priority that matches,
// or -1.
func (l *line) first(p int, match func(Job) bool) int {
	for i, j := range l.jobs[p] {
		if match(j) {
			return i
		}
	}
	return -1
}

// lowest returns the virtual time of the team served least that has a job that
// matches.
func (q *Queue) lowest(match func(Job) bool) float64 {
	low := math.Inf(1)
	for _, l := range q.lines {
		for p := range l.jobs {
			if l.first(p, match) >= 0 {
				low = min(low, l.pass)
			}
		}
	}
	return low
}

// forgetIdle drops the lines without jobs whose time the others have reached.
func (q *Queue) forgetIdle() {
	for team, l := range q.lines {
		if l.count == 0 && l.pass <= q.floor {
			delete(q.lines, team)
		}
	}
}

// isAhead reports whether a team has got more than its share.
func (q *Queue) isAhead(l *line) bool { return l.pass > q.floor+shareSlack/l.weight }

// firstRank returns the first rank of a team that has a job that matches and is
// not ahead of its share.
func (q *Queue) firstRank(match func(Job) bool) uint32 {
	rank := uint32(math.MaxUint32)
	for _, l := range q.lines {
		if l.rank >= rank || q.isAhead(l) {
			continue
		}
		for p := range l.jobs {
			if l.first(p, match) >= 0 {
				rank = l.rank
			}
		}
	}
	return rank
}

// leastServed returns the team with the lowest virtual time that has a job of
// the priority that matches, is of the rank and not ahead of its share.
func (q *Queue) leastServed(p int, rank uint32, match func(Job) bool) (best ident.Team, found bool) {
	for team, l := range q.lines {
		if l.rank != rank || l.first(p, match) < 0 || q.isAhead(l) {
			continue
		}
		if !found || l.pass < q.lines[best].pass || l.pass == q.lines[best].pass && team < best {
			best, found = team, true
		}
	}
	return best, found
}

// take removes one job of a line.
func (q *Queue) take(l *line, p, i int) {
	l.jobs[p] = append(l.jobs[p][:i:i], l.jobs[p][i+1:]...)
	l.count--
	q.counts[p]--
	q.waiting--
}
