// Package queue decides which request a full target serves next. It shares the
// target's slots between priorities and teams by virtual time, keeps a bounded
// number of requests waiting, and does no I/O.
package queue

import (
	"chestnutlatch/clock"
	"chestnutlatch/fault"
	"chestnutlatch/ident"
)

// priorityCount is the number of priorities.
const priorityCount = int(ident.PriorityHigh) + 1

// priorityWeights are the parts of the slots that busy priorities get, lowest
// priority first.
var priorityWeights = [priorityCount]float64{1, 4, 16}

// reservedPart is the part of the waiting places, one in reservedPart, that
// requests of a higher priority cannot take from a lower one.
const reservedPart = 8

// JobID names one request at this queue.
type JobID uint64

// Job is one request that wants a slot.
type Job struct {
	ID       JobID
	Team     ident.Team
	Priority ident.Priority
	// Weight is the team's part against other teams, at least 1.
	Weight uint32
	// Deadline is when the request is of no use any more.
	Deadline clock.Millis
}

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

// line holds the waiting jobs of one team in one priority.
type line struct {
	jobs []Job
	// pass is the line's virtual time; the line with the lowest goes next.
	pass float64
}

// class holds the lines of one priority.
type class struct {
	lines map[ident.Team]*line
	count int
	pass  float64
	// floor is the pass of the line served last; idle lines start there.
	floor float64
}

// Queue shares one target's slots. It is not safe for concurrent use.
type Queue struct {
	// slots is the number of requests that run at once, at least 1.
	slots int
	// limit is the number of requests that may wait.
	limit   int
	running int
	waiting int
	classes [priorityCount]class
	// floor is the pass of the class served last.
	floor float64
}

// New returns an empty queue.
func New(slots, limit int) *Queue {
	q := &Queue{slots: max(slots, 1), limit: limit}
	for i := range q.classes {
		q.classes[i].lines = map[ident.Team]*line{}
	}
	return q
}

// Running returns the number of started jobs.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting jobs.
func (q *Queue) Waiting() int { return q.waiting }

// Slots returns the number of slots.
func (q *Queue) Slots() int { return q.slots }

// SetSlots changes the number of slots; running jobs go on.
func (q *Queue) SetSlots(n int) { q.slots = max(n, 1) }

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
	return append(effects, q.fill()...)
}

// Done returns a slot and starts the next job.
func (q *Queue) Done(now clock.Millis) []Effect {
	q.running--
	effects := q.Expire(now)
	return append(effects, q.fill()...)
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

func (q *Queue) enqueue(j Job) {
	c := &q.classes[j.Priority]
	if c.count == 0 {
		c.pass = max(c.pass, q.floor)
	}
	l := c.lines[j.Team]
	if l == nil {
		l = &line{pass: c.floor}
		c.lines[j.Team] = l
	}
	l.jobs = append(l.jobs, j)
	c.count++
	q.waiting++
}

// fill starts waiting jobs while slots are free.
func (q *Queue) fill() []Effect {
	var effects []Effect
	for q.running < q.slots && q.waiting > 0 {
		j := q.next()
		q.running++
		effects = append(effects, Start{ID: j.ID})
	}
	return effects
}

// next takes the job with the lowest virtual time. Equal times go to the
// higher priority and to the lower team name.
func (q *Queue) next() Job {
	best := -1
	for p := priorityCount - 1; p >= 0; p-- {
		if q.classes[p].count > 0 && (best < 0 || q.classes[p].pass < q.classes[best].pass) {
			best = p
		}
	}
	c := &q.classes[best]
	q.floor = c.pass
	c.pass += 1 / priorityWeights[best]
	team := c.nextTeam()
	l := c.lines[team]
	j := l.jobs[0]
	c.floor = l.pass
	l.pass += 1 / float64(max(j.Weight, 1))
	q.take(c, team, 0)
	return j
}

func (c *class) nextTeam() ident.Team {
	var best ident.Team
	found := false
	for team, l := range c.lines {
		if !found || l.pass < c.lines[best].pass || l.pass == c.lines[best].pass && team < best {
			best, found = team, true
		}
	}
	return best
}

// take removes one job of a line, and the line when it is empty and has no
// virtual time to remember.
func (q *Queue) take(c *class, team ident.Team, i int) {
	l := c.lines[team]
	l.jobs = append(l.jobs[:i:i], l.jobs[i+1:]...)
	c.count--
	q.waiting--
	if len(l.jobs) == 0 && (l.pass <= c.floor || c.count == 0) {
		delete(c.lines, team)
	}
}

// makeRoom drops the newest job of the team that holds most places, from the
// lowest priority that is over its reserve. It fails if the new job's own team
// holds most places of its priority.
func (q *Queue) makeRoom(j Job) (JobID, bool) {
	reserve := q.limit / reservedPart
	for p := range int(j.Priority) {
		if c := &q.classes[p]; c.count > reserve {
			return q.dropNewest(c, c.longest()), true
		}
	}
	c := &q.classes[j.Priority]
	team := c.longest()
	if team == "" || c.share(team) <= c.shareWith(j) {
		return 0, false
	}
	return q.dropNewest(c, team), true
}

// share returns a team's waiting jobs by its weight.
func (c *class) share(team ident.Team) float64 {
	l := c.lines[team]
	if l == nil || len(l.jobs) == 0 {
		return 0
	}
	return float64(len(l.jobs)) / float64(max(l.jobs[0].Weight, 1))
}

// shareWith returns the share of the job's team with the job added.
func (c *class) shareWith(j Job) float64 {
	n := 1
	if l := c.lines[j.Team]; l != nil {
		n += len(l.jobs)
	}
	return float64(n) / float64(max(j.Weight, 1))
}

func (c *class) longest() ident.Team {
	var best ident.Team
	for team := range c.lines {
		if c.share(team) > c.share(best) || c.share(team) == c.share(best) && team < best {
			best = team
		}
	}
	return best
}

func (q *Queue) dropNewest(c *class, team ident.Team) JobID {
	l := c.lines[team]
	id := l.jobs[len(l.jobs)-1].ID
	q.take(c, team, len(l.jobs)-1)
	return id
}

func (q *Queue) dropIf(match func(Job) bool) []Job {
	var dropped []Job
	for i := range q.classes {
		c := &q.classes[i]
		for team, l := range c.lines {
			for k := len(l.jobs) - 1; k >= 0; k-- {
				if match(l.jobs[k]) {
					dropped = append(dropped, l.jobs[k])
					q.take(c, team, k)
				}
			}
		}
	}
	return dropped
}
